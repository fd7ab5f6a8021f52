package membership

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Stream numbers a watch stream that this entry opened. Only one agent at a
// time holds the listening address of an instance, so of two incarnations the
// one that answered on the stream opened later is the newer one. Incarnations
// themselves have no order.
type Stream int64

// Report is what an agent says of itself on a watch stream.
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
	Instant     oleanderspool.Millis // the agent's own clock
	Age         oleanderspool.Millis // upper bound of the span that the report was under way
}

// OpenStream returns the number of a watch stream that the entry is about to
// connect. It must be called before the connection is made. It returns false
// when the instance is not listed.
func (t *Table) OpenStream(instance oleanderspool.InstanceID) (Stream, bool) {
	if t.agents[instance] == nil {
		return 0, false
	}
	t.lastStream++
	return t.lastStream, true
}

// ApplyReport merges the report of an agent. Reports that are older than the
// last applied one, that belong to an ended incarnation or to an earlier life
// of the instance, or whose instance is not listed are ignored, except that a
// late report of the current incarnation can still say that it leaves.
func (t *Table) ApplyReport(r Report, now oleanderspool.Millis) []Change {
	a := t.agents[r.Instance]
	if a == nil || r.Stream <= a.after || slices.Contains(a.ended, r.Incarnation) {
		return nil
	}
	var changes []Change
	switch {
	case a.reported && r.Incarnation == a.server.Incarnation:
		changes = t.update(a, r, now)
	case r.Stream <= a.stream:
		return nil // an incarnation that ended before the known one was seen
	default:
		changes = t.start(a, r, now)
	}
	t.publish(now)
	return changes
}

// start takes the first report of an incarnation.
func (t *Table) start(a *agent, r Report, now oleanderspool.Millis) []Change {
	var changes []Change
	if known := a.server.Incarnation; known != "" && known != r.Incarnation {
		changes = append(changes, a.change(Ended))
		t.excluded = true
		a.endIncarnation(known)
	}
	a.reported = true
	t.follow(a)
	t.take(a, r, now)
	changes = append(changes, a.change(Started))
	return t.merge(a, changes)
}

// update takes a further report of the current incarnation.
func (t *Table) update(a *agent, r Report, now oleanderspool.Millis) []Change {
	var changes []Change
	if r.Leaving && !a.leaving {
		a.leaving = true
		changes = t.merge(a, changes)
	}
	if !a.precedes(r) {
		return changes
	}
	if a.suspected {
		a.suspected = false
		changes = append(changes, a.change(Recovered))
	}
	t.take(a, r, now)
	return changes
}

func (a *agent) precedes(r Report) bool {
	if r.Stream != a.stream {
		return r.Stream > a.stream
	}
	return r.Position > a.position
}

// take copies the report into the server value.
func (t *Table) take(a *agent, r Report, now oleanderspool.Millis) {
	a.stream, a.position = r.Stream, r.Position
	a.leaving = a.leaving || r.Leaving
	s := &a.server
	s.Models, s.Routes = r.Models, r.Routes
	s.Incarnation = r.Incarnation
	s.Role = r.Role
	s.Revision = max(s.Revision, r.Revision)
	s.Load = r.Load
	s.Instant = r.Instant
	s.ReportedAt = now
	s.ReportAge = r.Age
	t.changed = true
}

// ObserveLeaving notes that an agent refused work because it leaves. Another
// incarnation than the known one is ignored.
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

// ObserveEnded notes that an incarnation was replaced, as told by an answer
// outside the watch stream. The instance is not chosen until its new
// incarnation reports.
func (t *Table) ObserveEnded(instance oleanderspool.InstanceID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) []Change {
	a := t.agents[instance]
	if a == nil || slices.Contains(a.ended, incarnation) {
		return nil
	}
	var changes []Change
	if a.server.Incarnation == incarnation {
		changes = append(changes, a.change(Ended))
		t.excluded = true
	}
	a.endIncarnation(incarnation)
	t.publish(now)
	return changes
}

// StopWatching removes an agent that is no longer watched from the snapshot.
// Its incarnation has not ended.
func (t *Table) StopWatching(instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	a := t.agents[instance]
	if a == nil || !a.reported {
		return
	}
	a.reported, a.suspected = false, false
	t.excluded = true
	t.publish(now)
}
