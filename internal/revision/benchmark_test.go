package revision

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

var benchmarkSizes = []int{20, 200, 2000, 20000}

func benchmarkAccount(i int) configuration.ClientAccount {
	return configuration.ClientAccount{
		ID: oleanderspool.ClientAccountID(fmt.Sprintf("account-%05d", i)), KeyHash: configuration.HashKey(fmt.Sprint(i)),
		Priority: "standard", RequestsPerSec: 2.5, BurstRequests: 10, ShareOfCapacity: 0.1,
	}
}

// benchmarkState returns a state with the given number of accounts, all put by
// one change.
func benchmarkState(b *testing.B, accounts int) *State {
	change := configuration.ChangeSet{ID: "first", Puts: []configuration.Put{{Object: configuration.Priority{ID: "standard", Level: 1}}}}
	for i := range accounts {
		change.Puts = append(change.Puts, configuration.Put{Object: benchmarkAccount(i)})
	}
	data, err := change.Print()
	if err != nil {
		b.Fatal(err)
	}
	s := &State{}
	if d, err := s.Apply(oleanderspool.Record{Offset: 1, Data: data}); err != nil || d.Verdict != Accepted {
		b.Fatal(d, err)
	}
	return s
}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := benchmarkState(b, size)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				account := benchmarkAccount(i%size).WithRate(float64(i), 10)
				change := configuration.ChangeSet{ID: fmt.Sprint("c", i), Puts: []configuration.Put{{
					Object: account, Revision: s.Configuration().Revision(account.Ref()),
				}}}
				data, err := change.Print()
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				if d, err := s.Apply(oleanderspool.Record{Offset: s.Position() + 1, Data: data}); err != nil || d.Verdict != Accepted {
					b.Fatal(d, err)
				}
			}
		})
	}
}

func BenchmarkAccountByKeyHash(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := benchmarkState(b, size).Configuration()
			hashes := make([]string, size)
			for i := range hashes {
				hashes[i] = benchmarkAccount(i).KeyHash
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, found := c.AccountByKeyHash(hashes[i%size]); !found {
					b.Fatal(i)
				}
			}
		})
	}
}

// BenchmarkRestoredMemory reports the size of a snapshot and the memory that a
// state restored from it occupies.
func BenchmarkRestoredMemory(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			data := benchmarkState(b, size).Snapshot().Data
			before := heapInUse()
			held := &State{}
			if _, err := held.Restore(Snapshot{Data: data}); err != nil {
				b.Fatal(err)
			}
			memory := float64(heapInUse()) - float64(before)
			for b.Loop() {
				if _, err := (&State{}).Restore(Snapshot{Data: data}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(memory, "held-bytes")
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
			runtime.KeepAlive(held)
			runtime.KeepAlive(data)
		})
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
