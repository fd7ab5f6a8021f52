package placement

import "github.com/oleanderspool/oleanderspool"

const (
	// avoidFirst is the span for which a server that failed is not chosen while
	// others can be. It doubles with each failure up to avoidLongest.
	avoidFirst   = 700 * oleanderspool.Millis(1)
	avoidLongest = 6 * oleanderspool.Second
	// avoidMemory is the span after an avoidance in which another failure
	// doubles the span.
	avoidMemory = 5 * oleanderspool.Second
)

// avoidance is a span in which a server is not chosen.
type avoidance struct {
	until oleanderspool.Millis
	span  oleanderspool.Millis
}

// RecordFailure notes that a server failed a request and returns the instant until
// which it is avoided.
func (b *Scheduler) RecordFailure(server oleanderspool.InstanceID, now oleanderspool.Millis) oleanderspool.Millis {
	a, found := b.avoided[server]
	switch {
	case !found || now > a.until+avoidMemory:
		a.span = avoidFirst
	case now >= a.until:
		a.span = min(2*a.span, avoidLongest)
	}
	a.until = max(a.until, now+a.span)
	b.avoided[server] = a
	return a.until
}

// AvoidUntil notes what another entry found out about a server.
func (b *Scheduler) AvoidUntil(server oleanderspool.InstanceID, until, now oleanderspool.Millis) {
	a := b.avoided[server]
	if until > a.until && until-now <= avoidLongest {
		b.avoided[server] = avoidance{until: until, span: max(a.span, avoidFirst)}
	}
}

// RecordSuccess ends the avoidance of a server that served a request.
func (b *Scheduler) RecordSuccess(server oleanderspool.InstanceID) {
	delete(b.avoided, server)
}

func (b *Scheduler) isAvoided(server oleanderspool.InstanceID, now oleanderspool.Millis) bool {
	return now < b.avoided[server].until
}
