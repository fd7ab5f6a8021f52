package membership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

func listed(instance string) oleanderspool.InstanceState {
	return oleanderspool.InstanceState{Instance: oleanderspool.InstanceID(instance), DataCentre: "a", Address: "10.0.0.1:1", Role: "model"}
}

// step is one event of a session on instance "s" and what the snapshot holds
// afterwards.
type step struct {
	at     oleanderspool.Millis
	event  func(t *membership.Table, now oleanderspool.Millis) []membership.Change
	want   string // incarnation in the snapshot; empty when the server may not be chosen
	change []membership.ChangeKind
}

func list(poll int64, instances ...oleanderspool.InstanceState) func(*membership.Table, oleanderspool.Millis) []membership.Change {
	return func(t *membership.Table, now oleanderspool.Millis) []membership.Change {
		return t.ApplyList(poll, instances, now)
	}
}

func report(stream, position int, incarnation string, leaving bool) func(*membership.Table, oleanderspool.Millis) []membership.Change {
	return func(t *membership.Table, now oleanderspool.Millis) []membership.Change {
		return t.ApplyReport(membership.Report{
			Stream: membership.Stream(stream), Position: int64(position), Instance: "s",
			Incarnation: oleanderspool.Incarnation(incarnation), Leaving: leaving,
		}, now)
	}
}

func open(t *membership.Table, _ oleanderspool.Millis) []membership.Change {
	_, _ = t.OpenStream("s")
	return nil
}

func tick(t *membership.Table, now oleanderspool.Millis) []membership.Change {
	return t.Tick(now)
}

func stopWatching(t *membership.Table, now oleanderspool.Millis) []membership.Change {
	t.StopWatching("s", now)
	return nil
}

var _ = Describe("Table", func() {
	leavingList := listed("s")
	leavingList.Leaving = true
	sessions := []struct {
		name  string // the failure that the session guards against
		steps []step
	}{
		{"an agent is chosen before it reported", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
		}},
		{"an agent that leaves gets work until the list says so", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
			{10, report(1, 2, "i1", true), "", []membership.ChangeKind{membership.Leaving}},
			{20, report(1, 3, "i1", false), "", nil},
			{30, list(2, listed("s")), "", nil},
		}},
		{"a late report that says leaving is dropped as old", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 3, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
			{10, report(1, 2, "i1", true), "", []membership.ChangeKind{membership.Leaving}},
		}},
		{"an old incarnation replaces the new one", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, open, "", nil},
			{0, report(2, 1, "i2", false), "i2", []membership.ChangeKind{membership.Started}},
			{1, report(1, 9, "i1", false), "i2", nil},
			{2, open, "i2", nil},
			{2, report(3, 1, "i3", false), "i3", []membership.ChangeKind{membership.Ended, membership.Started}},
			{3, report(2, 2, "i2", false), "i3", nil},
		}},
		{"an incarnation that others say has ended is chosen again", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
			{1, func(t *membership.Table, now oleanderspool.Millis) []membership.Change {
				return t.ObserveEnded("s", "i1", now)
			}, "", []membership.ChangeKind{membership.Ended}},
			{2, report(1, 2, "i1", false), "", nil},
		}},
		{"a silent agent stays in choice, or a recovered one stays out", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
			{2500, tick, "i1", nil},
			{2501, tick, "", []membership.ChangeKind{membership.Suspected}},
			{2600, report(1, 1, "i1", false), "", nil},
			{2700, report(1, 2, "i1", false), "i1", []membership.ChangeKind{membership.Recovered}},
		}},
		{"a returned instance is taken for its earlier life", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
			{10, list(2), "", []membership.ChangeKind{membership.Gone}},
			{11, report(1, 2, "i1", false), "", nil},
			{20, list(3, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{21, report(1, 3, "i1", false), "", nil},
			{22, open, "", nil},
			{23, report(2, 1, "i2", false), "", []membership.ChangeKind{membership.Started}},
			{30, tick, "i2", nil},
		}},
		{"the answer to an old poll removes an instance", []step{
			{0, list(2, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
			{1, list(1), "i1", nil},
		}},
		{"an instance that only the list marks as leaving gets work", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", false), "i1", []membership.ChangeKind{membership.Started}},
			{1, list(2, leavingList), "", []membership.ChangeKind{membership.Leaving}},
		}},
		{"a new incarnation inherits that the old one left while unwatched", []step{
			{0, list(1, listed("s")), "", []membership.ChangeKind{membership.Appeared}},
			{0, open, "", nil},
			{0, report(1, 1, "i1", true), "", []membership.ChangeKind{membership.Started, membership.Leaving}},
			{1, stopWatching, "", nil},
			{2, open, "", nil},
			{2, report(2, 1, "i2", false), "i2", []membership.ChangeKind{membership.Ended, membership.Started}},
		}},
	}
	for _, s := range sessions {
		It("guards against: "+s.name, func() {
			table := membership.New()
			for i, st := range s.steps {
				var kinds []membership.ChangeKind
				for _, c := range st.event(table, st.at) {
					kinds = append(kinds, c.Kind)
				}
				Expect(kinds).To(Equal(st.change), "step %d", i)
				got := ""
				for _, b := range table.Snapshot() {
					got = string(b.Incarnation)
				}
				Expect(got).To(Equal(st.want), "step %d", i)
			}
		})
	}

	// Guards against a snapshot that changes while a request reads it, and one
	// that is copied for every report.
	It("keeps a snapshot as it was and copies it at most once per interval", func() {
		table := membership.New()
		table.ApplyList(1, []oleanderspool.InstanceState{listed("s")}, 0)
		open(table, 0)
		report(1, 1, "i1", false)(table, 0)
		old := table.Snapshot()
		for i := range 19 {
			report(1, 2+i, "i1", false)(table, oleanderspool.Millis(1+i))
		}
		Expect(&table.Snapshot()[0]).To(BeIdenticalTo(&old[0]))
		table.Tick(20)
		Expect(old[0].ReportedAt).To(BeZero())
		Expect(table.Snapshot()[0].ReportedAt).To(Equal(oleanderspool.Millis(19)))
	})

	// Guards against one copy of the snapshot per agent when an entry starts:
	// with 12,000 agents that took 16 s.
	It("does not copy the snapshot for each agent that starts", func() {
		table, _ := watched(200)
		Expect(table.Copies()).To(Equal(2))
		Expect(table.Snapshot()).To(HaveLen(200))
	})

	// Guards against sets of an old revision, and agents without their sets.
	It("merges the sets of the newest configuration", func() {
		table := membership.New()
		table.ApplyList(1, []oleanderspool.InstanceState{listed("s")}, 0)
		open(table, 0)
		report(1, 1, "i1", false)(table, 0)
		table.ApplySets(5, []configuration.ServerSet{{ID: "new", Instances: []oleanderspool.InstanceID{"s"}}}, 20)
		table.ApplySets(4, []configuration.ServerSet{{ID: "old", Instances: []oleanderspool.InstanceID{"s"}}}, 40)
		Expect(table.Snapshot()[0].Sets).To(Equal([]oleanderspool.ServerSetID{"new"}))
	})
})
