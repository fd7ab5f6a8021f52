package membership_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
)

// listedFleet returns a list of n runners and of the entries of a fleet of that size:
// one entry per 14 runners, at least two.
func listedFleet(n int) []oleanderspool.InstanceState {
	instances, _ := fleet(n)
	for e := range max(2, n*830/12_000) {
		s := listed(fmt.Sprintf("entry-%03d", e))
		s.DataCentre, s.Role = oleanderspool.DataCentreID(fmt.Sprintf("dc%d", e%9)), "entry"
		instances = append(instances, s)
	}
	return instances
}

// newListPair returns the table of one entry, and the list of another entry that knows
// the clock of the first one.
func newListPair(instances []oleanderspool.InstanceState) (*membership.Table, *membership.List) {
	from, to := membership.NewList("entry-001", 1), membership.NewList("entry-000", 2)
	table := membership.New(membership.WithList(to))
	from.ApplyPoll(0, instances)
	table.ApplyList(0, instances, 0)
	reply, _ := table.ApplyUpdate(from.Update("entry-000"), 0)
	from.ApplyReply("entry-000", reply, 0, 0)
	return table, from
}

// BenchmarkApplyUpdate measures the cost of an update from another entry, with no
// change of the list and with one changed runner. It also reports the interval
// between the polls of an entry.
func BenchmarkApplyUpdate(b *testing.B) {
	for _, n := range sizes {
		for _, changed := range []bool{false, true} {
			b.Run(fmt.Sprintf("agents=%d/changed=%t", n, changed), func(b *testing.B) {
				instances := listedFleet(n)
				table, from := newListPair(instances)
				b.ReportAllocs()
				now := oleanderspool.Millis(0)
				for b.Loop() {
					now += oleanderspool.Second
					if changed {
						b.StopTimer()
						instances[0].Leaving = !instances[0].Leaving
						from.ApplyPoll(now, instances)
						b.StartTimer()
					}
					update := from.Update("entry-000")
					update.PolledAt = now
					reply, _ := table.ApplyUpdate(update, now)
					if update, again := from.ApplyReply("entry-000", reply, now, now); again {
						table.ApplyUpdate(update, now)
					}
				}
				entries := len(instances) - n
				interval := int(from.TurnInterval()) * entries
				if from.PollsIndependently() {
					interval = int(oleanderspool.Second)
				}
				b.ReportMetric(float64(interval), "ms/poll-of-an-entry")
			})
		}
	}
}

// BenchmarkWatchedReport applies the reports of 40 watched agents, for several numbers
// of listed agents.
func BenchmarkWatchedReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			instances, _ := fleet(n)
			table := membership.New()
			table.ApplyList(0, instances, 0)
			reports := make([]membership.Report, min(n, 40))
			for i := range reports {
				stream, _ := table.OpenStream(instances[i].Instance)
				reports[i] = membership.Report{Stream: stream, Instance: instances[i].Instance, Incarnation: "incarnation-1"}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := reports[i%len(reports)]
				r.Position = int64(i + 1)
				table.ApplyReport(r, oleanderspool.Millis(i*25))
				i++
			}
		})
	}
}
