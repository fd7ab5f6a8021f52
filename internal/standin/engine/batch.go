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

// run executes steps until the engine is closed. A step takes the time of its
// prefill plus the time per token if any sequence generates.
func (e *Engine) run() {
	defer close(e.stopped)
	due := time.Now()
	for {
		s, ok := e.next()
		if !ok {
			return
		}
		if now := time.Now(); due.Before(now.Add(-maxLag)) {
			due = now
		}
		due = due.Add(s.duration)
		if !e.pause(time.Until(due)) {
			return
		}
		e.commit(s)
	}
}

// maxLag is how far the batch may be behind its schedule and still catch up.
// Sleeping is less precise than the time per token.
const maxLag = 20 * time.Millisecond

// pause waits for a span and returns false when the engine is closed.
func (e *Engine) pause(span time.Duration) bool {
	if span <= 0 {
		return true
	}
	timer := time.NewTimer(span)
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
		work := e.work
		e.mu.Unlock()
		if ok {
			return s, true
		}
		select {
		case <-work:
		case <-e.closed:
			return step{}, false
		}
	}
}

// wake tells the batch that its work changed. The caller holds the lock.
func (e *Engine) wake() {
	close(e.work)
	e.work = make(chan struct{})
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
		if q.prefill == 0 {
			s.decode = append(s.decode, q)
			continue
		}
		if tokens := min(q.prefill, budget); tokens > 0 {
			s.prefill = append(s.prefill, q)
			s.tokens = append(s.tokens, tokens)
			budget -= tokens
			used += tokens
		}
	}
	if len(s.decode)+len(s.prefill) == 0 {
		return step{}, false
	}
	span := float64(used) / e.prefillRate
	if len(s.decode) > 0 {
		span += e.tokenTime
	}
	s.duration = time.Duration(span * e.slowdown * float64(time.Millisecond))
	return s, true
}

// admit moves waiting requests into the batch in order of priority, until one
// does not fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && (e.batch == 0 || len(e.running) < e.batch) {
		q := e.waiting[0]
		if q.memory == q.owner && !e.memory.grow(q.owner, q.need) {
			return
		}
		e.waiting = e.waiting[1:]
		q.cached = e.cache.match(q.prefixes)
		total := countTokens(q.prompt) + int64(q.start)
		left := max(1, total-q.cached-e.imported[q.owner])
		delete(e.imported, q.owner)
		q.prefill = (left + q.share - 1) / q.share
		e.running = insert(e.running, q)
	}
}

// insert adds a sequence to a list in order.
func insert(list []*sequence, q *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, q, (*sequence).before)
	return slices.Insert(list, i, q)
}

// commit carries out a step on the sequences that are still in the batch.
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
		q.prefill -= s.tokens[i]
		q.prefilled += s.tokens[i]
		if q.prefill == 0 {
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
	natural := e.answerTokens > 0 && q.start+q.generated >= e.answerTokens
	switch {
	case natural:
		q.finish = finishStop
	case q.generated >= q.limit:
		q.finish = finishLength
	}
	if q.ended() {
		e.remove(q)
	}
	q.notify()
}

// remove takes a sequence out of the batch or the queue and frees its memory,
// but not that of a group. The caller holds the lock.
func (e *Engine) remove(q *sequence) {
	same := func(o *sequence) bool { return o == q }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	delete(e.sequences, q.owner)
	if q.memory == q.owner {
		delete(e.memory.owned, q.owner)
	}
	e.wake()
}

// fail gives a sequence up. The caller holds the lock.
func (e *Engine) fail(q *sequence, message string) {
	q.failure = message
	e.remove(q)
	q.notify()
}
