package entry_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/retry"
	standengine "github.com/oleanderspool/oleanderspool/internal/standin/engine"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

const (
	// streamTimeout is the time, by section 6.4, after which a stream without
	// events is replaced.
	streamTimeout = 3 * time.Second
	// firstEventTimeout is the time in which an agent acknowledges a call.
	firstEventTimeout = time.Second
	// schedulingSlack allows for scheduling delays on a busy machine.
	schedulingSlack = 700 * time.Millisecond
)

// refusalSlack is how long after the deadline a refusal may arrive.
const refusalSlack = 300 * time.Millisecond

const prompt = "how many pegs, stakes and ratchet straps are left in Temuco?"

// expectWholeAnswer checks that an answer is complete, in order and without
// duplicates.
func expectWholeAnswer(a answer, prompt string, tokens int) {
	GinkgoHelper()
	Expect(a.refusal).To(BeNil())
	Expect(a.text).To(Equal(standengine.Text(prompt, 0, tokens)))
}

// busyRunner returns the runner that runs the only request in progress.
func (h *harness) busyRunner() *runner {
	GinkgoHelper()
	var found *runner
	Eventually(func() bool {
		for _, r := range h.runners {
			if r.runningAttempts() > 0 {
				found = r
			}
		}
		return found != nil
	}, eventualTimeout, pollInterval).Should(BeTrue())
	return found
}

var _ = Describe("A stream over a failing link", func() {
	// An answer takes longer than the reader timeout, so that a cut of the
	// direction from entry to agent alone has an effect.
	const tokens = 300

	// Guards against a stream that hangs or a request that runs again when the
	// connection goes dead while new connections work (P1, P3), also when almost
	// half of the reader timeout has passed since the agent last received a call
	// of the reader, and when the entry stops meanwhile (P7). The cases run at
	// the same time.
	It("resumes over a new connection without a second run of the request", func() {
		type deadConnection struct {
			name  string
			after time.Duration // from the first piece on
			stop  bool          // the entry stops
		}
		cases := []deadConnection{
			{"soon after the start", 0, false},
			{"just before the reader attaches again", readerTimeout.Duration()/2 - 300*time.Millisecond, false},
			{"while the entry stops", 0, true},
		}
		parallel(cases, func(c deadConnection) {
			h := newHarness(harnessConfig{engines: 2})
			s := h.start(h.modelRequest(prompt, tokens))
			s.waitForPieces(1)
			holder := h.busyRunner()
			time.Sleep(c.after)
			holder.frontRelay.BlackHole()
			if c.stop {
				h.stop()
			}
			a := s.waitForEnd()
			expectWholeAnswer(a, prompt, tokens)
			Expect(h.requests()).To(HaveLen(1), c.name)
			Expect(a.longestGap).To(BeNumerically("<", streamTimeout+firstEventTimeout+schedulingSlack), c.name)
			AddReportEntry("longest gap, "+c.name, a.longestGap)
		})
	})

	// Guards against an incomplete or lost answer when packets are lost in one
	// direction only, or arrive after the stream has timed out. The cases run at
	// the same time.
	It("delivers the complete answer", func() {
		const gone = streamTimeout + 2*firstEventTimeout + schedulingSlack
		type lossy struct {
			name  string
			fault func(l *link.Relay)
			runs  int // on the engines
			gap   time.Duration
		}
		cases := []lossy{
			{"packets to the agent dropped for a second", func(l *link.Relay) {
				l.Cut(link.Forward)
				time.AfterFunc(time.Second, l.Heal)
			}, 1, firstEventTimeout},
			{"packets to the agent dropped", func(l *link.Relay) { l.Cut(link.Forward) }, 2, gone},
			{"packets from the agent dropped", func(l *link.Relay) { l.Cut(link.Backward) }, 2, gone},
			{"packets in both directions dropped", cutBoth, 2, gone},
			{"delay above the stream timeout", func(l *link.Relay) { l.SetDelay(3500) }, 2, gone},
			{"delay below the stream timeout", func(l *link.Relay) { l.SetDelay(900) }, 1, streamTimeout},
		}
		parallel(cases, func(c lossy) {
			h := newHarness(harnessConfig{engines: 2})
			s := h.start(h.modelRequest(prompt, tokens))
			s.waitForPieces(20)
			holder := h.busyRunner()
			c.fault(holder.frontRelay)
			a := s.waitForEnd()
			expectWholeAnswer(a, prompt, tokens)
			Expect(h.requests()).To(HaveLen(c.runs), c.name)
			Expect(a.longestGap).To(BeNumerically("<", c.gap), c.name)
			AddReportEntry("longest gap, "+c.name, a.longestGap)
			Eventually(holder.runningAttempts, eventualTimeout, pollInterval).Should(BeZero(), c.name)
		})
	})
})

func cutBoth(l *link.Relay) {
	l.Cut(link.Forward)
	l.Cut(link.Backward)
}

// Guards against the refusal of requests in progress while the only engine that
// can run them restarts, and against a refusal that says "not run" of a request
// that was started (P1, P3, P4). The cases run at the same time.
var _ = Describe("Streams whose only engine crashes", func() {
	It("continue after the engine restarts, and are refused as possibly run when it stays down", func() {
		const tokens, streams = 100, 4
		type outage struct {
			name string
			down oleanderspool.Millis
			back bool
		}
		cases := []outage{
			{"restart", oleanderspool.Second, true},
			{"lasting outage", oleanderspool.Minute, false},
		}
		parallel(cases, func(c outage) {
			h := newHarness(harnessConfig{engines: 1, options: []standengine.Option{standengine.WithDowntime(c.down)}})
			var open []*stream
			for i := range streams {
				open = append(open, h.start(h.modelRequest(fmt.Sprint(i, prompt), tokens)))
				open[i].waitForPieces(5)
			}
			h.runners[0].engine.Crash()
			for i, s := range open {
				a := s.waitForEnd()
				if c.back {
					expectWholeAnswer(a, fmt.Sprint(i, prompt), tokens)
					continue
				}
				Expect(a.refusal).NotTo(BeNil(), c.name)
				Expect(a.refusal.Execution).To(Equal(oleanderspool.MayHaveRun), c.name)
				Expect(a.refusal.RetryAfter).To(BeNumerically(">", 0), c.name)
			}
		})
	})
})

// Guards against retries that exceed their budget, and against requests that miss
// their deadlines or are refused without a retry-after delay, when half of the
// agents are lost at once (P1).
var _ = Describe("Streams while half of the agents are lost", func() {
	It("are completed or refused with a retry-after delay before their deadlines", func() {
		const tokens, streams = 100, 72
		h := newHarness(harnessConfig{engines: 6})
		var open []*stream
		for i := range streams {
			r := h.modelRequest(fmt.Sprint(i, prompt), tokens)
			open = append(open, h.start(r.WithDeadline(h.entry.Now()+20*oleanderspool.Second)))
		}
		for _, s := range open {
			s.waitForPieces(5)
		}
		free := 0.0 // retries of the first lost agent, before the second loss is known
		for _, r := range h.runners[:3] {
			free = max(free, r.runningAttempts())
			r.frontRelay.Refuse()
			r.frontRelay.Reset()
		}
		refused := 0
		for i, s := range open {
			a := s.waitForEnd()
			if a.refusal == nil {
				expectWholeAnswer(a, fmt.Sprint(i, prompt), tokens)
				continue
			}
			refused++
			Expect(a.refusal.Execution).To(Equal(oleanderspool.MayHaveRun))
			Expect(a.refusal.RetryAfter).To(BeNumerically(">", 0))
		}
		again := len(h.requests()) - streams
		admitted := metricSum(h.metrics, "requests_admitted_total", "model")
		Expect(float64(again)).To(BeNumerically("<=", free+retry.DefaultBudgetReserve+retry.DefaultBudgetFraction*admitted))
		Expect(again + refused).To(BeNumerically(">", 0))
		AddReportEntry("run again and refused", fmt.Sprint(again, " and ", refused))
	})
})
