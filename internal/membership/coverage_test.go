package membership_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
)

// TestEveryAgentIsWatched guards against agents that no entry watches, which receive
// neither work nor configuration (P8), and against agents to which several entries
// send the same configuration at once. The sizes are those expected of one data
// centre in two years.
func TestEveryAgentIsWatched(t *testing.T) {
	const entries, limit = 92, 40
	instances, sets := fleet(12_000)
	var local []oleanderspool.InstanceState
	for _, i := range instances {
		if i.DataCentre == "dc0" {
			local = append(local, i)
		}
	}
	for e := range entries {
		local = append(local, oleanderspool.InstanceState{
			Instance: oleanderspool.InstanceID(fmt.Sprintf("entry-%03d", e)), DataCentre: "dc0", Role: "entry",
		})
	}
	table := membership.New()
	table.ApplyList(1, local, 0)
	table.ApplySets(1, sets, 0)
	watched := make(map[oleanderspool.InstanceID]bool)
	first := make(map[oleanderspool.InstanceID]int)
	for e := range entries {
		entry := oleanderspool.InstanceID(fmt.Sprintf("entry-%03d", e))
		for _, id := range table.ChooseWatches(entry, "dc0", limit).Instances {
			watched[id] = true
			if table.FirstWatcher(entry, id) {
				first[id]++
			}
		}
	}
	if missing := len(local) - entries - len(watched); missing > 0 {
		t.Errorf("%d of %d agents have no watcher", missing, len(local)-entries)
	}
	for id, n := range first {
		if n > 1 {
			t.Errorf("%s has %d first watchers", id, n)
		}
	}
	if len(first) < len(watched)*9/10 {
		t.Errorf("%d of %d watched agents have a first watcher", len(first), len(watched))
	}
}
