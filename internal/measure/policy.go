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

// Policy combines the choice of a backend server with the order of its queue.
type Policy struct {
	Name string
	// Router returns the choice of one entry.
	Router func(view *View, random *rand.Rand) Placement
	// Queue returns the queue of one agent.
	Queue func(d Deployment) Scheduler
	// Admission returns the admission control of one entry. Without it all
	// requests are admitted.
	Admission func() *admission.Controller
}

// Placement is the seam to the routing code: it chooses a backend server for
// a request among the candidates.
type Placement interface {
	// Place returns the chosen backend server.
	Place(r oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool)
}

// Tracker is a placement that follows its requests.
type Tracker interface {
	Placement
	// ExpectedDelay returns the expected time until a request makes progress.
	ExpectedDelay(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) oleanderspool.Millis
	// Assignments returns the requests in progress.
	Assignments() *routing.Assignments
	// Slowness returns the servers that make less progress than expected.
	Slowness() *routing.Slowness
}

// Scheduler is the seam to the queue code.
type Scheduler interface {
	// Push adds an item or refuses it.
	Push(i queue.Item, now oleanderspool.Millis) error
	// Next returns what to hand to the engine with the given free memory.
	Next(room int64, now oleanderspool.Millis) queue.Decision
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

// View is what an entry knows beyond the agents' reports.
type View struct {
	// Outstanding counts the entry's own requests by instance.
	Outstanding map[oleanderspool.InstanceID]int
}

func newView() *View {
	return &View{Outstanding: make(map[oleanderspool.InstanceID]int)}
}

// Policies returns the baselines and then the policy of this repository,
// without and with its admission control.
func Policies() []Policy {
	return []Policy{
		{Name: "round_robin_fcfs", Router: func(*View, *rand.Rand) Placement { return &roundRobin{} }, Queue: firstCome},
		{Name: "least_requests_fcfs", Router: func(v *View, _ *rand.Rand) Placement { return scored(leastRequests{v}) }, Queue: firstCome},
		{Name: "two_choices_fcfs", Router: func(_ *View, r *rand.Rand) Placement {
			return sampled{scored(leastTokens{}), r, 2}
		}, Queue: firstCome},
		{Name: "oleanderspool", Router: standard, Queue: ordered},
		{Name: "oleanderspool_admission", Router: standard, Queue: ordered, Admission: admitting},
	}
}

// standard returns the router of the entry process.
func standard(_ *View, random *rand.Rand) Placement {
	return standardRouter{routing.NewRouter(
		routing.WithLatencies(map[oleanderspool.DataCentreID]float64{dataCentre: networkDelay}),
		routing.WithSeed(random.Uint64()),
	)}
}

type standardRouter struct {
	*routing.Router
}

// Place returns the choice of the router.
func (s standardRouter) Place(q oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	return s.Route(q, candidates, now)
}

// admitting returns the admission control of the entry process, for accounts
// without limits.
func admitting() *admission.Controller {
	c := admission.New()
	c.SetEntries(entryCount)
	accounts := make([]configuration.ClientAccount, accountCount)
	for i := range accounts {
		accounts[i].ID = account(i)
	}
	c.ApplyAccounts(1, accounts, 0)
	return c
}

func firstCome(Deployment) Scheduler { return newFCFS() }

func ordered(d Deployment) Scheduler {
	return queue.New(
		queue.WithShortRequestWeight(d.ShortRequestWeight),
		queue.WithStepTokens(engineStep),
		queue.WithMemory(engineMemory),
		queue.WithPrefillRate(fullRate),
		queue.WithReferenceRate(fullRate),
	)
}

type router struct {
	oleanderspool.Router
}

func scored(s oleanderspool.Scorer) Placement {
	return router{oleanderspool.New(oleanderspool.WithScorers(oleanderspool.Prioritize(s, 0)))}
}

// Place returns the candidate of the lowest cost.
func (r router) Place(q oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
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

// sampled chooses among a few random candidates.
type sampled struct {
	inner  Placement
	random *rand.Rand
	count  int
}

// Place returns the best of the sample.
func (s sampled) Place(r oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	sample := make([]oleanderspool.BackendServer, 0, s.count)
	for _, i := range s.random.Perm(len(candidates)) {
		if len(sample) < s.count {
			sample = append(sample, candidates[i])
		}
	}
	return s.inner.Place(r, sample, now)
}

// leastRequests scores by the entry's own outstanding requests.
type leastRequests struct {
	view *View
}

// Cost returns the number of outstanding requests.
func (l leastRequests) Cost(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	return float64(l.view.Outstanding[b.Instance])
}

// leastTokens scores by the reported prefill work.
type leastTokens struct{}

// Cost returns the reported prefill work in tokens.
func (leastTokens) Cost(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	return float64(b.Load.QueuedTokens + b.Load.RunningTokens)
}

// fingerprint returns the fingerprint of a text.
func fingerprint(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// fcfs hands items to the engine in order of arrival as soon as they fit into
// memory.
type fcfs struct {
	waiting []queue.Item
	running map[oleanderspool.AttemptID]int64 // prefill work until the first token
	queued  int64
	tokens  int64
}

func newFCFS() *fcfs {
	return &fcfs{running: make(map[oleanderspool.AttemptID]int64)}
}

// Push adds an item at the end.
func (f *fcfs) Push(i queue.Item, _ oleanderspool.Millis) error {
	f.waiting = append(f.waiting, i)
	f.queued += i.PromptTokens
	return nil
}

// Next returns the first items that fit.
func (f *fcfs) Next(room int64, _ oleanderspool.Millis) queue.Decision {
	var d queue.Decision
	for len(f.waiting) > 0 && f.waiting[0].MemoryTokens <= room {
		i := f.waiting[0]
		f.waiting = f.waiting[1:]
		room -= i.MemoryTokens
		f.queued -= i.PromptTokens
		f.tokens += i.PromptTokens
		f.running[i.Attempt] = i.PromptTokens
		d.Start = append(d.Start, queue.Dispatch{Item: i})
	}
	return d
}

// Cancel removes a waiting attempt.
func (f *fcfs) Cancel(attempt oleanderspool.AttemptID) bool {
	for i, x := range f.waiting {
		if x.Attempt == attempt {
			f.queued -= x.PromptTokens
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// FirstToken records the end of a prefill.
func (f *fcfs) FirstToken(attempt oleanderspool.AttemptID, _ oleanderspool.Millis) {
	f.tokens -= f.running[attempt]
	f.running[attempt] = 0
}

// Finished records the end of an attempt.
func (f *fcfs) Finished(attempt oleanderspool.AttemptID, _ oleanderspool.Millis) {
	f.tokens -= f.running[attempt]
	delete(f.running, attempt)
}

// Load returns the waiting and running work.
func (f *fcfs) Load(oleanderspool.Millis) oleanderspool.Load {
	return oleanderspool.Load{
		QueuedTokens:  f.queued,
		RunningTokens: f.tokens,
		Queued:        len(f.waiting),
		Running:       len(f.running),
		PrefillRate:   fullRate,
	}
}

// WaitingMemory returns 0, because the baselines do not look at memory.
func (f *fcfs) WaitingMemory() int64 { return 0 }
