package agent

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
)

// feed wakes the readers of one attempt.
type feed struct {
	broadcast.Signal
	readers int
}

// subscribe returns the feed of an attempt and counts a reader of it.
func (a *Agent) subscribe(id oleanderspool.AttemptID) *feed {
	f, ok := a.feeds[id]
	if !ok {
		f = &feed{}
		a.feeds[id] = f
	}
	f.readers++
	return f
}

// unsubscribe drops the feed with its last reader.
func (a *Agent) unsubscribe(id oleanderspool.AttemptID) {
	f, ok := a.feeds[id]
	if !ok {
		return
	}
	f.readers--
	if f.readers == 0 {
		delete(a.feeds, id)
	}
}

func (a *Agent) notify(id oleanderspool.AttemptID) {
	if f, ok := a.feeds[id]; ok {
		f.Notify()
	}
}
