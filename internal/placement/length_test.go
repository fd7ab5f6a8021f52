package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

var _ = Describe("A prompt that is far longer than usual", func() {
	longest := withPromptTokens(longRequest, 600_000)
	// choose returns the placement of a request on servers with a prefill backlog in ms
	// where the usual prompt has a number of tokens.
	choose := func(r placement.Request, backlog float64, usual int64) placement.Decision {
		f := newTestFleet(20)
		for i, server := range f.servers {
			f.scheduler.Add(placement.Task{
				ID: placement.TaskID(100 + i), Server: server.Instance, ContextTokens: 1000, PrefillMillis: backlog, MaxPassPrefillMillis: 100,
				Value: withPromptTokens(longRequest, 210_000).Value(), TTFTGoal: 1500,
			})
		}
		for range 10 {
			f.scheduler.Add(placement.Task{ID: 1, Server: "other", OutputTokens: 1, PrefillMillis: 1000, Value: withPromptTokens(r, usual).Value(), TTFTGoal: r.TTFTGoal})
			f.scheduler.Remove(1)
		}
		d, found := f.scheduler.Choose(f.servers, engine, r, 1)
		Expect(found).To(BeTrue())
		return d
	}

	// Guards against the longest prompts of a route that are refused each time although they
	// could be in time.
	It("is accepted under more load than usual ones of its length, most of all when it comes back, but not when it would be late", func() {
		returned, overdue := longest, longest
		returned.Resubmitted, overdue.Resubmitted, overdue.Overdue = true, true, true
		accepted, acceptedFirst := 0, 0
		for backlog := 50.0; backlog < 3000; backlog += 25 {
			asUsual, unusual := choose(returned, backlog, 600_000), choose(returned, backlog, 210_000)
			if asUsual.Refused != "" && unusual.Refused == "" {
				Expect(unusual.TTFT).To(BeNumerically("<=", returned.TTFTGoal))
				accepted++
			}
			Expect(asUsual.Refused == "" && unusual.Refused != "").To(BeFalse())
			firstAsUsual, first := choose(longest, backlog, 600_000), choose(longest, backlog, 210_000)
			if firstAsUsual.Refused != "" && first.Refused == "" {
				Expect(first.TTFT).To(BeNumerically("<=", longest.TTFTGoal))
				acceptedFirst++
			}
			Expect(firstAsUsual.Refused == "" && first.Refused != "").To(BeFalse())
			Expect(first.Refused == "" && unusual.Refused != "").To(BeFalse(), "refused when it came back, and accepted sooner")
			Expect(choose(overdue, backlog, 210_000).Refused).To(Equal(choose(overdue, backlog, 600_000).Refused))
		}
		Expect(accepted).To(BeNumerically(">", 0))
		Expect(acceptedFirst).To(BeNumerically(">", 0))
		Expect(choose(returned, 20_000, 210_000).Refused).To(Equal(placement.RefusedCost))
	})

	// Guards against a fleet that gives up every refusal by cost: the delay of a prompt
	// costs the other requests as much however often it comes back.
	It("is refused when it would lose much more than it is worth", func() {
		returned := withPromptTokens(longRequest, 1_000_000)
		returned.Resubmitted = true
		refused := 0
		for backlog := 50.0; backlog < 3000; backlog += 50 {
			if d := choose(returned, backlog, 210_000); d.Refused == placement.RefusedCost {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	})
})

var _ = Describe("The mean value of requests with long prompts", func() {
	// Guards against short prompts with the same TTFT goal that make each long one unusual,
	// so that it may delay them by a multiple of its value.
	It("does not count short prompts", func() {
		sc := placement.NewScheduler()
		sc.Add(placement.Task{ID: 1, Server: "s", OutputTokens: 1, Value: 1.5, PrefillMillis: 30, TTFTGoal: 3000})
		Expect(sc.MeanValues()).To(BeZero())
		sc.Add(placement.Task{ID: 2, Server: "s", OutputTokens: 1, Value: 20, PrefillMillis: 300, Sharded: true, TTFTGoal: 3000})
		Expect(sc.MeanValues()).To(Equal(1))
	})

	// Guards against memory that grows with the TTFT goals that other entries send.
	It("is kept for a bounded number of TTFT goals", func() {
		sc := placement.NewScheduler()
		for i := range oleanderspool.Millis(1000) {
			sc.Add(placement.Task{ID: 1, Server: "s", OutputTokens: 1, Value: 1, PrefillMillis: 1000, TTFTGoal: i + 1})
			sc.Remove(1)
		}
		Expect(sc.MeanValues()).To(BeNumerically("<=", 64))
	})
})
