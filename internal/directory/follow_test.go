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

// scriptedFeed answers its reads in turn and moves the clock by their spans.
type scriptedFeed struct {
	clock *clock.Manual
	end   context.CancelFunc
	steps []step
	taken int
}

// step is the reply to a read.
type step struct {
	span    oleanderspool.Millis // from the sending to the handling of the reply
	records int
	fails   bool
	more    bool // the reply leaves out later records
}

func (f *scriptedFeed) Newest(context.Context) (directory.Batch, error) {
	return f.reply(0)
}

func (f *scriptedFeed) Read(_ context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	return f.reply(from)
}

func (f *scriptedFeed) Compacted(error) bool { return false }

func (f *scriptedFeed) reply(from oleanderspool.Offset) (directory.Batch, error) {
	s := f.steps[f.taken]
	f.taken++
	if f.taken == len(f.steps) {
		f.end()
	}
	f.clock.Advance(s.span)
	if s.fails {
		return directory.Batch{}, oleanderspool.ErrUnavailable.New("down")
	}
	return directory.Batch{Next: from + oleanderspool.Offset(s.records), More: s.more}, nil
}

var _ = Describe("A follower", func() {
	// Guards against a key that counts as confirmed by the arrival of a reply: the
	// process may have been frozen between the reply and its handling.
	cases := []struct {
		name      string
		steps     []step
		confirmed oleanderspool.Millis // the clock starts at 100
	}{
		{"does not confirm by the newest records, which may be old", []step{{span: 30, records: 1}}, 0},
		{"confirms from the sending of a read that was answered at once", []step{{span: 30, records: 1}, {span: 20}}, 130},
		{"confirms to the end of a wait without a record", []step{{span: 10, records: 1}, {span: 5}, {span: 1905}}, 115 + 1900},
		{"does not confirm by a late reply", []step{{span: 10, records: 1}, {span: 5}, {span: 6000}}, 115 + 1900},
		{"does not confirm the wait of a read that found a record", []step{{span: 10, records: 1}, {span: 5}, {span: 1905, records: 1}}, 115},
		{"does not confirm by a failed read", []step{{span: 10, records: 1}, {span: 5}, {span: 2600, fails: true}}, 110},
		// Guards against a taken-away key whose record did not fit into the reply.
		{"does not confirm by a reply that leaves out later records", []step{{span: 10, records: 1}, {span: 5}, {span: 20, records: 3, more: true}}, 110},
		{"confirms at once after a reply that leaves out later records", []step{{span: 10, records: 1}, {span: 20, records: 3, more: true}, {span: 5, records: 1}}, 130},
		{"confirms at once after a failed read", []step{{span: 10, records: 1}, {span: 2600, fails: true}, {span: 5}}, 110 + 2600},
	}
	// With this span a read waits for 1900 ms.
	const holds = 3456 * oleanderspool.Millis(1)
	for _, c := range cases {
		It(c.name, func() {
			ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
			defer end()
			manual := clock.NewManual(100)
			view := directory.NewView()
			feed := &scriptedFeed{clock: manual, end: end, steps: c.steps}
			directory.NewFollower(view, feed, feed, manual, slog.New(slog.DiscardHandler),
				directory.WithConfirmationTTL(holds)).RunConfigurations(ctx)
			Expect(view.ConfirmedAt()).To(Equal(c.confirmed))
		})
	}
})

// waitingFeed records the waits that it is asked for.
type waitingFeed struct {
	end   context.CancelFunc
	wait  oleanderspool.Millis
	reads int
	fails bool // the second read fails
}

func (f *waitingFeed) Newest(context.Context) (directory.Batch, error) {
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
		f.end()
	}
	return directory.Batch{Next: from}, nil
}

var _ = Describe("The wait for a configuration", func() {
	// Guards against keys that expire at every entry while the store answers, in a
	// deployment with a short bound.
	cases := []struct {
		name  string
		holds oleanderspool.Millis
		wait  oleanderspool.Millis
		fails bool
	}{
		{"is bounded by a confirmation that holds for a short time", 1000, 550, false},
		{"leaves room for one call without an answer", 3700, 2035, false},
		{"is bounded where confirmations hold for any time", 0, 2500, false},
		{"is bounded where a confirmation holds for long", 4700, 2500, false},
		{"is left out after a read that failed, so that keys are confirmed before they expire", 3700, 0, true},
	}
	for _, c := range cases {
		It(c.name, func() {
			ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
			defer end()
			feed := &waitingFeed{end: end, fails: c.fails}
			directory.NewFollower(directory.NewView(), feed, feed, clock.NewManual(100), slog.New(slog.DiscardHandler),
				directory.WithConfirmationTTL(c.holds)).RunConfigurations(ctx)
			Expect(feed.wait).To(Equal(c.wait))
		})
	}
})
