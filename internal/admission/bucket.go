package admission

import "github.com/oleanderspool/oleanderspool"

// bucket is a token bucket of requests.
type bucket struct {
	level      float64 // requests that may be admitted now
	refilledAt oleanderspool.Millis
}

// take refills the bucket at the given rate in requests per millisecond and
// removes one request. It returns 0, or the time in milliseconds until a request
// is available.
func (b *bucket) take(rate, burst float64, now oleanderspool.Millis) oleanderspool.Millis {
	if now > b.refilledAt {
		b.level = min(burst, b.level+float64(now-b.refilledAt)*rate)
		b.refilledAt = now
	}
	b.level = min(b.level, burst)
	if b.level >= 1 {
		b.level--
		return 0
	}
	return max(1, toMillis((1-b.level)/rate))
}

// maxDuration bounds computed durations, so that a tiny rate does not cause an
// overflow.
const maxDuration = 24 * oleanderspool.Hour

// toMillis rounds a duration in milliseconds up, to at most [maxDuration].
func toMillis(duration float64) oleanderspool.Millis {
	if duration >= float64(maxDuration) {
		return maxDuration
	}
	m := oleanderspool.Millis(duration)
	if float64(m) < duration {
		m++
	}
	return m
}
