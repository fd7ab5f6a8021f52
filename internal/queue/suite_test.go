package queue_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The seed is fixed, so that every run checks the same sessions. A longer run
// with other seeds: go test ./internal/queue -rapid.seed=N -rapid.checks=N.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "80")
}

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}
