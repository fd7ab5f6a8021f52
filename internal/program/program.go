// Package program builds the oleanderspool binary for test suites that run it in
// separate processes.
package program

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// Build builds the binary and returns its path. The binary is removed at the end
// of the suite.
func Build() string {
	ginkgo.GinkgoHelper()
	path, err := gexec.Build("github.com/oleanderspool/oleanderspool/cmd/oleanderspool")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(gexec.CleanupBuildArtifacts)
	return path
}
