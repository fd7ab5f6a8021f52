package admission

import "github.com/oleanderspool/oleanderspool"

// bucket is a token bucket of requests.
type bucket struct {
	level float64 // requests that may be admitted now
	at    oleanderspool.Millis
}

// take removes one request from the bucket. rate is in requests per
// millisecond. It returns 0, or the span in milliseconds until a request is
// available.
func (b *bucket) take(rate, burst float64, now oleanderspool.Millis) oleanderspool.Millis {
	if now > b.at {
		b.level = min(burst, b.level+float64(now-b.at)*rate)
		b.at = now
	}
	b.level = min(b.level, burst)
	if b.level >= 1 {
		b.level--
		return 0
	}
	return max(1, roundUp((1-b.level)/rate))
}

// maxSpan bounds computed spans, so that a tiny rate does not overflow.
const maxSpan = 24 * oleanderspool.Hour

func roundUp(span float64) oleanderspool.Millis {
	if span >= float64(maxSpan) {
		return maxSpan
	}
	m := oleanderspool.Millis(span)
	if float64(m) < span {
		m++
	}
	return m
}
