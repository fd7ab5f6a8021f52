package forward

import (
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
	own      []gossip.Crash // with the instant in Ago
}

func newCrashLedger() *crashLedger {
	return &crashLedger{suspects: make(map[oleanderspool.Fingerprint]map[oleanderspool.InstanceID]oleanderspool.Millis)}
}

// add notes a crash.
func (c *crashLedger) add(f oleanderspool.Fingerprint, server oleanderspool.InstanceID, at oleanderspool.Millis) {
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
	c.own = append(c.own, gossip.Crash{Fingerprint: f, Server: server, Ago: now})
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

// clear forgets a request that was answered.
func (c *crashLedger) clear(f oleanderspool.Fingerprint) {
	delete(c.suspects, f)
}

// told returns the crashes to repeat to the others and forgets old ones.
func (c *crashLedger) told(now oleanderspool.Millis) []gossip.Crash {
	kept := c.own[:0]
	for _, e := range c.own {
		if now-e.Ago < tellCrashFor {
			kept = append(kept, e)
		}
	}
	c.own = kept
	var list []gossip.Crash
	for _, e := range kept[max(0, len(kept)-maxToldCrashes):] {
		e.Ago = now - e.Ago
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
}
