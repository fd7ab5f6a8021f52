package command

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

// program is the built program that the tests with separate processes run.
var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("github.com/oleanderspool/oleanderspool/cmd/oleanderspool")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
