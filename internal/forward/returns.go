package forward

import "github.com/oleanderspool/oleanderspool"

const (
	// returnSpan is how long a request that was asked to come back is remembered.
	returnSpan = 10 * oleanderspool.Second
	// maxReturns bounds the requests that are remembered.
	maxReturns = 5000
)

// returnLedger remembers which requests this and the other entries asked to come
// back, so that a caller who did as told is preferred.
type returnLedger struct {
	at  map[oleanderspool.Fingerprint]oleanderspool.Millis
	own []oleanderspool.Fingerprint // not told to the others yet
}

func newReturnLedger() *returnLedger {
	return &returnLedger{at: make(map[oleanderspool.Fingerprint]oleanderspool.Millis)}
}

func (l *returnLedger) add(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	if len(l.at) < maxReturns {
		l.at[f] = now
	}
}

// refuse notes a request that this entry asks to come back.
func (l *returnLedger) refuse(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	l.add(f, now)
	l.own = append(l.own, f)
}

// expected reports whether a request was asked to come back.
func (l *returnLedger) expected(f oleanderspool.Fingerprint, now oleanderspool.Millis) bool {
	at, found := l.at[f]
	return found && now-at < returnSpan
}

// told returns the requests to tell the others.
func (l *returnLedger) told() []oleanderspool.Fingerprint {
	own := l.own
	l.own = nil
	return own
}

func (l *returnLedger) expire(now oleanderspool.Millis) {
	for f, at := range l.at {
		if now-at >= returnSpan {
			delete(l.at, f)
		}
	}
}
