package membership

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

// minWatches is the number of agents that an entry should watch per backend
// server set and role, so that one is left when another is lost.
const minWatches = 2

// WatchGroup is the agents of a role in a backend server set.
type WatchGroup struct {
	Set  oleanderspool.ServerSetID // empty for agents outside every set
	Role string                    // role in the platform's list
}

// Watches is the set of agents that an entry watches.
type Watches struct {
	Instances []oleanderspool.InstanceID // ordered by name
	// BelowMinimum lists the groups of which too few agents are watched because the
	// limit is too low. They are ordered by set and role.
	BelowMinimum []WatchGroup
}

// ChooseWatches returns at most limit agents for an entry to watch. Every agent has a
// first and a second watcher among the entries of its data centre, determined by
// rendezvous hashing over agent and entry, so that no agent is left without work and
// configuration. An entry prefers the agents of which it is the first watcher, then
// those of which it is the second, then the other agents of its data centre, then the
// rest. Two agents of each backend server set and role are chosen before any others.
// Replacing an agent changes only the choices that contain the agent or its
// replacement.
func (t *Table) ChooseWatches(entry oleanderspool.InstanceID, dataCentre oleanderspool.DataCentreID, limit int) Watches {
	c := watchChoice{
		limit:  limit,
		chosen: make(map[*agent]bool, min(limit, len(t.ordered))),
		counts: make(map[WatchGroup]int),
		sizes:  make(map[WatchGroup]int),
		sets:   t.sets,
	}
	ranked := t.rankWatches(routing.Hash(entry), dataCentre)
	for _, a := range ranked {
		for _, g := range c.groups(a) {
			c.sizes[g]++
		}
	}
	first, second := t.assigned(ranked, routing.Hash(entry), dataCentre)
	ranked = slices.Concat(first, second, ranked)
	for minWatched := 1; minWatched <= minWatches; minWatched++ {
		c.chooseForGroupsBelow(ranked, minWatched)
	}
	c.fill(ranked)
	return c.result()
}

// assigned returns the agents of a data centre of which an entry is the first
// and the second watcher, in the order in which they are ranked.
func (t *Table) assigned(ranked []*agent, entry uint64, dataCentre oleanderspool.DataCentreID) (first, second []*agent) {
	var others []uint64
	for _, e := range t.entries {
		if e.dataCentre == dataCentre && e.hash != entry {
			others = append(others, e.hash)
		}
	}
	for _, a := range ranked {
		if a.listed.DataCentre != dataCentre {
			break // agents of the own data centre are ranked first
		}
		switch watcherRank(a.hash, entry, others) {
		case 0:
			first = append(first, a)
		case 1:
			second = append(second, a)
		}
	}
	return first, second
}

// FirstWatcher reports whether an entry is the first watcher of an agent among the
// listed entries of the agent's data centre, or whether the agent is not listed. The
// first watcher sends the agent the configuration that it lacks; the other watchers
// wait for that first.
func (t *Table) FirstWatcher(entry, instance oleanderspool.InstanceID) bool {
	a := t.agents[instance]
	if a == nil {
		return true
	}
	var others []uint64
	for id, e := range t.entries {
		if e.dataCentre == a.listed.DataCentre && id != entry {
			others = append(others, e.hash)
		}
	}
	return watcherRank(a.hash, routing.Hash(entry), others) == 0
}

// watcherRank returns how many of the other entries have a higher rendezvous weight
// than an entry for an agent, at most 2.
func watcherRank(agent, entry uint64, others []uint64) int {
	own := routing.Weight(agent, entry)
	n := 0
	for _, h := range others {
		if routing.Weight(agent, h) > own {
			n++
		}
		if n == 2 {
			return n
		}
	}
	return n
}

type rankedAgent struct {
	agent  *agent
	remote bool // in another data centre
	weight uint64
}

// rankWatches returns all agents in the order in which an entry prefers them: agents
// of its data centre first, each part by rendezvous weight.
func (t *Table) rankWatches(entry uint64, dataCentre oleanderspool.DataCentreID) []*agent {
	ranked := make([]rankedAgent, len(t.ordered))
	for i, a := range t.ordered {
		ranked[i] = rankedAgent{a, a.listed.DataCentre != dataCentre, routing.Weight(entry, a.hash)}
	}
	slices.SortFunc(ranked, func(a, b rankedAgent) int {
		if a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), compareAgents(a.agent, b.agent))
	})
	agents := make([]*agent, len(ranked))
	for i, r := range ranked {
		agents[i] = r.agent
	}
	return agents
}

// watchChoice is a choice of agents that is being made.
type watchChoice struct {
	limit  int
	chosen map[*agent]bool
	counts map[WatchGroup]int // number of chosen agents
	sizes  map[WatchGroup]int // number of listed agents
	sets   map[oleanderspool.InstanceID][]oleanderspool.ServerSetID
}

func (c *watchChoice) groups(a *agent) []WatchGroup {
	sets := c.sets[a.listed.Instance]
	if len(sets) == 0 {
		return []WatchGroup{{Role: a.listed.Role}}
	}
	groups := make([]WatchGroup, len(sets))
	for i, s := range sets {
		groups[i] = WatchGroup{Set: s, Role: a.listed.Role}
	}
	return groups
}

// chooseForGroupsBelow chooses agents of the groups that have fewer than minWatched
// chosen agents.
func (c *watchChoice) chooseForGroupsBelow(ranked []*agent, minWatched int) {
	for _, a := range ranked {
		below := slices.ContainsFunc(c.groups(a), func(g WatchGroup) bool { return c.counts[g] < minWatched })
		if below {
			c.choose(a)
		}
	}
}

// fill chooses agents in order of preference until the limit is reached.
func (c *watchChoice) fill(ranked []*agent) {
	for _, a := range ranked {
		if len(c.chosen) >= c.limit {
			return
		}
		c.choose(a)
	}
}

// choose adds an agent to the choice unless it is chosen already or the limit is
// reached.
func (c *watchChoice) choose(a *agent) {
	if len(c.chosen) >= c.limit || c.chosen[a] {
		return
	}
	c.chosen[a] = true
	for _, g := range c.groups(a) {
		c.counts[g]++
	}
}

func (c *watchChoice) result() Watches {
	w := Watches{Instances: make([]oleanderspool.InstanceID, 0, len(c.chosen))}
	for a := range c.chosen {
		w.Instances = append(w.Instances, a.listed.Instance)
	}
	slices.Sort(w.Instances)
	for g, size := range c.sizes {
		if c.counts[g] < min(minWatches, size) {
			w.BelowMinimum = append(w.BelowMinimum, g)
		}
	}
	slices.SortFunc(w.BelowMinimum, func(a, b WatchGroup) int {
		return cmp.Or(cmp.Compare(a.Set, b.Set), cmp.Compare(a.Role, b.Role))
	})
	return w
}
