package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

var _ = Describe("The predicted backlog of a server", func() {
	const prefill = 2000.0
	// Guards against long prompts that are placed on servers which still prefill others.
	// Their shards go first, so that those others miss their goals. The time that a server
	// spent on a prefill that has ended was counted for those that waited.
	for _, c := range []struct {
		name             string
		first, second    placement.Task
		firstEnds        oleanderspool.Millis
		now              oleanderspool.Millis
		remaining, delta float64
	}{
		{
			"is that of a prompt that waited for an older one",
			placement.Task{OutputTokens: 1, PrefillMillis: prefill},
			placement.Task{OutputTokens: 1, PrefillMillis: prefill, PlacedAt: 1000},
			2000, 2100, 1900, 1,
		},
		{
			"is that of a newer shard that the server prefills second",
			placement.Task{OutputTokens: 1, PrefillMillis: prefill, Sharded: true},
			placement.Task{PrefillMillis: prefill, PlacedAt: 2, Sharded: true},
			2000, 2100, 1902, 10,
		},
		{
			"does not count a prefill that was withdrawn before it began",
			placement.Task{OutputTokens: 1, PrefillMillis: prefill},
			placement.Task{PrefillMillis: prefill, PlacedAt: 10, Sharded: true},
			500, 1510, 500, 20,
		},
	} {
		It(c.name, func() {
			f := newTestFleet(1)
			for i, t := range []placement.Task{c.first, c.second} {
				t.ID, t.Server = placement.TaskID(100+i), f.servers[0].Instance
				f.scheduler.Add(t)
			}
			f.scheduler.FinishPrefill(100, c.firstEnds)
			f.scheduler.Remove(100)
			d, _ := f.place(shortRequest, c.now)
			Expect(float64(d.Backlog)).To(BeNumerically("~", c.remaining, c.delta))
		})
	}

	// Guards against memory and processor time that grow with the requests of a server
	// while a prompt waits there.
	It("keeps a bounded number of prefills that have ended", func() {
		f := newTestFleet(1)
		f.scheduler.Add(placement.Task{ID: 1, Server: f.servers[0].Instance, OutputTokens: 1, PrefillMillis: 10_000})
		for i := range placement.TaskID(100) {
			id := 100 + i
			f.scheduler.Add(placement.Task{ID: id, Server: f.servers[0].Instance, OutputTokens: 1, PrefillMillis: 150, PlacedAt: oleanderspool.Millis(i)})
			f.scheduler.FinishPrefill(id, oleanderspool.Millis(i)+150)
			f.scheduler.Remove(id)
		}
		Expect(f.scheduler.FinishedPrefills(f.servers[0].Instance)).To(BeNumerically("<=", 16))
		f.scheduler.FinishPrefill(1, 12_000)
		f.scheduler.Remove(1)
		Expect(f.scheduler.FinishedPrefills(f.servers[0].Instance)).To(BeZero())
	})
})
