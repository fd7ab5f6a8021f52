package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// loadedFleet returns servers with tasks of the given mean number, of which a fifth
// is not prefilled yet.
func loadedFleet(count, mean int, options ...placement.Option) *testFleet {
	random := rand.New(rand.NewPCG(1, 2))
	f := &testFleet{scheduler: placement.NewScheduler(options...), servers: servers(count)}
	for i := range count * mean {
		f.id++
		f.scheduler.Add(placement.Task{
			ID: f.id, Entry: 1 + uint64(i%100), Server: f.servers[random.IntN(count)].Instance, ContextTokens: 5000, MemoryTokens: 6000, OutputTokens: 1500,
			PrefillMillis: 20 + 100*random.Float64(), MaxPassPrefillMillis: 60, Value: 1.5, TTFTGoal: 300, InterTokenGoal: 200,
			PlacedAt: 1000 - oleanderspool.Millis(random.IntN(200)), Decoding: i%5 > 0,
		})
	}
	return f
}

// BenchmarkChoose measures a placement, with its start and its end, as other entries
// and time change the loads.
func BenchmarkChoose(b *testing.B) {
	for _, r := range []placement.Request{shortRequest, withPromptTokens(longRequest, 300_000)} {
		for _, c := range []struct{ servers, dataCentres int }{{21, 1}, {172, 1}, {1200, 1}, {21, 3}, {172, 3}, {1200, 3}} {
			b.Run(fmt.Sprintf("prompt=%d/servers=%d/data_centres=%d", r.PromptTokens, c.servers, c.dataCentres), func(b *testing.B) {
				f := loadedFleet(c.servers, 8)
				for i := range f.servers {
					f.servers[i].DataCentre = dataCentreOf(i % c.dataCentres)
				}
				b.ReportAllocs()
				now := oleanderspool.Millis(1000)
				for b.Loop() {
					now++
					d, found := f.scheduler.Choose(f.servers, engine, r, now)
					if !found {
						b.Fatal("not placed")
					}
					f.scheduler.Add(placement.Task{ID: 1, Server: d.Server.Instance, OutputTokens: 1, PlacedAt: now})
					f.scheduler.Remove(1)
					if now == 1200 {
						now = 1000
					}
				}
			})
		}
	}
}
