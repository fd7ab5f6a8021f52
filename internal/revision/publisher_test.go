package revision

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

func priorityChange(id string) configuration.ChangeSet {
	return configuration.ChangeSet{ID: id, Puts: []configuration.Put{{Object: configuration.Priority{ID: "p"}}}}
}

// Guards against a publisher that treats an append as an acceptance, or that
// reports a definite result while the outcome is unknown.
var _ = Describe("Publisher", func() {
	uncertain := oleanderspool.ErrUncertain.New("answer lost")
	refused := oleanderspool.ErrUnavailable.New("outage")
	const deadline = 10 * oleanderspool.Second
	cases := []struct {
		name string
		act  func(p *Publisher)
		want Status
	}{
		{"no append attempted", func(*Publisher) {}, StatusNotAppended},
		{"only refused appends", func(p *Publisher) { p.Replayed(0, 0); p.Next(0); p.AppendFailed(refused, 0) }, StatusNotAppended},
		{"an append with an unknown outcome", func(p *Publisher) { p.Replayed(0, 0); p.Next(0); p.AppendFailed(uncertain, 0) }, StatusUnknown},
		{"an append with an unknown outcome, then a refused one", func(p *Publisher) {
			p.Replayed(0, 0)
			p.Next(0)
			p.AppendFailed(uncertain, 0)
			p.Replayed(0, 0)
			p.Next(1000)
			p.AppendFailed(refused, 1000)
		}, StatusUnknown},
		{"an append whose result was not reported", func(p *Publisher) { p.Replayed(0, 0); p.Next(0) }, StatusUnknown},
		{"an append whose result was not reported, then a refused one", func(p *Publisher) {
			p.Replayed(0, 0)
			p.Next(0)
			p.Next(0)
			p.Replayed(0, 0)
			p.Next(0)
			p.AppendFailed(refused, 0)
		}, StatusUnknown},
		{"appended but not replayed", func(p *Publisher) { p.Replayed(0, 0); p.Next(0); p.Appended(7) }, StatusUnknown},
		{"accepted, no instance expected", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7}) }, StatusAccepted},
		{"accepted, one instance lags behind", func(p *Publisher) {
			p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7})
			p.ExpectInstances("b", "a", "a")
			p.ReportRevision("a", 7)
			p.ReportRevision("b", 6)
		}, StatusAccepted},
		{"accepted, all instances have it", func(p *Publisher) {
			p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7})
			p.ExpectInstances("a")
			p.ReportRevision("a", 8)
			p.ReportRevision("a", 6)
		}, StatusInForce},
		{"a decision about another change", func(p *Publisher) { p.Observe(Decision{Change: "d", Digest: p.digest, Verdict: Accepted, Offset: 7}) }, StatusNotAppended},
		{"an ignored record", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: p.digest, Offset: 7}) }, StatusNotAppended},
		{"the ID already used by another change", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: 1, Verdict: Accepted, Offset: 7}) }, StatusRejected},
		{"rejected", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Rejected, Offset: 7}) }, StatusRejected},
	}
	for _, c := range cases {
		It("reports the status after: "+c.name, func() {
			p, err := NewPublisher(priorityChange("c"), deadline)
			Expect(err).NotTo(HaveOccurred())
			Expect(stepOf(p.Next(0))).To(Equal(StepRead))
			Expect(p.Result().Status).To(Equal(StatusPending))
			c.act(p)
			step, _ := p.Next(deadline)
			Expect(step).To(Equal(StepDone))
			Expect(p.Result().Status).To(Equal(c.want))
		})
	}

	It("lists the instances that lag behind", func() {
		p, _ := NewPublisher(priorityChange("c"), deadline)
		p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7})
		p.ExpectInstances("b", "a", "d")
		p.ReportRevision("a", 7)
		step, _ := p.Next(0)
		Expect(step).To(Equal(StepWait))
		Expect(p.Result()).To(Equal(Result{Status: StatusAccepted, Revision: 7, Lagging: []oleanderspool.InstanceID{"b", "d"}}))
	})

	It("reads the stream to its head before it appends again after a failed append", func() {
		p, _ := NewPublisher(priorityChange("c"), deadline)
		p.Replayed(4, 5)
		Expect(stepOf(p.Next(0))).To(Equal(StepRead))
		p.Replayed(5, 5)
		Expect(stepOf(p.Next(0))).To(Equal(StepAppend))
		p.AppendFailed(uncertain, 0)
		Expect(stepOf(p.Next(0))).To(Equal(StepRead))
		p.Replayed(6, 6)
		step, at := p.Next(0)
		Expect(step).To(Equal(StepAppend))
		Expect(at).To(Equal(appendRetryDelay))
	})

	It("refuses a change that cannot be printed", func() {
		_, err := NewPublisher(configuration.ChangeSet{ID: "c"}, deadline)
		Expect(err).To(MatchError(ContainSubstring("changes nothing")))
	})
})

func stepOf(s Step, _ oleanderspool.Millis) Step { return s }
