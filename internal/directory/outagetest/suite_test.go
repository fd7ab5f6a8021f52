// Package outagetest_test tests followers of the registry in outages. Its fuzz test runs in
// a process of its own: the race detector of Go 1.26 ends a process that makes as many
// synchronizing calls and then runs hundreds of goroutines, by a failed check of its own
// (tsan_rtl.cpp:346 or 282).
package outagetest_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOutages(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outages")
}
