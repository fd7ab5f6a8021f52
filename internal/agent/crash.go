package agent

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
)

// crashMemory is how long a crash stays in the agent's reports, so that every
// entry that watches it learns of it although reports are lost.
const crashMemory = 10 * oleanderspool.Second

// crashes holds the recent crashes of the engine. The agent's lock guards it.
type crashes struct {
	list []recentCrash
}

type recentCrash struct {
	peer.Crash
	started string // run of the engine that crashed
	at      oleanderspool.Millis
}

// recent returns the crashes that are to be reported.
func (c *crashes) recent(now oleanderspool.Millis) []peer.Crash {
	c.list = slices.DeleteFunc(c.list, func(r recentCrash) bool { return now-r.at > crashMemory })
	recent := make([]peer.Crash, len(c.list))
	for i, r := range c.list {
		recent[i] = r.Crash
		recent[i].Fingerprints = slices.Clone(r.Fingerprints)
	}
	return recent
}

// add adds fingerprints to the crash of a run of the engine.
func (c *crashes) add(id, started string, trial oleanderspool.AttemptID, fingerprints []oleanderspool.Fingerprint, now oleanderspool.Millis) {
	i := slices.IndexFunc(c.list, func(r recentCrash) bool { return r.started == started })
	if i < 0 {
		c.list = append(c.list, recentCrash{Crash: peer.Crash{ID: id, Trial: trial}, started: started, at: now})
		i = len(c.list) - 1
	}
	for _, f := range fingerprints {
		if !slices.Contains(c.list[i].Fingerprints, f) {
			c.list[i].Fingerprints = append(c.list[i].Fingerprints, f)
		}
	}
}

// noteCrash records a crash of the engine with all attempts that it ran, and
// tells the entries at once, before a caller can resend its request to another
// one. It returns the id of the crash.
func (a *Agent) noteCrash(call peer.RunCall, started string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := string(a.identity.Instance) + "/" + string(a.incarnation) + "/" + started
	fingerprints := []oleanderspool.Fingerprint{call.Request.Fingerprint}
	for other := range a.cancels {
		if c, ok := a.calls[other]; ok {
			fingerprints = append(fingerprints, c.Request.Fingerprint)
		}
	}
	var trial oleanderspool.AttemptID
	if call.Trial {
		trial = call.Attempt
	}
	a.crashes.add(id, started, trial, fingerprints, a.clock.Now())
	a.changed.Notify()
	a.metrics.Changed("engine_crashed")
	return id
}
