// Package routing chooses the backend server for a request: filters exclude servers
// that must not be chosen, and scorers estimate the delay of the request on each of
// the others.
package routing

import (
	"slices"
	"sync"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of [NewRouter].
const (
	// DefaultMaxReportAge is the age above which a report is too old for its server to be
	// chosen. It equals the bound of the membership table.
	DefaultMaxReportAge oleanderspool.Millis = 2500
	// DefaultPrefillRate is assumed until a server has reported its rate, in
	// tokens per millisecond.
	DefaultPrefillRate = 8.0
	// DefaultCallDuration is the assumed duration of a service call.
	DefaultCallDuration oleanderspool.Millis = 5
	// DefaultPrefixTokens is the length of the prefix that decides affinity. It must not
	// exceed the text that most requests share: with 1024 tokens, each of several
	// requests that share 600 to 800 tokens had its own preferred server.
	DefaultPrefixTokens = 512
	// DefaultMaxSaving bounds the prefill time that a cached prefix is assumed to save,
	// in milliseconds.
	DefaultMaxSaving oleanderspool.Millis = 500
	// DefaultJitter bounds the pseudo-random cost per request and server, in
	// milliseconds. For prompts of the shortest class the bound is half as much.
	DefaultJitter oleanderspool.Millis = 60
	// DefaultOneWayLatency is the one-way latency of a data centre that the settings do
	// not name, in milliseconds.
	DefaultOneWayLatency = 20.0
	// DefaultSampleThreshold is the number of candidates above which only a sample
	// of them is scored.
	DefaultSampleThreshold = 64
)

// Priorities of the standard filters, cheap ones first, and of the standard scorers.
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

// WithSets sets the function that returns the server set for a request. Without it,
// server sets are not checked.
func WithSets(setOf func(oleanderspool.Request) (oleanderspool.ServerSetID, bool)) Option {
	return func(r *Router) { r.serverSet = setOf }
}

// WithRequiredRevision sets the function that returns the configuration revision that
// a request requires. Without it, every revision is sufficient.
func WithRequiredRevision(required func(oleanderspool.Request) oleanderspool.Revision) Option {
	return func(r *Router) { r.requiredRevision = required }
}

// WithLatencies sets the one-way network latencies to data centres in milliseconds.
func WithLatencies(oneWay map[oleanderspool.DataCentreID]float64) Option {
	return func(r *Router) { r.latencies = oneWay }
}

// WithAffinity sets the length of the prefix that decides affinity, in tokens, and the
// bound of the prefill time that a cached prefix is assumed to save, in milliseconds.
func WithAffinity(tokens int, maxSaving oleanderspool.Millis) Option {
	return func(r *Router) { r.prefixTokens, r.maxSaving = tokens, maxSaving }
}

// WithJitter bounds the pseudo-random cost per request and server, in milliseconds. 0
// disables it.
func WithJitter(limit oleanderspool.Millis) Option {
	return func(r *Router) { r.jitter = limit }
}

// WithSeed seeds the random sample of candidates, for tests.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.sampler = newSampler(seed) }
}

// Router is the standard [oleanderspool.Router]. It is safe for concurrent
// use.
type Router struct {
	serverSet        func(oleanderspool.Request) (oleanderspool.ServerSetID, bool)
	requiredRevision func(oleanderspool.Request) oleanderspool.Revision
	maxReportAge     oleanderspool.Millis
	defaultRate      float64
	callDuration     oleanderspool.Millis
	latencies        map[oleanderspool.DataCentreID]float64
	prefixTokens     int
	maxSaving        oleanderspool.Millis
	sampleThreshold  int
	jitter           oleanderspool.Millis
	addedFilters     []oleanderspool.Prioritized[oleanderspool.Filter]
	addedScorers     []oleanderspool.Prioritized[oleanderspool.Scorer]

	sampler     *sampler
	slowness    *Slowness
	assignments *Assignments
	decisions   sync.Pool // of *decision
}

// NewRouter returns a router with the standard filters and scorers.
func NewRouter(options ...Option) *Router {
	r := &Router{
		maxReportAge:    DefaultMaxReportAge,
		defaultRate:     DefaultPrefillRate,
		callDuration:    DefaultCallDuration,
		prefixTokens:    DefaultPrefixTokens,
		maxSaving:       DefaultMaxSaving,
		sampleThreshold: DefaultSampleThreshold,
		jitter:          DefaultJitter,
		sampler:         newSampler(0),
	}
	for _, o := range options {
		o(r)
	}
	r.slowness = NewSlowness(r.defaultRate)
	r.assignments = NewAssignments(r.defaultRate, r.callDuration)
	r.assignments.prefixTokens = r.prefixTokens
	r.decisions.New = func() any { return r.newDecision() }
	return r
}

// Slowness returns the router's slowness scorer, to which observations are added.
func (r *Router) Slowness() *Slowness {
	return r.slowness
}

// Assignments returns the router's tracker of attempts in progress.
func (r *Router) Assignments() *Assignments {
	return r.assignments
}

// Route returns the backend server for q, or false when no candidate may run it.
func (r *Router) Route(q oleanderspool.Request, candidates []oleanderspool.BackendServer, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	return r.RouteExcept(q, candidates, nil, now)
}

// RouteExcept is like [Router.Route], but never returns one of the tried instances. If
// a request with the same fingerprint is in progress on a server that may run q, it
// returns that server whatever its load, so that copies of a request that crashes its
// server fail together.
func (r *Router) RouteExcept(q oleanderspool.Request, candidates []oleanderspool.BackendServer, tried []oleanderspool.InstanceID, now oleanderspool.Millis) (oleanderspool.BackendServer, bool) {
	d := r.decisions.Get().(*decision)
	defer r.decisions.Put(d)
	d.tried = tried
	allowed := func(i int) bool { return d.allows(q, candidates[i], now) }
	if i := r.fingerprintServer(q, candidates, allowed); i >= 0 {
		return candidates[i], true
	}
	key := prefixKey(q, r.prefixTokens)
	p := preferredServers(key, candidates, allowed)
	if p.first < 0 {
		return oleanderspool.BackendServer{}, false
	}
	d.affinity.first, d.affinity.second = candidates[p.first].Instance, ""
	if p.second >= 0 {
		d.affinity.second = candidates[p.second].Instance
	}
	d.affinity.holders = r.assignments.appendPrefixHolders(d.affinity.holders[:0], key, now)
	if len(candidates) > r.sampleThreshold {
		candidates = r.sample(d, candidates, p, allowed)
	}
	return d.router.Route(q, candidates, now)
}

// CountExcept returns the number of candidates that may run q and were not tried, at
// most limit. It shows whether a retry has a server left.
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

// ExpectedDelay returns the expected time until q makes progress on b, for example its
// first token: the queue, the assignments since the last report, the network round
// trip and the prefill of q. Pass it to [Slowness.Observe] as the expected time.
func (r *Router) ExpectedDelay(q oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) oleanderspool.Millis {
	delay := Queue(r.defaultRate, r.callDuration).Cost(q, b, now)
	delay += Latency(r.latencies, DefaultOneWayLatency).Cost(q, b, now)
	delay += r.assignments.Cost(q, b, now)
	return oleanderspool.Millis(delay) + 1 // never 0, although the conversion rounds down
}

// fingerprintServer returns the index of the candidate that runs the request's
// fingerprint, or -1.
func (r *Router) fingerprintServer(q oleanderspool.Request, candidates []oleanderspool.BackendServer, allowed func(int) bool) int {
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

// sample returns the preferred candidates and two others chosen at random, so that
// entries with the same stale reports do not all choose the same server.
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
