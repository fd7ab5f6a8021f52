// Package placement decides which backend server runs a request. It predicts
// from a model of the engine when the first token comes and how long the pauses
// of the streams on a server become, for the new request and for those that run
// there, and weighs what all of them gain or lose.
//
// It has no I/O and no clock of its own.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// TaskID identifies a piece of work among all entries.
type TaskID uint64

// Task is a request, or a part of its prompt, on a backend server.
type Task struct {
	ID                   TaskID
	Entry                uint64 // the entry that placed it
	Server               oleanderspool.InstanceID
	ContextTokens        int64                // tokens whose context a step of it costs here
	MemoryTokens         int64                // tokens of KV cache that it may need
	OutputTokens         int64                // expected tokens of the answer; 0 for a helper's part
	PrefillMillis        float64              // time to read on an idle engine, in ms
	MaxPassPrefillMillis float64              // longest part of the reading within one pass, in ms
	Value                float64              // loss when it is late
	TTFTGoal             oleanderspool.Millis // time to the first token that is in time
	InterTokenGoal       oleanderspool.Millis // longest pause that is in time; 0 for any
	PlacedAt             oleanderspool.Millis
	Sharded              bool // the prompt is read by several servers
	Decoding             bool // the first token has come
}

// forgetAfter bounds how long work counts whose end was not reported.
const forgetAfter = 20 * oleanderspool.Second

// Scheduler holds the work on all backend servers. It is not safe for concurrent
// use.
type Scheduler struct {
	works   map[TaskID]*Task
	servers map[oleanderspool.InstanceID]map[TaskID]*Task
	avoided map[oleanderspool.InstanceID]avoidance
	// preference gives the order in which equal servers are chosen.
	preference uint64
}

// Option configures a [Scheduler].
type Option func(*Scheduler)

// WithTieBreakSeed sets which of equal servers are chosen. Entries with different
// values choose different ones while they do not know of each other's last
// placements.
func WithTieBreakSeed(seed uint64) Option {
	return func(b *Scheduler) { b.preference = seed }
}

// NewScheduler returns a board without work.
func NewScheduler(options ...Option) *Scheduler {
	b := &Scheduler{
		works:   make(map[TaskID]*Task),
		servers: make(map[oleanderspool.InstanceID]map[TaskID]*Task),
		avoided: make(map[oleanderspool.InstanceID]avoidance),
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// Add adds work, or replaces what was known of it.
func (b *Scheduler) Add(w Task) {
	if old, found := b.works[w.ID]; found {
		delete(b.servers[old.Server], w.ID)
	}
	list := b.servers[w.Server]
	if list == nil {
		list = make(map[TaskID]*Task)
		b.servers[w.Server] = list
	}
	list[w.ID] = &w
	b.works[w.ID] = &w
}

// Task returns a piece of work.
func (b *Scheduler) Task(id TaskID) (Task, bool) {
	w, found := b.works[id]
	if !found {
		return Task{}, false
	}
	return *w, true
}

// MarkDecoding notes that the first token of a request has come.
func (b *Scheduler) MarkDecoding(id TaskID) {
	if w, found := b.works[id]; found {
		w.Decoding = true
	}
}

// Remove ends work.
func (b *Scheduler) Remove(id TaskID) {
	w, found := b.works[id]
	if !found {
		return
	}
	delete(b.works, id)
	delete(b.servers[w.Server], id)
	if len(b.servers[w.Server]) == 0 {
		delete(b.servers, w.Server)
	}
}

// Retain removes the work of an entry that keep does not contain.
func (b *Scheduler) Retain(entry uint64, keep map[TaskID]bool) {
	for id, w := range b.works {
		if w.Entry == entry && !keep[id] {
			b.Remove(id)
		}
	}
}

// Expire removes work whose end was not reported.
func (b *Scheduler) Expire(now oleanderspool.Millis) {
	for id, w := range b.works {
		if now-w.PlacedAt > forgetAfter {
			b.Remove(id)
		}
	}
	for id, a := range b.avoided {
		if now >= a.until+avoidMemory {
			delete(b.avoided, id)
		}
	}
}

// TasksOf returns the work of an entry, ordered by ID.
func (b *Scheduler) TasksOf(entry uint64) []Task {
	var list []Task
	for _, w := range b.works {
		if w.Entry == entry {
			list = append(list, *w)
		}
	}
	slices.SortFunc(list, func(x, y Task) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// Count returns the number of requests on a server.
func (b *Scheduler) Count(server oleanderspool.InstanceID) int {
	return len(b.servers[server])
}

// state is the predicted state of a server.
type state struct {
	server  directory.Server
	readers []reader // prompts and parts that are not read yet
	writers []*Task
	backlog float64 // time until all placed prompts are read, in ms
	largest float64 // longest reading within one pass, in ms
	pass    float64 // length of a pass without reading, in ms; 0 without writers
	memory  int64   // tokens in use
	context int64   // tokens of the writers
	work    int     // requests that take a slot
	// preference is a small cost that differs between entries.
	preference float64
}

func (b *Scheduler) state(s directory.Server, e *directory.Engine, now oleanderspool.Millis) state {
	st := state{server: s}
	var reads []*Task
	for _, w := range b.servers[s.Instance] {
		st.memory += w.MemoryTokens
		if w.Decoding {
			st.writers = append(st.writers, w)
			st.context += w.ContextTokens
		} else {
			reads = append(reads, w)
		}
		if w.OutputTokens > 0 {
			st.work++
		}
	}
	if len(st.writers) > 0 {
		st.pass = passMillis(e, len(st.writers), st.context)
	}
	slices.SortFunc(reads, func(x, y *Task) int {
		return cmp.Or(cmp.Compare(x.PlacedAt, y.PlacedAt), cmp.Compare(x.ID, y.ID))
	})
	order := readingOrder(reads)
	left := remaining(reads, order, now)
	for _, i := range order {
		if left[i] == 0 {
			continue
		}
		st.backlog += left[i]
		st.readers = append(st.readers, reader{Task: reads[i], ends: st.backlog})
		st.largest = max(st.largest, min(left[i], reads[i].MaxPassPrefillMillis))
	}
	return st
}

// preferenceOf returns a number from 0 to 1 for a server, which differs between
// boards with different preferences.
func (b *Scheduler) preferenceOf(server oleanderspool.InstanceID) float64 {
	if b.preference == 0 {
		return 0
	}
	hash := xxhash.NewWithSeed(b.preference)
	_, _ = hash.WriteString(string(server)) // never fails
	return float64(hash.Sum64()) / math.MaxUint64
}

// reader is a prompt or a part of one that a server has not read yet.
type reader struct {
	*Task
	ends float64 // time in ms until it is read
}

// readingOrder returns the indices of work, sorted by placement, in the order in
// which a server reads it: parts of joint prompts first, the newest of them before
// the others, then the rest in order of placement.
func readingOrder(works []*Task) []int {
	order := make([]int, 0, len(works))
	for i := len(works) - 1; i >= 0; i-- {
		if works[i].Sharded {
			order = append(order, i)
		}
	}
	for i, w := range works {
		if !w.Sharded {
			order = append(order, i)
		}
	}
	return order
}

// overdueShare is the part of the time for which a prompt is overdue that its
// reading is expected to take longer.
const overdueShare = 0.3

// remaining returns the time in ms that each piece of work still has to be read, by
// a server that reads in the given order what has been placed.
func remaining(works []*Task, order []int, now oleanderspool.Millis) []float64 {
	left := make([]float64, len(works))
	ended := make([]float64, len(works))
	for i, w := range works {
		left[i] = w.PrefillMillis
	}
	end := float64(now)
	for t := 0.0; t < end; {
		next, current := end, -1
		for _, i := range order {
			switch at := float64(works[i].PlacedAt); {
			case at > t:
				next = min(next, at)
			case left[i] > 0 && current < 0:
				current = i
			}
		}
		if current < 0 {
			t = next
			continue
		}
		span := min(next-t, left[current])
		left[current] -= span
		t += span
		if left[current] <= 0 {
			left[current], ended[current] = 0, t
		}
	}
	for i, w := range works {
		// Only the end of a request's own reading is reported.
		if left[i] == 0 && w.OutputTokens > 0 && w.PrefillMillis > 0 {
			left[i] = (end - ended[i]) * overdueShare
		}
	}
	return left
}
