package queue

import (
	"fmt"

	"github.com/oleanderspool/oleanderspool"
)

// FullError reports that the queue has no room for the item. The item was not
// run and may be sent to another backend server.
type FullError struct {
	// RetryAfter is the time until room is expected, in milliseconds.
	RetryAfter oleanderspool.Millis
}

// Error returns a message with the time to wait before a retry.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue full, retry after %d ms", e.RetryAfter)
}

// Reason returns the reason of the retry on another backend server.
func (e *FullError) Reason() oleanderspool.RetryReason {
	return oleanderspool.RetryQueueFull
}

// checkCapacity bounds the queue. An item is accepted while its account has no
// more items waiting than there are free slots, times its weight. An account of
// weight 1 that floods an otherwise empty queue thus takes about half of it, at
// most one item more, and leaves the other slots to others.
func (q *Queue) checkCapacity(i Item) error {
	free := q.settings.capacity - len(q.waiting)
	waiting := 0
	if a := q.accounts.known[i.Account]; a != nil {
		waiting = a.items
	}
	if free > 0 && float64(waiting) <= float64(free)*i.effectiveWeight() {
		return nil
	}
	total := max(1, len(q.waiting))
	return &FullError{RetryAfter: max(1, q.rate.duration(float64(q.queuedTokens())/float64(total)))}
}

// checkDeadline refuses an item whose deadline cannot be met.
func (q *Queue) checkDeadline(w *waitingItem, now oleanderspool.Millis) *oleanderspool.Refusal {
	if w.Deadline == 0 {
		return nil
	}
	if late := now + q.serviceTime(w.Item) - w.Deadline; late > 0 {
		return oleanderspool.Refuse(oleanderspool.RefusalDeadlineTooShort,
			fmt.Sprintf("needs %d ms more on an idle backend server", late))
	}
	late := now + q.expectedWait(w, now) + q.serviceTime(w.Item) - w.Deadline
	if late <= 0 {
		return nil
	}
	return oleanderspool.Refuse(oleanderspool.RefusalOverloaded,
		fmt.Sprintf("would miss its time limit by %d ms", late)).WithRetryAfter(late)
}

// serviceTime returns how long an item takes on an idle engine: its prefill and
// its expected output.
func (q *Queue) serviceTime(i Item) oleanderspool.Millis {
	return q.rate.duration(float64(i.PromptTokens)) + oleanderspool.Millis(i.OutputTokens)*q.settings.interTokenLatency
}

// expectedWait returns by how much an item's prefill is expected to be delayed:
// by the work in the engine and in the queue that is served first, and by the
// shorter work that arrives meanwhile and reduces the rate.
func (q *Queue) expectedWait(w *waitingItem, now oleanderspool.Millis) oleanderspool.Millis {
	ahead := float64(q.running.outstanding(w.class))
	longer := 0.0
	for class := range q.classes {
		before := float64(q.classes[class].sumBefore(w))
		if class <= w.class {
			ahead += before
		} else {
			longer += before
		}
	}
	own := float64(w.PromptTokens)
	share := q.settings.longShare
	ahead += min(longer, share/(1-share)*(ahead+own))
	total := q.rate.tokensPerMillisecond()
	available := max(share*total, total-q.arrivals.rateBelow(w.class, now))
	return oleanderspool.Millis((ahead+own)/available - own/total)
}

// PredictTTFT returns the expected time to first token of an item, in
// milliseconds, without adding it to the queue.
func (q *Queue) PredictTTFT(i Item, now oleanderspool.Millis) oleanderspool.Millis {
	q.advance(now)
	w := q.newWaiting(i, now)
	return q.expectedWait(w, now) + q.rate.duration(float64(i.PromptTokens))
}

// missesDeadline reports whether an item misses its deadline even if it is
// dispatched to the engine now.
func (q *Queue) missesDeadline(w *waitingItem, now oleanderspool.Millis) bool {
	return w.Deadline != 0 && now+q.serviceTime(w.Item) > w.Deadline
}

// lateRefusal returns the refusal of an item that has waited too long. It asks
// for a retry once the waiting and running work is expected to be finished.
func (q *Queue) lateRefusal(w *waitingItem) Refused {
	work := q.queuedTokens() + q.running.outstanding(classCount-1)
	refusal := oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "waited too long to meet its time limit")
	return Refused{w.Item, refusal.WithRetryAfter(max(1, q.rate.duration(float64(work))))}
}
