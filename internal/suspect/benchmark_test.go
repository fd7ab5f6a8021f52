package suspect_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

// BenchmarkCrashRecords measures the records of crashes with 32 requests in
// flight each, from the entry that reports them to the replay in another one,
// and the memory that they take there.
func BenchmarkCrashRecords(b *testing.B) {
	const inFlight = 32
	for _, crashes := range []int{1, 20, 190} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			for b.Loop() {
				records, size := crashRecords(crashes, inFlight)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := suspect.New("e2", 0)
				state.Apply(records, oleanderspool.Offset(len(records)), 0, 0)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(len(records))/float64(crashes), "records/crash")
				b.ReportMetric(float64(size)/float64(crashes), "B/crash")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(state.Len()), "held-B/suspect")
				runtime.KeepAlive(state)
			}
		})
	}
}

func crashRecords(crashes, inFlight int) ([]oleanderspool.Record, int) {
	reporter := suspect.New("e1", 0)
	for c := range crashes {
		fingerprints := make([]oleanderspool.Fingerprint, inFlight)
		for i := range fingerprints {
			fingerprints[i] = oleanderspool.Fingerprint(c*inFlight+i+1) * 0x9e3779b97f4a7c15
		}
		reporter.Crashed(suspect.Crash{ID: suspect.CrashID(fmt.Sprintf("runner-%05d/%016x", c, c)), Fingerprints: fingerprints, Local: true}, 0)
	}
	var records []oleanderspool.Record
	size := 0
	for _, data := range reporter.DueRecords(0) {
		records = append(records, oleanderspool.Record{Offset: oleanderspool.Offset(len(records) + 1), Data: data})
		size += len(data)
	}
	return records, size
}
