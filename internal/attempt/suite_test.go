package attempt_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing them")

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
	path := filepath.Join("testdata", name+".golden")
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}

var smallLimits = attempt.Limits{
	StartWindow:    1000,
	ReaderTimeout:  500,
	KeyLifetime:    10000,
	KeepUnkeyed:    800,
	MaxAnswerBytes: 1000,
	MaxEnded:       6,
}
