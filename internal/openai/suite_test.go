package openai_test

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/fuzz"
	"github.com/oleanderspool/oleanderspool/internal/golden"
)

func init() { fuzz.Configure(0, 0) }

func TestOpenAI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "openai")
}

// expectGolden compares got with a file under testdata.
func expectGolden(name, got string) {
	GinkgoHelper()
	golden.Match(filepath.Join("testdata", name+".golden"), got)
}
