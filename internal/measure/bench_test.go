package measure_test

import (
	"os"
	"testing"

	"github.com/oleanderspool/oleanderspool/internal/measure"
)

// BenchmarkReport measures the time of the whole report, which the subcommand
// measure prints as well.
func BenchmarkReport(b *testing.B) {
	for b.Loop() {
		if err := measure.Run().Write(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
