package queue

import (
	"container/heap"

	"github.com/oleanderspool/oleanderspool"
)

// Decision is what the agent has to do now.
type Decision struct {
	// Start lists the items to hand to the engine, in order.
	Start []Dispatch
	// Refused lists the items that have left the queue because their time
	// limit can no longer be met.
	Refused []Refused
}

// Next decides what to hand to the engine. room is the engine memory that may
// be used now, in tokens. It is to be called after each event and at least
// every 50 ms while items wait; the caller then hands over all started items.
func (q *Queue) Next(room int64, now oleanderspool.Millis) Decision {
	q.advance(now)
	d := Decision{Refused: q.expire(now)}
	for q.alone == "" {
		w := q.choose(room, now)
		if w == nil {
			return d
		}
		q.remove(w)
		if q.hopeless(w, now) {
			d.Refused = append(d.Refused, q.refuseLate(w))
			continue
		}
		d.Start = append(d.Start, q.start(w, now))
		room -= w.MemoryTokens
	}
	return d
}

// expire removes the items that can no longer meet their limits.
func (q *Queue) expire(now oleanderspool.Millis) []Refused {
	var refused []Refused
	for len(q.limits) > 0 && q.limits[0].at < now {
		w := heap.Pop(&q.limits).(limit).item
		if q.items[w.Attempt] != w {
			continue
		}
		if !q.hopeless(w, now) {
			// The observed rate has risen since the item was pushed.
			heap.Push(&q.limits, limit{max(now, w.Deadline-q.service(w.Item)), w})
			continue
		}
		q.remove(w)
		refused = append(refused, q.refuseLate(w))
	}
	return refused
}

// start moves an item into the engine.
func (q *Queue) start(w *waitingItem, now oleanderspool.Millis) Dispatch {
	overtakes := q.overtakes(w)
	if len(q.running.prefill) == 0 {
		q.progressAt = now
	}
	q.running.add(w, now).overtakes = overtakes
	if w.Exclusive {
		q.alone = w.Attempt
	}
	return Dispatch{Item: w.Item, EnginePriority: enginePriority(w.class), Waited: now - w.arrived}
}

// advance brings the estimates and the credit of shorter work up to date. The
// credit is counted in time: the engine serves shorter work first, so due
// longer work progresses only while nothing that overtakes it is in prefill.
// Counting tokens at the observed rate would take the share from long work
// whenever that rate is too high.
func (q *Queue) advance(now oleanderspool.Millis) {
	span := float64(now - q.running.advanced)
	if span > 0 {
		q.credit += (1 - q.settings.longShare) * span
		if q.running.overtaken() {
			q.credit -= span
		}
		q.credit = min(q.credit, float64(q.settings.creditSpan))
	}
	q.running.advance(q.rate.perMilli(), now)
}

// overtakes reports whether w would run before longer work that is due
// earlier.
func (q *Queue) overtakes(w *waitingItem) bool {
	if q.running.dueBefore(w) {
		return true
	}
	for class := w.class + 1; class < classCount; class++ {
		if x := q.classes[class].first(); x != nil && x.before(w) {
			return true
		}
	}
	return false
}

// choose returns the item to hand over next, or nil when the engine has
// enough work, or nothing fits.
func (q *Queue) choose(room int64, now oleanderspool.Millis) *waitingItem {
	best := q.firstEligible(classCount, nil)
	if best == nil {
		return nil
	}
	if best.Exclusive && len(q.running.items) > 0 {
		return q.beforeTrial(best, room, now)
	}
	if q.fits(best, room) {
		return best
	}
	return q.bypass(best, room, now)
}

// fits reports whether an item fits into the free memory. Unless the engine is
// empty, an item leaves as much memory free as it takes itself, up to the
// reserve. Otherwise prompts a little smaller than the reserve fill it, and
// shorter ones wait until their answers end.
func (q *Queue) fits(w *waitingItem, room int64) bool {
	if len(q.running.items) == 0 {
		return w.MemoryTokens <= room
	}
	reserve := int64(q.settings.reserve * float64(q.settings.memory))
	return w.MemoryTokens+min(reserve, w.MemoryTokens) <= room
}

// firstEligible returns the item that is due first among the heads of the
// classes below limit that the engine may take now and that pass accept.
func (q *Queue) firstEligible(limit int, accept func(*waitingItem) bool) *waitingItem {
	var best *waitingItem
	window := q.settings.windowSteps * q.settings.stepTokens
	for class := range q.classes[:limit] {
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

// bypass returns an item of a smaller class to hand over in place of one that
// does not fit into memory, until the bypass bound. After that the memory that
// is freed is left to the blocked item.
func (q *Queue) bypass(blocked *waitingItem, room int64, now oleanderspool.Millis) *waitingItem {
	if !blocked.blocked {
		blocked.blocked, blocked.blockedAt = true, now
	}
	if now-blocked.blockedAt >= q.settings.bypassBound {
		return nil
	}
	return q.firstEligible(blocked.class, func(w *waitingItem) bool {
		return !w.Exclusive && q.fits(w, room)
	})
}

// beforeTrial returns an item to hand over while the engine drains for a
// trial: one that is expected to end before the engine is empty anyway.
func (q *Queue) beforeTrial(trial *waitingItem, room int64, now oleanderspool.Millis) *waitingItem {
	drained := q.drained(now)
	return q.firstEligible(classCount, func(w *waitingItem) bool {
		if w == trial || w.Exclusive || !q.fits(w, room) {
			return false
		}
		start := now + q.rate.span(float64(q.running.outstanding(w.class)))
		return start+q.service(w.Item) <= drained
	})
}

// drained returns the instant at which the engine is expected to be empty.
func (q *Queue) drained(now oleanderspool.Millis) oleanderspool.Millis {
	end := now
	prefill := now
	for _, x := range q.running.prefill {
		prefill += q.rate.span(x.remaining)
		end = max(end, prefill+oleanderspool.Millis(x.OutputTokens)*q.settings.tokenSpan)
	}
	for _, x := range q.running.items {
		if x.decoding {
			end = max(end, x.decodedAt+oleanderspool.Millis(x.OutputTokens)*q.settings.tokenSpan)
		}
	}
	return end
}
