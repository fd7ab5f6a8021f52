package entry_test

import (
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

// slowService makes every reservation take long enough to break its connection.
func slowService(w *world) {
	for _, r := range w.runners {
		r.service.Add(standin.Fault{Kind: standin.FaultSlow, Path: "/pegs", Delay: oleanderspool.Second})
	}
}

// Guards against a second run of a call that is not idempotent, and against a
// refusal that says "not run" of a call that ran (P4, P5).
var _ = Describe("A call that is not idempotent and has no key", func() {
	working := func(b *breakage) { b.holder = b.w.holder() }
	ran := func(b *breakage) {
		b.holder = b.w.holder()
		b.holder.front.Cut(link.Backward)
		Eventually(func() int { return b.w.runs("peg") }, settle, poll).Should(Equal(1))
	}
	breakFront := func(b *breakage) {
		b.holder.front.Break()
		b.holder.front.Heal()
	}
	loseFront := func(b *breakage) {
		b.holder.front.Refuse()
		b.holder.front.Break()
	}
	cases := []struct {
		name      string
		prepare   func(w *world)    // before the call
		reach     func(b *breakage) // waits for the point; nil for none
		fault     func(b *breakage) // at the point
		refused   bool
		execution oleanderspool.Execution // of the refusal
		runs      int                     // at most; exactly when the call is answered
	}{
		{"agent lost before the call", func(w *world) {
			for _, r := range w.runners {
				r.front.Refuse()
				r.front.Break()
			}
		}, nil, nil, true, oleanderspool.NotRun, 0},
		{"connection broken while the service works", slowService, working, breakFront, false, 0, 1},
		{"agent lost while the service works", slowService, working, loseFront, true, oleanderspool.MayHaveRun, 1},
		{"connection broken before the answer", slowService, ran, breakFront, false, 0, 1},
		{"agent lost before the answer", slowService, ran, loseFront, true, oleanderspool.MayHaveRun, 1},
		{"service lost before the call", func(w *world) {
			for _, r := range w.runners {
				r.back.Refuse()
			}
		}, nil, nil, true, oleanderspool.NotRun, 0},
		{"service lost while it works", slowService, working, func(b *breakage) { b.holder.back.Break() }, true, oleanderspool.MayHaveRun, 1},
		{"answer of the service lost", func(w *world) {
			for _, r := range w.runners {
				r.service.Add(standin.Fault{Kind: standin.FaultLoseResponse, Path: "/pegs"})
			}
		}, nil, nil, true, oleanderspool.MayHaveRun, 1},
	}
	for _, c := range cases {
		It("runs at most once: "+c.name, func() {
			w := newWorld(plan{services: 2})
			c.prepare(w)
			b := &breakage{w: w, stream: w.open(w.reservation("peg", ""))}
			if c.reach != nil {
				c.reach(b)
				c.fault(b)
			}
			a := b.stream.wait()
			for _, r := range w.runners {
				Eventually(r.running, settle, poll).Should(BeZero())
			}
			if !c.refused {
				Expect(a.refusal).To(BeNil())
				Expect(w.runs("peg")).To(Equal(c.runs))
				return
			}
			Expect(a.refusal).NotTo(BeNil())
			Expect(a.refusal.Execution).To(Equal(c.execution))
			Expect(w.runs("peg")).To(BeNumerically("<=", c.runs))
		})
	}
})
