package forward

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
)

const (
	// maxCrashes is the number of backend servers that a request may crash
	// before it is refused.
	maxCrashes = 2
	// blockDuration is how long a request is refused after its last crash.
	blockDuration = oleanderspool.Minute
	// crashReportDuration is how long a crash is repeated in the messages to
	// the other entries.
	crashReportDuration = 5 * oleanderspool.Second
	// maxSuspects bounds the number of tracked requests.
	maxSuspects = 5000
	// maxReportedCrashes bounds the number of crashes in one message.
	maxReportedCrashes = 40
)

// crashTracker records which requests were in flight on backend servers that
// crashed, as observed by this and the other entries. A request is identified
// by its client account, method, path and body.
type crashTracker struct {
	suspects map[oleanderspool.Fingerprint]map[oleanderspool.InstanceID]oleanderspool.Millis
	local    []gossip.Crash // observed by this entry; Age holds the instant of the crash
	// cleared holds the instant at which a suspect was last answered, by this
	// or another entry. The request did not cause the crashes before it.
	cleared map[oleanderspool.Fingerprint]oleanderspool.Millis
	// unreportedAnswers holds the suspects whose answer was not reported to
	// the other entries yet.
	unreportedAnswers []oleanderspool.Fingerprint
}

func newCrashTracker() *crashTracker {
	return &crashTracker{
		suspects: make(map[oleanderspool.Fingerprint]map[oleanderspool.InstanceID]oleanderspool.Millis),
		cleared:  make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
	}
}

// add records a crash that this or another entry observed.
func (c *crashTracker) add(f oleanderspool.Fingerprint, server oleanderspool.InstanceID, at oleanderspool.Millis) {
	if cleared, found := c.cleared[f]; found && at <= cleared {
		return
	}
	servers := c.suspects[f]
	if servers == nil {
		if len(c.suspects) >= maxSuspects {
			return
		}
		servers = make(map[oleanderspool.InstanceID]oleanderspool.Millis)
		c.suspects[f] = servers
	}
	servers[server] = max(at, servers[server])
}

// recordLocal records a crash that this entry observed.
func (c *crashTracker) recordLocal(f oleanderspool.Fingerprint, server oleanderspool.InstanceID, now oleanderspool.Millis) {
	c.add(f, server, now)
	c.local = append(c.local, gossip.Crash{Fingerprint: f, Server: server, Age: now})
}

// count returns the number of backend servers that crashed within
// blockDuration with the request in flight.
func (c *crashTracker) count(f oleanderspool.Fingerprint, now oleanderspool.Millis) int {
	n := 0
	for _, at := range c.suspects[f] {
		if now-at < blockDuration {
			n++
		}
	}
	return n
}

// clear removes the crashes of a request that was answered after them.
func (c *crashTracker) clear(f oleanderspool.Fingerprint, at oleanderspool.Millis) {
	if _, suspected := c.suspects[f]; !suspected {
		return
	}
	delete(c.suspects, f)
	c.cleared[f] = max(at, c.cleared[f])
	c.local = slices.DeleteFunc(c.local, func(e gossip.Crash) bool { return e.Fingerprint == f })
}

// recordAnswer clears a request that this entry answered, and queues it for
// the report to the other entries.
func (c *crashTracker) recordAnswer(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	if _, suspected := c.suspects[f]; suspected {
		c.clear(f, now)
		c.unreportedAnswers = append(c.unreportedAnswers, f)
	}
}

// takeUnreportedAnswers returns and resets unreportedAnswers.
func (c *crashTracker) takeUnreportedAnswers() []oleanderspool.Fingerprint {
	answered := c.unreportedAnswers
	c.unreportedAnswers = nil
	return answered
}

// recentCrashes returns the crashes to report to the other entries and drops
// those older than crashReportDuration.
func (c *crashTracker) recentCrashes(now oleanderspool.Millis) []gossip.Crash {
	kept := c.local[:0]
	for _, e := range c.local {
		if now-e.Age < crashReportDuration {
			kept = append(kept, e)
		}
	}
	c.local = kept
	var list []gossip.Crash
	for _, e := range kept[max(0, len(kept)-maxReportedCrashes):] {
		e.Age = now - e.Age
		list = append(list, e)
	}
	return list
}

// expire removes suspects and answers older than blockDuration.
func (c *crashTracker) expire(now oleanderspool.Millis) {
	for f := range c.suspects {
		if c.count(f, now) == 0 {
			delete(c.suspects, f)
		}
	}
	for f, at := range c.cleared {
		if now-at >= blockDuration {
			delete(c.cleared, f)
		}
	}
}
