package entry_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/agent"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	standengine "github.com/oleanderspool/oleanderspool/internal/standin/engine"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

// ledger is a prompt of 20,000 tokens, which takes an engine 1 s to prefill.
var ledger = strings.Repeat("peg ", 20_000)

const (
	ledgerTokens = 20_000
	// moveTokens is the length of an answer that takes an engine 6 s.
	moveTokens = 300
)

// quickLimits move streams of more than 2 s and end a transfer of about 1.6 MB
// after 3 s, so that a transfer that hangs ends while its answer runs.
func quickLimits() handover.Limits {
	limits := handover.DefaultLimits
	limits.MinRemaining, limits.MinPrefillTime = 2*oleanderspool.Second, 500
	limits.TransferTimeout, limits.SwitchTimeout = 3*oleanderspool.Second, oleanderspool.Second
	return limits
}

// moving starts a world whose agents move streams by the given limits, and a
// stream of an answer of the given length in it.
func moving(limits handover.Limits, tokens int) (w *world, s *stream, source, target *runner) {
	options := []standengine.Option{standengine.WithExportBytes(80), standengine.WithLoadTime(20)}
	w = newWorld(plan{engines: 2, options: options, agents: []agent.Option{agent.WithTransferLimits(limits)}})
	for _, r := range w.runners {
		// Only a cache of a known version of the model is moved.
		Eventually(func() float64 { return sample(r.metrics, "engine_orders_total", "applied") }, settle, poll).Should(BeNumerically(">", 0))
	}
	s = w.open(w.question(ledger, tokens))
	s.received(10)
	source = w.holder()
	target = w.runners[0]
	if source == target {
		target = w.runners[1]
	}
	return w, s, source, target
}

// prefilled returns the tokens that the engines prefilled of long prompts.
func (w *world) prefilled() int64 {
	total := int64(0)
	for _, q := range w.requests() {
		total += q.Prefilled
	}
	return total
}

func (w *world) moves(result string) float64 {
	return sample(w.metrics, "cache_transfers_total", result)
}

// Guards against a leaving agent that waits for its longest stream, and against
// a transfer that cuts or repeats the stream, prefills its prompt again although
// it need not, or leaves engine memory behind (P2, P3, P7). Seven cases run at the
// same time: more worlds slow their transfers down until their bound passes.
var _ = Describe("A long stream of an agent that stops", func() {
	type transfer struct {
		name   string
		fault  func(w *world, s *stream, source, target *runner) // before the agent stops
		during func(w *world, s *stream, source, target *runner) // while the engine exports
		result string                                            // that the entry counts
		once   bool                                              // the prompt is prefilled once
		gone   bool                                              // the caller leaves
	}
	slowExport := func(_ *world, _ *stream, source, _ *runner) {
		source.engine.AddFault(standin.Fault{Kind: standin.FaultSlow, Path: "/v1/export", Delay: 500})
	}
	failing := func(kind standin.FaultKind, path string) func(*world, *stream, *runner, *runner) {
		return func(_ *world, _ *stream, source, target *runner) {
			for _, r := range []*runner{source, target} {
				r.engine.AddFault(standin.Fault{Kind: kind, Path: path})
			}
		}
	}
	cases := []transfer{
		{name: "no memory at the target", fault: failing(standin.FaultOutage, "/v1/reserve"), result: "no_memory", once: true},
		{name: "export fails", fault: failing(standin.FaultBreak, "/v1/export"), result: "export", once: true},
		{name: "export hangs", fault: failing(standin.FaultHang, "/v1/export"), result: "time", once: true},
		{name: "import fails", fault: failing(standin.FaultBreak, "/v1/import"), result: "import", once: true},
		{name: "import is carried out without an answer", fault: failing(standin.FaultNoResponse, "/v1/import"), result: "time", once: true},
		{name: "start is refused", fault: failing(standin.FaultOutage, "/v1/chat"), result: "not_started", once: true},
		{name: "start hangs", fault: failing(standin.FaultHang, "/v1/chat"), result: "not_started", once: true},
		{name: "connections break", fault: slowExport, during: func(_ *world, _ *stream, source, _ *runner) { source.front.Reset() }, result: "begun", once: true},
		{name: "target goes silent", fault: slowExport, during: func(_ *world, _ *stream, _, target *runner) { target.front.Cut(link.Backward) }, result: "begun", once: true},
		{name: "source goes silent", fault: slowExport, during: func(_ *world, _ *stream, source, _ *runner) { cutBoth(source.front) }, result: "begun"},
		{name: "engine of the target crashes", fault: slowExport, during: func(_ *world, _ *stream, _, target *runner) { target.engine.Crash() }, result: "begun", once: true},
		{name: "engine of the source crashes", fault: slowExport, during: func(_ *world, _ *stream, source, _ *runner) { source.engine.Crash() }, result: "begun"},
		{name: "caller leaves", fault: slowExport, during: func(_ *world, s *stream, _, _ *runner) { s.cancel() }, result: "ended", gone: true},
	}
	// A transfer that exceeds its bound leaves the stream where it runs, so that
	// this case has the product's bound and the machine to itself.
	It("moves with its cache", func() {
		limits := quickLimits()
		limits.TransferTimeout, limits.SwitchTimeout = handover.DefaultLimits.TransferTimeout, handover.DefaultLimits.SwitchTimeout
		w, s, source, _ := moving(limits, 2*moveTokens)
		began := time.Now()
		source.stop()
		// The agent does not wait for the end of the answer.
		Eventually(source.stopped, settle, poll).Should(BeClosed())
		Expect(closed(s.done)).To(BeFalse())
		a := s.wait()
		AddReportEntry("answer ended after", time.Since(began))
		whole(a, ledger, 2*moveTokens)
		Expect(w.counted()).To(ContainElement("done"))
		// The tokens generated during the transfer are prefilled again.
		Expect(w.prefilled()).To(BeNumerically("<", ledgerTokens+2*2*moveTokens))
		AddReportEntry("tokens prefilled", w.prefilled())
		AddReportEntry("longest gap", a.gaps)
		for _, r := range w.runners {
			Eventually(r.free, settle, poll).Should(BeNumerically("==", standengine.DefaultSizeTokens))
		}
	})
	It("goes on elsewhere or ends where it runs", func() {
		play := func(c transfer) {
			w, s, source, target := moving(quickLimits(), moveTokens)
			if c.fault != nil {
				c.fault(w, s, source, target)
			}
			source.stop()
			if c.during != nil {
				Eventually(func() float64 { return sample(source.metrics, "cache_transfers_total", "begun") }, settle, time.Millisecond).Should(BeNumerically(">", 0), c.name)
				c.during(w, s, source, target)
			}
			a := s.wait()
			if c.gone {
				Expect(a.refusal).NotTo(BeNil(), c.name)
			} else {
				whole(a, ledger, moveTokens)
			}
			Eventually(func() float64 { return w.moves(c.result) }, settle, poll).Should(BeNumerically(">", 0), c.name+": "+strings.Join(w.counted(), " "))
			if c.once {
				// The tokens generated during the transfer are prefilled again.
				Expect(w.prefilled()).To(BeNumerically("<", ledgerTokens+2*moveTokens), c.name)
			}
			source.front.Heal()
			target.front.Heal()
			for _, r := range w.runners {
				r.engine.ClearFaults()
				Eventually(r.free, settle, poll).Should(BeNumerically("==", standengine.DefaultSizeTokens), c.name)
			}
			Eventually(source.stopped, settle, poll).Should(BeClosed(), c.name)
		}
		for batch := range slices.Chunk(cases, 7) {
			parallel(batch, play)
		}
	})
})

// counted lists the results that the entry has counted.
func (w *world) counted() []string {
	var seen []string
	for _, r := range append([]handover.Reason{"begun", "done"}, handover.Reasons...) {
		if w.moves(string(r)) > 0 {
			seen = append(seen, string(r))
		}
	}
	return seen
}
