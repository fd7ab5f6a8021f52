package entry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

var _ = Describe("A pooled connection that went silent", func() {
	// Guards against a request that fails, runs twice or waits for its limit
	// because the idle connections that it could use have gone silent.
	DescribeTable("is replaced before the first message",
		func(build func(w *world) oleanderspool.Request, runs func(w *world) int) {
			w := newWorld(plan{engines: 1, services: 1})
			var warm []*stream
			for range 4 { // several idle connections to each agent
				warm = append(warm, w.open(w.question("ready?", 20)), w.open(w.lookup()))
			}
			for _, s := range warm {
				Expect(s.wait().refusal).To(BeNil())
			}
			for _, r := range w.runners {
				r.front.BlackHole()
			}
			a := w.send(build(w))
			Expect(a.refusal).To(BeNil())
			Expect(runs(w)).To(Equal(1))
			Expect(a.took).To(BeNumerically("<", firstEventBound+slack))
			AddReportEntry("whole answer", a.took)
		},
		Entry("a prompt", func(w *world) oleanderspool.Request { return w.question(prompt, 1) },
			func(w *world) int { return len(w.requests()) }),
		Entry("a reservation without a key", func(w *world) oleanderspool.Request { return w.reservation("idle", "") },
			func(w *world) int { return w.runs("idle") }),
		Entry("a reservation with a key", func(w *world) oleanderspool.Request { return w.reservation("idle", "k") },
			func(w *world) int { return w.runs("idle") }),
	)
})
