package queue

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// runningItem is an item that was handed to the engine.
type runningItem struct {
	*waitingItem
	handedAt oleanderspool.Millis
	// remaining is the estimated prefill work that is left, in tokens.
	remaining float64
	// served is the work that the engine does from the hand-over until the
	// first token of this item, its own included, in tokens.
	served int64
	// crowded says that longer work was in the engine at the hand-over, so
	// each step was filled up with chunks of it.
	crowded bool
	// overtakes says that longer work was due earlier at the hand-over.
	overtakes bool
	// decoding is set at the first token.
	decoding  bool
	decodedAt oleanderspool.Millis
}

// running is the queue's view of the engine. Prefill progress is estimated by
// the observed rate, because engines report only the first token.
type running struct {
	step     int64
	prefill  []*runningItem // in the engine's order: class, then hand-over
	items    map[oleanderspool.AttemptID]*runningItem
	advanced oleanderspool.Millis
}

func newRunning(step int64) running {
	return running{step: step, items: make(map[oleanderspool.AttemptID]*runningItem)}
}

// advance estimates the progress until now at the given rate.
func (r *running) advance(rate float64, now oleanderspool.Millis) {
	done := rate * float64(now-r.advanced)
	r.advanced = max(r.advanced, now)
	for _, x := range r.prefill {
		if done <= 0 {
			return
		}
		part := min(done, x.remaining)
		x.remaining -= part
		done -= part
	}
}

// outstanding returns the estimated prefill work of the classes up to the
// given one, in tokens. Prompts count by whole chunks, and each at least as
// one until its first token.
func (r *running) outstanding(class int) int64 {
	total := int64(0)
	for _, x := range r.prefill {
		if x.class > class {
			break
		}
		total += r.chunks(x)
	}
	return total
}

func (r *running) chunks(x *runningItem) int64 {
	if x.PromptTokens <= r.step {
		return x.PromptTokens
	}
	steps := (int64(x.remaining) + r.step - 1) / r.step
	return max(1, steps) * r.step
}

// dueBefore reports whether a longer item in the engine is due before w.
func (r *running) dueBefore(w *waitingItem) bool {
	return slices.ContainsFunc(r.prefill, func(x *runningItem) bool {
		return x.class > w.class && x.before(w)
	})
}

// overtaken reports whether work in prefill goes before longer work that is
// due earlier.
func (r *running) overtaken() bool {
	return slices.ContainsFunc(r.prefill, func(x *runningItem) bool { return x.overtakes })
}

func (r *running) add(w *waitingItem, now oleanderspool.Millis) *runningItem {
	x := &runningItem{waitingItem: w, handedAt: now, remaining: float64(w.PromptTokens), served: w.PromptTokens}
	for _, y := range r.prefill {
		if y.class <= w.class {
			x.served += int64(y.remaining)
			continue
		}
		x.crowded = true
		y.served += w.PromptTokens
	}
	at, _ := slices.BinarySearchFunc(r.prefill, w.class+1, func(y *runningItem, class int) int {
		return cmp.Compare(y.class, class)
	})
	r.prefill = slices.Insert(r.prefill, at, x)
	r.items[w.Attempt] = x
	return x
}

// firstToken ends the prefill of an attempt. It returns nil when the attempt
// is not in prefill.
func (r *running) firstToken(attempt oleanderspool.AttemptID, now oleanderspool.Millis) *runningItem {
	x := r.items[attempt]
	if x == nil || x.decoding {
		return nil
	}
	x.decoding, x.decodedAt = true, now
	r.dropPrefill(x)
	return x
}

func (r *running) remove(attempt oleanderspool.AttemptID) *runningItem {
	x := r.items[attempt]
	if x == nil {
		return nil
	}
	delete(r.items, attempt)
	r.dropPrefill(x)
	return x
}

func (r *running) dropPrefill(x *runningItem) {
	r.prefill = slices.DeleteFunc(r.prefill, func(y *runningItem) bool { return y == x })
}

// work returns the work that an observation of x stands for, in tokens. Next
// to longer work each step was full, so the work counts by whole steps, and by
// half a step for the one that was under way at the hand-over.
func (r *running) work(x *runningItem) int64 {
	if !x.crowded {
		return x.served
	}
	return (x.served+r.step-1)/r.step*r.step + r.step/2
}
