package entry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

var _ = Describe("A pooled connection that went silent", func() {
	// Guards against a request that fails, runs twice or waits for its limit
	// because the idle connections that it could use have gone silent.
	It("is replaced before the first message", func() {
		type call struct {
			name  string
			build func(w *world) oleanderspool.Request
			runs  func(w *world) int
		}
		cases := []call{
			{"a prompt", func(w *world) oleanderspool.Request { return w.question(prompt, 1) }, func(w *world) int { return len(w.requests()) }},
			{"a reservation", func(w *world) oleanderspool.Request { return w.reservation("idle", "") }, func(w *world) int { return w.runs("idle") }},
			{"a reservation with a key", func(w *world) oleanderspool.Request { return w.reservation("idle", "k") }, func(w *world) int { return w.runs("idle") }},
		}
		parallel(cases, func(c call) {
			w := newWorld(plan{engines: 1, services: 1})
			var warm []*stream
			for range 4 { // several idle connections to each agent
				warm = append(warm, w.open(w.question("ready?", 20)), w.open(w.lookup()))
			}
			for _, s := range warm {
				Expect(s.wait().refusal).To(BeNil(), c.name)
			}
			for _, r := range w.runners {
				r.front.BlackHole()
			}
			a := w.send(c.build(w))
			Expect(a.refusal).To(BeNil(), c.name)
			Expect(c.runs(w)).To(Equal(1), c.name)
			Expect(a.took).To(BeNumerically("<", firstEventBound+slack), c.name)
			AddReportEntry("whole answer, "+c.name, a.took)
		})
	})
})
