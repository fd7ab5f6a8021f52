package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// instances holds the instance list as it is and as it is shown, which lags.
type instances struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   []oleanderspool.InstanceState
	pending []change
}

// change is a version of the list that is shown from an instant on.
type change struct {
	at   time.Time
	list []oleanderspool.InstanceState
}

func (i *instances) set(list []oleanderspool.InstanceState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = append(i.pending, change{at: time.Now().Add(i.lag), list: slices.Clone(list)})
}

func (i *instances) get() []oleanderspool.InstanceState {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for len(i.pending) > 0 && !i.pending[0].at.After(now) {
		i.shown = i.pending[0].list
		i.pending = i.pending[1:]
	}
	return slices.Clone(i.shown)
}
