package openai_test

import (
	"flag"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/golden"
)

// seed makes every run of the property tests the same.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}

func TestOpenAI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "openai")
}

// expectGolden compares got with a file under testdata.
func expectGolden(name, got string) {
	GinkgoHelper()
	golden.Match(filepath.Join("testdata", name+".golden"), got)
}
