// Package placement decides which backend server runs a request. With a latency
// model of the engine it predicts the time to first token (TTFT) and the inter-token
// latency of the new request and of those already on a server, and chooses the
// placement that loses the least value over all of them. Long prompts can be
// sharded: helpers prefill parts of them in parallel.
//
// Costs are in units of value, see [Request.Value]. A pass is the fixed number of
// engine steps between two outputs of a stream. The package does no I/O and takes
// the time as an argument.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// TaskID identifies a task across all entries.
type TaskID uint64

// Task is a request, or a shard of its prompt, on a backend server.
type Task struct {
	ID                   TaskID
	Entry                uint64 // the entry that placed it
	Server               oleanderspool.InstanceID
	ContextTokens        int64                // context tokens that determine the cost of a decode step on this server
	MemoryTokens         int64                // KV cache that it may need, in tokens
	OutputTokens         int64                // expected tokens of the answer; 0 for a helper's shard
	PrefillMillis        float64              // prefill time on an idle engine
	MaxPassPrefillMillis float64              // longest prefill time within one pass
	Value                float64              // see [Request.Value]
	TTFTGoal             oleanderspool.Millis // longest time to the first token that is in time
	InterTokenGoal       oleanderspool.Millis // longest inter-token latency that is in time; 0 for no goal
	PlacedAt             oleanderspool.Millis
	Sharded              bool // several servers prefill the prompt
	Decoding             bool // the first token has been produced
}

// taskExpiry is the age at which a task is removed, in case its end was not reported.
// A request that runs for longer is no longer counted.
const taskExpiry = 20 * oleanderspool.Second

// Scheduler tracks the tasks on all backend servers, of this entry and the others,
// and places requests. It is not safe for concurrent use.
type Scheduler struct {
	tasks    map[TaskID]*Task
	byServer map[oleanderspool.InstanceID]map[TaskID]*Task
	avoided  map[oleanderspool.InstanceID]avoidance
	// tieBreakSeed seeds the preference among equal servers; 0 for no preference.
	tieBreakSeed uint64
}

// Option configures a [Scheduler].
type Option func(*Scheduler)

// WithTieBreakSeed seeds the choice among equal servers. Entries with different
// seeds choose different servers while they do not know each other's latest
// placements yet.
func WithTieBreakSeed(seed uint64) Option {
	return func(sc *Scheduler) { sc.tieBreakSeed = seed }
}

// NewScheduler returns a scheduler without tasks.
func NewScheduler(options ...Option) *Scheduler {
	sc := &Scheduler{
		tasks:    make(map[TaskID]*Task),
		byServer: make(map[oleanderspool.InstanceID]map[TaskID]*Task),
		avoided:  make(map[oleanderspool.InstanceID]avoidance),
	}
	for _, o := range options {
		o(sc)
	}
	return sc
}

// Add adds a task, or replaces the one with the same ID.
func (sc *Scheduler) Add(t Task) {
	if old, found := sc.tasks[t.ID]; found {
		delete(sc.byServer[old.Server], t.ID)
	}
	tasks := sc.byServer[t.Server]
	if tasks == nil {
		tasks = make(map[TaskID]*Task)
		sc.byServer[t.Server] = tasks
	}
	tasks[t.ID] = &t
	sc.tasks[t.ID] = &t
}

// Task returns the task with the given ID.
func (sc *Scheduler) Task(id TaskID) (Task, bool) {
	t, found := sc.tasks[id]
	if !found {
		return Task{}, false
	}
	return *t, true
}

// MarkDecoding records that a request has produced its first token.
func (sc *Scheduler) MarkDecoding(id TaskID) {
	if t, found := sc.tasks[id]; found {
		t.Decoding = true
	}
}

// Remove removes a task that has ended. It ignores an unknown ID.
func (sc *Scheduler) Remove(id TaskID) {
	t, found := sc.tasks[id]
	if !found {
		return
	}
	delete(sc.tasks, id)
	delete(sc.byServer[t.Server], id)
	if len(sc.byServer[t.Server]) == 0 {
		delete(sc.byServer, t.Server)
	}
}

// Retain removes the tasks of an entry that are not in keep.
func (sc *Scheduler) Retain(entry uint64, keep map[TaskID]bool) {
	for id, t := range sc.tasks {
		if t.Entry == entry && !keep[id] {
			sc.Remove(id)
		}
	}
}

// Expire removes tasks older than taskExpiry, and past avoidances.
func (sc *Scheduler) Expire(now oleanderspool.Millis) {
	for id, t := range sc.tasks {
		if now-t.PlacedAt > taskExpiry {
			sc.Remove(id)
		}
	}
	for id, a := range sc.avoided {
		if now >= a.until+escalationWindow {
			delete(sc.avoided, id)
		}
	}
}

// TasksOf returns the tasks of an entry, ordered by ID.
func (sc *Scheduler) TasksOf(entry uint64) []Task {
	var list []Task
	for _, t := range sc.tasks {
		if t.Entry == entry {
			list = append(list, *t)
		}
	}
	slices.SortFunc(list, func(x, y Task) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// Count returns the number of tasks on a server.
func (sc *Scheduler) Count(server oleanderspool.InstanceID) int {
	return len(sc.byServer[server])
}

// serverLoad is the predicted load of a server.
type serverLoad struct {
	server         directory.Server
	prefills       []pendingPrefill // in the order in which the server runs them
	decoding       []*Task          // tasks that decode
	backlog        float64          // time until all pending prefills are done, in ms
	maxPassPrefill float64          // longest prefill within one pass, in ms
	passDuration   float64          // duration of a pass without prefill, in ms; 0 if no task decodes
	memoryTokens   int64            // KV cache in use
	contextTokens  int64            // sum over the decoding tasks
	slotsUsed      int              // requests that occupy or wait for a slot
	// tieBreak is a small cost that differs by the entry's tie-break seed.
	tieBreak float64
}

func (sc *Scheduler) load(s directory.Server, e *directory.Engine, now oleanderspool.Millis) serverLoad {
	l := serverLoad{server: s}
	var pending []*Task
	for _, t := range sc.byServer[s.Instance] {
		l.memoryTokens += t.MemoryTokens
		if t.Decoding {
			l.decoding = append(l.decoding, t)
			l.contextTokens += t.ContextTokens
		} else {
			pending = append(pending, t)
		}
		if t.OutputTokens > 0 {
			l.slotsUsed++
		}
	}
	if len(l.decoding) > 0 {
		l.passDuration = passMillis(e, len(l.decoding), l.contextTokens)
	}
	slices.SortFunc(pending, func(x, y *Task) int {
		return cmp.Or(cmp.Compare(x.PlacedAt, y.PlacedAt), cmp.Compare(x.ID, y.ID))
	})
	order := prefillOrder(pending)
	left := remainingPrefill(pending, order, now)
	for _, i := range order {
		if left[i] == 0 {
			continue
		}
		l.backlog += left[i]
		l.prefills = append(l.prefills, pendingPrefill{Task: pending[i], finishesIn: l.backlog})
		l.maxPassPrefill = max(l.maxPassPrefill, min(left[i], pending[i].MaxPassPrefillMillis))
	}
	return l
}

// tieBreakOf returns a pseudo-random number from 0 to 1 for a server and the
// scheduler's seed.
func (sc *Scheduler) tieBreakOf(server oleanderspool.InstanceID) float64 {
	if sc.tieBreakSeed == 0 {
		return 0
	}
	hash := xxhash.NewWithSeed(sc.tieBreakSeed)
	_, _ = hash.WriteString(string(server)) // never fails
	return float64(hash.Sum64()) / math.MaxUint64
}

// pendingPrefill is a task whose prefill is not done.
type pendingPrefill struct {
	*Task
	finishesIn float64 // time in ms until its prefill is done
}

// prefillOrder returns the indices of tasks, which are sorted by placement time, in
// the order in which a server prefills them: shards first, newest first, then whole
// prompts, oldest first.
func prefillOrder(tasks []*Task) []int {
	order := make([]int, 0, len(tasks))
	for i := len(tasks) - 1; i >= 0; i-- {
		if tasks[i].Sharded {
			order = append(order, i)
		}
	}
	for i, t := range tasks {
		if !t.Sharded {
			order = append(order, i)
		}
	}
	return order
}

// overdueFactor predicts the rest of an overdue prefill, as a fraction of the time
// for which it is overdue.
const overdueFactor = 0.3

// remainingPrefill returns the remaining prefill time of each task in ms. It
// simulates a server that always runs the first task of the given order among those
// placed so far.
func remainingPrefill(tasks []*Task, order []int, now oleanderspool.Millis) []float64 {
	left := make([]float64, len(tasks))
	endedAt := make([]float64, len(tasks))
	for i, t := range tasks {
		left[i] = t.PrefillMillis
	}
	end := float64(now)
	for clock := 0.0; clock < end; {
		next, current := end, -1
		for _, i := range order {
			switch at := float64(tasks[i].PlacedAt); {
			case at > clock:
				next = min(next, at)
			case left[i] > 0 && current < 0:
				current = i
			}
		}
		if current < 0 {
			clock = next
			continue
		}
		duration := min(next-clock, left[current])
		left[current] -= duration
		clock += duration
		if left[current] <= 0 {
			left[current], endedAt[current] = 0, clock
		}
	}
	for i, t := range tasks {
		// The end of the prefill is reported for a request, but not for the shards
		// of helpers, so only a request can be known to be overdue.
		if left[i] == 0 && t.OutputTokens > 0 && t.PrefillMillis > 0 {
			left[i] = (end - endedAt[i]) * overdueFactor
		}
	}
	return left
}
