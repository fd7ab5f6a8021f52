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

// ApplyList merges the platform's answer to a poll that was sent at an
// instant; an answer to an older poll is ignored.
//
// An instance that is absent is gone, and one that returns is new: reports of
// its earlier life are not applied. An instance that the list marks as leaving
// is not chosen, even when a new incarnation reports, because the list may
// know of a planned stop that the agent does not know of yet.
func (t *Table) ApplyList(sentAt oleanderspool.Millis, list []oleanderspool.InstanceState, now oleanderspool.Millis) []Change {
	return t.applyListed(t.list.ApplyPoll(sentAt, list), now)
}

// ApplyUpdate merges what another entry tells of the list.
func (t *Table) ApplyUpdate(u ListUpdate, now oleanderspool.Millis) (ListReply, []Change) {
	reply, listed := t.list.ApplyUpdate(u, now)
	return reply, t.applyListed(listed, now)
}

// ListRevision rises with each change of the list or the sets, on which the
// choice of watches depends.
func (t *Table) ListRevision() int {
	return t.listRevision
}

// EntryCount returns the number of listed entries that do not leave, at least 1.
// They share the rates of client accounts.
func (t *Table) EntryCount() int {
	return max(1, len(t.entries))
}

// applyListed merges changes of the list. Instances other than entries and
// backend servers are skipped.
func (t *Table) applyListed(listed []ListChange, now oleanderspool.Millis) []Change {
	if len(listed) == 0 {
		return nil
	}
	t.listRevision++
	var changes []Change
	removed := false
	for _, c := range listed {
		s := c.State
		delete(t.entries, s.Instance)
		if !c.Gone && s.Role == listedEntry && !s.Leaving {
			t.entries[s.Instance] = listedPeer{routing.Hash(s.Instance), s.DataCentre}
		}
		if c.Gone || s.Role != listedModel && s.Role != listedService {
			removed = t.remove(s.Instance, &changes) || removed
			continue
		}
		changes = t.insert(s, changes)
	}
	t.order(removed)
	t.publish(now)
	return changes
}

// insert takes an instance that is new or differs from what was known.
func (t *Table) insert(s oleanderspool.InstanceState, changes []Change) []Change {
	a := t.agents[s.Instance]
	if a == nil {
		a = newAgent(s, t.lastStream)
		t.agents[s.Instance] = a
		t.ordered = append(t.ordered, a)
		return append(changes, a.change(Appeared))
	}
	a.listed = s
	return t.merge(a, changes)
}

func (t *Table) remove(instance oleanderspool.InstanceID, changes *[]Change) bool {
	a := t.agents[instance]
	if a == nil {
		return false
	}
	delete(t.agents, instance)
	t.excluded = true
	*changes = append(*changes, a.change(Gone))
	return true
}

// order drops the agents that were removed and sorts those that were added.
func (t *Table) order(removed bool) {
	if removed {
		t.ordered = slices.DeleteFunc(t.ordered, func(a *agent) bool { return t.agents[a.listed.Instance] != a })
	}
	if !slices.IsSortedFunc(t.ordered, compareAgents) {
		slices.SortFunc(t.ordered, compareAgents)
	}
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

// ApplySets takes the backend server sets of a configuration, which must not
// be modified afterwards. Sets of an older revision are ignored, and equal ones
// cost a comparison only, since most changes of a configuration touch no set.
func (t *Table) ApplySets(revision oleanderspool.Revision, sets []configuration.ServerSet, now oleanderspool.Millis) {
	if revision < t.setRevision {
		return
	}
	t.setRevision = revision
	if t.sets != nil && slices.EqualFunc(t.applied, sets, equalMembers) {
		return
	}
	t.applied = sets
	t.listRevision++
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

func equalMembers(a, b configuration.ServerSet) bool {
	return a.ID == b.ID && slices.Equal(a.Instances, b.Instances)
}
