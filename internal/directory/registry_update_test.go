package directory_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// countingFeed lists one server, has no later records and counts its reads.
type countingFeed struct {
	reads atomic.Int32
	next  oleanderspool.Offset
}

func (f *countingFeed) Newest(context.Context, string) (directory.Batch, error) {
	server := directory.Server{Instance: "s", Service: "llm", Address: "10.0.0.1:80"}
	return directory.Batch{Changes: []directory.Change{{Offset: 9, Instance: "s", Server: &server}}, Next: f.next}, nil
}

func (f *countingFeed) Read(_ context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	f.reads.Add(1)
	return directory.Batch{Next: from}, nil
}

func (f *countingFeed) Compacted(error) bool { return false }

// manyChanges is a feed whose second read has a number of new servers.
type manyChanges struct {
	count int
}

func (f *manyChanges) Newest(context.Context, string) (directory.Batch, error) {
	return directory.Batch{}, nil
}

func (f *manyChanges) Read(_ context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	batch := directory.Batch{Next: oleanderspool.Offset(f.count)}
	for i := int(from); i < f.count; i++ {
		id := oleanderspool.InstanceID(fmt.Sprint("s", i))
		batch.Changes = append(batch.Changes, directory.Change{Offset: oleanderspool.Offset(i), Instance: id, Server: &directory.Server{Instance: id, Service: "llm", Address: "10.0.0.1:80"}})
	}
	return batch, nil
}

func (f *manyChanges) Compacted(error) bool { return false }

// publisher is a coordinator that collects the published updates.
type publisher struct {
	*subscriber
	published chan directory.RegistryUpdate
}

func (p publisher) Publish(u directory.RegistryUpdate) { p.published <- u }

var _ = Describe("A follower that receives registry updates of other entries", func() {
	const (
		maxDelay = 400 * oleanderspool.Millis(1)
		interval = 180 * time.Millisecond // between the reads with that delay
	)
	budget := directory.Budget{ServerInterval: oleanderspool.MillisOf(interval), ReadDelay: 90}
	var (
		feed     *countingFeed
		view     *directory.View
		follower *directory.Follower
	)

	BeforeEach(func() {
		feed = &countingFeed{next: 10}
		view = directory.NewView()
		boot := clock.NewBoot()
		follower = directory.NewFollower(view, feed, feed, boot, slog.New(slog.DiscardHandler), directory.WithBudget(budget))
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go follower.RunServers(ctx)
		Eventually(func() int { return len(view.Snapshot().Servers("llm")) }, "5s", time.Millisecond).Should(Equal(1))
	})

	draining := directory.Change{Offset: 10, Instance: "s", Server: &directory.Server{Instance: "s", Service: "llm", Address: "10.0.0.1:80", Draining: true}}

	// Guards against changes of one read that do not fit into a datagram, for which
	// each entry of a large fleet would read the registry.
	It("sends many changes in updates that follow one another", func() {
		published := make(chan directory.RegistryUpdate, 100)
		many := &manyChanges{count: 100}
		reader := directory.NewFollower(directory.NewView(), many, many, clock.NewBoot(), slog.New(slog.DiscardHandler),
			directory.WithBudget(budget), directory.WithCoordinator(publisher{&subscriber{}, published}))
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go reader.RunServers(ctx)
		next, changes := oleanderspool.Offset(0), 0
		for changes < 100 {
			var u directory.RegistryUpdate
			Eventually(published, "5s").Should(Receive(&u))
			Expect(u.From).To(Equal(next))
			Expect(len(u.Changes)).To(BeNumerically("<=", 40))
			next = u.Next
			changes += len(u.Changes)
		}
		Expect(next).To(Equal(oleanderspool.Offset(100)))
	})

	// Guards against a load on the store that grows with the number of entries, and
	// against updates that are received but not applied.
	It("applies the received updates instead of reading the registry itself", func() {
		for range 10 {
			follower.Receive(directory.RegistryUpdate{From: 10, Next: 11, Changes: []directory.Change{draining}})
			time.Sleep(interval / 3)
		}
		Expect(view.Snapshot().Servers("llm")).To(BeEmpty())
		Expect(feed.reads.Load()).To(BeNumerically("<=", 1))
	})

	// Guards against a stale copy of the registry when the other entries send no
	// current updates, report old reads, or send records that follow some that are
	// missing here.
	for _, c := range []struct {
		name   string
		update directory.RegistryUpdate
	}{
		{"when the last read of the others was a minute ago", directory.RegistryUpdate{Age: oleanderspool.Minute}},
		{"when the last read of the others is older than the interval", directory.RegistryUpdate{From: 10, Next: 10, Age: maxDelay}},
		{"when records before the update are missing", directory.RegistryUpdate{From: 12, Next: 13, Changes: []directory.Change{draining}}},
	} {
		It("reads the registry itself "+c.name, func() {
			for range 10 {
				follower.Receive(c.update)
				time.Sleep(interval / 3)
			}
			Expect(feed.reads.Load()).To(BeNumerically(">=", 2))
			Expect(view.Snapshot().Servers("llm")).To(HaveLen(1))
		})
	}
})
