package retry

import (
	"math/rand/v2"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// backoffBase is the mean delay before the first retry. It applies after a full
	// queue; after other failures the first retry is not delayed.
	backoffBase oleanderspool.Millis = 20
	// maxBackoff bounds the mean delay of all retries.
	maxBackoff oleanderspool.Millis = 1000
)

// backoff returns the delay before the n-th retry, counted from 1: exponential
// backoff with jitter, uniform between 0.5 and 1.5 times a mean that doubles with
// each retry.
func backoff(n int, source *rand.Rand) oleanderspool.Millis {
	mean := backoffBase
	for i := 1; i < n && mean < maxBackoff; i++ {
		mean *= 2
	}
	mean = min(mean, maxBackoff)
	return mean/2 + oleanderspool.Millis(source.Int64N(int64(mean)+1))
}
