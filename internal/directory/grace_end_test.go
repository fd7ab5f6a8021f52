package directory_test

import (
	"context"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// steppingClock advances by 1 ms each time it is read.
type steppingClock struct{ *clock.Manual }

func (c steppingClock) Now() oleanderspool.Millis {
	c.Advance(1)
	return c.Manual.Now()
}

// endingGrace is a registry that fails once. Shortly before the end of the grace period
// after that its server is removed, in the reply of a read that takes some time.
type endingGrace struct {
	noPeers
	clock    steppingClock
	readTime oleanderspool.Millis // of the read that returns the removal
	cancel   context.CancelFunc
	reads    int
	removed  bool
	updates  []directory.RegistryUpdate
}

// noPeers is the coordinator of an entry whose updates nobody answers.
type noPeers struct{}

func (noPeers) ReadDelay(oleanderspool.Millis) oleanderspool.Millis { return 0 }

func (noPeers) ReadsConfiguration() bool { return true }

func (noPeers) ServesConfirmations() bool { return false }

func (noPeers) ConfirmConfiguration(oleanderspool.Millis, oleanderspool.Offset) {}

func (g *endingGrace) Publish(u directory.RegistryUpdate) { g.updates = append(g.updates, u) }

func (g *endingGrace) Newest(context.Context, string) (directory.Batch, error) {
	return directory.Batch{Changes: []directory.Change{{Offset: 0, Instance: "s", Server: &directory.Server{Instance: "s", Service: "llm"}}}, Next: 1}, nil
}

func (g *endingGrace) Read(_ context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	g.reads++
	now := g.clock.Manual.Now()
	switch {
	case g.reads == 1:
		g.clock.Advance(5000) // the registration has not been renewed since
		return directory.Batch{}, oleanderspool.ErrUnavailable.New("refused")
	case g.removed:
		g.cancel()
	case now >= 7480:
		g.removed = true
		g.clock.Advance(g.readTime)
		return directory.Batch{Changes: []directory.Change{{Offset: 1, Instance: "s", Removed: true}}, Next: 2}, nil
	}
	return directory.Batch{Next: from}, nil
}

func (g *endingGrace) Compacted(error) bool { return false }

// TestEndOfGrace guards against a removal that arrives when the grace period ends, takes
// effect and is missing in the update for the other entries.
func TestEndOfGrace(t *testing.T) {
	for readTime := range oleanderspool.Millis(60) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		r := &endingGrace{clock: steppingClock{clock.NewManual(1000)}, readTime: readTime, cancel: cancel}
		directory.NewFollower(directory.NewView(), r, r, r.clock, slog.New(slog.DiscardHandler),
			directory.WithBudget(directory.Budget{}), directory.WithCoordinator(r)).RunServers(ctx)
		cancel()
		g.Expect(r.removed).To(BeTrue())
		for _, u := range r.updates {
			if u.From <= 1 && u.Next > 1 {
				g.Expect(u.Changes).To(ContainElement(HaveField("Removed", true)), "read of %d ms", readTime)
			}
		}
	}
}
