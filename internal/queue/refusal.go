package queue

import (
	"fmt"

	"github.com/oleanderspool/oleanderspool"
)

// FullError says that the queue has no place for the item. The item was not
// run and may be sent to another backend server.
type FullError struct {
	// RetryAfter is the span after which a place is expected, in milliseconds.
	RetryAfter oleanderspool.Millis
}

// Error returns a message with the span.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue full, retry after %d ms", e.RetryAfter)
}

// Reason returns the reason of the retry on another backend server.
func (e *FullError) Reason() oleanderspool.RetryReason {
	return oleanderspool.RetryQueueFull
}

// checkCapacity bounds the queue. An account may have as many items waiting
// as places are free, times its share, so a flooding account takes at most
// half of an otherwise empty queue and always leaves places to others.
func (q *Queue) checkCapacity(i Item) error {
	free := q.settings.capacity - len(q.items)
	held := 0
	if a := q.accounts.known[i.Account]; a != nil {
		held = a.items
	}
	if free > 0 && float64(held) <= float64(free)*i.weight() {
		return nil
	}
	waiting := max(1, len(q.items))
	return &FullError{RetryAfter: max(1, q.rate.span(float64(q.queuedTokens())/float64(waiting)))}
}

// checkLimit refuses an item whose time limit cannot be met.
func (q *Queue) checkLimit(w *waitingItem, now oleanderspool.Millis) *oleanderspool.Refusal {
	if w.Deadline == 0 {
		return nil
	}
	if late := now + q.service(w.Item) - w.Deadline; late > 0 {
		return oleanderspool.Refuse(oleanderspool.RefusalDeadlineTooShort,
			fmt.Sprintf("needs %d ms more on an idle backend server", late))
	}
	late := now + q.wait(w, now) + q.service(w.Item) - w.Deadline
	if late <= 0 {
		return nil
	}
	return oleanderspool.Refuse(oleanderspool.RefusalOverloaded,
		fmt.Sprintf("would miss its time limit by %d ms", late)).WithRetryAfter(late)
}

// service returns how long an item takes on an idle engine.
func (q *Queue) service(i Item) oleanderspool.Millis {
	return q.rate.span(float64(i.PromptTokens)) + oleanderspool.Millis(i.OutputTokens)*q.settings.tokenSpan
}

// wait returns how long an item is expected to wait for its prefill beyond
// its own work: for the work in the engine and in the queue that goes first,
// at the rate that arriving shorter work leaves.
func (q *Queue) wait(w *waitingItem, now oleanderspool.Millis) oleanderspool.Millis {
	first := float64(q.running.outstanding(w.class))
	longer := 0.0
	for class := range q.classes {
		ahead := float64(q.classes[class].sumBefore(w))
		if class <= w.class {
			first += ahead
		} else {
			longer += ahead
		}
	}
	own := float64(w.PromptTokens)
	share := q.settings.longShare
	first += min(longer, share/(1-share)*(first+own))
	total := q.rate.perMilli()
	left := max(share*total, total-q.arrivals.below(w.class, now))
	return oleanderspool.Millis((first+own)/left - own/total)
}

// PredictTTFT returns how long an item would wait for its first token, in
// milliseconds, without adding it to the queue.
func (q *Queue) PredictTTFT(i Item, now oleanderspool.Millis) oleanderspool.Millis {
	q.advance(now)
	w := q.newWaiting(i, now)
	return q.wait(w, now) + q.rate.span(float64(i.PromptTokens))
}

// hopeless reports whether an item misses its limit even if it is handed to
// the engine now.
func (q *Queue) hopeless(w *waitingItem, now oleanderspool.Millis) bool {
	return w.Deadline != 0 && now+q.service(w.Item) > w.Deadline
}

// refuseLate returns the refusal of an item that has waited too long, with
// the span after which the present work is done.
func (q *Queue) refuseLate(w *waitingItem) Refused {
	work := q.queuedTokens() + q.running.outstanding(classCount-1)
	refusal := oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "waited too long to meet its time limit")
	return Refused{w.Item, refusal.WithRetryAfter(max(1, q.rate.span(float64(work))))}
}
