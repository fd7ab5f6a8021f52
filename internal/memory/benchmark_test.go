package memory_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

var benchmarkSizes = []int{20, 200, 2000, 20_000}

func filledLedger(n int) (*memory.Ledger, memory.List) {
	l := memory.NewLedger(int64(n) + 10)
	list := memory.List{RequestedAt: 100_000}
	for i := range n {
		name := fmt.Sprint("n", i)
		_ = l.Reserve(memory.Reservation{Name: name, Tokens: 1, Expiry: 1_000_000}, 0)
		list.Allocations = append(list.Allocations, oleanderspool.MemoryAllocation{Owner: name, Tokens: 1})
	}
	return l, list
}

func BenchmarkReserveRelease(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := filledLedger(n)
			r := memory.Reservation{Name: "x", Tokens: 1, Expiry: 1_000_000}
			now := oleanderspool.Millis(0)
			for b.Loop() {
				now++
				_ = l.Reserve(r, now)
				l.Release(r.Name, now)
				for _, c := range l.Cancels(now) {
					l.Confirm(c, now)
				}
			}
		})
	}
}

func BenchmarkReconcile(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, list := filledLedger(n)
			for b.Loop() {
				l.Reconcile(list, list.RequestedAt)
			}
		})
	}
}
