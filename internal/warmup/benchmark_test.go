package warmup_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/warmup"
)

// BenchmarkFilter measures what the limit adds to a placement.
func BenchmarkFilter(b *testing.B) {
	for _, size := range []struct{ entries, servers int }{{29, 54}, {1038, 12000}} {
		b.Run(fmt.Sprintf("entries=%d/servers=%d", size.entries, size.servers), func(b *testing.B) {
			var servers []directory.Server
			for i := range size.servers {
				servers = append(servers, directory.Server{Instance: oleanderspool.InstanceID(fmt.Sprintf("i-%08x", i))})
			}
			l, now := warmup.NewLimiter(3, -warmup.Window), oleanderspool.Millis(0)
			l.SetLimit(bound, warmup.Size{Entries: size.entries, WorstCase: max(64, size.servers), Settled: true})
			b.ReportAllocs()
			for b.Loop() {
				now++
				l.Filter(servers, now)
			}
		})
	}
}
