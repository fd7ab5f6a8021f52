package directory

import (
	"context"
	"log/slog"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
)

// Change is a record of a feed.
type Change struct {
	Offset        oleanderspool.Offset
	Configuration *Configuration           // of a configuration feed; nil when it cannot be read
	Instance      oleanderspool.InstanceID // of a server feed
	Server        *Server                  // nil when it was removed or cannot be read
	Removed       bool
	Err           error // why the record cannot be read
}

// Batch is the reply to a read of a feed.
type Batch struct {
	Changes []Change
	Next    oleanderspool.Offset // to read from next
	// More reports that the feed already had later changes, which the reply had no
	// room for.
	More bool
}

// Feed reads a sequence of changes.
type Feed interface {
	// Newest returns the newest change of each key. Some changes may be newer than
	// the offset to read from next.
	Newest(ctx context.Context) (Batch, error)
	// Read returns the changes from an offset on. Without a change it waits up to
	// the given span.
	Read(ctx context.Context, from oleanderspool.Offset, wait oleanderspool.Millis) (Batch, error)
	// Compacted reports whether a read failed because its offset was deleted.
	Compacted(err error) bool
}

const (
	// configurationWait is the longest wait of a read for a new configuration. The
	// confirmation is at most so old while the store answers.
	configurationWait = 2500 * oleanderspool.Millis(1)
	// confirmShare is the part of the span for which a confirmation holds after
	// which it is renewed. The rest covers a call without an answer and its
	// repetition at a store that is slow.
	confirmShare = 0.55
	// drainShare is the part of the span in which a server that leaves must be
	// known after which the registry is read again. The rest covers one call that
	// gets no answer and its repetition.
	drainShare = 0.45
	// defaultServerInterval applies without [WithMaxDrainDelay].
	defaultServerInterval = 600 * oleanderspool.Millis(1)
	// retryInterval is the span between reads that fail.
	retryInterval = 250 * oleanderspool.Millis(1)
	// lapseGrace is the span after an outage of the store in which a removed
	// server is still used: its entry may have lapsed while the server could not
	// renew it. It is shorter than the span in which a server that left must get
	// no more requests.
	lapseGrace = 1500 * oleanderspool.Millis(1)
)

// Follower keeps a view up to date from two feeds.
type Follower struct {
	view   *View
	clock  oleanderspool.Clock
	logger *slog.Logger

	// wait is the wait of a read for a new configuration.
	wait           oleanderspool.Millis
	configurations feedState
	servers        feedState
	lapsed         []Change // removals that wait for the end of the grace
	sharing        Coordinator
	heard          chan heardNews
	// serverInterval is the span between two reads of the registry. Records of one
	// interval share a read.
	serverInterval oleanderspool.Millis
}

// FollowerOption configures a [Follower].
type FollowerOption func(*Follower)

// WithMaxDrainDelay sets the span in which a server that leaves must be known.
func WithMaxDrainDelay(span oleanderspool.Millis) FollowerOption {
	return func(f *Follower) { f.serverInterval = oleanderspool.Millis(float64(span) * drainShare) }
}

// WithConfirmationTTL sets for how long a confirmation of the configuration holds; 0
// means for any time.
func WithConfirmationTTL(span oleanderspool.Millis) FollowerOption {
	return func(f *Follower) {
		if span > 0 {
			f.wait = min(f.wait, oleanderspool.Millis(float64(span)*confirmShare))
		}
	}
}

// WithCoordinator lets one entry read the registry for all.
func WithCoordinator(s Coordinator) FollowerOption {
	return func(f *Follower) { f.sharing = s }
}

// maxHeard bounds the news that waits to be applied.
const maxHeard = 16

// feedState is how far a feed was read.
type feedState struct {
	name  string
	feed  Feed
	next  oleanderspool.Offset
	known bool // Newest was read and nothing was deleted since
	// lost is the instant of the first failed read since the last good one; 0
	// while the store answers.
	lost       oleanderspool.Millis
	regainedAt oleanderspool.Millis
	listEnd    oleanderspool.Offset // end of the last reply of Newest, which may be old
	freshAt    oleanderspool.Millis // instant at which the last good read was sent, here or by another entry
}

// NewFollower returns a follower.
func NewFollower(view *View, configurations, servers Feed, clock oleanderspool.Clock, logger *slog.Logger, options ...FollowerOption) *Follower {
	f := &Follower{
		view: view, clock: clock, logger: logger, wait: configurationWait, serverInterval: defaultServerInterval,
		sharing: alone{}, heard: make(chan heardNews, maxHeard),
		configurations: feedState{name: "configuration", feed: configurations},
		servers:        feedState{name: "servers", feed: servers},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// RunConfigurations follows the configuration until ctx ends. What a read shows
// is counted from its sending: this process may have been frozen between the
// arrival of the reply and its handling. The newest records of each key confirm
// nothing, since they may be seconds old, nor does a reply that leaves out later
// records. A read after one of them or after a failed one does not wait, so that
// it confirms at once.
func (f *Follower) RunConfigurations(ctx context.Context) {
	confirmed := false
	for ctx.Err() == nil {
		wait := f.wait
		if !confirmed {
			wait = 0
		}
		sentAt, from, waits := f.clock.Now(), f.configurations.next, f.configurations.known
		batch, ok := f.read(ctx, &f.configurations, wait)
		confirmed = ok && waits && !batch.More
		for _, c := range batch.Changes {
			f.configure(c)
		}
		if confirmed {
			// A reply that came after the whole wait without a record shows that
			// there was none until the end of the wait.
			if f.configurations.next == from && f.clock.Now()-sentAt >= wait {
				sentAt += wait
			}
			f.view.Confirm(sentAt)
		} else if !ok {
			clock.Sleep(ctx, retryInterval)
		}
	}
}

// RunServers follows the registry until ctx ends.
func (f *Follower) RunServers(ctx context.Context) {
	for ctx.Err() == nil {
		if f.readServers(ctx) {
			f.awaitTurn(ctx)
		} else {
			clock.Sleep(ctx, retryInterval)
		}
	}
}

// readServers reads the registry once, applies what it finds and tells the other
// entries.
func (f *Follower) readServers(ctx context.Context) bool {
	complete, from, sentAt := !f.servers.known, f.servers.next, f.clock.Now()
	batch, ok := f.read(ctx, &f.servers, 0)
	var news []Change
	for _, c := range batch.Changes {
		if c.Removed && f.inGrace() {
			f.lapsed = append(f.lapsed, c)
			continue
		}
		if f.register(c) {
			news = append(news, c)
		}
	}
	if ok && complete {
		f.keep(batch.Changes)
	}
	f.removeLapsed()
	// The newest records may be seconds old, so those after them are read at once,
	// as are those that a reply had no room for.
	if ok && !batch.More && (!complete || !f.servers.known) {
		f.servers.freshAt = sentAt
	}
	if ok && !batch.More && !complete {
		f.tell(from, news, sentAt)
	}
	return ok
}

// awaitTurn waits until the registry has to be read again by this entry. News of
// other entries puts that off.
func (f *Follower) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		left := f.servers.freshAt + f.serverInterval + f.sharing.ReadDelay() - f.clock.Now()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left.Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case n := <-f.heard:
			f.take(n)
		}
		timer.Stop()
	}
}

// inGrace reports whether the store came back so recently that entries which
// lapsed during its outage may be missing.
func (f *Follower) inGrace() bool {
	return f.servers.regainedAt != 0 && f.clock.Now()-f.servers.regainedAt < lapseGrace
}

// removeLapsed removes the servers that did not come back within the grace. A
// server that did has a newer record.
func (f *Follower) removeLapsed() {
	if f.inGrace() {
		return
	}
	for _, c := range f.lapsed {
		f.register(c)
	}
	f.lapsed = nil
}

// keep removes the servers that a complete list lacks. Within the grace the list
// is read again instead.
func (f *Follower) keep(list []Change) {
	if f.inGrace() {
		f.servers.known = false
		return
	}
	listed := make(map[oleanderspool.InstanceID]bool, len(list))
	for _, c := range list {
		listed[c.Instance] = true
	}
	for _, id := range f.view.RemoveUnlisted(listed, f.servers.listEnd) {
		f.logger.Info("server gone", "instance", id, "cause", "not listed", "offset", f.servers.listEnd)
	}
}

// read reads the next changes of a feed, from the newest of each key when
// nothing is known or records were deleted.
func (f *Follower) read(ctx context.Context, s *feedState, wait oleanderspool.Millis) (Batch, bool) {
	var batch Batch
	var err error
	if s.known {
		batch, err = s.feed.Read(ctx, s.next, wait)
	} else {
		batch, err = s.feed.Newest(ctx)
	}
	now := f.clock.Now()
	if err != nil {
		if s.feed.Compacted(err) {
			f.logger.Info("records deleted", "feed", s.name, "offset", s.next)
			s.known = false
		}
		if s.lost == 0 && ctx.Err() == nil {
			s.lost = now
			f.logger.Warn("store lost", "feed", s.name, "error", err.Error())
		}
		return Batch{}, false
	}
	if s.lost != 0 {
		f.logger.Info("store regained", "feed", s.name, "after_ms", int64(now-s.lost))
		s.lost, s.regainedAt = 0, now
	}
	if !s.known {
		s.listEnd = batch.Next
	}
	s.known = true
	// A reply of Newest may be older than what was read before.
	s.next = max(s.next, batch.Next)
	return batch, true
}

func (f *Follower) configure(c Change) {
	if c.Err != nil {
		f.logger.Warn("configuration unreadable", "offset", c.Offset, "error", c.Err.Error())
		return
	}
	if f.view.Configure(c.Configuration, c.Offset) {
		f.logger.Info("configuration in force", "version", c.Configuration.Version, "offset", c.Offset)
	}
}

// register applies a record and reports whether it changes a server.
func (f *Follower) register(c Change) bool {
	if c.Err != nil {
		f.logger.Debug("server unreadable", "instance", c.Instance, "offset", c.Offset, "error", c.Err.Error())
	}
	changed, another := f.view.Register(c.Instance, c.Server, c.Offset)
	if !another {
		return changed
	}
	switch {
	case c.Server == nil:
		f.logger.Info("server gone", "instance", c.Instance, "cause", "removed", "offset", c.Offset)
	case c.Server.Draining:
		f.logger.Info("server draining", "instance", c.Instance, "offset", c.Offset)
	default:
		f.logger.Info("server ready", "instance", c.Instance, "address", c.Server.Address, "service", c.Server.Service, "started", c.Server.Started, "offset", c.Offset)
	}
	return changed
}
