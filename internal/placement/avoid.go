package placement

import "github.com/oleanderspool/oleanderspool"

const (
	// firstAvoidance is the time for which a failed server is not chosen while
	// others are available. It doubles, up to maxAvoidance, when the server fails
	// again within escalationWindow after the end of the avoidance. A failure during
	// the avoidance only extends it.
	firstAvoidance = 700 * oleanderspool.Millis(1)
	maxAvoidance   = 6 * oleanderspool.Second
	// escalationWindow is the time after the end of an avoidance in which a failure
	// counts as a further one.
	escalationWindow = 5 * oleanderspool.Second
)

// avoidance is a period in which a server is not chosen while others are available.
type avoidance struct {
	until    oleanderspool.Millis
	duration oleanderspool.Millis
}

// RecordFailure records that a request failed on a server and returns the instant
// until which the server is avoided.
func (sc *Scheduler) RecordFailure(server oleanderspool.InstanceID, now oleanderspool.Millis) oleanderspool.Millis {
	a, found := sc.avoided[server]
	switch {
	case !found || now > a.until+escalationWindow:
		a.duration = firstAvoidance
	case now >= a.until:
		a.duration = min(2*a.duration, maxAvoidance)
	}
	a.until = max(a.until, now+a.duration)
	sc.avoided[server] = a
	return a.until
}

// AvoidUntil applies an avoidance that another entry reported. An avoidance that
// would last longer than maxAvoidance is ignored as invalid.
func (sc *Scheduler) AvoidUntil(server oleanderspool.InstanceID, until, now oleanderspool.Millis) {
	a := sc.avoided[server]
	if until > a.until && until-now <= maxAvoidance {
		sc.avoided[server] = avoidance{until: until, duration: max(a.duration, firstAvoidance)}
	}
}

// RecordSuccess records that a server served a request, which ends its avoidance.
func (sc *Scheduler) RecordSuccess(server oleanderspool.InstanceID) {
	delete(sc.avoided, server)
}

func (sc *Scheduler) isAvoided(server oleanderspool.InstanceID, now oleanderspool.Millis) bool {
	return now < sc.avoided[server].until
}
