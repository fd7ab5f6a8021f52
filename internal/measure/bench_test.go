package measure_test

import (
	"os"
	"testing"

	"github.com/oleanderspool/oleanderspool/internal/measure"
)

// BenchmarkReport prints the whole report:
// go test ./internal/measure -run '^$' -bench Report -benchtime 1x
func BenchmarkReport(b *testing.B) {
	for b.Loop() {
		if err := measure.Run().Write(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
