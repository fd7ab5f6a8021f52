package membership

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Roles of instances in the platform's list.
const (
	roleEntry   = "entry"
	roleModel   = "model"
	roleService = "service"
)

// listedEntry is an entry in the platform's list.
type listedEntry struct {
	hash       uint64
	dataCentre oleanderspool.DataCentreID
}

// ApplyList merges the platform's answer to a poll that was sent at sentAt. The
// answer is ignored if the list is already confirmed as of sentAt or later.
//
// An instance that is absent from the answer is removed. One that returns later
// counts as new, and reports from before its removal are not applied. An instance
// that the list marks as leaving is not eligible, even when a new incarnation
// reports, because the list may contain a planned stop that the agent does not
// know of yet.
func (t *Table) ApplyList(sentAt oleanderspool.Millis, list []oleanderspool.InstanceState, now oleanderspool.Millis) []Change {
	return t.applyListChanges(t.list.ApplyPoll(sentAt, list), now)
}

// ApplyUpdate merges another entry's update of the list and returns the reply to it.
func (t *Table) ApplyUpdate(u ListUpdate, now oleanderspool.Millis) (ListReply, []Change) {
	reply, listed := t.list.ApplyUpdate(u, now)
	return reply, t.applyListChanges(listed, now)
}

// ListRevision returns a number that rises with each change of the list or of the
// backend server sets. The choice of watches depends on both.
func (t *Table) ListRevision() int {
	return t.listRevision
}

// EntryCount returns the number of listed entries that are not leaving, at least 1.
// The rate limits of client accounts are divided among them.
func (t *Table) EntryCount() int {
	return max(1, len(t.entries))
}

// applyListChanges merges changes of the list. Instances that are neither entries
// nor backend servers are skipped.
func (t *Table) applyListChanges(listed []ListChange, now oleanderspool.Millis) []Change {
	if len(listed) == 0 {
		return nil
	}
	t.listRevision++
	var changes []Change
	removed := false
	for _, c := range listed {
		s := c.State
		delete(t.entries, s.Instance)
		if !c.Removed && s.Role == roleEntry && !s.Leaving {
			t.entries[s.Instance] = listedEntry{routing.Hash(s.Instance), s.DataCentre}
		}
		if c.Removed || s.Role != roleModel && s.Role != roleService {
			removed = t.remove(s.Instance, &changes) || removed
			continue
		}
		changes = t.insert(s, changes)
	}
	t.sortAgents(removed)
	t.publish(now)
	return changes
}

// insert adds a new instance or updates the listed state of a known one.
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
	t.exclusionDue = true
	*changes = append(*changes, a.change(Removed))
	return true
}

// sortAgents drops removed agents, if there are any, and restores the order after
// agents were added.
func (t *Table) sortAgents(removed bool) {
	if removed {
		t.ordered = slices.DeleteFunc(t.ordered, func(a *agent) bool { return t.agents[a.listed.Instance] != a })
	}
	if !slices.IsSortedFunc(t.ordered, compareAgents) {
		slices.SortFunc(t.ordered, compareAgents)
	}
}

// merge updates the server value of an agent from the list, the sets and the agent's
// own announcement that it leaves.
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
	t.changeDue = true
	if a.server.Leaving && !wasLeaving {
		t.exclusionDue = true
		changes = append(changes, a.change(Leaving))
	}
	return changes
}

// ApplySets applies the backend server sets of a configuration revision; sets must
// not be modified afterwards. Sets of an older revision are ignored. Unchanged sets
// cost no more than a comparison, since most configuration changes affect no set.
func (t *Table) ApplySets(revision oleanderspool.Revision, sets []configuration.ServerSet, now oleanderspool.Millis) {
	if revision < t.setRevision {
		return
	}
	t.setRevision = revision
	if t.sets != nil && slices.EqualFunc(t.appliedSets, sets, equalMembers) {
		return
	}
	t.appliedSets = sets
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
