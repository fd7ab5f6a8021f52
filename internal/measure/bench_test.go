package measure_test

import (
	"os"
	"testing"

	"github.com/oleanderspool/oleanderspool/internal/measure"
)

// BenchmarkReport measures the time to compute and print the full report, as the
// measure subcommand does by default.
func BenchmarkReport(b *testing.B) {
	for b.Loop() {
		if err := measure.Run().Write(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
