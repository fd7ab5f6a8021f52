package retry

import (
	"math/rand/v2"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// backoffBase is the mean delay before the first retry of a busy server.
	backoffBase oleanderspool.Millis = 20
	// backoffLimit bounds the mean delay.
	backoffLimit oleanderspool.Millis = 1000
)

// backoff returns a delay for the n-th retry, from 1: evenly distributed
// between half and one and a half times a mean that doubles with each retry.
func backoff(n int, source *rand.Rand) oleanderspool.Millis {
	mean := backoffBase
	for i := 1; i < n && mean < backoffLimit; i++ {
		mean *= 2
	}
	mean = min(mean, backoffLimit)
	return mean/2 + oleanderspool.Millis(source.Int64N(int64(mean)+1))
}
