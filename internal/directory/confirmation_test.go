package directory_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// subscriber is the coordinator of an entry whose configuration others confirm.
type subscriber struct {
	reads  atomic.Bool // the entry reads the configuration itself
	serves bool
	sent   atomic.Int64 // instant of the last confirmation for others
}

func (s *subscriber) Publish(directory.RegistryUpdate) {}

func (s *subscriber) ReadDelay(limit oleanderspool.Millis) oleanderspool.Millis { return limit }

func (s *subscriber) ReadsConfiguration() bool { return s.reads.Load() }

func (s *subscriber) ServesConfirmations() bool { return s.serves }

func (s *subscriber) ConfirmConfiguration(at oleanderspool.Millis, _ oleanderspool.Offset) {
	s.sent.Store(int64(at))
}

// growingFeed has records up to an end and counts its reads.
type growingFeed struct {
	reads    atomic.Int32
	end      atomic.Int64
	longest  atomic.Int64 // longest wait that a read asked for
	fails    atomic.Bool
	panics   atomic.Bool // the next read panics
	failures atomic.Int32
}

func (f *growingFeed) Newest(context.Context, string) (directory.Batch, error) {
	return directory.Batch{Next: oleanderspool.Offset(f.end.Load())}, nil
}

func (f *growingFeed) Compacted(error) bool { return false }

func (f *growingFeed) Read(ctx context.Context, from oleanderspool.Offset, wait oleanderspool.Millis) (directory.Batch, error) {
	f.reads.Add(1)
	f.longest.Store(max(f.longest.Load(), int64(wait)))
	if f.panics.CompareAndSwap(true, false) {
		panic("unexpected record")
	}
	if f.fails.Load() {
		f.failures.Add(1)
		return directory.Batch{}, oleanderspool.ErrUnavailable.New("down")
	}
	if from == oleanderspool.Offset(f.end.Load()) {
		clock.Sleep(ctx, wait)
	}
	return directory.Batch{Next: oleanderspool.Offset(f.end.Load())}, nil
}

var _ = Describe("A follower whose configuration other entries confirm", func() {
	// With this lifetime of a confirmation an entry reads after 550 ms to 850 ms.
	const ttl = oleanderspool.Second
	var (
		feed        *growingFeed
		coordinator *subscriber
		view        *directory.View
		follower    *directory.Follower
		boot        *clock.Boot
		stop        context.CancelFunc
	)

	start := func() {
		follower = directory.NewFollower(view, feed, feed, boot, slog.New(slog.DiscardHandler),
			directory.WithConfirmationTTL(ttl), directory.WithCoordinator(coordinator))
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		DeferCleanup(stop)
		go follower.RunConfigurations(ctx)
		Eventually(func() oleanderspool.Millis { return view.ConfirmedAt() }, "5s", time.Millisecond).Should(BeNumerically(">", 0))
	}

	BeforeEach(func() {
		feed, coordinator, view, boot = &growingFeed{}, &subscriber{}, directory.NewView(), clock.NewBoot()
		feed.end.Store(10)
	})

	// Guards against calls of the store that grow with the number of entries.
	It("does not read while confirmations arrive", func() {
		start()
		before := feed.reads.Load()
		for range 20 {
			asked := boot.Now()
			time.Sleep(50 * time.Millisecond)
			follower.ReceiveConfirmation(directory.Confirmation{AskedAt: asked, Next: 10})
			Eventually(view.ConfirmedAt, "1s", time.Millisecond).Should(Equal(asked))
		}
		Expect(feed.reads.Load()).To(Equal(before))
	})

	// Guards against keys that expire at an entry whose relay is dead, frozen or cut
	// off from the store.
	It("reads itself when no confirmation arrives", func() {
		start()
		Consistently(func() oleanderspool.Millis { return view.ConfirmationAge(boot.Now()) }, "2500ms", "10ms").Should(BeNumerically("<", ttl))
	})

	// Guards against a revoked key that is accepted because another entry, which knows
	// a newer configuration, confirms an older one.
	It("is not confirmed by an entry that is ahead, and reads what it lacks at once", func() {
		start()
		confirmed := view.ConfirmedAt()
		before := feed.reads.Load()
		feed.end.Store(12)
		asked := boot.Now()
		follower.ReceiveConfirmation(directory.Confirmation{AskedAt: asked + 60_000, Next: 12})
		Eventually(feed.reads.Load, "400ms", time.Millisecond).Should(BeNumerically(">", before))
		Eventually(view.ConfirmedAt, "400ms", time.Millisecond).Should(BeNumerically(">", confirmed))
		Expect(view.ConfirmedAt()).To(BeNumerically("<", asked+60_000))
	})

	// Guards against a read by each entry for each of many configurations in quick
	// succession, and against one that is in force late.
	It("reads configurations in quick succession together", func() {
		start()
		before := feed.reads.Load()
		for range 20 {
			feed.end.Add(1)
			follower.ReceiveConfirmation(directory.Confirmation{Next: oleanderspool.Offset(feed.end.Load())})
			time.Sleep(100 * time.Millisecond)
		}
		at := boot.Now()
		Eventually(view.ConfirmedAt, "1300ms", time.Millisecond).Should(BeNumerically(">", at))
		Expect(feed.reads.Load() - before).To(BeNumerically("<=", 6))
	})

	// Guards against a store in trouble that every entry of a large fleet calls four
	// times a second. An entry that reads for others goes on at that interval.
	It("calls a store that fails less and less often", func() {
		start()
		feed.fails.Store(true)
		Eventually(feed.failures.Load, "5s", time.Millisecond).Should(BeNumerically(">", 0))
		time.Sleep(3 * time.Second)
		Expect(feed.failures.Load()).To(BeNumerically("<=", 6))
	})

	// Guards against one record that ends the process or the following of the
	// configuration.
	It("goes on after a read has panicked", func() {
		start()
		feed.panics.Store(true)
		Eventually(feed.panics.Load, "5s", time.Millisecond).Should(BeFalse())
		at := boot.Now()
		Eventually(view.ConfirmedAt, "2s", time.Millisecond).Should(BeNumerically(">", at))
	})

	// Guards against confirmations that reach the others only when they have expired.
	It("waits shorter for changes while others depend on it", func() {
		coordinator.serves = true
		coordinator.reads.Store(true)
		view = directory.NewView()
		follower = directory.NewFollower(view, feed, feed, boot, slog.New(slog.DiscardHandler), directory.WithCoordinator(coordinator))
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go follower.RunConfigurations(ctx)
		Eventually(feed.reads.Load, "5s", time.Millisecond).Should(BeNumerically(">=", 3))
		Expect(feed.longest.Load()).To(BeNumerically("<=", 1200))
		Expect(coordinator.sent.Load()).To(BeNumerically(">", 0))
	})
})
