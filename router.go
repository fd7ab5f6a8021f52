package oleanderspool

import (
	"slices"
)

// Filter removes backend servers that must not be chosen for a request.
type Filter interface {
	// Allows reports whether b may run r.
	Allows(r Request, b BackendServer, now Millis) bool
}

// Scorer computes the cost of running a request on a backend server. Costs are
// milliseconds of expected delay; lower is better, and the costs of all scorers
// are added.
type Scorer interface {
	// Cost returns the expected delay that b adds to r, in milliseconds.
	Cost(r Request, b BackendServer, now Millis) float64
}

// Router chooses a backend server for a request. It is safe for concurrent
// use if its filters and scorers are.
type Router interface {
	// Route returns the candidate with the lowest cost for r. It returns false
	// when the filters allow no candidate.
	Route(r Request, candidates []BackendServer, now Millis) (BackendServer, bool)
}

// Prioritized is a value with a priority. Lower priorities come first.
type Prioritized[T any] struct {
	Value    T
	Priority int
}

// Prioritize returns value with the given priority.
func Prioritize[T any](value T, priority int) Prioritized[T] {
	return Prioritized[T]{Value: value, Priority: priority}
}

// Option configures the router that [New] returns.
type Option func(*router)

// WithFilters adds filters. They are evaluated in ascending order of priority
// until one rejects the backend server, so cheap filters should have low values.
func WithFilters(filters ...Prioritized[Filter]) Option {
	return func(r *router) {
		r.filters = append(r.filters, filters...)
	}
}

// WithScorers adds scorers. Their costs are added.
func WithScorers(scorers ...Prioritized[Scorer]) Option {
	return func(r *router) {
		r.scorers = append(r.scorers, scorers...)
	}
}

type router struct {
	filters []Prioritized[Filter]
	scorers []Prioritized[Scorer]
}

// New returns a router built from the given options. Without options it
// chooses the first candidate.
func New(options ...Option) Router {
	r := &router{}
	for _, o := range options {
		o(r)
	}
	sortByPriority(r.filters)
	sortByPriority(r.scorers)
	return r
}

func sortByPriority[T any](s []Prioritized[T]) {
	slices.SortStableFunc(s, func(a, b Prioritized[T]) int {
		return a.Priority - b.Priority
	})
}

// Route returns the allowed candidate with the lowest total cost, or the first
// of them in a tie.
func (r *router) Route(q Request, candidates []BackendServer, now Millis) (BackendServer, bool) {
	best, lowest := -1, 0.0
	for i := range candidates {
		if !r.allows(q, candidates[i], now) {
			continue
		}
		cost := r.cost(q, candidates[i], now)
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return BackendServer{}, false
	}
	return candidates[best], true
}

func (r *router) allows(q Request, b BackendServer, now Millis) bool {
	for _, f := range r.filters {
		if !f.Value.Allows(q, b, now) {
			return false
		}
	}
	return true
}

func (r *router) cost(q Request, b BackendServer, now Millis) float64 {
	total := 0.0
	for _, s := range r.scorers {
		total += s.Value.Cost(q, b, now)
	}
	return total
}
