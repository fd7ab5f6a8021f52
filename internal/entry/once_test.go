package entry_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

// breakage is a reservation in progress and the runner that has it.
type breakage struct {
	w      *world
	stream *stream
	holder *runner
}

// point is where a connection breaks and what the caller may see then.
type point struct {
	name      string
	prepare   func(w *world)    // before the call
	reach     func(b *breakage) // waits for the point; nil for none
	fault     func(b *breakage) // at the point
	key       oleanderspool.IdempotencyKey
	refused   bool
	execution oleanderspool.Execution // of the refusal
	runs      int                     // at most; exactly when the call is answered
}

// slowService holds every reservation in its service until release. The span of
// the fault is longer than the test.
func slowService(w *world) {
	for _, r := range w.runners {
		r.service.AddFault(standin.Fault{Kind: standin.FaultSlow, Path: "/pegs", Delay: oleanderspool.Hour})
	}
}

// release lets the services run the reservations that they hold.
func (b *breakage) release() {
	for _, r := range b.w.runners {
		r.service.ClearFaults()
	}
}

// Guards against a second run of a call that is not idempotent, and against a
// refusal that says "not run" of a call that ran (P4, P5).
var _ = Describe("A call that is not idempotent", func() {
	// An agent counts an attempt before it is connected to its service, so the
	// service itself tells when it has the call.
	working := func(b *breakage) {
		b.holder = b.w.holder()
		Eventually(b.holder.service.HeldRequests, settle, poll).Should(Equal(1))
	}
	ran := func(b *breakage) {
		working(b)
		b.holder.front.Cut(link.Backward)
		b.release()
		Eventually(func() int { return b.w.runs("peg") }, settle, poll).Should(Equal(1))
	}
	breakFront := func(b *breakage) {
		b.holder.front.Reset()
		b.holder.front.Heal()
	}
	loseFront := func(b *breakage) {
		b.holder.front.Refuse()
		b.holder.front.Reset()
	}
	points := []point{
		{"agent lost before the call", func(w *world) {
			for _, r := range w.runners {
				r.front.Refuse()
				r.front.Reset()
			}
			// A call on a pooled connection whose reset was not noticed yet may
			// have run. A lookup that was not run shows that there is none.
			Eventually(func() bool {
				refusal := w.send(w.lookup()).refusal
				return refusal != nil && refusal.Execution == oleanderspool.NotRun
			}, settle, poll).Should(BeTrue())
		}, nil, nil, "", true, oleanderspool.NotRun, 0},
		{"connection broken while the service works", slowService, working, breakFront, "", false, 0, 1},
		{"agent lost while the service works", slowService, working, loseFront, "", true, oleanderspool.MayHaveRun, 1},
		{"connection broken before the answer", slowService, ran, breakFront, "", false, 0, 1},
		{"agent lost before the answer", slowService, ran, loseFront, "", true, oleanderspool.MayHaveRun, 1},
		{"service lost before the call", func(w *world) {
			for _, r := range w.runners {
				r.back.Refuse()
			}
		}, nil, nil, "", true, oleanderspool.NotRun, 0},
		{"service lost while it works", slowService, working, func(b *breakage) { b.holder.back.Reset() }, "", true, oleanderspool.MayHaveRun, 1},
		{"answer of the service lost", func(w *world) {
			for _, r := range w.runners {
				r.service.AddFault(standin.Fault{Kind: standin.FaultLoseResponse, Path: "/pegs"})
			}
		}, nil, nil, "", true, oleanderspool.MayHaveRun, 1},
	}
	run := func(c point) {
		w := newWorld(plan{services: 2})
		c.prepare(w)
		b := &breakage{w: w, stream: w.open(w.reservation("peg", c.key))}
		if c.reach != nil {
			c.reach(b)
			c.fault(b)
			b.release()
		}
		a := b.stream.wait()
		for _, r := range w.runners {
			Eventually(r.running, settle, poll).Should(BeZero(), c.name)
		}
		if !c.refused {
			Expect(a.refusal).To(BeNil(), c.name)
			Expect(w.runs("peg")).To(Equal(c.runs), c.name)
			return
		}
		Expect(a.refusal).NotTo(BeNil(), c.name)
		Expect(a.refusal.Execution).To(Equal(c.execution), c.name)
		Expect(w.runs("peg")).To(BeNumerically("<=", c.runs), c.name)
	}
	It("runs at most once wherever its connection breaks", func() {
		all := slices.Clone(points)
		for _, c := range points {
			c.name, c.key = c.name+", with a key", "key"
			all = append(all, c)
		}
		parallel(all, run)
	})
})
