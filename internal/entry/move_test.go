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

// longPrompt is a prompt of 20,000 tokens, which takes an engine 1 s to prefill.
var longPrompt = strings.Repeat("peg ", 20_000)

const (
	longPromptTokens = 20_000
	// answerTokens is the length of an answer that takes an engine 6 s.
	answerTokens = 300
)

// shortLimits returns limits that move streams with more than 2 s remaining and
// end a transfer of about 1.6 MB after 3 s, so that a transfer that hangs ends
// while its answer is still streaming.
func shortLimits() handover.Limits {
	limits := handover.DefaultLimits
	limits.MinRemaining, limits.MinPrefillTime = 2*oleanderspool.Second, 500
	limits.TransferTimeout, limits.SwitchTimeout = 3*oleanderspool.Second, oleanderspool.Second
	return limits
}

// startMove starts a harness whose agents move streams by the given limits, and a
// stream of an answer of the given length in it.
func startMove(limits handover.Limits, tokens int) (h *harness, s *stream, source, target *runner) {
	options := []standengine.Option{standengine.WithExportBytes(80), standengine.WithLoadTime(20)}
	h = newHarness(harnessConfig{engines: 2, options: options, agents: []agent.Option{agent.WithTransferLimits(limits)}})
	for _, r := range h.runners {
		// Only a cache of a known version of the model is moved.
		Eventually(func() float64 { return metricSum(r.metrics, "engine_orders_total", "applied") }, eventualTimeout, pollInterval).Should(BeNumerically(">", 0))
	}
	s = h.start(h.modelRequest(longPrompt, tokens))
	s.waitForPieces(10)
	source = h.busyRunner()
	target = h.runners[0]
	if source == target {
		target = h.runners[1]
	}
	return h, s, source, target
}

// prefilledTokens returns the number of tokens that the engines prefilled for long
// prompts.
func (h *harness) prefilledTokens() int64 {
	total := int64(0)
	for _, q := range h.requests() {
		total += q.Prefilled
	}
	return total
}

func (h *harness) transferCount(result string) float64 {
	return metricSum(h.metrics, "cache_transfers_total", result)
}

// Guards against a stopping agent that waits for its longest stream, and against a
// transfer that truncates or repeats the stream, prefills its prompt again without
// need, or leaks engine memory (P2, P3, P7). Seven cases run at the same time: with
// more, the transfers become so slow that they exceed their timeout.
var _ = Describe("A long stream of an agent that stops", func() {
	type transfer struct {
		name   string
		fault  func(h *harness, s *stream, source, target *runner) // before the agent stops
		during func(h *harness, s *stream, source, target *runner) // while the engine exports
		result string                                              // result that the entry counts
		once   bool                                                // the prompt is prefilled once
		gone   bool                                                // the caller disconnects
	}
	slowExport := func(_ *harness, _ *stream, source, _ *runner) {
		source.engine.AddFault(standin.Fault{Kind: standin.FaultSlow, Path: "/v1/export", Delay: 500})
	}
	failing := func(kind standin.FaultKind, path string) func(*harness, *stream, *runner, *runner) {
		return func(_ *harness, _ *stream, source, target *runner) {
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
		{name: "connections break", fault: slowExport, during: func(_ *harness, _ *stream, source, _ *runner) { source.frontRelay.Reset() }, result: "begun", once: true},
		{name: "packets from the target dropped", fault: slowExport, during: func(_ *harness, _ *stream, _, target *runner) { target.frontRelay.Cut(link.Backward) }, result: "begun", once: true},
		{name: "packets to and from the source dropped", fault: slowExport, during: func(_ *harness, _ *stream, source, _ *runner) { cutBoth(source.frontRelay) }, result: "begun"},
		{name: "engine of the target crashes", fault: slowExport, during: func(_ *harness, _ *stream, _, target *runner) { target.engine.Crash() }, result: "begun", once: true},
		{name: "engine of the source crashes", fault: slowExport, during: func(_ *harness, _ *stream, source, _ *runner) { source.engine.Crash() }, result: "begun"},
		{name: "caller disconnects", fault: slowExport, during: func(_ *harness, s *stream, _, _ *runner) { s.cancel() }, result: "ended", gone: true},
	}
	// A transfer that exceeds its timeout leaves the stream where it runs, so this
	// case uses the default timeouts and runs alone.
	It("moves to another server together with its KV cache", func() {
		limits := shortLimits()
		limits.TransferTimeout, limits.SwitchTimeout = handover.DefaultLimits.TransferTimeout, handover.DefaultLimits.SwitchTimeout
		h, s, source, _ := startMove(limits, 2*answerTokens)
		began := time.Now()
		source.stop()
		// The agent does not wait for the end of the answer.
		Eventually(source.stopped, eventualTimeout, pollInterval).Should(BeClosed())
		Expect(closed(s.done)).To(BeFalse())
		a := s.waitForEnd()
		AddReportEntry("answer ended after", time.Since(began))
		expectWholeAnswer(a, longPrompt, 2*answerTokens)
		Expect(h.transferResults()).To(ContainElement("done"))
		// The tokens generated during the transfer are prefilled again.
		Expect(h.prefilledTokens()).To(BeNumerically("<", longPromptTokens+2*2*answerTokens))
		AddReportEntry("tokens prefilled", h.prefilledTokens())
		AddReportEntry("longest gap", a.longestGap)
		for _, r := range h.runners {
			Eventually(r.freeTokens, eventualTimeout, pollInterval).Should(BeNumerically("==", standengine.DefaultSizeTokens))
		}
	})
	// Guards against a stopping agent that does not wait for the reader of an answer
	// that has ended after the transfer's time limits and before the reader returned
	// from a destination that sent no piece. Every new start hangs, so an answer that
	// is lost here is refused with time_limit.
	It("is completed when it ends where it runs before the destination is given up", func() {
		limits := shortLimits()
		limits.TransferTimeout = 2 * oleanderspool.Second
		// The answer ends about 3.6 s after the transfer: 3 s are its time limits, and
		// after 5 s the entry gives up the destination.
		const tokens = 200
		h, s, source, target := startMove(limits, tokens)
		for _, r := range []*runner{source, target} {
			r.engine.AddFault(standin.Fault{Kind: standin.FaultHang, Path: "/v1/chat"})
		}
		source.stop()
		expectWholeAnswer(s.waitForEnd(), longPrompt, tokens)
		Expect(h.transferResults()).To(ContainElement("not_started"))
		Eventually(source.stopped, eventualTimeout, pollInterval).Should(BeClosed())
	})
	It("is completed, on another server or where it runs, when the transfer fails", func() {
		play := func(c transfer) {
			h, s, source, target := startMove(shortLimits(), answerTokens)
			if c.fault != nil {
				c.fault(h, s, source, target)
			}
			source.stop()
			if c.during != nil {
				Eventually(func() float64 { return metricSum(source.metrics, "cache_transfers_total", "begun") }, eventualTimeout, time.Millisecond).Should(BeNumerically(">", 0), c.name)
				c.during(h, s, source, target)
			}
			a := s.waitForEnd()
			if c.gone {
				Expect(a.refusal).NotTo(BeNil(), c.name)
			} else {
				expectWholeAnswer(a, longPrompt, answerTokens)
			}
			Eventually(func() float64 { return h.transferCount(c.result) }, eventualTimeout, pollInterval).Should(BeNumerically(">", 0), c.name+": "+strings.Join(h.transferResults(), " "))
			if c.once {
				// The tokens generated during the transfer are prefilled again.
				Expect(h.prefilledTokens()).To(BeNumerically("<", longPromptTokens+2*answerTokens), c.name)
			}
			source.frontRelay.Heal()
			target.frontRelay.Heal()
			for _, r := range h.runners {
				r.engine.ClearFaults()
				Eventually(r.freeTokens, eventualTimeout, pollInterval).Should(BeNumerically("==", standengine.DefaultSizeTokens), c.name)
			}
			Eventually(source.stopped, eventualTimeout, pollInterval).Should(BeClosed(), c.name)
		}
		for batch := range slices.Chunk(cases, 7) {
			parallel(batch, play)
		}
	})
})

// transferResults lists the transfer results that the entry has counted.
func (h *harness) transferResults() []string {
	var seen []string
	for _, r := range append([]handover.Reason{"begun", "done"}, handover.Reasons...) {
		if h.transferCount(string(r)) > 0 {
			seen = append(seen, string(r))
		}
	}
	return seen
}
