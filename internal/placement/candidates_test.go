package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

var _ = Describe("The bounds of the compared servers", func() {
	// Guards against placements that get worse because not all servers and helpers are
	// compared. The target is 5% of the request's value.
	cases := []struct {
		name    string
		request placement.Request
		servers int
	}{
		{"a short prompt on hundreds of servers", shortRequest, 172},
		{"a short prompt on thousands of servers", shortRequest, 3000},
		{"a long prompt on hundreds of servers", withPromptTokens(longRequest, 300_000), 172},
		{"a prompt that exceeds the memory of a server", withPromptTokens(longRequest, 700_000), 172},
	}
	for _, c := range cases {
		It("keep the cost of the best placement for "+c.name, func() {
			for _, load := range []int{2, 8, 14} {
				bounded, all := loadedFleet(c.servers, load), loadedFleet(c.servers, load, placement.WithoutCandidateLimits())
				for now := oleanderspool.Millis(1000); now < 1400; now += 40 {
					b, found := bounded.scheduler.Choose(bounded.servers, engine, c.request, now)
					Expect(found).To(BeTrue())
					a, _ := all.scheduler.Choose(all.servers, engine, c.request, now)
					Expect(b.Cost).To(BeNumerically("<=", a.Cost+0.05*c.request.Value()), "load %d at %d ms", load, now)
				}
			}
		})
	}

	// Guards against loads that are kept although the tasks or the time have changed.
	It("do not depend on earlier decisions", func() {
		f := loadedFleet(20, 6)
		for now := oleanderspool.Millis(1000); now < 1600; now += 7 {
			r := shortRequest
			if now%5 == 0 {
				r = withPromptTokens(longRequest, 300_000)
			}
			fresh := placement.NewScheduler()
			for _, t := range f.scheduler.Tasks() {
				fresh.Add(t)
			}
			expected, found := fresh.Choose(f.servers, engine, r, now)
			Expect(found).To(BeTrue())
			d, ids := f.place(r, now)
			Expect(d.Server.Instance).To(Equal(expected.Server.Instance))
			Expect(d.Cost).To(BeNumerically("~", expected.Cost, 1e-9))
			if now%3 == 0 {
				f.finishPrefill(ids)
			}
			if now%4 == 0 {
				f.scheduler.Remove(ids[0] - 20)
			}
		}
	})
})
