package suspect

import (
	"fmt"

	"github.com/oleanderspool/oleanderspool"
)

// maxKeptCrashes bounds the number of crashes that an agent keeps and sends to
// each new watch stream. An engine that crashes more often within the retention
// of the log is unusable anyway.
const maxKeptCrashes = 16

// History holds the recent crashes of the engine of an agent. The agent sends
// them at the start of every watch stream, so that an entry that connects
// later, or resumes after a pause, knows the suspects before it sends a
// request, also while the log is unavailable. It is not safe for concurrent
// use.
type History struct {
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
	crashes     []Crash
	crashCount  int
}

// NewHistory returns the history of an agent whose engine has not crashed yet.
func NewHistory(instance oleanderspool.InstanceID, incarnation oleanderspool.Incarnation) *History {
	return &History{instance: instance, incarnation: incarnation}
}

// Add records a crash of the engine with the requests in flight, and returns
// it for the open watch streams. trial is the attempt that ran as a trial, or
// empty. A crash without requests in flight is not kept.
func (h *History) Add(fingerprints []oleanderspool.Fingerprint, trial oleanderspool.AttemptID) Crash {
	h.crashCount++
	c := Crash{
		ID:           CrashID(fmt.Sprintf("%s/%s/%d", h.instance, h.incarnation, h.crashCount)),
		Fingerprints: fingerprints,
		Trial:        trial,
	}
	if len(fingerprints) > 0 {
		h.crashes = append(h.crashes, c)
	}
	if len(h.crashes) > maxKeptCrashes {
		h.crashes = h.crashes[1:]
	}
	return c
}

// Crashes returns the kept crashes, oldest first. The entry that receives them
// sets Local.
func (h *History) Crashes() []Crash {
	return append([]Crash(nil), h.crashes...)
}
