package routing

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// decision holds the state of one call of [Router.RouteExcept]. The root package's
// router calls filters and scorers for one candidate at a time, so values that
// depend on all candidates are stored here before the root package's router is called.
type decision struct {
	filters  []oleanderspool.Filter
	router   oleanderspool.Router
	affinity *affinity
	tried    []oleanderspool.InstanceID
	sample   []oleanderspool.BackendServer
}

func (r *Router) newDecision() *decision {
	d := &decision{
		affinity: &affinity{tokens: r.prefixTokens, maxSaving: r.maxSaving, defaultRate: r.defaultRate, callDuration: r.callDuration},
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
			oleanderspool.Prioritize(Queue(r.defaultRate, r.callDuration), PriorityQueue),
			oleanderspool.Prioritize[oleanderspool.Scorer](d.affinity, PriorityAffinity),
			oleanderspool.Prioritize(Memory(r.defaultRate, r.assignments), PriorityMemory),
			oleanderspool.Prioritize(Latency(r.latencies, DefaultOneWayLatency), PriorityLatency),
			oleanderspool.Prioritize(Jitter(r.jitter), PriorityJitter),
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
		oleanderspool.Prioritize(Fresh(r.maxReportAge), PriorityFresh),
		oleanderspool.Prioritize[oleanderspool.Filter](FilterFunc(d.untried), PriorityUntried),
	}
	if r.requiredRevision != nil {
		filters = append(filters, oleanderspool.Prioritize(AtRevision(r.requiredRevision), PriorityAtRevision))
	}
	filters = append(filters,
		oleanderspool.Prioritize(FitsMemory(), PriorityFitsMemory),
		oleanderspool.Prioritize(Serving(), PriorityServing),
	)
	if r.serverSet != nil {
		filters = append(filters, oleanderspool.Prioritize(InSet(r.serverSet), PriorityInSet))
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
