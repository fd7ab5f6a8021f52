package membership

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Stream is the number of a watch stream that this entry opened; numbers rise in the
// order of opening. Incarnations themselves have no order. But only one agent at a
// time listens on the address of an instance, so of two incarnations the one that
// answered on the stream opened later is the newer one.
type Stream int64

// Report is the state that an agent sends on a watch stream.
type Report struct {
	Stream      Stream
	Position    int64 // from 1, rising within the stream
	Instance    oleanderspool.InstanceID
	Incarnation oleanderspool.Incarnation
	Role        oleanderspool.ServerRole
	Leaving     bool
	Revision    oleanderspool.Revision
	Models      []oleanderspool.ModelID // not to be modified
	Routes      []oleanderspool.RouteID // not to be modified
	Load        oleanderspool.Load
	AgentClock  oleanderspool.Millis // the agent's own clock
	Age         oleanderspool.Millis // upper bound of the report's transit time
}

// OpenStream allocates the number of a watch stream. It must be called before the
// connection of the stream is opened. It returns false if the instance is not listed.
func (t *Table) OpenStream(instance oleanderspool.InstanceID) (Stream, bool) {
	if t.agents[instance] == nil {
		return 0, false
	}
	t.lastStream++
	return t.lastStream, true
}

// ApplyReport merges the report of an agent. It ignores a report that is older than
// the last applied one, belongs to an ended incarnation, was sent on a stream from
// before the instance was last added to the list, or whose instance is not listed.
// But a late report of the current incarnation can still announce that it leaves.
func (t *Table) ApplyReport(r Report, now oleanderspool.Millis) []Change {
	a := t.agents[r.Instance]
	if a == nil || r.Stream <= a.staleUpTo || slices.Contains(a.ended, r.Incarnation) {
		return nil
	}
	var changes []Change
	switch {
	case a.reported && r.Incarnation == a.server.Incarnation:
		changes = t.updateIncarnation(a, r, now)
	case r.Stream <= a.stream:
		return nil // from an incarnation that was replaced before the current one reported
	default:
		changes = t.startIncarnation(a, r, now)
	}
	t.publish(now)
	return changes
}

// startIncarnation applies the first report of an incarnation.
func (t *Table) startIncarnation(a *agent, r Report, now oleanderspool.Millis) []Change {
	var changes []Change
	if known := a.server.Incarnation; known != "" && known != r.Incarnation {
		changes = append(changes, a.change(Ended))
		t.exclusionDue = true
		a.endIncarnation(known)
	}
	a.reported = true
	t.addLive(a)
	t.copyReport(a, r, now)
	changes = append(changes, a.change(Started))
	return t.merge(a, changes)
}

// updateIncarnation applies a further report of the current incarnation.
func (t *Table) updateIncarnation(a *agent, r Report, now oleanderspool.Millis) []Change {
	var changes []Change
	if r.Leaving && !a.leaving {
		a.leaving = true
		changes = t.merge(a, changes)
	}
	if !a.isNewer(r) {
		return changes
	}
	if a.suspected {
		a.suspected = false
		changes = append(changes, a.change(Recovered))
	}
	t.copyReport(a, r, now)
	return changes
}

// isNewer reports whether a report was sent after the last applied one.
func (a *agent) isNewer(r Report) bool {
	if r.Stream != a.stream {
		return r.Stream > a.stream
	}
	return r.Position > a.position
}

// copyReport copies a report into the server value.
func (t *Table) copyReport(a *agent, r Report, now oleanderspool.Millis) {
	a.stream, a.position = r.Stream, r.Position
	a.leaving = a.leaving || r.Leaving
	s := &a.server
	s.Models, s.Routes = r.Models, r.Routes
	s.Incarnation = r.Incarnation
	s.Role = r.Role
	s.Revision = max(s.Revision, r.Revision)
	s.Load = r.Load
	s.AgentClock = r.AgentClock
	s.ReportedAt = now
	s.ReportAge = r.Age
	t.changeDue = true
}

// ObserveLeaving records that an agent refused work because it is leaving. It is
// ignored for any other incarnation than the current one.
func (t *Table) ObserveLeaving(instance oleanderspool.InstanceID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) []Change {
	a := t.agents[instance]
	if a == nil || !a.reported || a.server.Incarnation != incarnation || a.leaving {
		return nil
	}
	a.leaving = true
	changes := t.merge(a, nil)
	t.publish(now)
	return changes
}

// ObserveEnded records that a response outside the watch stream came from another
// incarnation, so that the given one has ended. The instance is not eligible until
// its new incarnation reports.
func (t *Table) ObserveEnded(instance oleanderspool.InstanceID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) []Change {
	a := t.agents[instance]
	if a == nil || slices.Contains(a.ended, incarnation) {
		return nil
	}
	var changes []Change
	if a.server.Incarnation == incarnation {
		changes = append(changes, a.change(Ended))
		t.exclusionDue = true
	}
	a.endIncarnation(incarnation)
	t.publish(now)
	return changes
}

// StopWatching removes an agent that is no longer watched from the snapshot. Its
// incarnation does not count as ended.
func (t *Table) StopWatching(instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	a := t.agents[instance]
	if a == nil || !a.reported {
		return
	}
	a.reported, a.suspected = false, false
	t.exclusionDue = true
	t.publish(now)
}
