package entry_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

// pendingCall is a call in progress and the runner that executes it.
type pendingCall struct {
	harness *harness
	stream  *stream
	holder  *runner
}

// breakCase is the point at which a connection breaks and the expected outcome.
type breakCase struct {
	name      string
	prepare   func(h *harness)     // before the call
	reach     func(b *pendingCall) // waits until the call has reached the point; nil for none
	fault     func(b *pendingCall) // injected at the point
	key       oleanderspool.IdempotencyKey
	refused   bool
	execution oleanderspool.Execution // of the refusal
	runs      int                     // exact number if the call is answered, else the maximum
}

// slowService makes the services hold every call until release. The delay of the
// fault is longer than the test.
func slowService(h *harness) {
	for _, r := range h.runners {
		r.service.AddFault(standin.Fault{Kind: standin.FaultSlow, Path: "/pegs", Delay: oleanderspool.Hour})
	}
}

// release lets the services run the calls that they hold.
func (b *pendingCall) release() {
	for _, r := range b.harness.runners {
		r.service.ClearFaults()
	}
}

// Guards against a non-idempotent call that runs twice, and against a refusal that
// says "not run" although the call ran (P4, P5).
var _ = Describe("A non-idempotent call", func() {
	// An agent counts an attempt before it is connected to its service, so the
	// test asks the service itself whether it has the call.
	working := func(b *pendingCall) {
		b.holder = b.harness.busyRunner()
		Eventually(b.holder.service.HeldRequests, eventualTimeout, pollInterval).Should(Equal(1))
	}
	ran := func(b *pendingCall) {
		working(b)
		b.holder.frontRelay.Cut(link.Backward)
		b.release()
		Eventually(func() int { return b.harness.runs("peg") }, eventualTimeout, pollInterval).Should(Equal(1))
	}
	breakFront := func(b *pendingCall) {
		b.holder.frontRelay.Reset()
		b.holder.frontRelay.Heal()
	}
	loseFront := func(b *pendingCall) {
		b.holder.frontRelay.Refuse()
		b.holder.frontRelay.Reset()
	}
	points := []breakCase{
		{"agent lost before the call", func(h *harness) {
			for _, r := range h.runners {
				r.frontRelay.Refuse()
				r.frontRelay.Reset()
			}
			// A call on a pooled connection whose reset is not yet detected may have
			// run. A call refused as not run shows that no such connection is left.
			Eventually(func() bool {
				refusal := h.send(h.idempotentCall()).refusal
				return refusal != nil && refusal.Execution == oleanderspool.NotRun
			}, eventualTimeout, pollInterval).Should(BeTrue())
		}, nil, nil, "", true, oleanderspool.NotRun, 0},
		{"connection broken while the service works", slowService, working, breakFront, "", false, 0, 1},
		{"agent lost while the service works", slowService, working, loseFront, "", true, oleanderspool.MayHaveRun, 1},
		{"connection broken before the answer", slowService, ran, breakFront, "", false, 0, 1},
		{"agent lost before the answer", slowService, ran, loseFront, "", true, oleanderspool.MayHaveRun, 1},
		{"service lost before the call", func(h *harness) {
			for _, r := range h.runners {
				r.backRelay.Refuse()
			}
		}, nil, nil, "", true, oleanderspool.NotRun, 0},
		{"service lost while it works", slowService, working, func(b *pendingCall) { b.holder.backRelay.Reset() }, "", true, oleanderspool.MayHaveRun, 1},
		{"answer of the service lost", func(h *harness) {
			for _, r := range h.runners {
				r.service.AddFault(standin.Fault{Kind: standin.FaultLoseResponse, Path: "/pegs"})
			}
		}, nil, nil, "", true, oleanderspool.MayHaveRun, 1},
	}
	run := func(c breakCase) {
		h := newHarness(harnessConfig{services: 2})
		c.prepare(h)
		b := &pendingCall{harness: h, stream: h.start(h.nonIdempotentCall("peg", c.key))}
		if c.reach != nil {
			c.reach(b)
			c.fault(b)
			b.release()
		}
		a := b.stream.waitForEnd()
		for _, r := range h.runners {
			Eventually(r.runningAttempts, eventualTimeout, pollInterval).Should(BeZero(), c.name)
		}
		if !c.refused {
			Expect(a.refusal).To(BeNil(), c.name)
			Expect(h.runs("peg")).To(Equal(c.runs), c.name)
			return
		}
		Expect(a.refusal).NotTo(BeNil(), c.name)
		Expect(a.refusal.Execution).To(Equal(c.execution), c.name)
		Expect(h.runs("peg")).To(BeNumerically("<=", c.runs), c.name)
	}
	It("runs at most once, at whichever point its connection breaks", func() {
		all := slices.Clone(points)
		for _, c := range points {
			c.name, c.key = c.name+", with a key", "key"
			all = append(all, c)
		}
		parallel(all, run)
	})
})
