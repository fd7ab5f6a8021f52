package membership_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
)

var sizes = []int{20, 200, 2000, 12000}

// watched returns a table of n agents that have reported, and their reports.
func watched(n int) (*membership.Table, []membership.Report) {
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

// BenchmarkApplyReport applies reports as they arrive when each agent reports
// once a second, so that the copies of the snapshot are included.
func BenchmarkApplyReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table, reports := watched(n)
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

// BenchmarkTableMemory measures the memory of the table and its snapshot.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				table, reports := watched(n)
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
			table, _ := watched(n)
			b.ReportAllocs()
			for b.Loop() {
				table.ChooseWatches("entry-1", "dc1", 256)
			}
		})
	}
}
