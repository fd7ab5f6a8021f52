package engine

import (
	"slices"
	"strings"
	"time"
)

// Reasons why generation ends.
const (
	finishLength = "length"
	finishStop   = "stop"
)

// step is one iteration of the batch.
type step struct {
	decode   []*sequence
	prefill  []*sequence
	tokens   []int64 // prefill tokens of each sequence in prefill
	duration time.Duration
}

// run executes steps until the engine is closed. The duration of a step is its
// prefill time, plus the time per token if any sequence decodes.
func (e *Engine) run() {
	defer close(e.stopped)
	due := time.Now()
	for {
		s, ok := e.next()
		if !ok {
			return
		}
		if now := time.Now(); due.Before(now.Add(-maxScheduleLag)) {
			due = now
		}
		due = due.Add(s.duration)
		if !e.sleep(time.Until(due)) {
			return
		}
		e.commit(s)
	}
}

// maxScheduleLag is the largest delay behind schedule that run makes up for with
// shorter sleeps. It is needed because sleeping is less precise than the time per
// token.
const maxScheduleLag = 20 * time.Millisecond

// sleep waits for a delay. It returns false if the engine is closed meanwhile.
func (e *Engine) sleep(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.closed:
		return false
	}
}

// next waits until there is work and plans a step.
func (e *Engine) next() (step, bool) {
	for {
		e.mu.Lock()
		s, ok := e.plan()
		workChanged := e.workChanged
		e.mu.Unlock()
		if ok {
			return s, true
		}
		select {
		case <-workChanged:
		case <-e.closed:
			return step{}, false
		}
	}
}

// signalWork wakes the batch loop because its work has changed. The caller holds
// the lock.
func (e *Engine) signalWork() {
	close(e.workChanged)
	e.workChanged = make(chan struct{})
}

// plan admits waiting requests and chooses the work of a step. The caller holds
// the lock.
func (e *Engine) plan() (step, bool) {
	if e.paused {
		return step{}, false
	}
	e.admit()
	var s step
	budget, used := e.chunkTokens, int64(0)
	for _, q := range e.running {
		if q.remainingPrefill == 0 {
			s.decode = append(s.decode, q)
			continue
		}
		if tokens := min(q.remainingPrefill, budget); tokens > 0 {
			s.prefill = append(s.prefill, q)
			s.tokens = append(s.tokens, tokens)
			budget -= tokens
			used += tokens
		}
	}
	if len(s.decode)+len(s.prefill) == 0 {
		return step{}, false
	}
	millis := float64(used) / e.prefillRate
	if len(s.decode) > 0 {
		millis += e.tokenTime
	}
	s.duration = time.Duration(millis * e.slowdown * float64(time.Millisecond))
	return s, true
}

// admit moves waiting requests into the batch in order of priority, until one
// does not fit. The caller holds the lock.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && (e.batchLimit == 0 || len(e.running) < e.batchLimit) {
		q := e.waiting[0]
		if q.memoryOwner == q.owner && !e.memory.reserve(q.owner, q.neededTokens) {
			return
		}
		e.waiting = e.waiting[1:]
		q.cachedTokens = e.cache.match(q.prefixes)
		total := countTokens(q.prompt) + int64(q.start)
		uncached := max(1, total-q.cachedTokens-e.imported[q.owner])
		delete(e.imported, q.owner)
		q.remainingPrefill = (uncached + q.engines - 1) / q.engines
		e.running = insert(e.running, q)
	}
}

// insert adds a sequence to a sorted list at its place in the order of service.
func insert(list []*sequence, q *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, q, (*sequence).compare)
	return slices.Insert(list, i, q)
}

// commit applies the results of a step to the sequences that have not ended in
// the meantime.
func (e *Engine) commit(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, q := range s.prefill {
		if q.ended() {
			continue
		}
		if e.crashMarker != "" && strings.Contains(q.prompt, e.crashMarker) {
			e.crash()
			return
		}
		q.remainingPrefill -= s.tokens[i]
		q.prefilledTokens += s.tokens[i]
		if q.remainingPrefill == 0 {
			e.cache.insert(q.prefixes)
		}
	}
	for _, q := range s.decode {
		if !q.ended() {
			e.generate(q)
		}
	}
}

// generate adds a token to a sequence. The caller holds the lock.
func (e *Engine) generate(q *sequence) {
	q.generated++
	complete := e.answerTokens > 0 && q.start+q.generated >= e.answerTokens
	switch {
	case complete:
		q.finishReason = finishStop
	case q.generated >= q.maxTokens:
		q.finishReason = finishLength
	}
	if q.ended() {
		e.remove(q)
	}
	q.notify()
}

// remove takes a sequence out of the batch or the queue and frees its memory, but
// not memory reserved for its group. The caller holds the lock.
func (e *Engine) remove(q *sequence) {
	same := func(o *sequence) bool { return o == q }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	delete(e.sequences, q.owner)
	if q.memoryOwner == q.owner {
		delete(e.memory.allocated, q.owner)
	}
	e.signalWork()
}

// fail ends a sequence with an error message. The caller holds the lock.
func (e *Engine) fail(q *sequence, message string) {
	q.failure = message
	e.remove(q)
	q.notify()
}
