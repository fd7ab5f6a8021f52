package memory

import (
	"container/heap"

	"github.com/oleanderspool/oleanderspool"
)

// timer is the time at which a reservation may expire or its cancel must be
// sent.
type timer struct {
	at     oleanderspool.Millis
	name   string
	serial int64
}

// schedule orders timers by time. Timers are not removed when they become
// stale; the ledger checks them when they are due.
type schedule struct {
	timers timerHeap
}

// compactionSlack is the number of stale timers that are always tolerated, so
// that small schedules are never rebuilt.
const compactionSlack = 64

func (s *schedule) add(t timer) {
	heap.Push(&s.timers, t)
}

// due removes and returns the first timer that is not after now. It reports
// false when there is none.
func (s *schedule) due(now oleanderspool.Millis) (timer, bool) {
	if len(s.timers) == 0 || s.timers[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&s.timers).(timer), true
}

// compact removes stale timers once they outnumber the live ones.
func (s *schedule) compact(live int, valid func(timer) bool) {
	if len(s.timers) <= 2*live+compactionSlack {
		return
	}
	kept := s.timers[:0]
	for _, t := range s.timers {
		if valid(t) {
			kept = append(kept, t)
		}
	}
	s.timers = kept
	heap.Init(&s.timers)
}

// timerHeap implements [heap.Interface]. Timers of the same time are ordered by
// serial, so that the order does not depend on the heap's layout.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
