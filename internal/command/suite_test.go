package command

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/program"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

// binary is the built program that the tests with separate processes run.
var binary string

var _ = BeforeSuite(func() { binary = program.Build() })
