// Package golden compares the output of tests with golden files. If a test runs
// with the flag -update, it writes the files first.
package golden

import (
	"flag"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write the golden files before they are compared")

// Match fails the running spec unless the content of file equals got.
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
