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

var _ = Describe("A request past its time limit", func() {
	const limit = 1500 * oleanderspool.Millis(1)

	// Guards against a refusal that waits for a peer that does not answer, and
	// against anything that stays behind (P1, P2). The cases run at the same time.
	It("is answered at once by the entry alone", func() {
		question := func(w *world) oleanderspool.Request { return w.question(prompt, 10) }
		plain := func(w *world) oleanderspool.Request { return w.reservation("late", "") }
		keyed := func(w *world) oleanderspool.Request { return w.reservation("late", "k") }
		silent := func(r *runner) { cutBoth(r.front) }
		hung := func(r *runner) { r.back.Cut(link.Backward) }
		type silence struct {
			name  string
			build func(w *world) oleanderspool.Request
			cut   func(r *runner)
		}
		cases := []silence{
			{"silent agent of an engine", question, silent},
			{"silent agent of a service", plain, silent},
			{"silent agent and a key", keyed, silent},
			{"hung engine", question, hung},
			{"hung service", plain, hung},
		}
		parallel(cases, func(c silence) {
			w := newWorld(plan{engines: 1, services: 1})
			for _, r := range w.runners {
				c.cut(r)
			}
			a := w.send(c.build(w).WithDeadline(w.entry.Now() + limit))
			Expect(a.refusal).NotTo(BeNil(), c.name)
			Expect(a.refusal.Execution).To(Equal(oleanderspool.MayHaveRun), c.name)
			Expect(a.took).To(BeNumerically("<", limit.Duration()+answerSlack), c.name)
			AddReportEntry("answered after, "+c.name, a.took)
			Eventually(func() float64 { return sample(w.metrics, "requests_running", "") }, settle, poll).Should(BeZero(), c.name)
			for _, r := range w.runners {
				r.front.Heal()
				r.back.Heal()
				Eventually(r.running, settle, poll).Should(BeZero(), c.name)
			}
			Eventually(w.runners[0].free, settle, poll).Should(BeNumerically("==", standengine.DefaultSizeTokens), c.name)
		})
	})

	// Guards against an agent that relies on its caller or its engine to end a
	// request (P1).
	It("is answered at once by the agent alone", func() {
		w := newWorld(plan{engines: 1})
		r := w.runners[0]
		client := peer.NewClient().Agent(r.front.Address())
		watch, err := client.Watch(context.Background(), &peerpb.WatchRequest{IntervalMs: 1000})
		Expect(err).NotTo(HaveOccurred())
		state, err := watch.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(watch.Close()).To(Succeed())
		r.back.Cut(link.Backward)
		now := w.entry.Now()
		call := peer.RunCall{
			Revision:    w.entry.Revision(),
			Incarnation: r.agent.Incarnation(),
			Attempt:     attempt.NewID(attempt.ClassUnkeyed, oleanderspool.Millis(state.GetInstantMs()), "alone"),
			Request:     w.question(prompt, 10).WithDeadline(now + limit),
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
		Expect(time.Since(started)).To(BeNumerically("<", limit.Duration()+answerSlack))
		AddReportEntry("answered after", time.Since(started))
		Expect(event.Failure.Refusal.Reason).To(Equal(oleanderspool.RefusalTimeLimit))
		Expect(event.Failure.Refusal.Execution).To(Equal(oleanderspool.MayHaveRun))
		Eventually(r.running, settle, poll).Should(BeZero())
		r.back.Heal()
		Eventually(r.free, settle, poll).Should(BeNumerically("==", standengine.DefaultSizeTokens))
	})
})

// Guards against an engine that is taken out of service because it answers
// questions about itself slowly.
var _ = Describe("A busy engine", func() {
	It("goes on serving while its reports take longer than a second", func() {
		w := newWorld(plan{engines: 1})
		w.runners[0].engine.AddFault(standin.Fault{Kind: standin.FaultSlow, Path: "/v1/report", Delay: 1500})
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			Expect(w.send(w.question(prompt, 1)).refusal).To(BeNil())
		}
	})
})
