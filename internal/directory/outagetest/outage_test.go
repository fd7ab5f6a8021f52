package outagetest_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// span is a time on the clock of a simulation; the end is excluded.
type span struct {
	from, to oleanderspool.Millis
}

func (s span) contains(at oleanderspool.Millis) bool { return s.from <= at && at < s.to }

const (
	simulatedServers  = 5
	simulatedInterval = 1200 * oleanderspool.Millis(1) // between renewals
	simulatedTTL      = 3 * simulatedInterval
)

// simulatedRegistry is a registry whose servers renew their registrations, and the view of
// one entry that reads it.
type simulatedRegistry struct {
	clock       *clock.Manual
	cut, outage span // of the entry only, of the store
	again       span // a second outage of the store
	refuses     bool // an unreachable store answers with an error at once
	leftAt      oleanderspool.Millis
	records     []timedChange

	view   *directory.View
	cancel context.CancelFunc
	end    oleanderspool.Millis
	usable []usableAt
}

type timedChange struct {
	directory.Change
	at oleanderspool.Millis
}

type usableAt struct {
	at      oleanderspool.Millis
	servers int
	left    bool // the server that leaves is among them
}

func simulatedServer(i int) *directory.Server {
	return &directory.Server{Instance: oleanderspool.InstanceID(fmt.Sprint("s", i)), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i)}
}

// write writes the records of all servers up to the end of the simulation. The first
// server leaves at leftAt, if that is set.
func (r *simulatedRegistry) write() {
	for i := range simulatedServers {
		server := simulatedServer(i)
		renewedAt, expired := oleanderspool.Millis(0), false
		for at := oleanderspool.Millis(i) * 170; at < r.end; at += 10 {
			change := directory.Change{Instance: server.Instance}
			switch {
			case r.down(at):
				continue
			case i == 0 && r.leftAt > 0 && at >= r.leftAt:
				change.Removed = true
				r.records = append(r.records, timedChange{change, at})
				at = r.end
				continue
			case !expired && renewedAt > 0 && at-renewedAt > simulatedTTL:
				// The registration expires; the server renews it half an interval later.
				change.Removed, expired = true, true
				renewedAt = at - simulatedInterval/2
			case renewedAt == 0 || at-renewedAt >= simulatedInterval:
				change.Server, expired = server, false
				renewedAt = at
			default:
				continue
			}
			r.records = append(r.records, timedChange{change, at})
		}
	}
	slices.SortStableFunc(r.records, func(x, y timedChange) int { return int(x.at - y.at) })
	for i := range r.records {
		r.records[i].Offset = oleanderspool.Offset(i)
	}
}

// down reports whether the store is in an outage.
func (r *simulatedRegistry) down(at oleanderspool.Millis) bool {
	return r.outage.contains(at) || r.again.contains(at)
}

func (r *simulatedRegistry) Newest(ctx context.Context, _ string) (directory.Batch, error) {
	return r.Read(ctx, 0, 0)
}

func (r *simulatedRegistry) Read(_ context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	now := r.clock.Now()
	servers := r.view.Snapshot().Servers("llm")
	r.usable = append(r.usable, usableAt{now, len(servers), slices.ContainsFunc(servers, func(s directory.Server) bool { return s.Instance == "s0" })})
	if now >= r.end {
		r.cancel()
	}
	if r.cut.contains(now) || r.down(now) {
		if r.refuses {
			r.clock.Advance(250)
			return directory.Batch{}, oleanderspool.ErrUnavailable.New("refused")
		}
		r.clock.Advance(700)
		return directory.Batch{}, oleanderspool.ErrTimeout.New("no reply")
	}
	batch := directory.Batch{Next: from}
	for _, c := range r.records {
		if c.Offset >= from && c.at <= now {
			batch.Changes = append(batch.Changes, c.Change)
			batch.Next = c.Offset + 1
		}
	}
	r.clock.Advance(100)
	return batch, nil
}

func (r *simulatedRegistry) Compacted(error) bool { return false }

// follow lets an entry follow the registry up to the end.
func (r *simulatedRegistry) follow() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r.write()
	r.clock, r.view, r.cancel = clock.NewManual(2000), directory.NewView(), cancel
	directory.NewFollower(r.view, r, r, r.clock, slog.New(slog.DiscardHandler),
		directory.WithBudget(directory.Budget{}), directory.WithHeartbeat(simulatedInterval)).RunServers(ctx)
}

var _ = Describe("A follower whose reads of the registry failed", func() {
	cut := span{10_000, 16_550}

	// Guards against requests to a server that left long ago: while only the entry was
	// cut off from the store, no registration expires, and a removal is final.
	for _, c := range []struct {
		name    string
		leftAt  oleanderspool.Millis
		refuses bool
	}{
		{"removes a server that left while only the entry was cut off", 13_000, false},
		{"removes a server that left just before the end of the cut", 16_500, false},
		{"removes a server that left just after the end of the cut", 16_850, false},
		{"removes a server that left while only the entry was refused", 13_000, true},
	} {
		It(c.name, func() {
			r := &simulatedRegistry{cut: cut, leftAt: c.leftAt, refuses: c.refuses, end: 20_000}
			r.follow()
			const maxDelay = oleanderspool.Second // a call that timed out, and two reads
			for _, u := range r.usable {
				if u.at > max(c.leftAt, cut.to)+maxDelay {
					Expect(u.left).To(BeFalse(), "at %d", u.at)
					Expect(u.servers).To(Equal(simulatedServers-1), "at %d", u.at)
				}
			}
			Expect(r.usable[len(r.usable)-1].at).To(BeNumerically(">=", r.end))
		})
	}

	// Guards against an empty registry after an outage of the store, in which running
	// servers could not renew their registrations.
	for _, c := range []struct {
		name               string
		outage, again, cut span
		refuses            bool
	}{
		{"keeps the servers whose registrations expired in an outage", span{10_000, 15_000}, span{}, span{}, false},
		{"keeps them after a short outage", span{10_000, 13_000}, span{}, span{}, true},
		{"keeps them when the entry was cut off before and during the outage", span{10_000, 15_000}, span{}, span{8_000, 14_500}, false},
		{"keeps them when the store fails again before they have renewed them", span{10_000, 15_000}, span{15_200, 15_400}, span{}, true},
	} {
		It(c.name, func() {
			r := &simulatedRegistry{outage: c.outage, again: c.again, cut: c.cut, refuses: c.refuses, end: 20_000}
			r.follow()
			for _, u := range r.usable[1:] {
				Expect(u.servers).To(Equal(simulatedServers), "at %d", u.at)
			}
		})
	}
})

// compactedFeed lists two servers, fails for some time, and then lists the second one only,
// since the records in between were deleted.
type compactedFeed struct {
	failsFrom, failsTo time.Time
}

func (f *compactedFeed) Newest(context.Context, string) (directory.Batch, error) {
	if f.fails() {
		return directory.Batch{}, oleanderspool.ErrUnavailable.New("refused")
	}
	batch := directory.Batch{Next: 20}
	if time.Now().Before(f.failsFrom) {
		batch = directory.Batch{Next: 2, Changes: []directory.Change{{Offset: 0, Instance: "s0", Server: simulatedServer(0)}}}
	}
	batch.Changes = append(batch.Changes, directory.Change{Offset: batch.Next - 1, Instance: "s1", Server: simulatedServer(1)})
	return batch, nil
}

func (f *compactedFeed) Read(_ context.Context, from oleanderspool.Offset, _ oleanderspool.Millis) (directory.Batch, error) {
	if f.fails() || from < 20 && time.Now().After(f.failsTo) {
		return directory.Batch{}, oleanderspool.ErrUnavailable.New("refused or deleted")
	}
	return directory.Batch{Next: from}, nil
}

func (f *compactedFeed) fails() bool {
	return time.Now().After(f.failsFrom) && time.Now().Before(f.failsTo)
}

func (f *compactedFeed) Compacted(error) bool { return time.Now().After(f.failsTo) }

var _ = Describe("A follower that reads the list of servers again after failures", func() {
	var (
		feed     *compactedFeed
		view     *directory.View
		follower *directory.Follower
	)
	servers := func() int { return len(view.Snapshot().Servers("llm")) }

	// start starts the follower with an interval between reads in milliseconds and waits
	// until the store answers again after a failure.
	start := func(interval oleanderspool.Millis, failsFrom, failsTo time.Duration) {
		now := time.Now()
		feed = &compactedFeed{failsFrom: now.Add(failsFrom), failsTo: now.Add(failsTo)}
		view = directory.NewView()
		follower = directory.NewFollower(view, feed, feed, clock.NewBoot(), slog.New(slog.DiscardHandler),
			directory.WithBudget(directory.Budget{ServerInterval: interval}), directory.WithHeartbeat(100))
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go follower.RunServers(ctx)
		Eventually(servers, "200ms", time.Millisecond).Should(Equal(2))
		time.Sleep(time.Until(feed.failsTo))
	}

	update := func(reachable oleanderspool.Millis) directory.RegistryUpdate {
		return directory.RegistryUpdate{From: 20, Next: 20, Age: 1, Reachable: reachable}
	}

	// Guards against a grace period that goes on although another entry shows that the
	// store was not out of reach.
	It("removes a server that is not listed once another entry had answers all the time", func() {
		start(200, 300*time.Millisecond, 900*time.Millisecond)
		Eventually(func() int {
			follower.Receive(update(5000))
			return servers()
		}, "900ms", 10*time.Millisecond).Should(Equal(1))
	})

	// Guards against an outage that ends the grace period of all entries because of one that
	// started after it and knows nothing of it.
	It("keeps the server when the other entry started after the failures began", func() {
		start(200, 300*time.Millisecond, 900*time.Millisecond)
		Consistently(func() int {
			follower.Receive(update(100))
			return servers()
		}, "900ms", 10*time.Millisecond).Should(Equal(2))
	})

	// Guards against a removal that waits for the next read after the grace period.
	It("removes the server at the end of the grace period when the next read is later", func() {
		start(4000, 300*time.Millisecond, 4050*time.Millisecond)
		Eventually(servers, "3s", 10*time.Millisecond).Should(Equal(1))
	})
})
