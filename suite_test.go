package oleanderspool_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOleanderspool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "oleanderspool")
}
