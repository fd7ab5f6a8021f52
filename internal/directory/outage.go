package directory

import (
	"maps"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// expiryGrace is the time after an outage of the store during which a removed
	// server is still used: its registration may have expired only because the
	// server could not renew it. It is shorter than the time after which a server
	// that left must receive no more requests.
	expiryGrace = 1500 * oleanderspool.Millis(1)
	// expiryHeartbeats is the length of an outage, in heartbeats of the servers, from
	// which on registrations may expire by it. A registration expires after three
	// heartbeats without a renewal, and the last one may have preceded the outage by
	// one and some delay.
	expiryHeartbeats = 1.6
	// maxUnrenewed is the time without renewals, in heartbeats of the servers, up to which
	// the store may have been reachable for them. A read meets the heartbeats of a server
	// at any phase, so that one may be missing.
	maxUnrenewed = 1
	// surelyRenewed is the same up to which it was reachable. In between, servers that
	// renew at the same instants look as after an outage.
	surelyRenewed = 0.5
	// maxDoubtfulRemovals is the fraction of the servers that may be removed in doubt.
	maxDoubtfulRemovals = 1.0 / 3
	// defaultHeartbeat applies without [WithHeartbeat].
	defaultHeartbeat = 1200 * oleanderspool.Millis(1)
)

// lastAnswer returns the instant at which the last read that the store answered, to this or
// to another entry, was sent.
func (s *feedState) lastAnswer() oleanderspool.Millis {
	return max(s.answeredAt, s.lastReadAt)
}

// endFailures records the first answer after failures. It returns the instant since which the
// store may have been away: that of the last answer, or of the one before earlier failures if
// the answers in between came for less than a heartbeat, since then not all servers have
// renewed their registrations.
func (s *feedState) endFailures(now, lastAnswer, heartbeat oleanderspool.Millis) oleanderspool.Millis {
	since := lastAnswer
	if s.recoveredAt > 0 && lastAnswer-s.recoveredAt < heartbeat {
		since = s.answeredUntil
	}
	s.failingSince, s.answeredUntil, s.recoveredAt = 0, since, now
	return since
}

// mayHaveExpired reports whether registrations may have expired in failures that lasted for a
// duration. Timeouts for a shorter time are those of connections that have gone silent, or
// no registration has expired meanwhile.
func (s *feedState) mayHaveExpired(unanswered, heartbeat oleanderspool.Millis) bool {
	return !s.timeoutsOnly || unanswered >= part(heartbeat, expiryHeartbeats)
}

// recovery is the state of a follower after reads of the registry that failed. It tells
// an outage of the store, in which the registrations of running servers expire, from a
// failure of this entry's own connection, during which the servers go on renewing their
// registrations. It has no I/O.
type recovery struct {
	startedAt oleanderspool.Millis // of the first answer again
	// lastReadAt is the instant at which the last read before the failures was sent.
	lastReadAt oleanderspool.Millis
	// reachableSince is that of the follower before the failures.
	reachableSince oleanderspool.Millis
	// renewals counts the records since lastReadAt of each server that was usable then,
	// up to its removal; nil when they are not or no longer of use: the records are not
	// known one by one, or they have been assessed.
	renewals map[oleanderspool.InstanceID]int
	removed  map[oleanderspool.InstanceID]bool // of those in renewals
}

// newRecovery returns the recovery at an instant from failures since a read that was sent
// at lastReadAt, with the servers that were usable then.
func newRecovery(now, lastReadAt oleanderspool.Millis, usable []oleanderspool.InstanceID) *recovery {
	r := &recovery{
		startedAt: now, lastReadAt: lastReadAt,
		renewals: make(map[oleanderspool.InstanceID]int, len(usable)), removed: make(map[oleanderspool.InstanceID]bool),
	}
	for _, id := range usable {
		r.renewals[id] = 0
	}
	return r
}

// count counts the records of a reply.
func (r *recovery) count(changes []Change) {
	for _, c := range changes {
		n, counted := r.renewals[c.Instance]
		switch {
		case !counted || r.removed[c.Instance]:
		case c.Removed:
			r.removed[c.Instance] = true
		default:
			r.renewals[c.Instance] = n + 1
		}
	}
}

// ignoreRecords ends the count: records are missing in it.
func (r *recovery) ignoreRecords() {
	if r != nil {
		r.renewals = nil
	}
}

// unrenewed returns for how long, up to a reply that arrived at an instant, most servers
// did not renew their registrations although they were due at the given interval.
func (r *recovery) unrenewed(now, heartbeat oleanderspool.Millis) oleanderspool.Millis {
	counts := slices.Sorted(maps.Values(r.renewals))
	median := counts[len(counts)/2]
	return max(0, now-r.lastReadAt-oleanderspool.Millis(median)*heartbeat)
}

// defersRemovals reports whether registrations may have expired because the servers could
// not reach the store for a duration.
func (r *recovery) defersRemovals(unrenewed, heartbeat oleanderspool.Millis) bool {
	doubtful := unrenewed > part(heartbeat, surelyRenewed)
	return unrenewed > maxUnrenewed*heartbeat || doubtful && float64(len(r.removed)) > maxDoubtfulRemovals*float64(len(r.renewals))
}

// extend extends a grace period that has not ended by a duration without answers, in which
// the servers may not have reached the store either, up to a whole one from now on.
func (r *recovery) extend(now, unanswered oleanderspool.Millis) {
	if r.graceLeft(now-unanswered) > 0 {
		r.startedAt = min(now, r.startedAt+unanswered)
	}
}

// graceLeft returns how much longer removals are deferred.
func (r *recovery) graceLeft(now oleanderspool.Millis) oleanderspool.Millis {
	if r == nil {
		return 0
	}
	return max(0, r.startedAt+expiryGrace-now)
}
