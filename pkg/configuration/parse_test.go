package configuration_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Guards against findings that are missing, have a wrong line or key, or are
// reported only one at a time. The expected findings of each .json file under
// testdata/findings are in the .txt file of the same name.
var _ = Describe("Parse", func() {
	inputs, err := filepath.Glob("testdata/findings/*.json")
	if err != nil || len(inputs) == 0 {
		panic("no input files in testdata/findings")
	}
	for _, input := range inputs {
		It("reports all findings of "+filepath.Base(input), func() {
			data, err := os.ReadFile(input)
			Expect(err).NotTo(HaveOccurred())
			name := filepath.Base(input)
			if strings.HasPrefix(name, "change") {
				_, err = configuration.ParseChangeSet(name, data)
			} else {
				_, err = configuration.Parse(name, data)
			}
			Expect(err).To(HaveOccurred())
			Expect(configuration.FindingsOf(err)).NotTo(BeEmpty())
			golden.Match(strings.TrimSuffix(input, ".json")+".txt", err.Error()+"\n")
		})
	}

	It("parses its own output and ignores the order of keys and objects", func() {
		data, err := os.ReadFile("testdata/mixed_order.json")
		Expect(err).NotTo(HaveOccurred())
		c, err := configuration.Parse("mixed_order.json", data)
		Expect(err).NotTo(HaveOccurred())
		golden.Match("testdata/mixed_order.golden", string(c.Print()))
		again, err := configuration.Parse("", c.Print())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(again.Print())).To(Equal(string(c.Print())))
	})
})
