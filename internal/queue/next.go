package queue

import (
	"container/heap"

	"github.com/oleanderspool/oleanderspool"
)

// Decision lists what the agent has to do now.
type Decision struct {
	// Dispatches lists the items to submit to the engine, in order.
	Dispatches []Dispatch
	// Refused lists the items that were removed from the queue because their
	// deadline can no longer be met.
	Refused []Refused
}

// Next decides what to submit to the engine. free is the engine memory that may
// be used now, in tokens. The caller must call it after each event and at least
// every 50 ms while items wait, and must submit all items in Dispatches.
func (q *Queue) Next(free int64, now oleanderspool.Millis) Decision {
	q.advance(now)
	d := Decision{Refused: q.expire(now)}
	for q.exclusive == "" {
		w := q.choose(free, now)
		if w == nil {
			return d
		}
		q.remove(w)
		if q.missesDeadline(w, now) {
			d.Refused = append(d.Refused, q.lateRefusal(w))
			continue
		}
		d.Dispatches = append(d.Dispatches, q.dispatch(w, now))
		free -= w.MemoryTokens
	}
	return d
}

// expire removes the items that can no longer meet their deadlines.
func (q *Queue) expire(now oleanderspool.Millis) []Refused {
	var refused []Refused
	for len(q.expiries) > 0 && q.expiries[0].at < now {
		w := heap.Pop(&q.expiries).(expiry).item
		if q.waiting[w.Attempt] != w {
			continue
		}
		if !q.missesDeadline(w, now) {
			// The observed rate has risen since the item was pushed.
			heap.Push(&q.expiries, expiry{max(now, w.Deadline-q.serviceTime(w.Item)), w})
			continue
		}
		q.remove(w)
		refused = append(refused, q.lateRefusal(w))
	}
	return refused
}

// dispatch records the dispatch of an item to the engine.
func (q *Queue) dispatch(w *waitingItem, now oleanderspool.Millis) Dispatch {
	overtakes := q.overtakes(w)
	if len(q.running.prefill) == 0 {
		q.progressAt = now
	}
	q.running.add(w, now).overtakes = overtakes
	if w.Exclusive {
		q.exclusive = w.Attempt
	}
	return Dispatch{Item: w.Item, EnginePriority: enginePriority(w.class), Waited: now - w.arrivedAt}
}

// advance updates the progress estimates and the credit of shorter work. The
// credit is counted in time: the engine serves shorter work first, so longer
// work with an earlier due time progresses only while nothing that overtakes it
// is in prefill. A credit in tokens at the observed rate would deprive long work
// of its share whenever that rate is too high.
func (q *Queue) advance(now oleanderspool.Millis) {
	elapsed := float64(now - q.running.advancedAt)
	if elapsed > 0 {
		q.credit += (1 - q.settings.longShare) * elapsed
		if q.running.overtaking() {
			q.credit -= elapsed
		}
		q.credit = min(q.credit, float64(q.settings.maxCredit))
	}
	q.running.advance(q.rate.tokensPerMillisecond(), now)
}

// overtakes reports whether w would run before longer work with an earlier due
// time.
func (q *Queue) overtakes(w *waitingItem) bool {
	if q.running.longerDueBefore(w) {
		return true
	}
	for class := w.class + 1; class < classCount; class++ {
		if x := q.classes[class].first(); x != nil && x.before(w) {
			return true
		}
	}
	return false
}

// choose returns the item to dispatch next, or nil when the engine has enough
// work or nothing fits into the free memory.
func (q *Queue) choose(free int64, now oleanderspool.Millis) *waitingItem {
	best := q.firstEligible(classCount, nil)
	if best == nil {
		return nil
	}
	if best.Exclusive && len(q.running.items) > 0 {
		return q.chooseWhileDraining(best, free, now)
	}
	if q.fits(best, free) {
		return best
	}
	return q.bypass(best, free, now)
}

// fits reports whether an item fits into the free memory. Unless the engine is
// empty, an item must leave as much memory free as it takes itself, up to the
// reserve. Without this rule prompts slightly smaller than the reserve would
// fill it, and shorter ones would wait until the answers to those end.
func (q *Queue) fits(w *waitingItem, free int64) bool {
	if len(q.running.items) == 0 {
		return w.MemoryTokens <= free
	}
	reserve := int64(q.settings.memoryReserve * float64(q.settings.memory))
	return w.MemoryTokens+min(reserve, w.MemoryTokens) <= free
}

// firstEligible considers the first item of each class below classLimit. Of
// those that the engine may take now and for which accept returns true, it
// returns the one with the earliest due time. A nil accept allows every item.
func (q *Queue) firstEligible(classLimit int, accept func(*waitingItem) bool) *waitingItem {
	var best *waitingItem
	window := q.settings.windowSteps * q.settings.stepTokens
	for class := range q.classes[:classLimit] {
		w := q.classes[class].first()
		if w == nil || (best != nil && !w.before(best)) {
			continue
		}
		if q.running.outstanding(class) >= window || (accept != nil && !accept(w)) {
			continue
		}
		if q.credit <= 0 && q.overtakes(w) && len(q.running.prefill) > 0 {
			continue
		}
		best = w
	}
	return best
}

// bypass returns an item of a smaller class to dispatch in place of one that
// does not fit into memory, or nil once the bypass timeout has passed. From then
// on freed memory is left to the blocked item.
func (q *Queue) bypass(blocked *waitingItem, free int64, now oleanderspool.Millis) *waitingItem {
	if !blocked.blocked {
		blocked.blocked, blocked.blockedAt = true, now
	}
	if now-blocked.blockedAt >= q.settings.bypassTimeout {
		return nil
	}
	return q.firstEligible(blocked.class, func(w *waitingItem) bool {
		return !w.Exclusive && q.fits(w, free)
	})
}

// chooseWhileDraining returns an item to dispatch while the engine drains for an
// exclusive item: one that is expected to end before the engine is empty anyway.
func (q *Queue) chooseWhileDraining(exclusive *waitingItem, free int64, now oleanderspool.Millis) *waitingItem {
	drained := q.drainedAt(now)
	return q.firstEligible(classCount, func(w *waitingItem) bool {
		if w == exclusive || w.Exclusive || !q.fits(w, free) {
			return false
		}
		start := now + q.rate.duration(float64(q.running.outstanding(w.class)))
		return start+q.serviceTime(w.Item) <= drained
	})
}

// drainedAt returns the time at which the engine is expected to be empty.
func (q *Queue) drainedAt(now oleanderspool.Millis) oleanderspool.Millis {
	end := now
	prefill := now
	for _, x := range q.running.prefill {
		prefill += q.rate.duration(x.remaining)
		end = max(end, prefill+oleanderspool.Millis(x.OutputTokens)*q.settings.interTokenLatency)
	}
	for _, x := range q.running.items {
		if x.decoding {
			end = max(end, x.firstTokenAt+oleanderspool.Millis(x.OutputTokens)*q.settings.interTokenLatency)
		}
	}
	return end
}
