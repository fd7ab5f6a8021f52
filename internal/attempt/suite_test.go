package attempt_test

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/golden"
)

// The seed makes each run of the fuzz tests the same; -rapid.seed on the
// command line replaces it.
func init() {
	for name, value := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "200",
		"rapid.steps":      "100",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attempt")
}

func expectGolden(name string, lines []string) {
	GinkgoHelper()
	golden.Match(filepath.Join("testdata", name+".golden"), strings.Join(lines, "\n")+"\n")
}

var smallLimits = attempt.Limits{
	StartWindow:    1000,
	ReaderTimeout:  500,
	KeyLifetime:    10000,
	KeepUnkeyed:    800,
	MaxAnswerBytes: 1000,
	MaxEnded:       6,
}
