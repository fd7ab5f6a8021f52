package agent

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

// crashRecord holds the recent crashes of the engine. The agent's mutex guards it.
type crashRecord struct {
	history       *suspect.History
	engineRun     string         // the engine's run that crashed last
	lastID        string         // ID of its crash
	cancellations []cancellation // cancellations within cancellationWindow
}

// cancellationWindow is how long after its cancellation a request still counts as
// in flight when the engine crashes. The request may have started the crash, and
// checking for a crash takes up to [callTimeout].
const cancellationWindow = callTimeout

// cancellation is a request whose run on the engine was cancelled.
type cancellation struct {
	fingerprint oleanderspool.Fingerprint
	at          oleanderspool.Millis
}

// addCancellation records that a request was cancelled on the engine.
func (c *crashRecord) addCancellation(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	c.removeExpired(now)
	c.cancellations = append(c.cancellations, cancellation{f, now})
}

// removeExpired removes the cancellations older than [cancellationWindow].
func (c *crashRecord) removeExpired(now oleanderspool.Millis) {
	c.cancellations = slices.DeleteFunc(c.cancellations, func(e cancellation) bool { return (now - e.at).Duration() > cancellationWindow })
}

// recentlyCancelled returns the requests, without those in except, that were
// cancelled within [cancellationWindow].
func (c *crashRecord) recentlyCancelled(except []oleanderspool.Fingerprint, now oleanderspool.Millis) []oleanderspool.Fingerprint {
	c.removeExpired(now)
	var list []oleanderspool.Fingerprint
	for _, e := range c.cancellations {
		if !slices.Contains(except, e.fingerprint) && !slices.Contains(list, e.fingerprint) {
			list = append(list, e.fingerprint)
		}
	}
	return list
}

// recordCrash records a crash of the engine together with the requests that were
// in flight or were cancelled shortly before, and returns the ID of the crash. It
// triggers a report to the entries at once, before a caller can resend its request
// to another entry. Every attempt in flight calls it before it ends, so the first
// call sees all of them.
func (a *Agent) recordCrash(call peer.RunCall, engineRun string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.crashes.engineRun == engineRun && a.crashes.lastID != "" {
		return a.crashes.lastID
	}
	fingerprints := []oleanderspool.Fingerprint{call.Request.Fingerprint}
	for other := range a.cancels {
		if c, ok := a.calls[other]; ok && other != call.Attempt {
			fingerprints = append(fingerprints, c.Request.Fingerprint)
		}
	}
	var trial oleanderspool.AttemptID
	var cancelled []oleanderspool.Fingerprint
	if call.Trial { // a trial runs alone, so the crash names only its request
		trial = call.Attempt
	} else {
		cancelled = a.crashes.recentlyCancelled(fingerprints, a.clock.Now())
	}
	crash := a.crashes.history.Add(append(fingerprints, cancelled...), trial)
	a.crashes.engineRun, a.crashes.lastID = engineRun, string(crash.ID)
	a.changed.Notify()
	a.metrics.StateChanged("engine_crashed")
	a.logger.Warn("engine crashed", "instance", a.identity.Instance, "requests_in_flight", len(fingerprints), "cancelled_lately", len(cancelled))
	return a.crashes.lastID
}
