package directory_test

import (
	"context"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// scriptedFeed answers each read with the next step and advances the clock by the
// duration of that step.
type scriptedFeed struct {
	clock  *clock.Manual
	cancel context.CancelFunc
	steps  []step
	next   int
}

// step is the reply to a read.
type step struct {
	duration oleanderspool.Millis // from sending the read to handling its reply
	records  int
	fails    bool
	more     bool // the reply leaves out later records
}

func (f *scriptedFeed) Newest(context.Context, string) (directory.Batch, error) {
	return f.reply(0)
}

func (f *scriptedFeed) Read(_ context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	return f.reply(from)
}

func (f *scriptedFeed) Compacted(error) bool { return false }

func (f *scriptedFeed) reply(from oleanderspool.Offset) (directory.Batch, error) {
	s := f.steps[f.next]
	f.next++
	if f.next == len(f.steps) {
		f.cancel()
	}
	f.clock.Advance(s.duration)
	if s.fails {
		return directory.Batch{}, oleanderspool.ErrUnavailable.New("down")
	}
	return directory.Batch{Next: from + oleanderspool.Offset(s.records), More: s.more}, nil
}

var _ = Describe("A follower of the configuration", func() {
	// Guards against a key that counts as confirmed at the arrival of a reply: the
	// process may have been paused between the arrival of the reply and its handling,
	// while the key was revoked.
	cases := []struct {
		name      string
		steps     []step
		confirmed oleanderspool.Millis // the clock starts at 100
	}{
		{"does not count the newest records as a confirmation, since they may be old", []step{{duration: 30, records: 1}}, 0},
		{"confirms up to the instant at which a read that was answered at once was sent", []step{{duration: 30, records: 1}, {duration: 20}}, 130},
		{"confirms up to the end of the wait when the reply has no record", []step{{duration: 10, records: 1}, {duration: 5}, {duration: 1905}}, 115 + 1900},
		{"confirms no more than the wait when the reply comes late", []step{{duration: 10, records: 1}, {duration: 5}, {duration: 6000}}, 115 + 1900},
		{"confirms only up to the instant at which a waiting read was sent when it returns a record", []step{{duration: 10, records: 1}, {duration: 5}, {duration: 1905, records: 1}}, 115},
		{"does not count a failed read as a confirmation", []step{{duration: 10, records: 1}, {duration: 5}, {duration: 2600, fails: true}}, 110},
		// Guards against a revoked key that is still accepted because the record of its
		// revocation did not fit into the reply.
		{"does not count a reply that leaves out later records as a confirmation", []step{{duration: 10, records: 1}, {duration: 5}, {duration: 20, records: 3, more: true}}, 110},
		{"confirms at once by the read after a reply that left out records", []step{{duration: 10, records: 1}, {duration: 20, records: 3, more: true}, {duration: 5, records: 1}}, 130},
		{"confirms at once by the read after a failed one", []step{{duration: 10, records: 1}, {duration: 2600, fails: true}, {duration: 5}}, 110 + 2600},
	}
	// With this lifetime of a confirmation a read waits 1900 ms.
	const ttl = 3456 * oleanderspool.Millis(1)
	for _, c := range cases {
		It(c.name, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			manual := clock.NewManual(100)
			view := directory.NewView()
			feed := &scriptedFeed{clock: manual, cancel: cancel, steps: c.steps}
			directory.NewFollower(view, feed, feed, manual, slog.New(slog.DiscardHandler),
				directory.WithConfirmationTTL(ttl)).RunConfigurations(ctx)
			Expect(view.ConfirmedAt()).To(Equal(c.confirmed))
		})
	}
})

// waitingFeed records the wait that its last read asked for.
type waitingFeed struct {
	cancel context.CancelFunc
	wait   oleanderspool.Millis
	reads  int
	fails  bool // the second read fails
}

func (f *waitingFeed) Newest(context.Context, string) (directory.Batch, error) {
	return directory.Batch{}, nil
}

func (f *waitingFeed) Compacted(error) bool { return false }

func (f *waitingFeed) Read(_ context.Context, from oleanderspool.Offset, wait oleanderspool.Millis) (directory.Batch, error) {
	f.wait = wait
	f.reads++
	if f.reads == 2 && f.fails {
		return directory.Batch{}, oleanderspool.ErrUnavailable.New("down")
	}
	if f.reads != 1 && (f.reads != 2 || f.fails) {
		f.cancel()
	}
	return directory.Batch{Next: from}, nil
}

// changingFeed returns a change at the end of the wait of its second read.
type changingFeed struct {
	clock  *clock.Manual
	cancel context.CancelFunc
	waits  []oleanderspool.Millis
}

func (f *changingFeed) Newest(context.Context, string) (directory.Batch, error) {
	return directory.Batch{}, nil
}

func (f *changingFeed) Compacted(error) bool { return false }

func (f *changingFeed) Read(_ context.Context, from oleanderspool.Offset, wait oleanderspool.Millis) (directory.Batch, error) {
	f.waits = append(f.waits, wait)
	f.clock.Advance(wait)
	switch len(f.waits) {
	case 2:
		return directory.Batch{Changes: []directory.Change{{Offset: from, Err: context.Canceled}}, Next: from + 1}, nil
	case 3:
		f.cancel()
	}
	return directory.Batch{Next: from}, nil
}

var _ = Describe("A change that arrives at the end of the wait of a read", func() {
	// Guards against keys that expire although the store answers: the reply confirms the
	// instant at which its read was sent, and the next read waits as long again.
	It("makes the next read confirm the configuration at once", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		manual := clock.NewManual(100)
		feed := &changingFeed{clock: manual, cancel: cancel}
		directory.NewFollower(directory.NewView(), feed, feed, manual, slog.New(slog.DiscardHandler)).RunConfigurations(ctx)
		Expect(feed.waits).To(Equal([]oleanderspool.Millis{0, 2500, 0}))
	})
})

var _ = Describe("The wait of a read for a new configuration", func() {
	// Guards against confirmations that expire at every entry although the store
	// answers, in a deployment with a short confirmation TTL.
	cases := []struct {
		name  string
		ttl   oleanderspool.Millis
		wait  oleanderspool.Millis
		fails bool
	}{
		{"is shorter than a short lifetime of a confirmation", 1000, 550, false},
		{"leaves time for one call without an answer", 3700, 2035, false},
		{"is bounded when confirmations do not expire", 0, 2500, false},
		{"is bounded when the lifetime of a confirmation is long", 4700, 2500, false},
		{"is zero after a failed read, so that keys are confirmed before they expire", 3700, 0, true},
	}
	for _, c := range cases {
		It(c.name, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			feed := &waitingFeed{cancel: cancel, fails: c.fails}
			directory.NewFollower(directory.NewView(), feed, feed, clock.NewManual(100), slog.New(slog.DiscardHandler),
				directory.WithConfirmationTTL(c.ttl)).RunConfigurations(ctx)
			Expect(feed.wait).To(Equal(c.wait))
		})
	}
})
