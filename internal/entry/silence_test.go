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
	// silenceBound is the span of section 6.4 after which a silent stream is
	// replaced.
	silenceBound = 3 * time.Second
	// firstEventBound is the span in which an agent confirms a call.
	firstEventBound = time.Second
	// slack covers the scheduling of a busy machine.
	slack = 700 * time.Millisecond
)

// answerSlack is how late a refusal at the time limit may be.
const answerSlack = 300 * time.Millisecond

const prompt = "how many pegs, stakes and ratchet straps are left in Temuco?"

// whole checks that an answer is complete, in order and free of repetitions.
func whole(a answer, prompt string, tokens int) {
	GinkgoHelper()
	Expect(a.refusal).To(BeNil())
	Expect(a.text).To(Equal(standengine.Text(prompt, 0, tokens)))
}

// holder returns the runner that runs the only request.
func (w *world) holder() *runner {
	GinkgoHelper()
	var found *runner
	Eventually(func() bool {
		for _, r := range w.runners {
			if r.running() > 0 {
				found = r
			}
		}
		return found != nil
	}, settle, poll).Should(BeTrue())
	return found
}

var _ = Describe("A stream over a link that fails", func() {
	// An answer lasts longer than a reader counts without attaching again, so
	// that a cut of the calls alone matters.
	const tokens = 300

	// Guards against a stream that hangs or runs again when its connection goes
	// silent for good while new connections work (P1, P3), also when the agent
	// last heard of the reader almost half of its reader timeout before, and
	// when the entry stops meanwhile (P7). The cases run at the same time.
	It("resumes over a new connection without a second run", func() {
		type silence struct {
			name  string
			after time.Duration // from the first piece on
			stop  bool          // the entry stops
		}
		cases := []silence{
			{"soon after the start", 0, false},
			{"just before the reader attaches again", readerTimeout.Duration()/2 - 300*time.Millisecond, false},
			{"while the entry stops", 0, true},
		}
		parallel(cases, func(c silence) {
			w := newWorld(plan{engines: 2})
			s := w.open(w.question(prompt, tokens))
			s.received(1)
			holder := w.holder()
			time.Sleep(c.after)
			holder.front.BlackHole()
			if c.stop {
				w.stop()
			}
			a := s.wait()
			whole(a, prompt, tokens)
			Expect(w.requests()).To(HaveLen(1), c.name)
			Expect(a.gaps).To(BeNumerically("<", silenceBound+firstEventBound+slack), c.name)
			AddReportEntry("longest gap, "+c.name, a.gaps)
		})
	})

	// Guards against a torn or lost answer when packets are lost in one
	// direction only, or arrive after the stream was given up. The cases run at
	// the same time.
	It("gives the whole answer", func() {
		const gone = silenceBound + 2*firstEventBound + slack
		type lossy struct {
			name  string
			fault func(l *link.Relay)
			runs  int // on the engines
			gap   time.Duration
		}
		cases := []lossy{
			{"calls cut for a second", func(l *link.Relay) {
				l.Cut(link.Forward)
				time.AfterFunc(time.Second, l.Heal)
			}, 1, firstEventBound},
			{"calls cut", func(l *link.Relay) { l.Cut(link.Forward) }, 2, gone},
			{"answers cut", func(l *link.Relay) { l.Cut(link.Backward) }, 2, gone},
			{"both directions cut", cutBoth, 2, gone},
			{"delay beyond the silence bound", func(l *link.Relay) { l.SetDelay(3500) }, 2, gone},
			{"delay below the silence bound", func(l *link.Relay) { l.SetDelay(900) }, 1, silenceBound},
		}
		parallel(cases, func(c lossy) {
			w := newWorld(plan{engines: 2})
			s := w.open(w.question(prompt, tokens))
			s.received(20)
			holder := w.holder()
			c.fault(holder.front)
			a := s.wait()
			whole(a, prompt, tokens)
			Expect(w.requests()).To(HaveLen(c.runs), c.name)
			Expect(a.gaps).To(BeNumerically("<", c.gap), c.name)
			AddReportEntry("longest gap, "+c.name, a.gaps)
			Eventually(holder.running, settle, poll).Should(BeZero(), c.name)
		})
	})
})

func cutBoth(l *link.Relay) {
	l.Cut(link.Forward)
	l.Cut(link.Backward)
}

// Guards against a refusal of work in progress while the only engine that can
// run it restarts, and against one that calls started work "not run" (P1, P3,
// P4). The cases run at the same time.
var _ = Describe("Streams whose only engine crashes", func() {
	It("continue when the engine is back, and are refused truthfully when it is not", func() {
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
			w := newWorld(plan{engines: 1, options: []standengine.Option{standengine.WithDowntime(c.down)}})
			var open []*stream
			for i := range streams {
				open = append(open, w.open(w.question(fmt.Sprint(i, prompt), tokens)))
				open[i].received(5)
			}
			w.runners[0].engine.Crash()
			for i, s := range open {
				a := s.wait()
				if c.back {
					whole(a, fmt.Sprint(i, prompt), tokens)
					continue
				}
				Expect(a.refusal).NotTo(BeNil(), c.name)
				Expect(a.refusal.Execution).To(Equal(oleanderspool.MayHaveRun), c.name)
				Expect(a.refusal.RetryAfter).To(BeNumerically(">", 0), c.name)
			}
		})
	})
})

// Guards against retries that outrun their budget, and against requests that
// miss their limits or are refused without a time to come back, when half of the
// agents are lost at once (P1).
var _ = Describe("Streams when half of the agents are lost", func() {
	It("end whole or are refused with a time to come back, in time", func() {
		const tokens, streams = 100, 72
		w := newWorld(plan{engines: 6})
		var open []*stream
		for i := range streams {
			r := w.question(fmt.Sprint(i, prompt), tokens)
			open = append(open, w.open(r.WithDeadline(w.entry.Now()+20*oleanderspool.Second)))
		}
		for _, s := range open {
			s.received(5)
		}
		free := 0.0 // retries of the first lost agent, before the second loss is known
		for _, r := range w.runners[:3] {
			free = max(free, r.running())
			r.front.Refuse()
			r.front.Reset()
		}
		refused := 0
		for i, s := range open {
			a := s.wait()
			if a.refusal == nil {
				whole(a, fmt.Sprint(i, prompt), tokens)
				continue
			}
			refused++
			Expect(a.refusal.Execution).To(Equal(oleanderspool.MayHaveRun))
			Expect(a.refusal.RetryAfter).To(BeNumerically(">", 0))
		}
		again := len(w.requests()) - streams
		admitted := sample(w.metrics, "requests_admitted_total", "model")
		Expect(float64(again)).To(BeNumerically("<=", free+retry.DefaultBudgetReserve+retry.DefaultBudgetFraction*admitted))
		Expect(again + refused).To(BeNumerically(">", 0))
		AddReportEntry("run again and refused", fmt.Sprint(again, " and ", refused))
	})
})
