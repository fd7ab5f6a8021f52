package attempt

import (
	"container/heap"

	"github.com/oleanderspool/oleanderspool"
)

// timer is the instant at which a table must check an attempt.
type timer struct {
	at oleanderspool.Millis
	id oleanderspool.AttemptID
}

// timerHeap orders timers by instant. It implements [heap.Interface].
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes and returns the last timer.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// schedule sets a timer for the record unless an earlier one is set. A timer
// that fires before the record is due is set again, so that a record whose due
// instant is postponed often does not add a timer to the heap each time.
func (t *Table) schedule(r *record) {
	due := r.due(t.limits)
	if due >= r.scheduled {
		return
	}
	r.scheduled = due
	heap.Push(&t.timers, timer{at: due, id: r.id})
}

// popDue removes the timers that have fired up to now and returns the first
// record that is due. It returns false if none is.
func (t *Table) popDue(now oleanderspool.Millis) (*record, bool) {
	for len(t.timers) > 0 && t.timers[0].at <= now {
		fired := heap.Pop(&t.timers).(timer)
		r, ok := t.records[fired.id]
		if !ok || r.scheduled != fired.at {
			continue
		}
		r.scheduled = never
		if r.due(t.limits) <= now {
			return r, true
		}
		t.schedule(r)
	}
	return nil, false
}
