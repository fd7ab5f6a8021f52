package attempt_test

import (
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/fuzz"
	"github.com/oleanderspool/oleanderspool/internal/golden"
)

func init() { fuzz.Configure(200, 100) }

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attempt")
}

func expectGolden(name string, lines []string) {
	GinkgoHelper()
	golden.Match(filepath.Join("testdata", name+".golden"), strings.Join(lines, "\n")+"\n")
}

var smallLimits = attempt.Limits{
	StartWindow:      1000,
	ReaderTimeout:    500,
	KeyLifetime:      10000,
	UnkeyedRetention: 800,
	MaxAnswerBytes:   1000,
	MaxEnded:         6,
}
