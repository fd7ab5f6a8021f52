package soak

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// program is the built program.
var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("github.com/oleanderspool/oleanderspool/cmd/oleanderspool")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
