// Package golden compares the output of tests with golden files. With the flag
// -update of a test run it writes the files instead.
package golden

import (
	"flag"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write the golden files before they are compared")

// Match fails the running spec unless a file has the given content.
func Match(file, got string) {
	ginkgo.GinkgoHelper()
	if *update {
		gomega.Expect(os.MkdirAll(filepath.Dir(file), 0o755)).To(gomega.Succeed())
		gomega.Expect(os.WriteFile(file, []byte(got), 0o644)).To(gomega.Succeed())
	}
	want, err := os.ReadFile(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(got).To(gomega.Equal(string(want)))
}
