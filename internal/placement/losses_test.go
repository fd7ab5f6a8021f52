package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/placement"
)

var _ = Describe("The losses of a placement", func() {
	// Guards against a log that names the cost of a refusal but not what it consists of.
	It("add up to its cost, apart from what decides between equal servers", func() {
		f := newTestFleet(4)
		for i, server := range f.servers[:2] {
			f.scheduler.Add(placement.Task{ID: placement.TaskID(100 + i), Server: server.Instance, OutputTokens: 1, Decoding: true, Value: 1.5, TTFTGoal: 300, InterTokenGoal: 200})
		}
		for i, server := range f.servers[2:] {
			f.scheduler.Add(placement.Task{
				ID: placement.TaskID(200 + i), Server: server.Instance, ContextTokens: 1000, PrefillMillis: 2000, MaxPassPrefillMillis: 100,
				Value: 10, TTFTGoal: 3000, InterTokenGoal: 800,
			})
		}
		d, found := f.scheduler.Choose(f.servers, engine, withPromptTokens(longRequest, 400_000), 1)
		Expect(found).To(BeTrue())
		Expect(d.Refused).To(Equal(placement.RefusedCost))
		Expect(d.Losses.Own).To(BeNumerically(">", 0))
		Expect(d.Losses.Streams).To(BeNumerically(">", 0))
		Expect(d.Losses.Delayed).To(BeNumerically(">", 0))
		Expect(d.Losses.Prefill).To(BeNumerically(">", 0))
		Expect(d.Losses.Own + d.Losses.Streams + d.Losses.Delayed + d.Losses.Prefill).To(BeNumerically("~", d.Cost, 0.1*d.Cost))
		d, _ = f.scheduler.Choose(f.servers, engine, shortRequest, 1)
		Expect(d.Losses).To(Equal(placement.Losses{}), "of a short prompt")
	})
})
