package membership

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Roles in the platform's list.
const (
	listedEntry   = "entry"
	listedModel   = "model"
	listedService = "service"
)

// listedPeer is an entry of the platform's list.
type listedPeer struct {
	hash       uint64
	dataCentre oleanderspool.DataCentreID
}

// ApplyList merges the platform's list. poll numbers the polls in the order
// in which they were sent; the answer to an older poll is ignored. Instances
// other than entries and backend servers are skipped.
//
// An instance that is absent is gone, and one that returns is new: reports of
// its earlier life are not applied. An instance that the list marks as leaving
// is not chosen, even when a new incarnation reports, because the list may
// know of a planned stop that the agent does not know of yet.
func (t *Table) ApplyList(poll int64, list []oleanderspool.InstanceState, now oleanderspool.Millis) []Change {
	if poll <= t.poll {
		return nil
	}
	t.poll = poll
	listed := make(map[oleanderspool.InstanceID]bool, len(list))
	var changes []Change
	t.entries = t.entries[:0]
	for _, s := range list {
		if s.Role == listedEntry && !s.Leaving {
			t.entries = append(t.entries, listedPeer{routing.Hash(s.Instance), s.DataCentre})
		}
		if s.Role != listedModel && s.Role != listedService {
			continue
		}
		listed[s.Instance] = true
		changes = t.list(s, changes)
	}
	changes = t.removeUnlisted(listed, changes)
	t.publish(now)
	return changes
}

// Entries returns the number of listed entries that do not leave, at least 1.
// They share the rates of client accounts.
func (t *Table) Entries() int {
	return max(1, len(t.entries))
}

func (t *Table) list(s oleanderspool.InstanceState, changes []Change) []Change {
	a := t.agents[s.Instance]
	if a == nil {
		a = newAgent(s, t.lastStream)
		t.agents[s.Instance] = a
		t.ordered = append(t.ordered, a)
		return append(changes, a.change(Appeared))
	}
	if a.listed == s {
		return changes
	}
	a.listed = s
	return t.merge(a, changes)
}

func (t *Table) removeUnlisted(listed map[oleanderspool.InstanceID]bool, changes []Change) []Change {
	kept := t.ordered[:0]
	for _, a := range t.ordered {
		if listed[a.listed.Instance] {
			kept = append(kept, a)
			continue
		}
		delete(t.agents, a.listed.Instance)
		t.excluded = true
		changes = append(changes, a.change(Gone))
	}
	clear(t.ordered[len(kept):])
	t.ordered = kept
	if !slices.IsSortedFunc(t.ordered, compareAgents) {
		slices.SortFunc(t.ordered, compareAgents)
	}
	return changes
}

// merge brings the server value in line with the list, the sets and the
// announcement of the agent.
func (t *Table) merge(a *agent, changes []Change) []Change {
	if !a.reported {
		return changes
	}
	wasLeaving := a.server.Leaving
	a.server.Instance = a.listed.Instance
	a.server.DataCentre = a.listed.DataCentre
	a.server.Address = a.listed.Address
	a.server.Sets = t.sets[a.listed.Instance]
	a.server.Leaving = a.leaving || a.listed.Leaving
	t.changed = true
	if a.server.Leaving && !wasLeaving {
		t.excluded = true
		changes = append(changes, a.change(Leaving))
	}
	return changes
}

// ApplySets takes the backend server sets of a configuration. Sets of an older
// revision are ignored.
func (t *Table) ApplySets(revision oleanderspool.Revision, sets []configuration.ServerSet, now oleanderspool.Millis) {
	if revision < t.setRevision {
		return
	}
	t.setRevision = revision
	t.sets = make(map[oleanderspool.InstanceID][]oleanderspool.ServerSetID)
	for _, s := range sets {
		for _, instance := range s.Instances {
			t.sets[instance] = append(t.sets[instance], s.ID)
		}
	}
	for _, a := range t.ordered {
		t.merge(a, nil)
	}
	t.publish(now)
}
