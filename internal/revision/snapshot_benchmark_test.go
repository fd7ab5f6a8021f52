package revision_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/revision"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// BenchmarkSnapshot measures the snapshot of a state with n accounts and a
// full window of decisions: its size and the cost of writing and restoring it.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 20_000} {
		state := filledState(b, n)
		b.Run(fmt.Sprintf("write/accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size = len(state.Snapshot().Data)
			}
			b.ReportMetric(float64(size), "snapshot-B")
		})
		b.Run(fmt.Sprintf("restore/accounts=%d", n), func(b *testing.B) {
			snapshot := state.Snapshot()
			b.ReportAllocs()
			for b.Loop() {
				var restored revision.State
				if ok, err := restored.Restore(snapshot); !ok || err != nil {
					b.Fatal(ok, err)
				}
			}
		})
	}
}

// filledState returns a state after a change that puts n accounts and 8,192
// changes of a priority, which fill the decision window.
func filledState(b *testing.B, n int) *revision.State {
	const changes = 8192
	c := configuration.Configuration{}
	state := &revision.State{}
	publish := func(id string, objects ...configuration.Object) {
		change := configuration.ChangeSet{ID: id}
		for _, o := range objects {
			change.Puts = append(change.Puts, configuration.Put{Object: o, Revision: c.Revision(o.Ref())})
		}
		data, err := change.Print()
		if err != nil {
			b.Fatal(err)
		}
		d, err := state.Apply(oleanderspool.Record{Offset: state.Position() + 1, Data: data})
		if err != nil || d.Verdict != revision.Accepted {
			b.Fatal(d, err)
		}
		c = state.Configuration()
	}
	objects := []configuration.Object{configuration.Priority{ID: "crew", Level: 1}}
	for i := range n {
		objects = append(objects, configuration.ClientAccount{
			ID: oleanderspool.ClientAccountID(fmt.Sprintf("account-%05d", i)), KeyHash: configuration.HashKey(fmt.Sprint(i)),
			Priority: "crew", RequestsPerSec: 10, BurstRequests: 20, ShareOfCapacity: 0.5,
		})
	}
	publish("first", objects...)
	for i := range changes {
		publish(fmt.Sprintf("change-%08d", i), configuration.Priority{ID: "crew", Level: 2 + i%2})
	}
	return state
}
