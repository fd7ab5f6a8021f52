package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

// BenchmarkRecordCrash measures the report of a crash of a request with three parts,
// one of which every earlier crash has too, by the number of earlier crashes.
func BenchmarkRecordCrash(b *testing.B) {
	for _, crashes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			tracker := quarantine.New()
			record := func(i int) {
				at := oleanderspool.Millis(i)
				tracker.RecordCrash(quarantine.Crash{
					Server:  directory.ServerRun{Instance: "s", Started: int64(i % crashes)},
					Subject: quarantine.Subject{Request: oleanderspool.Fingerprint(i), Parts: parts(dead, oleanderspool.Fingerprint(10+i%50), rare)}, Beginning: true, At: at,
				}, at)
			}
			for i := range crashes {
				record(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				record(i % crashes)
			}
		})
	}
}
