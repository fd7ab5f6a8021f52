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

// Guards against a publisher that takes an append for an acceptance, or that
// gives a definite answer while the outcome is unknown.
var _ = Describe("Publisher", func() {
	uncertain := oleanderspool.ErrUncertain.New("answer lost")
	refused := oleanderspool.ErrUnavailable.New("outage")
	const deadline = 10 * oleanderspool.Second
	cases := []struct {
		name string
		act  func(p *Publisher)
		want Status
	}{
		{"nothing done", func(*Publisher) {}, StatusNotAppended},
		{"only refused", func(p *Publisher) { p.Replayed(0, 0); p.Next(0); p.AppendFailed(refused, 0) }, StatusNotAppended},
		{"an uncertain append", func(p *Publisher) { p.Replayed(0, 0); p.Next(0); p.AppendFailed(uncertain, 0) }, StatusUnknown},
		{"an uncertain append, then refused", func(p *Publisher) {
			p.Replayed(0, 0)
			p.Next(0)
			p.AppendFailed(uncertain, 0)
			p.Replayed(0, 0)
			p.Next(1000)
			p.AppendFailed(refused, 1000)
		}, StatusUnknown},
		{"an append without a result", func(p *Publisher) { p.Replayed(0, 0); p.Next(0) }, StatusUnknown},
		{"an append without a result, then refused", func(p *Publisher) {
			p.Replayed(0, 0)
			p.Next(0)
			p.Next(0)
			p.Replayed(0, 0)
			p.Next(0)
			p.AppendFailed(refused, 0)
		}, StatusUnknown},
		{"appended but not replayed", func(p *Publisher) { p.Replayed(0, 0); p.Next(0); p.Appended(7) }, StatusUnknown},
		{"decided, nobody expected", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7}) }, StatusAccepted},
		{"decided, one lags", func(p *Publisher) {
			p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7})
			p.ExpectInstances("b", "a", "a")
			p.ReportRevision("a", 7)
			p.ReportRevision("b", 6)
		}, StatusAccepted},
		{"decided, all have it", func(p *Publisher) {
			p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7})
			p.ExpectInstances("a")
			p.ReportRevision("a", 8)
			p.ReportRevision("a", 6)
		}, StatusInForce},
		{"another change", func(p *Publisher) { p.Observe(Decision{Change: "d", Digest: p.digest, Verdict: Accepted, Offset: 7}) }, StatusNotAppended},
		{"an ignored record", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: p.digest, Offset: 7}) }, StatusNotAppended},
		{"the id taken by another change", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: 1, Verdict: Accepted, Offset: 7}) }, StatusRejected},
		{"rejected", func(p *Publisher) { p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Rejected, Offset: 7}) }, StatusRejected},
	}
	for _, c := range cases {
		It("reports the outcome of: "+c.name, func() {
			p, err := NewPublisher(priorityChange("c"), deadline)
			Expect(err).NotTo(HaveOccurred())
			Expect(first(p.Next(0))).To(Equal(StepRead))
			Expect(p.Result().Status).To(Equal(StatusPending))
			c.act(p)
			step, _ := p.Next(deadline)
			Expect(step).To(Equal(StepDone))
			Expect(p.Result().Status).To(Equal(c.want))
		})
	}

	It("lists who lags", func() {
		p, _ := NewPublisher(priorityChange("c"), deadline)
		p.Observe(Decision{Change: "c", Digest: p.digest, Verdict: Accepted, Offset: 7})
		p.ExpectInstances("b", "a", "d")
		p.ReportRevision("a", 7)
		step, _ := p.Next(0)
		Expect(step).To(Equal(StepWait))
		Expect(p.Result()).To(Equal(Result{Status: StatusAccepted, Revision: 7, Lagging: []oleanderspool.InstanceID{"b", "d"}}))
	})

	It("reads to the head of a later read before it appends again", func() {
		p, _ := NewPublisher(priorityChange("c"), deadline)
		p.Replayed(4, 5)
		Expect(first(p.Next(0))).To(Equal(StepRead))
		p.Replayed(5, 5)
		Expect(first(p.Next(0))).To(Equal(StepAppend))
		p.AppendFailed(uncertain, 0)
		Expect(first(p.Next(0))).To(Equal(StepRead))
		p.Replayed(6, 6)
		step, at := p.Next(0)
		Expect(step).To(Equal(StepAppend))
		Expect(at).To(Equal(retryAppend))
	})

	It("refuses a change that cannot be printed", func() {
		_, err := NewPublisher(configuration.ChangeSet{ID: "c"}, deadline)
		Expect(err).To(MatchError(ContainSubstring("changes nothing")))
	})
})

func first(s Step, _ oleanderspool.Millis) Step { return s }
