package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

var _ = Describe("The link to a data centre", func() {
	// The own data centre has no server, and the load is spread over the two others.
	var f *testFleet
	BeforeEach(func() {
		f = &testFleet{scheduler: placement.NewScheduler(placement.WithTieBreakSeed(3)), servers: servers(12)}
		for i := range f.servers {
			f.servers[i].DataCentre = oleanderspool.DataCentreID("bc"[i%2 : i%2+1])
		}
	})
	// share returns the share of requests that go to b, among 40 that are placed together.
	share := func(e *directory.Engine, now oleanderspool.Millis, result func(placement.Decision)) float64 {
		count := 0.0
		for i := range placement.TaskID(40) {
			r := placement.Request{PromptTokens: 2000, OutputTokens: 500, TTFTGoal: 2000, DataCentre: "a"}
			d, found := f.scheduler.Choose(f.servers, e, r, now)
			Expect(found).To(BeTrue())
			t := placement.Tasks(d, e, r, now)[0]
			t.ID = i + 1
			f.scheduler.Add(t)
			if d.Server.DataCentre == "b" {
				count++
			}
			result(d)
		}
		for i := range placement.TaskID(40) {
			f.scheduler.Remove(i + 1)
		}
		return count / 40
	}
	answered := func(d placement.Decision) {
		f.scheduler.RecordFirstByte(d.Server.Instance, d.Server.DataCentre, 5, 1000)
	}
	ignored := func(placement.Decision) {}

	for _, e := range []*directory.Engine{engine, nil} {
		// Answers a link that is cut. Guards against each request that fails at one more
		// server of the same data centre, and against a data centre that is not used again.
		It("that fails is avoided as a whole after three servers, and used again later, "+map[bool]string{true: "with an engine", false: "without an engine"}[e != nil], func() {
			Expect(share(e, 1000, answered)).To(BeNumerically("~", 0.5, 0.25))
			Expect(share(e, 1000, ignored)).To(BeNumerically(">", 0.2))
			for i, server := range []int{0, 0, 0, 0, 2, 2, 4, 4} {
				if i == 6 {
					Expect(share(e, 1000, ignored)).To(BeNumerically(">", 0.2), "two servers that fail are not the link")
				}
				f.scheduler.RecordLinkFailure(f.servers[server].Instance, "b", 1000)
			}
			Expect(share(e, 1001, ignored)).To(BeNumerically("<", 0.2))
			Expect(f.scheduler.TakeLinkChanges()).To(HaveExactElements(HaveField("Degraded", true)))
			Expect(share(e, 30_000, ignored)).To(BeNumerically("~", 0.5, 0.25))
			Expect(f.scheduler.TakeLinkChanges()).To(HaveExactElements(placement.LinkChange{DataCentre: "b"}))
		})
	}

	// Answers a link that loses packets. Guards against losses that are noticed only when a
	// request fails, and against late answers of all data centres that are taken for losses.
	It("that delays first bytes loses requests, unless all links do", func() {
		slow := func(dataCentre oleanderspool.DataCentreID, first int) {
			for i := range 30 {
				late := oleanderspool.Millis(5)
				if i%4 == 0 {
					late = 220
				}
				f.scheduler.RecordFirstByte(f.servers[(first+2*i)%12].Instance, dataCentre, late, 1000)
			}
		}
		slow("b", 0)
		Expect(share(engine, 1001, ignored)).To(BeNumerically("<", 0.3))
		slow("c", 1)
		Expect(share(engine, 1002, ignored)).To(BeNumerically("~", 0.5, 0.25))
	})
})
