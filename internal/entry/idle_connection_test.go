package entry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

var _ = Describe("A pooled connection that has gone dead while idle", func() {
	// Guards against a request that fails, runs twice or waits for its deadline
	// because the pooled connections of its agent are dead.
	It("is replaced before the first message", func() {
		type call struct {
			name  string
			build func(h *harness) oleanderspool.Request
			runs  func(h *harness) int
		}
		cases := []call{
			{"a prompt", func(h *harness) oleanderspool.Request { return h.modelRequest(prompt, 1) }, func(h *harness) int { return len(h.requests()) }},
			{"a reservation", func(h *harness) oleanderspool.Request { return h.nonIdempotentCall("idle", "") }, func(h *harness) int { return h.runs("idle") }},
			{"a reservation with a key", func(h *harness) oleanderspool.Request { return h.nonIdempotentCall("idle", "k") }, func(h *harness) int { return h.runs("idle") }},
		}
		parallel(cases, func(c call) {
			h := newHarness(harnessConfig{engines: 1, services: 1})
			var warm []*stream
			for range 4 { // several idle connections to each agent
				warm = append(warm, h.start(h.modelRequest("ready?", 20)), h.start(h.idempotentCall()))
			}
			for _, s := range warm {
				Expect(s.waitForEnd().refusal).To(BeNil(), c.name)
			}
			for _, r := range h.runners {
				r.frontRelay.BlackHole()
			}
			a := h.send(c.build(h))
			Expect(a.refusal).To(BeNil(), c.name)
			Expect(c.runs(h)).To(Equal(1), c.name)
			Expect(a.duration).To(BeNumerically("<", firstEventTimeout+schedulingSlack), c.name)
			AddReportEntry("whole answer, "+c.name, a.duration)
		})
	})
})
