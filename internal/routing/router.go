// Package routing chooses the backend server for a request: filters remove
// servers that must not be chosen, and scorers estimate the delay that each of
// the others adds to the request.
package routing

import (
	"slices"
	"sync"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of [NewRouter].
const (
	// DefaultMaxReportAge equals the bound of the membership table.
	DefaultMaxReportAge oleanderspool.Millis = 2500
	// DefaultPrefillRate is assumed until a server has reported its rate, in
	// tokens per millisecond.
	DefaultPrefillRate = 8.0
	// DefaultCallDuration is the assumed length of a service call.
	DefaultCallDuration oleanderspool.Millis = 5
	// DefaultPrefixTokens is the length of the prefix that decides affinity. It
	// must not exceed the shared text of most requests: with 1024 tokens, requests
	// that share 600 to 800 tokens had a different preference each.
	DefaultPrefixTokens = 512
	// DefaultAffinityLimit bounds what a cached prefix is worth, in milliseconds
	// of queue.
	DefaultAffinityLimit oleanderspool.Millis = 500
	// DefaultJitter bounds the cost that differs by request and server at random,
	// in milliseconds. For prompts of the shortest class the bound is half as much.
	DefaultJitter oleanderspool.Millis = 60
	// DefaultUnknownLatency is the one-way distance of a data centre that the
	// settings do not name, in milliseconds.
	DefaultUnknownLatency = 20.0
	// DefaultSampleThreshold is the number of candidates above which only a sample
	// of them is scored.
	DefaultSampleThreshold = 64
)

// Priorities of the standard filters, cheap ones first, and of the standard
// scorers. Options may place others between them.
const (
	PriorityNotLeaving = 100
	PriorityFresh      = 200
	PriorityUntried    = 300
	PriorityAtRevision = 400
	PriorityFitsMemory = 500
	PriorityServing    = 600
	PriorityInSet      = 700

	PriorityQueue       = 100
	PriorityAffinity    = 200
	PriorityMemory      = 300
	PriorityLatency     = 400
	PrioritySlowness    = 500
	PriorityAssignments = 600
	PriorityJitter      = 700
)

// Option configures the router that [NewRouter] returns.
type Option func(*Router)

// WithSets names the set of backend servers for a request. Without it, sets
// are not considered.
func WithSets(set func(oleanderspool.Request) (oleanderspool.ServerSetID, bool)) Option {
	return func(r *Router) { r.set = set }
}

// WithRequiredRevision names the configuration revision that a request needs.
// Without it, every revision is enough.
func WithRequiredRevision(needed func(oleanderspool.Request) oleanderspool.Revision) Option {
	return func(r *Router) { r.needed = needed }
}

// WithLatencies sets the one-way distances to data centres in milliseconds.
func WithLatencies(oneWay map[oleanderspool.DataCentreID]float64) Option {
	return func(r *Router) { r.distances = oneWay }
}

// WithAffinity sets the length of the prefix that decides affinity, in tokens,
// and the bound of what it is worth, in milliseconds.
func WithAffinity(tokens int, limit oleanderspool.Millis) Option {
	return func(r *Router) { r.prefixTokens, r.affinityLimit = tokens, limit }
}

// WithJitter bounds the cost that differs by request and server at random, in
// milliseconds. 0 leaves it out.
func WithJitter(limit oleanderspool.Millis) Option {
	return func(r *Router) { r.spread = limit }
}

// WithSeed seeds the choice of samples, for tests.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.sampler = newSampler(seed) }
}

// Router is the standard [oleanderspool.Router]. It is safe for concurrent
// use.
type Router struct {
	set           func(oleanderspool.Request) (oleanderspool.ServerSetID, bool)
	needed        func(oleanderspool.Request) oleanderspool.Revision
	freshness     oleanderspool.Millis
	fallback      float64
	callTime      oleanderspool.Millis
	distances     map[oleanderspool.DataCentreID]float64
	prefixTokens  int
	affinityLimit oleanderspool.Millis
	sampleAbove   int
	spread        oleanderspool.Millis
	addedFilters  []oleanderspool.Prioritized[oleanderspool.Filter]
	addedScorers  []oleanderspool.Prioritized[oleanderspool.Scorer]

	sampler     *sampler
	slowness    *Slowness
	assignments *Assignments
	decisions   sync.Pool // of *decision
}

// NewRouter returns a router with the standard filters and scorers.
func NewRouter(options ...Option) *Router {
	r := &Router{
		freshness:     DefaultMaxReportAge,
		fallback:      DefaultPrefillRate,
		callTime:      DefaultCallDuration,
		prefixTokens:  DefaultPrefixTokens,
		affinityLimit: DefaultAffinityLimit,
		sampleAbove:   DefaultSampleThreshold,
		spread:        DefaultJitter,
		sampler:       newSampler(0),
	}
	for _, o := range options {
		o(r)
	}
	r.slowness = NewSlowness(r.fallback)
	r.assignments = NewAssignments(r.fallback, r.callTime)
	r.assignments.prefixTokens = r.prefixTokens
	r.decisions.New = func() any { return r.newDecision() }
	return r
}

// Slowness returns the router's table of slow servers.
func (r *Router) Slowness() *Slowness {
	return r.slowness
}

// Assignments returns the router's table of requests in progress.
func (r *Router) Assignments() *Assignments {
	return r.assignments
}

// Route returns the backend server for q, or false when no candidate may run
// it.
func (r *Router) Route(q oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	return r.RouteExcept(q, candidates, nil, now)
}

// RouteExcept is like [Router.Route], but never returns one of the tried
// instances. A request whose fingerprint is in progress on a server that may
// run it goes there too, whatever the load, so that copies of a request that
// crashes its server fail together.
func (r *Router) RouteExcept(q oleanderspool.Request, candidates []oleanderspool.BackendServer, tried []oleanderspool.InstanceID, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	d := r.decisions.Get().(*decision)
	defer r.decisions.Put(d)
	d.tried = tried
	allowed := func(i int) bool { return d.allows(q, candidates[i], now) }
	if i := r.holder(q, candidates, allowed); i >= 0 {
		return candidates[i], true
	}
	key := prefixKey(q, r.prefixTokens)
	p := prefer(key, candidates, allowed)
	if p.first < 0 {
		return oleanderspool.BackendServer{}, false
	}
	d.affinity.first, d.affinity.second = candidates[p.first].Instance, ""
	if p.second >= 0 {
		d.affinity.second = candidates[p.second].Instance
	}
	d.affinity.holders = r.assignments.appendPrefixHolders(d.affinity.holders[:0], key, now)
	if len(candidates) > r.sampleAbove {
		candidates = r.sample(d, candidates, p, allowed)
	}
	return d.router.Route(q, candidates, now)
}

// CountExcept returns the number of candidates that may run q and were not
// tried, up to limit. It tells whether a retry has anywhere to go.
func (r *Router) CountExcept(q oleanderspool.Request, candidates []oleanderspool.BackendServer, tried []oleanderspool.InstanceID, limit int, now oleanderspool.Millis) int {
	d := r.decisions.Get().(*decision)
	defer r.decisions.Put(d)
	d.tried = tried
	count := 0
	for i := range candidates {
		if count == limit {
			break
		}
		if d.allows(q, candidates[i], now) {
			count++
		}
	}
	return count
}

// ExpectedDelay returns the span until q probably makes progress on b: the queue
// there, the assignments since its last report, its distance and the prefill of
// q. It is what [Slowness.Observe] compares with.
func (r *Router) ExpectedDelay(q oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) oleanderspool.Millis {
	span := Queue(r.fallback, r.callTime).Cost(q, b, now)
	span += Latency(r.distances, DefaultUnknownLatency).Cost(q, b, now)
	span += r.assignments.Cost(q, b, now)
	return oleanderspool.Millis(span) + 1
}

// holder returns the index of the candidate that runs the request's
// fingerprint, or -1.
func (r *Router) holder(q oleanderspool.Request, candidates []oleanderspool.BackendServer, allowed func(int) bool) int {
	instance, found := r.assignments.InstanceFor(q.Fingerprint)
	if !found {
		return -1
	}
	i := slices.IndexFunc(candidates, func(b oleanderspool.BackendServer) bool { return b.Instance == instance })
	if i >= 0 && !allowed(i) {
		return -1
	}
	return i
}

// sample returns the preferred candidates and two others taken at random.
// Entries that know the same stale reports then do not all choose the same
// server.
func (r *Router) sample(d *decision, candidates []oleanderspool.BackendServer, p preference, allowed func(int) bool) []oleanderspool.BackendServer {
	d.sample = append(d.sample[:0], candidates[p.first])
	if p.second >= 0 {
		d.sample = append(d.sample, candidates[p.second])
	}
	for _, i := range r.sampler.pick(len(candidates), allowed) {
		if i >= 0 {
			d.sample = append(d.sample, candidates[i])
		}
	}
	return d.sample
}
