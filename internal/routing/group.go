package routing

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// group is a candidate group of backend servers for one prompt.
type group struct {
	members    []oleanderspool.BackendServer
	freeTokens int64   // free memory of the members, in tokens
	latency    float64 // round trip to the members, in milliseconds
}

// PlanGroup returns the backend servers that serve a prompt together: the smallest
// group of one data centre whose memory holds the request. Of equally small groups
// the nearest wins, then the one with the most free memory. The members are ordered
// by instance, which is the order in which memory is reserved. It returns false when
// no data centre can hold the request.
func (r *Router) PlanGroup(q oleanderspool.Request, candidates []oleanderspool.BackendServer, tried []oleanderspool.InstanceID, now oleanderspool.Millis) ([]oleanderspool.BackendServer, bool) {
	required := RequiredMemory(q)
	var best group
	for _, servers := range r.byDataCentre(q, candidates, tried, now) {
		g, found := smallestGroup(servers, required)
		if !found {
			continue
		}
		g.latency = Latency(r.latencies, DefaultOneWayLatency).Cost(q, g.members[0], now)
		if best.members == nil || compareGroups(g, best) < 0 {
			best = g
		}
	}
	slices.SortFunc(best.members, func(a, b oleanderspool.BackendServer) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	return best.members, best.members != nil
}

// byDataCentre returns the allowed candidates grouped by data centre, in the order of
// the data centres' names. Candidates that have not reported their memory are left
// out.
func (r *Router) byDataCentre(q oleanderspool.Request, candidates []oleanderspool.BackendServer, tried []oleanderspool.InstanceID, now oleanderspool.Millis) [][]oleanderspool.BackendServer {
	d := r.decisions.Get().(*decision)
	defer r.decisions.Put(d)
	d.tried = tried
	// FitsMemory checks the memory of a single server, which does not apply to a
	// group, so the request is checked with no tokens.
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

// smallestGroup returns the fewest servers whose memory holds the required tokens. It
// prefers servers with more free memory if that does not make the group larger.
func smallestGroup(servers []oleanderspool.BackendServer, required int64) (group, bool) {
	slices.SortFunc(servers, func(a, b oleanderspool.BackendServer) int {
		return cmp.Or(cmp.Compare(b.Load.CapacityTokens, a.Load.CapacityTokens), compareFreeMemory(a, b))
	})
	largest, found := fewestServers(servers, required)
	if !found {
		return group{}, false
	}
	mostFree := slices.Clone(servers)
	slices.SortFunc(mostFree, compareFreeMemory)
	mostFree = mostFree[:len(largest)]
	if totalCapacity(mostFree) >= required {
		return newGroup(mostFree), true
	}
	return newGroup(largest), true
}

func compareFreeMemory(a, b oleanderspool.BackendServer) int {
	return cmp.Or(cmp.Compare(b.Load.FreeTokens, a.Load.FreeTokens), cmp.Compare(a.Instance, b.Instance))
}

// fewestServers returns the first servers of the list, as few as hold the required
// tokens.
func fewestServers(servers []oleanderspool.BackendServer, required int64) ([]oleanderspool.BackendServer, bool) {
	var capacity int64
	for i, b := range servers {
		capacity += b.Load.CapacityTokens
		if capacity >= required {
			return servers[:i+1], true
		}
	}
	return nil, false
}

func totalCapacity(servers []oleanderspool.BackendServer) int64 {
	var capacity int64
	for _, b := range servers {
		capacity += b.Load.CapacityTokens
	}
	return capacity
}

func newGroup(members []oleanderspool.BackendServer) group {
	g := group{members: members}
	for _, b := range members {
		g.freeTokens += b.Load.FreeTokens
	}
	return g
}

// compareGroups orders groups by size, round trip and free memory.
func compareGroups(a, b group) int {
	return cmp.Or(
		cmp.Compare(len(a.members), len(b.members)),
		cmp.Compare(a.latency, b.latency),
		cmp.Compare(b.freeTokens, a.freeTokens),
	)
}
