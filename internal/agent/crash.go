package agent

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

// crashes holds the recent crashes of the engine. The agent's lock guards it.
type crashes struct {
	history *suspect.History
	started string // run of the engine that crashed last
	id      string // its crash
}

// noteCrash records a crash of the engine with all attempts that it ran, and
// tells the entries at once, before a caller can resend its request to another
// one. It returns the id of the crash. Every attempt in flight calls it before
// it ends, so the first call sees all of them.
func (a *Agent) noteCrash(call peer.RunCall, started string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.crashes.started == started && a.crashes.id != "" {
		return a.crashes.id
	}
	fingerprints := []oleanderspool.Fingerprint{call.Request.Fingerprint}
	for other := range a.cancels {
		if c, ok := a.calls[other]; ok && other != call.Attempt {
			fingerprints = append(fingerprints, c.Request.Fingerprint)
		}
	}
	var trial oleanderspool.AttemptID
	if call.Trial {
		trial = call.Attempt
	}
	crash := a.crashes.history.Add(fingerprints, trial)
	a.crashes.started, a.crashes.id = started, string(crash.ID)
	a.changed.Notify()
	a.metrics.Changed("engine_crashed")
	a.logger.Warn("engine crashed", "instance", a.identity.Instance, "requests_in_flight", len(fingerprints))
	return a.crashes.id
}
