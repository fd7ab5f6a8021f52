package attempt_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

// BenchmarkTableMemory measures the memory of running attempts that have 100
// pieces of 16 bytes each.
func BenchmarkTableMemory(b *testing.B) {
	const pieces = 100
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("attempts=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := attempt.NewTable(incarnation1, attempt.DefaultLimits)
				for i := range n {
					id := attempt.NewID(attempt.ClassUnkeyed, 0, fmt.Sprint(i))
					table.Start(attempt.Start{Attempt: id, Request: "r", Incarnation: incarnation1, Idempotent: true, Remaining: 1000}, 0)
					table.Begin(id, 0)
					for p := range pieces {
						table.Append(id, oleanderspool.Piece{Text: fmt.Sprintf("sixteen bytes%3d", p), Tokens: 4}, 0)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n*pieces), "B/piece")
				runtime.KeepAlive(table)
			}
		})
	}
}
