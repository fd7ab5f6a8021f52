package membership_test

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

var sizes = []int{20, 200, 2000, 12000}

// newReportedTable returns a table of n agents that have reported, and their reports.
func newReportedTable(n int) (*membership.Table, []membership.Report) {
	instances, sets := fleet(n)
	table := membership.New()
	table.ApplyList(1, instances, 0)
	table.ApplySets(1, sets, 0)
	reports := make([]membership.Report, n)
	models := []oleanderspool.ModelID{"m1", "m2"}
	for i := range reports {
		stream, _ := table.OpenStream(instances[i].Instance)
		reports[i] = membership.Report{
			Stream: stream, Instance: instances[i].Instance, Incarnation: "incarnation-1",
			Models: models, Load: oleanderspool.Load{PrefillRate: 10},
		}
		table.ApplyReport(reports[i], 0)
	}
	table.Tick(membership.DefaultPublishInterval)
	return table, reports
}

// BenchmarkApplyReport applies reports at the rate at which they arrive when each
// agent reports once a second, so that the publication of snapshots is included.
func BenchmarkApplyReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table, reports := newReportedTable(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := reports[i%n]
				r.Position = int64(i + 1)
				table.ApplyReport(r, oleanderspool.Millis(i*1000/n))
				i++
			}
		})
	}
}

// BenchmarkTableMemory measures the memory of the table and its snapshot per agent.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				table, reports := newReportedTable(n)
				clear(reports)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/agent")
				runtime.KeepAlive(table)
			}
		})
	}
}

func BenchmarkChooseWatches(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table, _ := newReportedTable(n)
			instances, _ := fleet(n)
			for e := range max(1, n*830/12_000) {
				instances = append(instances, oleanderspool.InstanceState{
					Instance:   oleanderspool.InstanceID(fmt.Sprintf("entry-%03d", e)),
					DataCentre: oleanderspool.DataCentreID(fmt.Sprintf("dc%d", e%9)), Role: "entry",
				})
			}
			table.ApplyList(2, instances, 0)
			b.ReportAllocs()
			for b.Loop() {
				table.ChooseWatches("entry-1", "dc1", 256)
			}
		})
	}
}

// BenchmarkApplyList measures a poll of the platform's list that contains no change.
func BenchmarkApplyList(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table, _ := newReportedTable(n)
			instances, _ := fleet(n)
			b.ReportAllocs()
			poll := oleanderspool.Millis(1)
			for b.Loop() {
				poll++
				table.ApplyList(poll, instances, 0)
			}
		})
	}
}

// BenchmarkWatchCoverage reports the share of agents without a watcher, and the most
// watchers of one agent, when 830 entries choose among 12,000 agents in nine data
// centres. It computes only the entries of one data centre, since entries choose
// agents of their own. An agent without a watcher receives neither work nor
// configuration.
func BenchmarkWatchCoverage(b *testing.B) {
	const agents, entries = 12_000, 92
	instances, sets := fleet(agents)
	table := membership.New()
	listed := slices.Clone(instances)
	for e := range entries {
		listed = append(listed, oleanderspool.InstanceState{
			Instance: oleanderspool.InstanceID(fmt.Sprintf("entry-%03d", e)), DataCentre: "dc0", Role: "entry",
		})
	}
	table.ApplyList(1, listed, 0)
	table.ApplySets(1, sets, 0)
	for _, limit := range []int{20, 36, 40, 80, 160} {
		b.Run(fmt.Sprintf("limit=%d", limit), func(b *testing.B) {
			for b.Loop() {
				watchers := make(map[oleanderspool.InstanceID]int, agents)
				most := 0
				for e := range entries {
					entry := oleanderspool.InstanceID(fmt.Sprintf("entry-%03d", e))
					for _, id := range table.ChooseWatches(entry, "dc0", limit).Instances {
						watchers[id]++
						most = max(most, watchers[id])
					}
				}
				local := 0
				for _, i := range instances {
					if i.DataCentre == "dc0" {
						local++
					}
				}
				b.ReportMetric(100*float64(local-len(watchers))/float64(local), "%unwatched")
				b.ReportMetric(float64(most), "most-watchers")
			}
		})
	}
}

// BenchmarkPrefixAgreement measures how often two entries of one data centre prefer
// the same agent for a prompt prefix, so that the request of the second one finds the
// prefix in the agent's cache. Each of ten models has a tenth of the agents.
func BenchmarkPrefixAgreement(b *testing.B) {
	const prefixes, entries = 200, 92
	for _, n := range sizes {
		instances, sets := fleet(n)
		table := membership.New()
		table.ApplyList(1, instances, 0)
		table.ApplySets(1, sets, 0)
		setOf := make(map[oleanderspool.InstanceID]int, n)
		for i, s := range sets {
			for _, id := range s.Instances {
				setOf[id] = i
			}
		}
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				var known [entries][]oleanderspool.InstanceID
				for e := range known {
					known[e] = table.ChooseWatches(oleanderspool.InstanceID(fmt.Sprintf("entry-%03d", e)), "dc0", 40).Instances
				}
				agreed := 0
				for p := range prefixes {
					key, set := routing.Hash(fmt.Sprint("prefix ", p)), p%len(sets)
					first := preferred(key, set, known[p%entries], setOf)
					second := preferred(key, set, known[(p*31+7)%entries], setOf)
					if first == second {
						agreed++
					}
				}
				b.ReportMetric(100*float64(agreed)/prefixes, "%agreed")
			}
		})
	}
}

func preferred(key uint64, set int, known []oleanderspool.InstanceID, setOf map[oleanderspool.InstanceID]int) oleanderspool.InstanceID {
	var best oleanderspool.InstanceID
	highest := uint64(0)
	for _, id := range known {
		if w := routing.Weight(key, routing.Hash(id)); setOf[id] == set && w >= highest {
			best, highest = id, w
		}
	}
	return best
}

// BenchmarkWatchersPerAgent evaluates an alternative to [membership.Table.ChooseWatches]:
// each agent is watched by the entries of its data centre that have the highest
// rendezvous weights for it. It reports how many agents an entry then watches.
func BenchmarkWatchersPerAgent(b *testing.B) {
	const agents, entries = 1334, 92
	for _, watchers := range []int{2, 3} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			for b.Loop() {
				var watched [entries]int
				for a := range agents {
					agent := routing.Hash(fmt.Sprintf("runner-%05d", a*9))
					order := make([]int, entries)
					for e := range order {
						order[e] = e
					}
					slices.SortFunc(order, func(x, y int) int {
						return cmp.Compare(routing.Weight(routing.Hash(fmt.Sprintf("entry-%03d", y)), agent), routing.Weight(routing.Hash(fmt.Sprintf("entry-%03d", x)), agent))
					})
					for _, e := range order[:watchers] {
						watched[e]++
					}
				}
				b.ReportMetric(float64(slices.Min(watched[:])), "fewest-watched")
				b.ReportMetric(float64(slices.Max(watched[:])), "most-watched")
			}
		})
	}
}

// BenchmarkApplySets measures the cost of a configuration change that leaves the sets
// as they are, since each change applies all sets again.
func BenchmarkApplySets(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table, _ := newReportedTable(n)
			_, sets := fleet(n)
			b.ReportAllocs()
			revision := oleanderspool.Revision(1)
			for b.Loop() {
				revision++
				table.ApplySets(revision, sets, 0)
			}
		})
	}
}
