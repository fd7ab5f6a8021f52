package agent

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

// crashes holds the recent crashes of the engine. The agent's lock guards it.
type crashes struct {
	history *suspect.History
	started string         // run of the engine that crashed last
	id      string         // its crash
	lately  []cancellation // runs that were cancelled within cancelMemory
}

// cancelMemory is the span for which a cancelled request counts as in flight at a
// crash. The engine may have begun to crash because of it, and the check of a
// crash takes up to [callTimeout].
const cancelMemory = callTimeout

// cancellation is a request whose run on the engine was cancelled.
type cancellation struct {
	fingerprint oleanderspool.Fingerprint
	at          oleanderspool.Millis
}

// cancelled notes that the run of a request was cancelled.
func (c *crashes) cancelled(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	c.forget(now)
	c.lately = append(c.lately, cancellation{f, now})
}

// forget drops the cancellations that are older than [cancelMemory].
func (c *crashes) forget(now oleanderspool.Millis) {
	c.lately = slices.DeleteFunc(c.lately, func(e cancellation) bool { return (now - e.at).Duration() > cancelMemory })
}

// cancelledLately returns the requests besides those given whose runs were
// cancelled within [cancelMemory].
func (c *crashes) cancelledLately(besides []oleanderspool.Fingerprint, now oleanderspool.Millis) []oleanderspool.Fingerprint {
	c.forget(now)
	var list []oleanderspool.Fingerprint
	for _, e := range c.lately {
		if !slices.Contains(besides, e.fingerprint) && !slices.Contains(list, e.fingerprint) {
			list = append(list, e.fingerprint)
		}
	}
	return list
}

// noteCrash records a crash of the engine with all attempts that it ran, or that
// were cancelled shortly before, and tells the entries at once, before a caller
// can resend its request to another one. It returns the id of the crash. Every
// attempt in flight calls it before it ends, so the first call sees all of them.
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
	var cancelled []oleanderspool.Fingerprint
	if call.Trial { // it runs alone, and its crash names nothing else
		trial = call.Attempt
	} else {
		cancelled = a.crashes.cancelledLately(fingerprints, a.clock.Now())
	}
	crash := a.crashes.history.Add(append(fingerprints, cancelled...), trial)
	a.crashes.started, a.crashes.id = started, string(crash.ID)
	a.changed.Notify()
	a.metrics.Changed("engine_crashed")
	a.logger.Warn("engine crashed", "instance", a.identity.Instance, "requests_in_flight", len(fingerprints), "cancelled_lately", len(cancelled))
	return a.crashes.id
}
