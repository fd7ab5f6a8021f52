package routing

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// decision holds what one call of Route needs. The root package's router asks
// filters and scorers for one candidate at a time, so the facts that depend on
// all candidates are stored here before it is called.
type decision struct {
	filters  []oleanderspool.Filter
	router   oleanderspool.Router
	affinity *affinity
	tried    []oleanderspool.InstanceID
	sample   []oleanderspool.BackendServer
}

func (r *Router) newDecision() *decision {
	d := &decision{
		affinity: &affinity{tokens: r.prefixTokens, limit: r.affinityLimit, fallback: r.fallback, callTime: r.callTime},
	}
	filters := append(r.filters(d), r.addedFilters...)
	slices.SortStableFunc(filters, func(a, b oleanderspool.Prioritized[oleanderspool.Filter]) int {
		return a.Priority - b.Priority
	})
	for _, f := range filters {
		d.filters = append(d.filters, f.Value)
	}
	d.router = oleanderspool.New(
		oleanderspool.WithFilters(filters...),
		oleanderspool.WithScorers(
			oleanderspool.Prioritize(Queue(r.fallback, r.callTime), PriorityQueue),
			oleanderspool.Prioritize[oleanderspool.Scorer](d.affinity, PriorityAffinity),
			oleanderspool.Prioritize(Memory(r.fallback, r.assignments), PriorityMemory),
			oleanderspool.Prioritize(Latency(r.distances, DefaultUnknownLatency), PriorityLatency),
			oleanderspool.Prioritize(Jitter(r.spread), PriorityJitter),
			oleanderspool.Prioritize[oleanderspool.Scorer](r.slowness, PrioritySlowness),
			oleanderspool.Prioritize[oleanderspool.Scorer](r.assignments, PriorityAssignments),
		),
		oleanderspool.WithScorers(r.addedScorers...),
	)
	return d
}

func (r *Router) filters(d *decision) []oleanderspool.Prioritized[oleanderspool.Filter] {
	filters := []oleanderspool.Prioritized[oleanderspool.Filter]{
		oleanderspool.Prioritize(NotLeaving(), PriorityNotLeaving),
		oleanderspool.Prioritize(Fresh(r.freshness), PriorityFresh),
		oleanderspool.Prioritize[oleanderspool.Filter](FilterFunc(d.untried), PriorityUntried),
	}
	if r.needed != nil {
		filters = append(filters, oleanderspool.Prioritize(AtRevision(r.needed), PriorityAtRevision))
	}
	filters = append(filters,
		oleanderspool.Prioritize(FitsMemory(), PriorityFitsMemory),
		oleanderspool.Prioritize(Serving(), PriorityServing),
	)
	if r.set != nil {
		filters = append(filters, oleanderspool.Prioritize(InSet(r.set), PriorityInSet))
	}
	return filters
}

func (d *decision) untried(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
	return !slices.Contains(d.tried, b.Instance)
}

func (d *decision) allows(q oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) bool {
	for _, f := range d.filters {
		if !f.Allows(q, b, now) {
			return false
		}
	}
	return true
}
