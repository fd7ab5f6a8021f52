package openai_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

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
	path := filepath.Join("testdata", name+".golden")
	if *update {
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}
