package membership_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// fleet returns a list of n model runners in nine data centres, and ten sets of them.
func fleet(n int) ([]oleanderspool.InstanceState, []configuration.ServerSet) {
	instances := make([]oleanderspool.InstanceState, n)
	sets := make([]configuration.ServerSet, 10)
	for i := range sets {
		sets[i].ID = oleanderspool.ServerSetID(fmt.Sprintf("set%d", i))
	}
	for i := range instances {
		instances[i] = listed(fmt.Sprintf("runner-%05d", i))
		instances[i].DataCentre = oleanderspool.DataCentreID(fmt.Sprintf("dc%d", i%9))
		s := &sets[i/9%10]
		s.Instances = append(s.Instances, instances[i].Instance)
	}
	return instances, sets
}

// difference returns how many elements of a are not in b.
func difference(a, b []oleanderspool.InstanceID) int {
	n := 0
	for _, id := range a {
		if !slices.Contains(b, id) {
			n++
		}
	}
	return n
}

var _ = Describe("ChooseWatches", func() {
	// Guards against an entry that watches no agent, or only one, of a set.
	It("chooses two agents per set and role, from the entry's own data centre first", func() {
		instances, sets := fleet(900)
		table := membership.New()
		table.ApplyList(1, instances, 0)
		table.ApplySets(1, sets, 0)
		w := table.ChooseWatches("entry-1", "dc3", 40)
		Expect(w.Instances).To(HaveLen(40))
		Expect(w.BelowMinimum).To(BeEmpty())
		counts := make(map[oleanderspool.ServerSetID]int)
		for _, s := range sets {
			counts[s.ID] = len(s.Instances) - difference(s.Instances, w.Instances)
			Expect(counts[s.ID]).To(BeNumerically(">=", 2))
		}
		for _, s := range instances {
			if slices.Contains(w.Instances, s.Instance) {
				Expect(s.DataCentre).To(Equal(oleanderspool.DataCentreID("dc3")))
			}
		}
	})

	// Guards against a set whose agents are not watched because of a low limit, without
	// any sign of it.
	It("reports the sets of which a low limit leaves too few agents", func() {
		instances, sets := fleet(900)
		table := membership.New()
		table.ApplyList(1, instances, 0)
		table.ApplySets(1, sets, 0)
		w := table.ChooseWatches("entry-1", "dc3", 12)
		Expect(w.Instances).To(HaveLen(12))
		Expect(w.BelowMinimum).To(HaveLen(8))
	})

	// Guards against reopening many watch streams when one agent is replaced.
	It("changes few watches when one of 12,000 agents is replaced", func() {
		const limit, entries = 256, 27
		instances, sets := fleet(12000)
		total, worst := 0, 0
		before := membership.New()
		before.ApplyList(1, instances, 0)
		before.ApplySets(1, sets, 0)
		replaced, replacedSets := fleet(12000)
		replaced[100].Instance = "runner-new"
		for i := range replacedSets {
			if j := slices.Index(replacedSets[i].Instances, instances[100].Instance); j >= 0 {
				replacedSets[i].Instances[j] = "runner-new"
			}
		}
		after := membership.New()
		after.ApplyList(1, replaced, 0)
		after.ApplySets(1, replacedSets, 0)
		for e := range entries {
			id := oleanderspool.InstanceID(fmt.Sprintf("entry-%d", e))
			dc := oleanderspool.DataCentreID(fmt.Sprintf("dc%d", e%9))
			n := difference(before.ChooseWatches(id, dc, limit).Instances, after.ChooseWatches(id, dc, limit).Instances)
			total += n
			worst = max(worst, n)
		}
		AddReportEntry("watches changed", fmt.Sprintf("%d of %d in all, at most %d per entry", total, limit*entries, worst))
		Expect(worst).To(BeNumerically("<=", 2))
		Expect(total).To(BeNumerically("<=", 2*entries/9))
	})
})
