package routing

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// group is a possible group of backend servers for one prompt.
type group struct {
	members []oleanderspool.BackendServer
	free    int64   // free memory of the members, in tokens
	cost    float64 // distance of the members, in milliseconds
}

// PlanGroup returns the backend servers that serve a prompt together: the fewest of
// one data centre whose engine memory holds the request. Among equally small
// groups the nearer one wins, then the one with more free memory. The members
// are ordered by instance, the order in which memory is reserved. It returns
// false when no data centre holds the request.
func (r *Router) PlanGroup(q oleanderspool.Request, candidates []oleanderspool.BackendServer, tried []oleanderspool.InstanceID, now oleanderspool.Millis) ([]oleanderspool.BackendServer, bool) {
	need := RequiredMemory(q)
	var best group
	for _, servers := range r.byDataCentre(q, candidates, tried, now) {
		g, found := smallestGroup(servers, need)
		if !found {
			continue
		}
		g.cost = Latency(r.distances, DefaultUnknownLatency).Cost(q, g.members[0], now)
		if best.members == nil || compareGroups(g, best) < 0 {
			best = g
		}
	}
	slices.SortFunc(best.members, func(a, b oleanderspool.BackendServer) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	return best.members, best.members != nil
}

// byDataCentre returns the allowed candidates of each data centre, ordered by
// the name of the data centre. Candidates that have not reported their memory
// are left out.
func (r *Router) byDataCentre(q oleanderspool.Request, candidates []oleanderspool.BackendServer, tried []oleanderspool.InstanceID, now oleanderspool.Millis) [][]oleanderspool.BackendServer {
	d := r.decisions.Get().(*decision)
	defer r.decisions.Put(d)
	d.tried = tried
	// The check of the memory of a single server does not apply to a group.
	member := q
	member.PromptTokens, member.MaxTokens = 0, 0
	servers := make(map[oleanderspool.DataCentreID][]oleanderspool.BackendServer)
	for _, b := range candidates {
		if b.Load.CapacityTokens > 0 && d.allows(member, b, now) {
			servers[b.DataCentre] = append(servers[b.DataCentre], b)
		}
	}
	names := make([]oleanderspool.DataCentreID, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	slices.Sort(names)
	lists := make([][]oleanderspool.BackendServer, len(names))
	for i, name := range names {
		lists[i] = servers[name]
	}
	return lists
}

// smallestGroup returns the fewest servers whose memory holds need tokens,
// preferring those with more free memory where that takes no further server.
func smallestGroup(servers []oleanderspool.BackendServer, need int64) (group, bool) {
	slices.SortFunc(servers, func(a, b oleanderspool.BackendServer) int {
		return cmp.Or(cmp.Compare(b.Load.CapacityTokens, a.Load.CapacityTokens), compareFree(a, b))
	})
	largest, found := prefixHolding(servers, need)
	if !found {
		return group{}, false
	}
	freest := slices.Clone(servers)
	slices.SortFunc(freest, compareFree)
	freest = freest[:len(largest)]
	if totalSize(freest) >= need {
		return newGroup(freest), true
	}
	return newGroup(largest), true
}

func compareFree(a, b oleanderspool.BackendServer) int {
	return cmp.Or(cmp.Compare(b.Load.FreeTokens, a.Load.FreeTokens), cmp.Compare(a.Instance, b.Instance))
}

// prefixHolding returns the shortest prefix of servers that holds need tokens.
func prefixHolding(servers []oleanderspool.BackendServer, need int64) ([]oleanderspool.BackendServer, bool) {
	var size int64
	for i, b := range servers {
		size += b.Load.CapacityTokens
		if size >= need {
			return servers[:i+1], true
		}
	}
	return nil, false
}

func totalSize(servers []oleanderspool.BackendServer) int64 {
	var size int64
	for _, b := range servers {
		size += b.Load.CapacityTokens
	}
	return size
}

func newGroup(members []oleanderspool.BackendServer) group {
	g := group{members: members}
	for _, b := range members {
		g.free += b.Load.FreeTokens
	}
	return g
}

// compareGroups orders groups by size, distance and free memory.
func compareGroups(a, b group) int {
	return cmp.Or(
		cmp.Compare(len(a.members), len(b.members)),
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(b.free, a.free),
	)
}
