package forward

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
)

const (
	// blockAfter is the number of backend servers that a request may crash.
	blockAfter = 2
	// blockSpan is how long a request is refused after its last crash.
	blockSpan = oleanderspool.Minute
	// tellCrashFor is how long a crash is repeated to the other entries.
	tellCrashFor = 5 * oleanderspool.Second
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 5000
	// maxToldCrashes bounds the crashes in one message.
	maxToldCrashes = 40
)

// crashLedger remembers which requests were in flight on backend servers that
// crashed, as this and the other entries saw it. A request is identified by its
// client account, path and body.
type crashLedger struct {
	suspects map[oleanderspool.Fingerprint]map[oleanderspool.InstanceID]oleanderspool.Millis
	own      []gossip.Crash // with the instant in Age
	// cleared has the instant at which a suspect was last answered, here or by
	// another entry. Crashes before it were not caused by the request.
	cleared map[oleanderspool.Fingerprint]oleanderspool.Millis
	// answered are suspects whose answer the others were not told yet.
	answered []oleanderspool.Fingerprint
}

func newCrashLedger() *crashLedger {
	return &crashLedger{
		suspects: make(map[oleanderspool.Fingerprint]map[oleanderspool.InstanceID]oleanderspool.Millis),
		cleared:  make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
	}
}

// add notes a crash.
func (c *crashLedger) add(f oleanderspool.Fingerprint, server oleanderspool.InstanceID, at oleanderspool.Millis) {
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

// see notes a crash that this entry saw itself.
func (c *crashLedger) see(f oleanderspool.Fingerprint, server oleanderspool.InstanceID, now oleanderspool.Millis) {
	c.add(f, server, now)
	c.own = append(c.own, gossip.Crash{Fingerprint: f, Server: server, Age: now})
}

// count returns the number of backend servers that crashed lately with the
// request in flight.
func (c *crashLedger) count(f oleanderspool.Fingerprint, now oleanderspool.Millis) int {
	n := 0
	for _, at := range c.suspects[f] {
		if now-at < blockSpan {
			n++
		}
	}
	return n
}

// clear forgets the crashes of a request that was answered since.
func (c *crashLedger) clear(f oleanderspool.Fingerprint, at oleanderspool.Millis) {
	if _, suspected := c.suspects[f]; !suspected {
		return
	}
	delete(c.suspects, f)
	c.cleared[f] = max(at, c.cleared[f])
	c.own = slices.DeleteFunc(c.own, func(e gossip.Crash) bool { return e.Fingerprint == f })
}

// answer clears a request that this entry answered, so that the others are told.
func (c *crashLedger) answer(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	if _, suspected := c.suspects[f]; suspected {
		c.clear(f, now)
		c.answered = append(c.answered, f)
	}
}

// toldAnswered returns the suspects whose answer to tell the others.
func (c *crashLedger) toldAnswered() []oleanderspool.Fingerprint {
	answered := c.answered
	c.answered = nil
	return answered
}

// told returns the crashes to repeat to the others and forgets old ones.
func (c *crashLedger) told(now oleanderspool.Millis) []gossip.Crash {
	kept := c.own[:0]
	for _, e := range c.own {
		if now-e.Age < tellCrashFor {
			kept = append(kept, e)
		}
	}
	c.own = kept
	var list []gossip.Crash
	for _, e := range kept[max(0, len(kept)-maxToldCrashes):] {
		e.Age = now - e.Age
		list = append(list, e)
	}
	return list
}

// expire forgets old suspects.
func (c *crashLedger) expire(now oleanderspool.Millis) {
	for f := range c.suspects {
		if c.count(f, now) == 0 {
			delete(c.suspects, f)
		}
	}
	for f, at := range c.cleared {
		if now-at >= blockSpan {
			delete(c.cleared, f)
		}
	}
}
