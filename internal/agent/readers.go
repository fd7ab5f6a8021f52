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
	f, ok := a.readers[id]
	if !ok {
		f = &attemptReaders{}
		a.readers[id] = f
	}
	f.count++
	return f
}

// unsubscribe removes a reader of an attempt.
func (a *Agent) unsubscribe(id oleanderspool.AttemptID) {
	f, ok := a.readers[id]
	if !ok {
		return
	}
	f.count--
	if f.count == 0 {
		delete(a.readers, id)
	}
}

// notifyReaders wakes the readers of an attempt.
func (a *Agent) notifyReaders(id oleanderspool.AttemptID) {
	if f, ok := a.readers[id]; ok {
		f.Notify()
	}
}
