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
	"math/rand/v2"
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

// never is an instant that does not come.
const never = oleanderspool.Millis(math.MaxInt64)

// taskExpiry is the age at which a task is removed, in case its end was not reported.
// A request that runs for longer is no longer counted.
const taskExpiry = 20 * oleanderspool.Second

// Scheduler tracks the tasks on all backend servers, of this entry and the others,
// and places requests. It is not safe for concurrent use.
type Scheduler struct {
	tasks    map[TaskID]*Task
	byEntry  map[uint64]map[TaskID]*Task
	byServer map[oleanderspool.InstanceID]*serverState
	avoided  map[oleanderspool.InstanceID]avoidance
	// tieBreakSeed seeds the preference among equal servers; 0 for no preference.
	tieBreakSeed uint64
	// maxCandidates and maxHelperCandidates bound the servers that a decision compares.
	maxCandidates       int
	maxHelperCandidates int
	random              *rand.Rand // draws the sample
	// candidates and avoidedCandidates are reused by each decision.
	candidates, avoidedCandidates []*serverLoad
	wholeCandidates               []wholeCandidate
	unknown                       unknownPlacements
	contentions                   map[string]*contention // by service
	means                         meanValues
	dataCentres                   dataCentres
}

// serverState holds the tasks on a server and the load that they cause. It stays
// without tasks until [Scheduler.Expire], so that its memory is reused.
type serverState struct {
	tasks    []*Task
	finished []finishedPrefill // since the first task that waits was placed
	load     serverLoad
	changed  bool // the load does not reflect the tasks
	tieBreak float64
}

const (
	// defaultMaxCandidates is the number of servers that are compared for a request. A
	// sample of so many contains a server that is nearly as good as the best one of any
	// number.
	defaultMaxCandidates = 256
	// defaultMaxHelperCandidates is the number of servers that are compared for a
	// sharded prompt, after those with the least work.
	defaultMaxHelperCandidates = 64
)

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
		byEntry:  make(map[uint64]map[TaskID]*Task),
		byServer: make(map[oleanderspool.InstanceID]*serverState),
		avoided:  make(map[oleanderspool.InstanceID]avoidance),

		contentions: make(map[string]*contention), means: make(meanValues),

		maxCandidates: defaultMaxCandidates, maxHelperCandidates: defaultMaxHelperCandidates,
	}
	for _, o := range options {
		o(sc)
	}
	sc.random = rand.New(rand.NewPCG(sc.tieBreakSeed, 0))
	return sc
}

// Add adds a task, or replaces the one with the same ID.
func (sc *Scheduler) Add(t Task) {
	if old, found := sc.tasks[t.ID]; found {
		if old.Server == t.Server && old.Entry == t.Entry {
			*old = t
			sc.state(t.Server).changed = true
			return
		}
		sc.detach(old)
	}
	sc.means.record(t)
	added := new(Task) // not &t, which would be allocated for a replaced task too
	*added = t
	st := sc.state(t.Server)
	st.tasks, st.changed = append(st.tasks, added), true
	sc.tasks[t.ID] = added
	tasks := sc.byEntry[t.Entry]
	if tasks == nil {
		tasks = make(map[TaskID]*Task)
		sc.byEntry[t.Entry] = tasks
	}
	tasks[t.ID] = added
}

// state returns the state of a server.
func (sc *Scheduler) state(server oleanderspool.InstanceID) *serverState {
	st := sc.byServer[server]
	if st == nil {
		st = &serverState{changed: true, tieBreak: sc.tieBreakOf(server)}
		sc.byServer[server] = st
	}
	return st
}

// detach removes a task from its server and its entry.
func (sc *Scheduler) detach(t *Task) {
	st := sc.state(t.Server)
	if i := slices.Index(st.tasks, t); i >= 0 {
		st.tasks = slices.Delete(st.tasks, i, i+1)
	}
	st.changed = true
	delete(sc.byEntry[t.Entry], t.ID)
	if len(sc.byEntry[t.Entry]) == 0 {
		delete(sc.byEntry, t.Entry)
	}
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
		sc.state(t.Server).changed = true
	}
}

// Remove removes a task that has ended. It ignores an unknown ID.
func (sc *Scheduler) Remove(id TaskID) {
	t, found := sc.tasks[id]
	if !found {
		return
	}
	delete(sc.tasks, id)
	sc.detach(t)
}

// Retain removes the tasks of an entry that are not in keep.
func (sc *Scheduler) Retain(entry uint64, keep map[TaskID]bool) {
	for id := range sc.byEntry[entry] {
		if !keep[id] {
			sc.Remove(id)
		}
	}
}

// Expire removes tasks older than taskExpiry, past avoidances and the states of
// servers without tasks.
func (sc *Scheduler) Expire(now oleanderspool.Millis) {
	for id, t := range sc.tasks {
		if now-t.PlacedAt > taskExpiry {
			sc.Remove(id)
		}
	}
	for server, st := range sc.byServer {
		if len(st.tasks) == 0 {
			delete(sc.byServer, server)
		}
	}
	for id, a := range sc.avoided {
		if now >= a.until+escalationWindow {
			delete(sc.avoided, id)
		}
	}
	for _, c := range sc.contentions {
		c.expire(now)
	}
}

// TasksOf returns the tasks of an entry, ordered by ID.
func (sc *Scheduler) TasksOf(entry uint64) []Task {
	var list []Task
	for _, t := range sc.byEntry[entry] {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(x, y Task) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// Tasks returns all tasks.
func (sc *Scheduler) Tasks() []Task {
	list := make([]Task, 0, len(sc.tasks))
	for _, t := range sc.tasks {
		list = append(list, *t)
	}
	return list
}

// Count returns the number of tasks on a server.
func (sc *Scheduler) Count(server oleanderspool.InstanceID) int {
	if st := sc.byServer[server]; st != nil {
		return len(st.tasks)
	}
	return 0
}

// serverLoad is the predicted load of a server.
type serverLoad struct {
	server         *directory.Server
	dataCentre     *dataCentre
	prefills       []pendingPrefill // in the order in which the server runs them
	backlog        float64          // time until all pending prefills are done, in ms
	maxPassPrefill float64          // longest prefill within one pass, in ms
	passDuration   float64          // duration of a pass without prefill, in ms; 0 if no task decodes
	streams        []streamGroup    // decoding requests by their goals
	decoding       int              // number of tasks that decode
	memoryTokens   int64            // KV cache in use
	slotsUsed      int              // requests that occupy or wait for a slot
	// tieBreak is a small cost that differs by the entry's tie-break seed.
	tieBreak float64

	calculatedAt oleanderspool.Millis
	engine       *directory.Engine
	pending      []*Task // tasks that do not decode, by placement
	simulation   simulation
}

// streamGroup sums the decoding requests of a server that have the same goals.
type streamGroup struct {
	goals
	value    float64
	baseLoss float64 // loss of value with the load as it is
}

// load returns the load of a server. It is valid until the next call for the same
// server.
func (sc *Scheduler) load(s *directory.Server, e *directory.Engine, now oleanderspool.Millis) *serverLoad {
	st := sc.state(s.Instance)
	l := &st.load
	l.server, l.tieBreak = s, st.tieBreak
	l.dataCentre = sc.dataCentres.of(s.DataCentre, l.dataCentre)
	if st.changed || l.engine != e {
		l.engine = e
		l.count(st.tasks, e)
		st.changed = false
	} else if l.calculatedAt == now || len(l.pending) == 0 {
		return l
	}
	l.calculatedAt = now
	l.predict(e, st.finished, now)
	return l
}

// count sums the tasks of a server.
func (l *serverLoad) count(tasks []*Task, e *directory.Engine) {
	contextTokens := int64(0)
	l.memoryTokens, l.slotsUsed, l.decoding, l.passDuration = 0, 0, 0, 0
	l.pending, l.streams = l.pending[:0], l.streams[:0]
	for _, t := range tasks {
		l.memoryTokens += t.MemoryTokens
		if t.OutputTokens > 0 {
			l.slotsUsed++
		}
		if !t.Decoding {
			l.pending = append(l.pending, t)
			continue
		}
		l.decoding++
		contextTokens += t.ContextTokens
		// A request without the goal does not stream, and one without an answer is a
		// helper's shard.
		if t.InterTokenGoal > 0 && t.OutputTokens > 0 {
			l.addStream(t)
		}
	}
	if l.decoding > 0 {
		l.passDuration = passMillis(e, l.decoding, contextTokens)
	}
	slices.SortFunc(l.pending, comparePlacement)
}

// comparePlacement compares two tasks by the instant at which they were placed.
func comparePlacement(x, y *Task) int {
	return cmp.Or(cmp.Compare(x.PlacedAt, y.PlacedAt), cmp.Compare(x.ID, y.ID))
}

func (l *serverLoad) addStream(t *Task) {
	for i := range l.streams {
		if l.streams[i].goals == t.goals() {
			l.streams[i].value += t.Value
			return
		}
	}
	l.streams = append(l.streams, streamGroup{goals: t.goals(), value: t.Value})
}

// predict calculates what changes with the time.
func (l *serverLoad) predict(e *directory.Engine, finished []finishedPrefill, now oleanderspool.Millis) {
	l.backlog, l.maxPassPrefill = 0, 0
	l.prefills = l.prefills[:0]
	order, left := l.simulation.run(l.pending, finished, now)
	for _, i := range order {
		if left[i] == 0 {
			continue
		}
		l.backlog += left[i]
		l.prefills = append(l.prefills, pendingPrefill{Task: l.pending[i], finishesIn: l.backlog})
		l.maxPassPrefill = max(l.maxPassPrefill, min(left[i], l.pending[i].MaxPassPrefillMillis))
	}
	latency := l.passDuration + l.passPrefill(e, 0, 0)
	for i := range l.streams {
		l.streams[i].baseLoss = l.streams[i].interTokenLoss(latency)
	}
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
