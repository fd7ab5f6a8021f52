package directory_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// BenchmarkRegister measures the first read of the registry by the number of servers.
func BenchmarkRegister(b *testing.B) {
	for _, size := range []int{172, 3000, 12000} {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			var records []directory.Change
			for i := range size {
				id := oleanderspool.InstanceID(fmt.Sprintf("i-%08x", i*7919))
				records = append(records, directory.Change{Instance: id, Offset: oleanderspool.Offset(i), Server: &directory.Server{Instance: id, Service: "llm", Address: "10.0.0.1:80"}})
			}
			b.ReportAllocs()
			for b.Loop() {
				directory.NewView().Register(records...)
			}
		})
	}
}
