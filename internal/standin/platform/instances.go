package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// instances holds the published instance list and the changes that are published
// after the lag.
type instances struct {
	mu        sync.Mutex
	lag       time.Duration
	published []oleanderspool.InstanceState
	pending   []pendingList
}

// pendingList is a version of the list that is published at a later time.
type pendingList struct {
	publishAt time.Time
	list      []oleanderspool.InstanceState
}

func (i *instances) setList(list []oleanderspool.InstanceState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = append(i.pending, pendingList{publishAt: time.Now().Add(i.lag), list: slices.Clone(list)})
}

func (i *instances) publishedList() []oleanderspool.InstanceState {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for len(i.pending) > 0 && !i.pending[0].publishAt.After(now) {
		i.published = i.pending[0].list
		i.pending = i.pending[1:]
	}
	return slices.Clone(i.published)
}
