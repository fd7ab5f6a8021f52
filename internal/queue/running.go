package queue

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// runningItem is an item that was dispatched to the engine.
type runningItem struct {
	*waitingItem
	dispatchedAt oleanderspool.Millis
	// remaining is the estimated prefill work that is left, in tokens.
	remaining float64
	// workToFirstToken is the prefill work that the engine does from the
	// dispatch of this item until its first token, its own included, in tokens.
	workToFirstToken int64
	// fullSteps is true if longer work was in the engine at the dispatch, so
	// each step was filled up with chunks of it.
	fullSteps bool
	// overtakes is true if longer work had an earlier due time at the dispatch.
	overtakes bool
	// decoding is true from the first token.
	decoding     bool
	firstTokenAt oleanderspool.Millis
}

// running is the queue's view of the engine. Prefill progress is estimated from
// the observed rate, because engines report only the first token.
type running struct {
	stepTokens int64
	prefill    []*runningItem // in the engine's order: by class, then by dispatch
	items      map[oleanderspool.AttemptID]*runningItem
	advancedAt oleanderspool.Millis
}

func newRunning(stepTokens int64) running {
	return running{stepTokens: stepTokens, items: make(map[oleanderspool.AttemptID]*runningItem)}
}

// advance estimates the prefill progress until now at the given rate in tokens
// per millisecond.
func (r *running) advance(rate float64, now oleanderspool.Millis) {
	done := rate * float64(now-r.advancedAt)
	r.advancedAt = max(r.advancedAt, now)
	for _, x := range r.prefill {
		if done <= 0 {
			return
		}
		progress := min(done, x.remaining)
		x.remaining -= progress
		done -= progress
	}
}

// outstanding returns the estimated remaining prefill work of the classes up to
// the given one, in tokens. A prompt longer than one step counts in whole
// chunks, and as at least one chunk until its first token.
func (r *running) outstanding(class int) int64 {
	total := int64(0)
	for _, x := range r.prefill {
		if x.class > class {
			break
		}
		total += r.wholeChunks(x)
	}
	return total
}

func (r *running) wholeChunks(x *runningItem) int64 {
	if x.PromptTokens <= r.stepTokens {
		return x.PromptTokens
	}
	steps := (int64(x.remaining) + r.stepTokens - 1) / r.stepTokens
	return max(1, steps) * r.stepTokens
}

// longerDueBefore reports whether a longer item in prefill is due before w.
func (r *running) longerDueBefore(w *waitingItem) bool {
	return slices.ContainsFunc(r.prefill, func(x *runningItem) bool {
		return x.class > w.class && x.before(w)
	})
}

// overtaking reports whether an item in prefill has overtaken longer work with
// an earlier due time.
func (r *running) overtaking() bool {
	return slices.ContainsFunc(r.prefill, func(x *runningItem) bool { return x.overtakes })
}

func (r *running) add(w *waitingItem, now oleanderspool.Millis) *runningItem {
	x := &runningItem{waitingItem: w, dispatchedAt: now, remaining: float64(w.PromptTokens), workToFirstToken: w.PromptTokens}
	for _, y := range r.prefill {
		if y.class <= w.class {
			x.workToFirstToken += int64(y.remaining)
			continue
		}
		x.fullSteps = true
		y.workToFirstToken += w.PromptTokens
	}
	at, _ := slices.BinarySearchFunc(r.prefill, w.class+1, func(y *runningItem, class int) int {
		return cmp.Compare(y.class, class)
	})
	r.prefill = slices.Insert(r.prefill, at, x)
	r.items[w.Attempt] = x
	return x
}

// firstToken ends the prefill of an attempt and returns its item, or nil when
// the attempt is not in prefill.
func (r *running) firstToken(attempt oleanderspool.AttemptID, now oleanderspool.Millis) *runningItem {
	x := r.items[attempt]
	if x == nil || x.decoding {
		return nil
	}
	x.decoding, x.firstTokenAt = true, now
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

// observedWork returns the prefill work that the engine did between the dispatch
// and the first token of x, in tokens. Beside longer work each step was full, so
// the work is rounded up to whole steps, and half a step is added for the step
// that was running at the dispatch.
func (r *running) observedWork(x *runningItem) int64 {
	if !x.fullSteps {
		return x.workToFirstToken
	}
	return (x.workToFirstToken+r.stepTokens-1)/r.stepTokens*r.stepTokens + r.stepTokens/2
}
