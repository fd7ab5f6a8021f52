package entry_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	standengine "github.com/oleanderspool/oleanderspool/internal/standin/engine"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

var _ = Describe("A request past its deadline", func() {
	const limit = 1500 * oleanderspool.Millis(1)

	// Guards against a refusal that waits for an unresponsive peer, and against
	// attempts and engine memory that are not released (P1, P2). The cases run at
	// the same time.
	It("is refused by the entry at once while the agent or backend server does not respond", func() {
		question := func(h *harness) oleanderspool.Request { return h.modelRequest(prompt, 10) }
		plain := func(h *harness) oleanderspool.Request { return h.nonIdempotentCall("late", "") }
		keyed := func(h *harness) oleanderspool.Request { return h.nonIdempotentCall("late", "k") }
		silent := func(r *runner) { cutBoth(r.frontRelay) }
		hung := func(r *runner) { r.backRelay.Cut(link.Backward) }
		type unresponsive struct {
			name  string
			build func(h *harness) oleanderspool.Request
			cut   func(r *runner)
		}
		cases := []unresponsive{
			{"unresponsive agent of an engine", question, silent},
			{"unresponsive agent of a service", plain, silent},
			{"unresponsive agent, call with a key", keyed, silent},
			{"unresponsive engine", question, hung},
			{"unresponsive service", plain, hung},
		}
		parallel(cases, func(c unresponsive) {
			h := newHarness(harnessConfig{engines: 1, services: 1})
			for _, r := range h.runners {
				c.cut(r)
			}
			a := h.send(c.build(h).WithDeadline(h.entry.Now() + limit))
			Expect(a.refusal).NotTo(BeNil(), c.name)
			Expect(a.refusal.Execution).To(Equal(oleanderspool.MayHaveRun), c.name)
			Expect(a.duration).To(BeNumerically("<", limit.Duration()+refusalSlack), c.name)
			AddReportEntry("answered after, "+c.name, a.duration)
			Eventually(func() float64 { return metricSum(h.metrics, "requests_running", "") }, eventualTimeout, pollInterval).Should(BeZero(), c.name)
			for _, r := range h.runners {
				r.frontRelay.Heal()
				r.backRelay.Heal()
				Eventually(r.runningAttempts, eventualTimeout, pollInterval).Should(BeZero(), c.name)
			}
			Eventually(h.runners[0].freeTokens, eventualTimeout, pollInterval).Should(BeNumerically("==", standengine.DefaultSizeTokens), c.name)
		})
	})

	// Guards against an agent that relies on its caller or its engine to end a
	// request (P1).
	It("is refused by the agent at once while the engine does not respond", func() {
		h := newHarness(harnessConfig{engines: 1})
		r := h.runners[0]
		client := peer.NewClient().Agent(r.frontRelay.Address())
		watch, err := client.Watch(context.Background(), &peerpb.WatchRequest{IntervalMs: 1000})
		Expect(err).NotTo(HaveOccurred())
		state, err := watch.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(watch.Close()).To(Succeed())
		r.backRelay.Cut(link.Backward)
		now := h.entry.Now()
		call := peer.RunCall{
			Revision:    h.entry.Revision(),
			Incarnation: r.agent.Incarnation(),
			Attempt:     attempt.NewID(attempt.ClassUnkeyed, oleanderspool.Millis(state.GetInstantMs()), "alone"),
			Request:     h.modelRequest(prompt, 10).WithDeadline(now + limit),
		}
		started := time.Now()
		stream, err := client.Run(context.Background(), peer.EncodeRun(call, now))
		Expect(err).NotTo(HaveOccurred())
		var event peer.Event
		for event.Failure == nil {
			m, err := stream.Recv()
			Expect(err).NotTo(HaveOccurred())
			event = peer.DecodeEvent(m)
		}
		Expect(time.Since(started)).To(BeNumerically("<", limit.Duration()+refusalSlack))
		AddReportEntry("answered after", time.Since(started))
		Expect(event.Failure.Refusal.Reason).To(Equal(oleanderspool.RefusalTimeLimit))
		Expect(event.Failure.Refusal.Execution).To(Equal(oleanderspool.MayHaveRun))
		Eventually(r.runningAttempts, eventualTimeout, pollInterval).Should(BeZero())
		r.backRelay.Heal()
		Eventually(r.freeTokens, eventualTimeout, pollInterval).Should(BeNumerically("==", standengine.DefaultSizeTokens))
	})
})

// Guards against an engine that receives no more requests because its reports are
// slow.
var _ = Describe("A busy engine", func() {
	It("receives requests while its reports take longer than a second", func() {
		h := newHarness(harnessConfig{engines: 1})
		h.runners[0].engine.AddFault(standin.Fault{Kind: standin.FaultSlow, Path: "/v1/report", Delay: 1500})
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			Expect(h.send(h.modelRequest(prompt, 1)).refusal).To(BeNil())
		}
	})
})
