package entry_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

// leavingBound is the span of P6.
const leavingBound = 3 * time.Second

// departure is an agent that stops under load.
type departure struct {
	w       *world
	holder  *runner
	long    *stream
	end     chan struct{}
	load    sync.WaitGroup
	refused sync.Map      // text of each refusal of a short request
	last    time.Duration // when a new request was last sent to the agent
}

// depart stops the agent of a long stream while short requests arrive.
func depart(fault func(l *link.Relay), tokens int) *departure {
	d := &departure{w: newWorld(plan{engines: 2}), end: make(chan struct{})}
	d.long = d.w.open(d.w.question(prompt, tokens))
	d.long.received(10)
	d.holder = d.w.holder()
	for worker := range 4 {
		d.load.Go(func() {
			for i := 0; !closed(d.end); i++ {
				question := d.w.question(fmt.Sprintf("short question %d of worker %d", i, worker), 1)
				if refusal := d.w.send(question).refusal; refusal != nil {
					d.refused.Store(question.ID, refusal.Error())
				}
			}
		})
	}
	Eventually(d.w.requests, settle, poll).Should(ContainElement(HaveField("PromptTokens", BeNumerically("<", 10))))
	fault(d.holder.front)
	d.holder.stop()
	d.load.Go(d.watch)
	return d
}

// watch notes when the agent last refused a new request because it leaves.
func (d *departure) watch() {
	left := time.Now()
	seen := 0.0
	for !closed(d.end) {
		if now := sample(d.holder.metrics, "refusals_total", "stopping"); now > seen {
			seen, d.last = now, time.Since(left)
		}
		time.Sleep(poll)
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

// Guards against work that is routed to an agent that has said that it leaves,
// while the platform's list shows it as live, and against a stop that cuts what
// is in progress (P6, P7). The cases run at the same time.
var _ = Describe("An agent that stops", func() {
	It("gets no new work after the bound and finishes what it has", func() {
		const tokens = 250
		type stop struct {
			name  string
			fault func(l *link.Relay)
			runs  int // of the long stream on the engines
		}
		cases := []stop{
			{"healthy link", func(*link.Relay) {}, 1},
			{"link that has gone silent", (*link.Relay).BlackHole, 1},
			{"delayed link", func(l *link.Relay) { l.SetDelay(300) }, 1},
			{"answers cut", func(l *link.Relay) { l.Cut(link.Backward) }, 2},
		}
		parallel(cases, func(c stop) {
			d := depart(c.fault, tokens)
			whole(d.long.wait(), prompt, tokens)
			Eventually(d.holder.stopped, settle, poll).Should(BeClosed(), c.name)
			close(d.end)
			d.load.Wait()
			Expect(d.last).To(BeNumerically("<", leavingBound), c.name)
			d.refused.Range(func(id, refusal any) bool {
				Fail(fmt.Sprintf("%s: %v was refused: %v", c.name, id, refusal))
				return false
			})
			runs := 0
			for _, q := range d.w.requests() {
				if q.PromptTokens > 10 {
					runs++
				}
			}
			Expect(runs).To(Equal(c.runs), c.name)
			AddReportEntry("last sent after, "+c.name, d.last)
		})
	})
})

// Guards against a refusal to a caller whose request another server can run,
// when the word of an agent that it leaves is late and the entry then learns
// only that the attempt never starts (P1).
var _ = Describe("A request that a leaving agent declined", func() {
	It("runs elsewhere though the answer was late", func() {
		const tokens = 300
		w := newWorld(plan{engines: 2})
		long := w.open(w.question(prompt, tokens))
		long.received(5)
		holder := w.holder()
		holder.front.Cut(link.Backward)
		holder.stop()
		s := w.open(w.question(prompt, 5)) // goes where its prompt is in progress
		time.Sleep(firstEventBound + 100*time.Millisecond)
		holder.front.Heal()
		whole(s.wait(), prompt, 5)
		whole(long.wait(), prompt, tokens)
	})
})

// Guards against requests that a balancer sends to a new entry which does not
// know its agents yet.
var _ = Describe("An entry that starts", func() {
	It("is ready only when it can route", func() {
		w := newWorld(plan{engines: 1, services: 1})
		for range 3 {
			w.startEntry()
			Eventually(w.entry.Ready, settle, time.Millisecond).Should(BeTrue())
			Expect(w.send(w.question(prompt, 1)).refusal).To(BeNil())
			Expect(w.send(w.reservation("new", "")).refusal).To(BeNil())
		}
	})
})
