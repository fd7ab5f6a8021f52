package agent

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
)

// attemptReaders counts the readers of one attempt and wakes them on a change.
type attemptReaders struct {
	broadcast.Signal
	count int
}

// subscribe adds a reader of an attempt.
func (a *Agent) subscribe(id oleanderspool.AttemptID) *attemptReaders {
	r, ok := a.readers[id]
	if !ok {
		r = &attemptReaders{}
		a.readers[id] = r
	}
	r.count++
	return r
}

// unsubscribe removes a reader of an attempt.
func (a *Agent) unsubscribe(id oleanderspool.AttemptID) {
	r, ok := a.readers[id]
	if !ok {
		return
	}
	r.count--
	if r.count == 0 {
		delete(a.readers, id)
	}
}

// notifyReaders wakes the readers of an attempt.
func (a *Agent) notifyReaders(id oleanderspool.AttemptID) {
	if r, ok := a.readers[id]; ok {
		r.Notify()
	}
}
