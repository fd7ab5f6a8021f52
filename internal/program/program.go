// Package program builds the program for the suites that run it as separate
// processes.
package program

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// Build returns the path of the program, which is removed at the end of the suite.
func Build() string {
	ginkgo.GinkgoHelper()
	path, err := gexec.Build("github.com/oleanderspool/oleanderspool/cmd/oleanderspool")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(gexec.CleanupBuildArtifacts)
	return path
}
