package measure

import (
	"hash/fnv"
	"math/rand/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/admission"
	"github.com/oleanderspool/oleanderspool/internal/queue"
	"github.com/oleanderspool/oleanderspool/internal/routing"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Policy combines a routing policy of the entries with a queueing policy of the
// agents.
type Policy struct {
	Name string
	// NewPlacer returns the placer of one entry.
	NewPlacer func(state *EntryState, random *rand.Rand) Placer
	// NewQueue returns the queue of one agent.
	NewQueue func(d Deployment) Scheduler
	// NewAdmission returns the admission controller of one entry. If it is nil,
	// all requests are admitted.
	NewAdmission func() *admission.Controller
}

// Placer is the interface to the routing code. It chooses a backend server for a
// request among the candidates.
type Placer interface {
	// Place returns the chosen backend server, or false when there is none.
	Place(r oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool)
}

// Tracker is a placer that keeps track of the requests it has assigned.
type Tracker interface {
	Placer
	// ExpectedDelay returns the expected time until a request makes progress.
	ExpectedDelay(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) oleanderspool.Millis
	// Assignments returns the requests in progress.
	Assignments() *routing.Assignments
	// Slowness returns the measurements of servers that are slower than expected.
	Slowness() *routing.Slowness
}

// Scheduler is the interface to the queue code of an agent.
type Scheduler interface {
	// Push adds an item or refuses it.
	Push(i queue.Item, now oleanderspool.Millis) error
	// Next returns the attempts to start in an engine with the given free memory,
	// in tokens, and those to refuse.
	Next(freeMemory int64, now oleanderspool.Millis) queue.Decision
	// Cancel removes a waiting attempt.
	Cancel(attempt oleanderspool.AttemptID) bool
	// FirstToken records the end of a prefill.
	FirstToken(attempt oleanderspool.AttemptID, now oleanderspool.Millis)
	// Finished records the end of an attempt.
	Finished(attempt oleanderspool.AttemptID, now oleanderspool.Millis)
	// Load returns the waiting and running work.
	Load(now oleanderspool.Millis) oleanderspool.Load
	// WaitingMemory returns the memory that waiting items need, in tokens.
	WaitingMemory() int64
}

// EntryState is the state that an entry keeps itself, besides the agents' reports.
type EntryState struct {
	// Outstanding is the number of assignments in progress of this entry on each
	// instance.
	Outstanding map[oleanderspool.InstanceID]int
}

func newEntryState() *EntryState {
	return &EntryState{Outstanding: make(map[oleanderspool.InstanceID]int)}
}

// Policies returns the baseline policies, followed by the policy of this
// repository without and with admission control.
func Policies() []Policy {
	return []Policy{
		{Name: "round_robin_fcfs", NewPlacer: func(*EntryState, *rand.Rand) Placer { return &roundRobin{} }, NewQueue: newFCFSScheduler},
		{Name: "least_requests_fcfs", NewPlacer: func(state *EntryState, _ *rand.Rand) Placer { return newScoringRouter(leastRequests{state}) }, NewQueue: newFCFSScheduler},
		{Name: "two_choices_fcfs", NewPlacer: func(_ *EntryState, r *rand.Rand) Placer {
			return sampledPlacer{newScoringRouter(leastTokens{}), r, 2}
		}, NewQueue: newFCFSScheduler},
		{Name: "oleanderspool", NewPlacer: newEntryRouter, NewQueue: newQueueScheduler},
		{Name: "oleanderspool_admission", NewPlacer: newEntryRouter, NewQueue: newQueueScheduler, NewAdmission: newAdmission},
	}
}

// newEntryRouter returns the router of the entry process.
func newEntryRouter(_ *EntryState, random *rand.Rand) Placer {
	return entryRouter{routing.NewRouter(
		routing.WithLatencies(map[oleanderspool.DataCentreID]float64{dataCentre: networkDelay}),
		routing.WithSeed(random.Uint64()),
	)}
}

// entryRouter adapts [routing.Router] to [Placer] and [Tracker].
type entryRouter struct {
	*routing.Router
}

// Place returns the choice of the router.
func (r entryRouter) Place(q oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	return r.Route(q, candidates, now)
}

// newAdmission returns the admission controller of the entry process, with
// accounts that have no limits.
func newAdmission() *admission.Controller {
	c := admission.New()
	c.SetEntries(entryCount)
	accounts := make([]configuration.ClientAccount, accountCount)
	for i := range accounts {
		accounts[i].ID = account(i)
	}
	c.ApplyAccounts(1, accounts, 0)
	return c
}

func newFCFSScheduler(Deployment) Scheduler { return newFCFS() }

func newQueueScheduler(d Deployment) Scheduler {
	return queue.New(
		queue.WithShortRequestWeight(d.ShortRequestWeight),
		queue.WithStepTokens(stepTokens),
		queue.WithMemory(engineMemory),
		queue.WithPrefillRate(fullStepRate),
		queue.WithReferenceRate(fullStepRate),
	)
}

// scoringRouter adapts [oleanderspool.Router] to [Placer].
type scoringRouter struct {
	oleanderspool.Router
}

func newScoringRouter(s oleanderspool.Scorer) Placer {
	return scoringRouter{oleanderspool.New(oleanderspool.WithScorers(oleanderspool.Prioritize(s, 0)))}
}

// Place returns the candidate with the lowest cost.
func (r scoringRouter) Place(q oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	return r.Route(q, candidates, now)
}

// roundRobin takes the candidates in turn.
type roundRobin struct {
	next int
}

// Place returns the next candidate.
func (r *roundRobin) Place(_ oleanderspool.Request, candidates []oleanderspool.BackendServer, _ oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	if len(candidates) == 0 {
		return oleanderspool.BackendServer{}, false
	}
	r.next++
	return candidates[r.next%len(candidates)], true
}

// sampledPlacer chooses among a random sample of the candidates.
type sampledPlacer struct {
	placer Placer
	random *rand.Rand
	count  int
}

// Place returns the best of the sample.
func (s sampledPlacer) Place(r oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	sample := make([]oleanderspool.BackendServer, 0, s.count)
	for _, i := range s.random.Perm(len(candidates)) {
		if len(sample) < s.count {
			sample = append(sample, candidates[i])
		}
	}
	return s.placer.Place(r, sample, now)
}

// leastRequests scores servers by the number of the entry's own outstanding
// requests.
type leastRequests struct {
	state *EntryState
}

// Cost returns the number of outstanding requests.
func (l leastRequests) Cost(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	return float64(l.state.Outstanding[b.Instance])
}

// leastTokens scores servers by their reported prefill work.
type leastTokens struct{}

// Cost returns the reported prefill work in tokens.
func (leastTokens) Cost(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	return float64(b.Load.QueuedTokens + b.Load.RunningTokens)
}

// fingerprint returns the 64-bit FNV-1a hash of a text.
func fingerprint(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// fcfs is a first-come, first-served queue. It starts items in order of arrival
// as soon as they fit into the engine's memory.
type fcfs struct {
	waiting       []queue.Item
	running       map[oleanderspool.AttemptID]int64 // prefill work in tokens; 0 after the first token
	queuedTokens  int64
	runningTokens int64
}

func newFCFS() *fcfs {
	return &fcfs{running: make(map[oleanderspool.AttemptID]int64)}
}

// Push adds an item at the end.
func (f *fcfs) Push(i queue.Item, _ oleanderspool.Millis) error {
	f.waiting = append(f.waiting, i)
	f.queuedTokens += i.PromptTokens
	return nil
}

// Next returns the items at the head of the queue that fit into the free memory.
func (f *fcfs) Next(freeMemory int64, _ oleanderspool.Millis) queue.Decision {
	var d queue.Decision
	for len(f.waiting) > 0 && f.waiting[0].MemoryTokens <= freeMemory {
		i := f.waiting[0]
		f.waiting = f.waiting[1:]
		freeMemory -= i.MemoryTokens
		f.queuedTokens -= i.PromptTokens
		f.runningTokens += i.PromptTokens
		f.running[i.Attempt] = i.PromptTokens
		d.Dispatches = append(d.Dispatches, queue.Dispatch{Item: i})
	}
	return d
}

// Cancel removes a waiting attempt.
func (f *fcfs) Cancel(attempt oleanderspool.AttemptID) bool {
	for i, x := range f.waiting {
		if x.Attempt == attempt {
			f.queuedTokens -= x.PromptTokens
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// FirstToken records the end of a prefill.
func (f *fcfs) FirstToken(attempt oleanderspool.AttemptID, _ oleanderspool.Millis) {
	f.runningTokens -= f.running[attempt]
	f.running[attempt] = 0
}

// Finished records the end of an attempt.
func (f *fcfs) Finished(attempt oleanderspool.AttemptID, _ oleanderspool.Millis) {
	f.runningTokens -= f.running[attempt]
	delete(f.running, attempt)
}

// Load returns the waiting and running work.
func (f *fcfs) Load(oleanderspool.Millis) oleanderspool.Load {
	return oleanderspool.Load{
		QueuedTokens:  f.queuedTokens,
		RunningTokens: f.runningTokens,
		Queued:        len(f.waiting),
		Running:       len(f.running),
		PrefillRate:   fullStepRate,
	}
}

// WaitingMemory returns 0, because the baseline policies ignore the memory of
// waiting items.
func (f *fcfs) WaitingMemory() int64 { return 0 }
