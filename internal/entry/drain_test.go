package entry_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

// routingDelayBound is the time, by P6, after which a stopping agent gets no work.
const routingDelayBound = 3 * time.Second

// drainingAgent is an agent that is stopped under load.
type drainingAgent struct {
	harness *harness
	holder  *runner
	long    *stream
	end     chan struct{}
	load    sync.WaitGroup
	refused sync.Map      // text of each refusal of a short request
	last    time.Duration // time from the stop to the last new request sent to the agent
}

// stopAgent stops the agent of a long stream while short requests arrive.
func stopAgent(fault func(l *link.Relay), tokens int) *drainingAgent {
	d := &drainingAgent{harness: newHarness(harnessConfig{engines: 2}), end: make(chan struct{})}
	d.long = d.harness.start(d.harness.modelRequest(prompt, tokens))
	d.long.waitForPieces(10)
	d.holder = d.harness.busyRunner()
	for worker := range 4 {
		d.load.Go(func() {
			for i := 0; !closed(d.end); i++ {
				question := d.harness.modelRequest(fmt.Sprintf("short question %d of worker %d", i, worker), 1)
				if refusal := d.harness.send(question).refusal; refusal != nil {
					d.refused.Store(question.ID, refusal.Error())
				}
			}
		})
	}
	Eventually(d.harness.requests, eventualTimeout, pollInterval).Should(ContainElement(HaveField("PromptTokens", BeNumerically("<", 10))))
	fault(d.holder.frontRelay)
	d.holder.stop()
	d.load.Go(d.watchRefusals)
	return d
}

// watchRefusals records when the agent last refused a new request because it is
// stopping.
func (d *drainingAgent) watchRefusals() {
	left := time.Now()
	seen := 0.0
	for !closed(d.end) {
		if now := metricSum(d.holder.metrics, "refusals_total", "stopping"); now > seen {
			seen, d.last = now, time.Since(left)
		}
		time.Sleep(pollInterval)
	}
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against work that is routed to an agent which has reported that it is
// stopping, while the platform's list shows it as live, and against a stop that
// interrupts requests in progress (P6, P7). The cases run at the same time.
var _ = Describe("An agent that stops", func() {
	It("gets no new requests after 3 s and finishes those in progress", func() {
		const tokens = 250
		type stop struct {
			name  string
			fault func(l *link.Relay)
			runs  int // of the long stream on the engines
		}
		cases := []stop{
			{"healthy link", func(*link.Relay) {}, 1},
			{"link that drops all packets of open connections", (*link.Relay).BlackHole, 1},
			{"delayed link", func(l *link.Relay) { l.SetDelay(300) }, 1},
			{"packets from the agent dropped", func(l *link.Relay) { l.Cut(link.Backward) }, 2},
		}
		parallel(cases, func(c stop) {
			d := stopAgent(c.fault, tokens)
			expectWholeAnswer(d.long.waitForEnd(), prompt, tokens)
			Eventually(d.holder.stopped, eventualTimeout, pollInterval).Should(BeClosed(), c.name)
			close(d.end)
			d.load.Wait()
			Expect(d.last).To(BeNumerically("<", routingDelayBound), c.name)
			d.refused.Range(func(id, refusal any) bool {
				Fail(fmt.Sprintf("%s: %v was refused: %v", c.name, id, refusal))
				return false
			})
			runs := 0
			for _, q := range d.harness.requests() {
				if q.PromptTokens > 10 {
					runs++
				}
			}
			Expect(runs).To(Equal(c.runs), c.name)
			AddReportEntry("last sent after, "+c.name, d.last)
		})
	})
})

// Guards against the refusal of a request that another server can run, when an
// agent's response that it is stopping is late and the entry then learns only that
// the attempt never starts (P1).
var _ = Describe("A request that a stopping agent refused", func() {
	It("runs on another server although the agent's response was late", func() {
		const tokens = 300
		h := newHarness(harnessConfig{engines: 2})
		long := h.start(h.modelRequest(prompt, tokens))
		long.waitForPieces(5)
		holder := h.busyRunner()
		holder.frontRelay.Cut(link.Backward)
		holder.stop()
		s := h.start(h.modelRequest(prompt, 5)) // routed to the server that has its prompt in progress
		time.Sleep(firstEventTimeout + 100*time.Millisecond)
		holder.frontRelay.Heal()
		expectWholeAnswer(s.waitForEnd(), prompt, 5)
		expectWholeAnswer(long.waitForEnd(), prompt, tokens)
	})
})

// Guards against requests that a load balancer sends to a new entry which does not
// know its agents yet.
var _ = Describe("An entry that starts", func() {
	It("reports ready only when it can route requests", func() {
		h := newHarness(harnessConfig{engines: 1, services: 1})
		for range 3 {
			h.startEntry()
			Eventually(h.entry.Ready, eventualTimeout, time.Millisecond).Should(BeTrue())
			Expect(h.send(h.modelRequest(prompt, 1)).refusal).To(BeNil())
			Expect(h.send(h.nonIdempotentCall("new", "")).refusal).To(BeNil())
		}
	})
})
