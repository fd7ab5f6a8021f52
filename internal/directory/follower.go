package directory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

// Change is one decoded record of a feed.
type Change struct {
	Offset        oleanderspool.Offset
	Configuration *Configuration           // of a configuration feed; nil when it cannot be decoded
	Instance      oleanderspool.InstanceID // of a server feed
	Server        *Server                  // nil when it was removed or cannot be decoded
	Removed       bool
	Err           error // why the record cannot be decoded
}

// Batch is the reply to a read of a feed.
type Batch struct {
	Changes []Change
	Next    oleanderspool.Offset // to read from next
	// More reports that the feed already had later changes that did not fit into the
	// reply.
	More bool
}

// Feed reads a sequence of changes.
type Feed interface {
	// Newest returns the newest change of each key. Some changes may be newer than
	// the offset to read from next.
	Newest(ctx context.Context) (Batch, error)
	// Read returns the changes from an offset on. If there is none, it waits for one
	// up to the given duration.
	Read(ctx context.Context, from oleanderspool.Offset, wait oleanderspool.Millis) (Batch, error)
	// Compacted reports whether a read failed because the records at its offset were
	// deleted.
	Compacted(err error) bool
}

const (
	// maxReadWait is the longest time that a read waits for a new configuration.
	// While the store answers, the confirmation is at most this old.
	maxReadWait = 2500 * oleanderspool.Millis(1)
	// renewalFraction is the fraction of the lifetime of a confirmation after which
	// it is renewed. The rest covers a call that gets no answer and its retry at a
	// slow store.
	renewalFraction = 0.55
	// drainReadFraction is the fraction of the maximum drain delay after which the
	// registry is read again. The rest covers one call that gets no answer and its
	// retry.
	drainReadFraction = 0.45
	// defaultServerInterval applies without [WithMaxDrainDelay].
	defaultServerInterval = 600 * oleanderspool.Millis(1)
	// retryInterval is the delay between reads that fail.
	retryInterval = 250 * oleanderspool.Millis(1)
	// maxRetryInterval bounds the delay for an entry that others read for: it doubles
	// with each failure, so that a fleet does not load a store in trouble.
	maxRetryInterval = oleanderspool.Second
	// sharedReadWait is the longest time that a read waits for a new configuration
	// while other entries depend on its confirmation. It is shorter than maxReadWait by
	// the interval at which they ask.
	sharedReadWait = 1200 * oleanderspool.Millis(1)
	// maxOwnReadDelay bounds the random delay after which an entry that gets no
	// confirmation from others reads the configuration itself.
	maxOwnReadDelay = 300 * oleanderspool.Millis(1)
	// maxChangeReadDelay bounds the random delay after which an entry reads a
	// configuration that another one has announced. It spreads the load on the store.
	maxChangeReadDelay = 150 * oleanderspool.Millis(1)
	// changeReadInterval is the smallest time between two reads of announced
	// configurations, so that several in quick succession are read together. It is a
	// half of the shortest time within which a configuration must be in force.
	changeReadInterval = oleanderspool.Second
	// readDelayFraction bounds the delay of the entries that read the registry when
	// the others do not, as a fraction of the maximum drain delay.
	readDelayFraction = 0.225
	// defaultMaxReadDelay applies without [WithMaxDrainDelay].
	defaultMaxReadDelay = 300 * oleanderspool.Millis(1)
	// expiryGrace is the time after an outage of the store during which a removed
	// server is still used: its registration may have expired only because the
	// server could not renew it. It is shorter than the time after which a server
	// that left must receive no more requests.
	expiryGrace = 1500 * oleanderspool.Millis(1)
)

// Follower keeps a view up to date from a configuration feed and a server feed.
type Follower struct {
	view   *View
	clock  oleanderspool.Clock
	logger *slog.Logger

	// wait is how long a read waits for a new configuration.
	wait           oleanderspool.Millis
	configurations feedState
	servers        feedState
	expired        []Change // removals that are deferred to the end of the grace period
	coordinator    Coordinator
	received       chan receivedUpdate
	// serverInterval is the time between two reads of the registry. All records that
	// arrive within an interval are fetched by one read.
	serverInterval oleanderspool.Millis
	maxReadDelay   oleanderspool.Millis
	confirmations  chan Confirmation
	changeReadAt   oleanderspool.Millis // last read of an announced configuration
	guard          *observe.Guard
}

// FollowerOption configures a [Follower].
type FollowerOption func(*Follower)

// WithMaxDrainDelay sets the time within which the entry must learn that a server
// is draining.
func WithMaxDrainDelay(delay oleanderspool.Millis) FollowerOption {
	return func(f *Follower) {
		f.serverInterval = oleanderspool.Millis(float64(delay) * drainReadFraction)
		f.maxReadDelay = oleanderspool.Millis(float64(delay) * readDelayFraction)
	}
}

// WithConfirmationTTL sets how long a confirmation of the configuration is valid; 0
// means that it does not expire.
func WithConfirmationTTL(ttl oleanderspool.Millis) FollowerOption {
	return func(f *Follower) {
		if ttl > 0 {
			f.wait = min(f.wait, oleanderspool.Millis(float64(ttl)*renewalFraction))
		}
	}
}

// WithCoordinator lets one entry at a time read the registry on behalf of all
// entries.
func WithCoordinator(c Coordinator) FollowerOption {
	return func(f *Follower) { f.coordinator = c }
}

// WithGuard sets the guard of the follower's tasks.
func WithGuard(guard *observe.Guard) FollowerOption {
	return func(f *Follower) { f.guard = guard }
}

// maxReceived is the number of updates from other entries that may wait to be
// applied.
const maxReceived = 16

// feedState is the read position in a feed and the health of its reads.
type feedState struct {
	name   string
	feed   Feed
	next   oleanderspool.Offset
	synced bool // Newest was read, and no read found its offset deleted since
	// failingSince is the instant of the first failed read since the last successful
	// one; 0 while the store answers.
	failingSince oleanderspool.Millis
	recoveredAt  oleanderspool.Millis
	listEnd      oleanderspool.Offset // Next of the last reply of Newest, which may be seconds old
	lastReadAt   oleanderspool.Millis // instant at which the last successful read was sent, by this or another entry
}

// NewFollower returns a follower that updates view from the two feeds once
// [Follower.RunConfigurations] and [Follower.RunServers] run.
func NewFollower(view *View, configurations, servers Feed, clock oleanderspool.Clock, logger *slog.Logger, options ...FollowerOption) *Follower {
	f := &Follower{
		view: view, clock: clock, logger: logger, wait: maxReadWait, serverInterval: defaultServerInterval,
		guard: observe.NewGuard(logger, observe.NewMetrics()), maxReadDelay: defaultMaxReadDelay,
		coordinator: noCoordinator{}, received: make(chan receivedUpdate, maxReceived), confirmations: make(chan Confirmation, maxReceived),
		configurations: feedState{name: "configuration", feed: configurations},
		servers:        feedState{name: "servers", feed: servers},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// RunConfigurations follows the configuration until ctx ends. A reply confirms the
// configuration as of the instant at which its read was sent, because this process
// may have been paused between the arrival of the reply and its handling. Two kinds
// of reply confirm nothing: the newest records of each key, which may be seconds
// old, and a reply that leaves out later records. A read that follows one of them or
// a failed read does not wait, so that it confirms at once.
func (f *Follower) RunConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		if f.guard.Run("configuration", func() { f.followConfigurations(ctx) }) {
			f.configurations.synced = false // records may have been applied in part
			clock.Sleep(ctx, retryInterval)
		}
	}
}

func (f *Follower) followConfigurations(ctx context.Context) {
	confirmed, failures := false, 0
	for ctx.Err() == nil {
		wait := f.readWait()
		if !confirmed {
			wait = 0
		} else if !f.coordinator.ReadsConfiguration() && f.awaitConfirmations(ctx) {
			wait = 0
		}
		sentAt, from, incremental := f.clock.Now(), f.configurations.next, f.configurations.synced
		batch, ok := f.read(ctx, &f.configurations, wait)
		confirmed = ok && incremental && !batch.More
		for _, c := range batch.Changes {
			f.configure(c)
		}
		if confirmed {
			// A reply without a record that came after the whole wait shows that there
			// was no new record until the end of the wait.
			if f.configurations.next == from && f.clock.Now()-sentAt >= wait {
				sentAt += wait
			}
			f.view.Confirm(sentAt)
			f.coordinator.ConfirmConfiguration(sentAt, f.configurations.next)
			failures = 0
		} else if !ok {
			clock.Sleep(ctx, f.retryDelay(failures, !f.coordinator.ReadsConfiguration()))
			failures++
		}
	}
}

// readWait returns how long a read waits for a new configuration.
func (f *Follower) readWait() oleanderspool.Millis {
	if f.coordinator.ServesConfirmations() {
		return min(f.wait, sharedReadWait)
	}
	return f.wait
}

// retryDelay returns the delay after a number of failed reads before this one. It
// grows only if others read for this entry.
func (f *Follower) retryDelay(failures int, grows bool) oleanderspool.Millis {
	if !grows {
		return retryInterval
	}
	return min(retryInterval<<min(failures, 8), maxRetryInterval)
}

// ReceiveConfirmation queues the confirmation of another entry. It does not block.
func (f *Follower) ReceiveConfirmation(c Confirmation) {
	select {
	case f.confirmations <- c:
	default:
	}
}

// awaitConfirmations applies the confirmations of other entries until this entry has
// to read the configuration itself: its confirmation is too old, there is a newer
// configuration, or other entries depend on it. It reports whether the read is to
// return at once.
func (f *Follower) awaitConfirmations(ctx context.Context) bool {
	maxAge := f.wait + rand.N(maxOwnReadDelay)
	for ctx.Err() == nil {
		if f.coordinator.ReadsConfiguration() {
			return false
		}
		left := maxAge - f.view.ConfirmationAge(f.clock.Now())
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left.Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case c := <-f.confirmations:
			if c.Next > f.configurations.next {
				timer.Stop()
				spacing := max(0, f.changeReadAt+changeReadInterval-f.clock.Now())
				clock.Sleep(ctx, spacing+rand.N(maxChangeReadDelay))
				f.changeReadAt = f.clock.Now()
				return true
			}
			if c.AskedAt > 0 {
				f.view.Confirm(c.AskedAt)
			}
		}
		timer.Stop()
	}
	return true
}

// RunServers follows the registry until ctx ends.
func (f *Follower) RunServers(ctx context.Context) {
	for ctx.Err() == nil {
		if f.guard.Run("registry", func() { f.followServers(ctx) }) {
			f.servers.synced = false // records may have been applied in part
			clock.Sleep(ctx, retryInterval)
		}
	}
}

func (f *Follower) followServers(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if f.readServers(ctx) {
			failures = 0
			f.awaitRead(ctx)
		} else {
			clock.Sleep(ctx, f.retryDelay(failures, f.coordinator.ReadDelay(f.maxReadDelay) > 0))
			failures++
		}
	}
}

// readServers reads the registry once, applies the changes and passes them on to
// the other entries. It reports whether the read succeeded.
func (f *Follower) readServers(ctx context.Context) bool {
	full, from, sentAt := !f.servers.synced, f.servers.next, f.clock.Now()
	batch, ok := f.read(ctx, &f.servers, 0)
	current := batch.Changes
	if f.inGrace() {
		current = slices.DeleteFunc(slices.Clone(current), func(c Change) bool { return c.Removed })
		f.expired = append(f.expired, slices.DeleteFunc(slices.Clone(batch.Changes), func(c Change) bool { return !c.Removed })...)
	}
	applied := f.register(current)
	if ok && full {
		f.removeUnlisted(batch.Changes)
	}
	f.removeExpired()
	// The newest records may be seconds old, so the records after them are read at
	// once, as are those that did not fit into a reply. A list that came during the
	// grace period may lack expired registrations and is read again after the interval.
	if ok && !batch.More && (!full || !f.servers.synced) {
		f.servers.lastReadAt = sentAt
	}
	if ok && !batch.More && !full {
		f.publish(from, applied, sentAt)
	}
	return ok
}

// awaitRead waits until this entry has to read the registry again, and applies the
// updates of other entries meanwhile. An update postpones the read.
func (f *Follower) awaitRead(ctx context.Context) {
	for ctx.Err() == nil {
		left := f.servers.lastReadAt + f.serverInterval + f.coordinator.ReadDelay(f.maxReadDelay) - f.clock.Now()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left.Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case u := <-f.received:
			f.apply(u)
		}
		timer.Stop()
	}
}

// inGrace reports whether the store recovered so recently that the registry may
// still lack servers that could not renew their registrations during the outage.
func (f *Follower) inGrace() bool {
	return f.servers.recoveredAt != 0 && f.clock.Now()-f.servers.recoveredAt < expiryGrace
}

// removeExpired applies the deferred removals once the grace period has ended. A
// server that registered again meanwhile has a newer record and stays.
func (f *Follower) removeExpired() {
	if f.inGrace() {
		return
	}
	f.register(f.expired)
	f.expired = nil
}

// removeUnlisted removes the servers that are missing from a complete list. During
// the grace period the list is read again instead.
func (f *Follower) removeUnlisted(list []Change) {
	if f.inGrace() {
		f.servers.synced = false
		return
	}
	listed := make(map[oleanderspool.InstanceID]bool, len(list))
	for _, c := range list {
		listed[c.Instance] = true
	}
	for _, id := range f.view.RemoveUnlisted(listed, f.servers.listEnd) {
		f.logger.Info("server removed", "instance", id, "cause", "not listed", "offset", f.servers.listEnd)
	}
}

// read reads the next changes of a feed. It reads the newest record of each key
// instead on the first read and after the records at its offset were deleted.
func (f *Follower) read(ctx context.Context, s *feedState, wait oleanderspool.Millis) (Batch, bool) {
	var batch Batch
	var err error
	if s.synced {
		batch, err = s.feed.Read(ctx, s.next, wait)
	} else {
		batch, err = s.feed.Newest(ctx)
	}
	now := f.clock.Now()
	if err != nil {
		if s.feed.Compacted(err) {
			f.logger.Info("records at offset deleted; reading the newest records", "feed", s.name, "offset", s.next)
			s.synced = false
		}
		if s.failingSince == 0 && ctx.Err() == nil {
			s.failingSince = now
			f.logger.Warn("store unreachable", "feed", s.name, "error", err.Error())
		}
		return Batch{}, false
	}
	if s.failingSince != 0 {
		f.logger.Info("store reachable again", "feed", s.name, "after_ms", int64(now-s.failingSince))
		s.failingSince, s.recoveredAt = 0, now
	}
	if !s.synced {
		s.listEnd = batch.Next
	}
	s.synced = true
	// A reply of Newest may be older than the records that were read before.
	s.next = max(s.next, batch.Next)
	return batch, true
}

func (f *Follower) configure(c Change) {
	if c.Err != nil {
		f.logger.Warn("cannot decode configuration", "offset", c.Offset, "error", c.Err.Error())
		return
	}
	if f.view.Configure(c.Configuration, c.Offset) {
		f.logger.Info("configuration in force", "version", c.Configuration.Version, "offset", c.Offset)
	}
}

// register applies records of the registry and returns those that change a server.
func (f *Follower) register(records []Change) []Change {
	var changes []Change
	for i, effect := range f.view.Register(records...) {
		if effect.Changed {
			changes = append(changes, records[i])
		}
		if effect.Notable || records[i].Err != nil {
			f.logRecord(records[i], effect)
		}
	}
	return changes
}

func (f *Follower) logRecord(c Change, effect Registered) {
	if c.Err != nil {
		f.logger.Debug("cannot decode server record", "instance", c.Instance, "offset", c.Offset, "error", c.Err.Error())
	}
	switch {
	case !effect.Notable:
	case c.Server == nil:
		f.logger.Info("server removed", "instance", c.Instance, "cause", "removed", "offset", c.Offset)
	case c.Server.Draining:
		f.logger.Info("server draining", "instance", c.Instance, "offset", c.Offset)
	default:
		f.logger.Info("server ready", "instance", c.Instance, "address", c.Server.Address, "service", c.Server.Service, "started", c.Server.Started, "offset", c.Offset)
	}
}
