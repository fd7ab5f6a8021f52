package memory

import (
	"container/heap"

	"github.com/oleanderspool/oleanderspool"
)

// appointment is an instant at which a reservation needs attention.
type appointment struct {
	at     oleanderspool.Millis
	name   string
	serial int64
}

// schedule orders appointments by instant. Appointments are not removed when
// they become void; the ledger checks them when they are due.
type schedule struct {
	heap appointments
}

// compactionSlack is the number of void appointments that are always
// tolerated, so that small schedules are never rebuilt.
const compactionSlack = 64

func (s *schedule) add(a appointment) {
	heap.Push(&s.heap, a)
}

// due removes and returns the first appointment that is not after now.
func (s *schedule) due(now oleanderspool.Millis) (appointment, bool) {
	if len(s.heap) == 0 || s.heap[0].at > now {
		return appointment{}, false
	}
	return heap.Pop(&s.heap).(appointment), true
}

// compact removes void appointments once they outnumber the live ones.
func (s *schedule) compact(live int, valid func(appointment) bool) {
	if len(s.heap) <= 2*live+compactionSlack {
		return
	}
	kept := s.heap[:0]
	for _, a := range s.heap {
		if valid(a) {
			kept = append(kept, a)
		}
	}
	s.heap = kept
	heap.Init(&s.heap)
}

// appointments implements [heap.Interface]. Equal instants are ordered by
// serial, so that the order does not depend on the heap's layout.
type appointments []appointment

func (a appointments) Len() int { return len(a) }

func (a appointments) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].serial < a[j].serial
}

func (a appointments) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *appointments) Push(x any) { *a = append(*a, x.(appointment)) }

func (a *appointments) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}
