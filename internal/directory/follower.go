package directory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

// Change is one decoded record of a feed.
type Change struct {
	Offset        oleanderspool.Offset
	Configuration *Configuration // of the operator's feed; nil for another record and when it cannot be decoded
	// Evacuation is, in the operator's feed, the data centre that the record evacuates,
	// or whose evacuation it ends if Removed is set; empty for another record.
	Evacuation oleanderspool.DataCentreID
	Instance   oleanderspool.InstanceID // of a server feed
	Server     *Server                  // nil when it was removed or cannot be decoded
	Removed    bool
	Err        error // why the record, or the value of an evacuation, cannot be decoded
}

// Batch is the reply to a read of a feed.
type Batch struct {
	Changes []Change
	Next    oleanderspool.Offset // to read from next
	// More reports that the feed already had later changes that did not fit into the
	// reply. Of a part of the newest changes it says that there are further parts.
	More bool
	// After is, in a part of the newest changes, the key after which the next part begins.
	After string
	// Restored says of a list that it is the first one of a store that was restored from
	// an older copy. The follower sets it.
	Restored bool
}

// Feed reads a sequence of changes.
type Feed interface {
	// Newest returns a part of the newest changes of each key: those of the keys after
	// a key, or of the first ones if it is empty. Next of the first part is the offset
	// to read from next; some changes of any part may be newer.
	Newest(ctx context.Context, after string) (Batch, error)
	// Read returns the changes from an offset on. If there is none, it waits for one
	// up to the given duration.
	Read(ctx context.Context, from oleanderspool.Offset, wait oleanderspool.Millis) (Batch, error)
	// Compacted reports whether a read failed because the records at its offset were
	// deleted.
	Compacted(err error) bool
}

const (
	// renewalFraction is the fraction of the lifetime of a confirmation after which
	// it is renewed. The rest covers a call that gets no answer and its retry at a
	// slow store.
	renewalFraction = 0.55
	// retryInterval is the delay between reads that fail.
	retryInterval = 250 * oleanderspool.Millis(1)
	// maxRetryInterval bounds the delay for an entry that others read for: it doubles
	// with each failure, so that a fleet does not load a store in trouble.
	maxRetryInterval = oleanderspool.Second
	// maxOwnReadDelay bounds the random delay after which an entry that gets no
	// confirmation from others reads the configuration itself.
	maxOwnReadDelay = 300 * oleanderspool.Millis(1)
	// maxChangeReadDelay bounds the random delay after which an entry reads a
	// configuration that another one has announced. It spreads the load on the store.
	maxChangeReadDelay = 150 * oleanderspool.Millis(1)
	// minListRetryDelay and maxListRetryDelay bound the delay after a part of the list of
	// servers that could not be read: it doubles with each failure. Half of it is random,
	// since the entries of a fleet that starts fail at the same time.
	minListRetryDelay = 50 * oleanderspool.Millis(1)
	maxListRetryDelay = 800 * oleanderspool.Millis(1)
)

// Follower keeps a view up to date from a configuration feed and a server feed.
type Follower struct {
	view   *View
	clock  oleanderspool.Clock
	logger *slog.Logger

	budget         Budget
	renewal        oleanderspool.Millis // time after which a confirmation is renewed; 0 if it does not expire
	heartbeat      oleanderspool.Millis // interval at which servers renew their registrations
	configurations feedState
	servers        feedState
	list           *serverList // the list of servers that is being read; nil for none
	// listedEnd is the offset after the newest record of the lists that were read.
	listedEnd oleanderspool.Offset
	recovery  *recovery // from an outage by which registrations may have expired; nil for none
	// reachableSince is the instant from which on no registration can have expired because
	// the store was out of reach of the servers; 0 before the first reply.
	reachableSince oleanderspool.Millis
	expired        []Change // removals that are deferred to the end of the grace period
	// unlisted is the last complete list, until the servers that it lacks are removed.
	unlisted *serverList
	// keepsLostUntil is the instant at which the servers that only a store of an earlier era had
	// are removed; 0 before the first restore.
	keepsLostUntil oleanderspool.Millis
	// differsUntil is the instant up to which entries may know different servers after a
	// restore, so that no updates are exchanged; 0 before the first restore.
	differsUntil  oleanderspool.Millis
	coordinator   Coordinator
	received      chan receivedUpdate
	confirmations chan Confirmation
	changeReadAt  oleanderspool.Millis // last read of an announced configuration
	guard         *observe.Guard
	metrics       *observe.Metrics
	onRestore     func() // called when the store has been restored
}

// FollowerOption configures a [Follower].
type FollowerOption func(*Follower)

// WithBudget sets when and how long the follower reads.
func WithBudget(b Budget) FollowerOption {
	return func(f *Follower) { f.budget = b }
}

// WithHeartbeat sets the interval at which servers renew their registrations.
func WithHeartbeat(interval oleanderspool.Millis) FollowerOption {
	return func(f *Follower) { f.heartbeat = interval }
}

// WithConfirmationTTL sets how long a confirmation of the configuration is valid; 0
// means that it does not expire.
func WithConfirmationTTL(ttl oleanderspool.Millis) FollowerOption {
	return func(f *Follower) {
		if ttl > 0 {
			f.renewal = part(ttl, renewalFraction)
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

// WithMetrics sets the metrics.
func WithMetrics(metrics *observe.Metrics) FollowerOption {
	return func(f *Follower) { f.metrics = metrics }
}

// WithOnRestore sets a function that is called when the store has come back from an older
// copy. It must not block.
func WithOnRestore(onRestore func()) FollowerOption {
	return func(f *Follower) { f.onRestore = onRestore }
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
	// timeoutsOnly says that all failed reads since then got no answer in time.
	timeoutsOnly bool
	listEnd      oleanderspool.Offset // Next of the last reply of Newest, which may be seconds old
	lastReadAt   oleanderspool.Millis // instant at which the last successful read was sent, by this or another entry
	answeredAt   oleanderspool.Millis // instant at which the last read that the store answered was sent
	// recoveredAt is the instant of the first answer after the last failures, and
	// answeredUntil that of the last answer before the outage that they were part of.
	recoveredAt, answeredUntil oleanderspool.Millis
	// listAgainAt is the instant at which the list of a restored store is read again; 0 for
	// never.
	listAgainAt oleanderspool.Millis
}

// NewFollower returns a follower that updates view from the two feeds once
// [Follower.RunConfigurations] and [Follower.RunServers] run.
func NewFollower(view *View, configurations, servers Feed, clock oleanderspool.Clock, logger *slog.Logger, options ...FollowerOption) *Follower {
	budget, _ := NewBudget(0, 0) // no delay is too short
	metrics := observe.NewMetrics()
	f := &Follower{
		view: view, clock: clock, logger: logger, budget: budget, heartbeat: defaultHeartbeat,
		guard:       observe.NewGuard(logger, metrics),
		metrics:     metrics,
		onRestore:   func() {},
		coordinator: noCoordinator{}, received: make(chan receivedUpdate, maxReceived), confirmations: make(chan Confirmation, maxReceived),
		configurations: feedState{name: "configuration", feed: configurations},
		servers:        feedState{name: "servers", feed: servers},
	}
	for _, o := range options {
		o(f)
	}
	if f.renewal > 0 {
		f.budget.ReadWait = min(f.budget.ReadWait, f.renewal)
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
	confirmed, changed, failures := false, false, 0
	for ctx.Err() == nil {
		if at := f.configurations.listAgainAt; at > 0 && f.clock.Now() >= at {
			f.configurations.listAgainAt, f.configurations.synced = 0, false
		}
		wait := f.readWait()
		if changed {
			// The reply confirmed the instant at which its read was sent.
			wait = max(0, wait-f.view.ConfirmationAge(f.clock.Now()))
		}
		if !confirmed {
			wait = 0
		} else if !f.coordinator.ReadsConfiguration() && f.awaitConfirmations(ctx) {
			wait = 0
		}
		sentAt, from, incremental := f.clock.Now(), f.configurations.next, f.configurations.synced
		wasFailing := f.configurations.failingSince != 0
		batch, ok := f.read(ctx, &f.configurations, wait)
		confirmed, changed = ok && incremental && !batch.More, len(batch.Changes) > 0
		f.configure(batch, ok && !incremental)
		if wasFailing && f.configurations.failingSince == 0 {
			failures = 0
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
			f.awaitRetry(ctx, sentAt, f.retryDelay(failures, !f.coordinator.ReadsConfiguration()))
			failures++
		}
	}
}

// readWait returns how long a read waits for a new configuration.
func (f *Follower) readWait() oleanderspool.Millis {
	if f.coordinator.ServesConfirmations() {
		return min(f.budget.ReadWait, f.budget.SharedReadWait)
	}
	return f.budget.ReadWait
}

// retryDelay returns the time between the start of a failed read and the next one, after a
// number of failed reads before it. The first retry is immediate, since a connection may
// have gone silent while new ones work. Later delays grow only if others read for this
// entry.
func (f *Follower) retryDelay(failures int, grows bool) oleanderspool.Millis {
	if failures == 0 {
		return 0
	}
	if !grows {
		return retryInterval
	}
	return min(retryInterval<<min(failures-1, 8), maxRetryInterval)
}

// awaitRetry waits until a delay since the start of a failed read has passed. A read that
// timed out has loaded the store no more than one that was refused at once, and its timeout
// already delays the next one.
func (f *Follower) awaitRetry(ctx context.Context, sentAt, delay oleanderspool.Millis) {
	clock.Sleep(ctx, max(0, sentAt+delay-f.clock.Now()))
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
	maxAge := f.budget.ReadWait + rand.N(maxOwnReadDelay)
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
				spacing := max(0, f.changeReadAt+f.budget.ChangeReadInterval-f.clock.Now())
				clock.Sleep(ctx, spacing+rand.N(maxChangeReadDelay))
				f.changeReadAt = f.clock.Now()
				return true
			}
			if c.AskedAt > 0 && c.Next.Era() == f.configurations.next.Era() {
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
			f.servers.synced, f.list = false, nil // records may have been applied in part
			clock.Sleep(ctx, retryInterval)
		}
	}
}

func (f *Follower) followServers(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		f.applyReceived()
		var ok bool
		now, wasFailing := f.clock.Now(), f.servers.failingSince != 0
		if f.awaitsStore() && !f.probe(ctx) {
			continue // its timeout has passed
		}
		switch {
		case f.servers.synced:
			ok = f.readServers(ctx)
		case f.list.readsChanges(now, f.budget.ServerInterval):
			ok = f.readListChanges(ctx)
		default:
			ok = f.readListPart(ctx)
		}
		if wasFailing && f.servers.failingSince == 0 {
			failures = 0
		}
		switch {
		case !ok && f.servers.synced:
			f.awaitRetry(ctx, now, f.retryDelay(failures, f.coordinator.ReadDelay(f.budget.ReadDelay) > 0))
			failures++
		case !ok:
			clock.Sleep(ctx, listRetryDelay(failures))
			failures++
		default:
			failures = 0
			// The other parts of a list, and the records after it, are read at once.
			if f.list == nil {
				f.awaitRead(ctx)
			}
		}
	}
}

// listRetryDelay returns the delay after a number of failed reads before this one while
// the list of servers is incomplete.
func listRetryDelay(failures int) oleanderspool.Millis {
	d := min(minListRetryDelay<<min(failures, 8), maxListRetryDelay)
	return d/2 + rand.N(d/2)
}

// readServers reads the registry once, applies the changes and passes them on to
// the other entries. It reports whether the read succeeded.
func (f *Follower) readServers(ctx context.Context) bool {
	from, sentAt := f.servers.next, f.clock.Now()
	batch, ok := f.read(ctx, &f.servers, 0)
	if !ok {
		return false // the store may be out of reach of the servers again
	}
	deferred := f.defersRemovals(sentAt)
	applied := f.applyRead(batch, sentAt)
	if batch.More {
		return true
	}
	f.servers.lastReadAt = sentAt
	f.view.ServersRead(sentAt)
	// The list may contain later records. They change nothing here and would be missing
	// in the update. So would removals that are deferred while the grace period ends.
	if from >= f.listedEnd && !deferred {
		f.publish(from, applied, sentAt)
	}
	return true
}

// applyRead applies the records of a read that was sent at an instant and returns those
// that change a server. During the grace period removals are deferred.
func (f *Follower) applyRead(batch Batch, sentAt oleanderspool.Millis) []Change {
	if f.recovery != nil {
		f.recovery.count(batch.Changes)
		if !batch.More {
			f.assessOutage()
		}
	}
	current := batch.Changes
	if f.recovery.graceLeft(sentAt) > 0 {
		removed := func(c Change) bool { return c.Removed }
		current = slices.DeleteFunc(slices.Clone(batch.Changes), removed)
		f.expired = append(f.expired, slices.DeleteFunc(slices.Clone(batch.Changes), func(c Change) bool { return !removed(c) })...)
	}
	applied := f.register(current)
	if !batch.More {
		f.removeExpired(sentAt)
	}
	return applied
}

// assessOutage ends the grace period if the servers renewed their registrations while
// the store did not answer this entry. The reply may have the records up to now, however
// long ago its read was sent.
func (f *Follower) assessOutage() {
	if len(f.recovery.renewals) == 0 {
		return
	}
	now := f.clock.Now()
	unrenewed := f.recovery.unrenewed(now, f.heartbeat)
	defers := f.recovery.defersRemovals(unrenewed, f.heartbeat)
	f.logger.Info("renewals by servers assessed", "since_ms", int64(now-f.recovery.lastReadAt), "unrenewed_ms", int64(unrenewed),
		"servers", len(f.recovery.renewals), "removed", len(f.recovery.removed), "defers_removals", defers)
	f.recovery.ignoreRecords()
	if !defers {
		f.endGrace()
	}
}

// endGrace ends the grace period: the servers reached the store all the time.
func (f *Follower) endGrace() {
	f.reachableSince = f.recovery.reachableSince
	f.recovery = nil
	f.removeExpired(f.clock.Now())
}

// awaitRead waits until this entry has to read the registry again, and applies the
// updates of other entries. An update postpones the read.
func (f *Follower) awaitRead(ctx context.Context) {
	for ctx.Err() == nil {
		at := f.servers.lastReadAt + f.budget.ServerInterval + f.coordinator.ReadDelay(f.budget.ReadDelay)
		if due, deferred := f.removalsDueAt(); deferred {
			at = min(at, due)
		}
		left := at - f.clock.Now()
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

// applyReceived applies the updates of other entries that arrived during a read.
func (f *Follower) applyReceived() {
	for {
		select {
		case u := <-f.received:
			f.apply(u)
		default:
			return
		}
	}
}

// inGrace reports whether the store recovered so recently that the registry may
// still lack servers that could not renew their registrations during the outage.
func (f *Follower) inGrace() bool {
	return f.recovery.graceLeft(f.clock.Now()) > 0
}

// removalsDueAt returns the instant at which the registry has to be read to apply deferred
// removals, and whether there are any.
func (f *Follower) removalsDueAt() (oleanderspool.Millis, bool) {
	graceEnd := oleanderspool.Millis(0)
	if f.recovery != nil {
		graceEnd = f.recovery.startedAt + expiryGrace
	}
	if len(f.expired) > 0 || f.unlisted != nil && !f.unlisted.applied {
		return graceEnd, true
	}
	return f.keepsLostUntil, f.unlisted != nil
}

// removeExpired applies the deferred removals if a read that was sent at an instant, with
// all records up to then applied, was sent after the end of the grace period. A server that
// registered again before the read has a newer record and stays.
func (f *Follower) removeExpired(sentAt oleanderspool.Millis) {
	if f.recovery.graceLeft(sentAt) > 0 {
		return
	}
	f.recovery = nil
	f.register(f.expired)
	f.expired = nil
	if f.unlisted != nil {
		f.removeUnlisted(sentAt)
	}
}

// removeUnlisted removes the servers that the last list lacks. Those that are known from an
// earlier era only are kept until keepsLostUntil.
func (f *Follower) removeUnlisted(sentAt oleanderspool.Millis) {
	l, since := f.unlisted, oleanderspool.Offset(0)
	if sentAt < f.keepsLostUntil {
		since = oleanderspool.OffsetOf(l.end.Era(), 0)
	} else {
		f.unlisted = nil
	}
	for _, id := range f.view.RemoveUnlisted(l.listed, since, l.end, f.clock.Now()) {
		f.logger.Info("server removed", "instance", id, "cause", "not listed", "offset", l.end)
	}
	l.applied = true
}

// defersRemovals reports whether this entry keeps, as of an instant, servers that others may
// have removed.
func (f *Follower) defersRemovals(at oleanderspool.Millis) bool {
	return f.recovery.graceLeft(at) > 0 || len(f.expired) > 0 || f.unlisted != nil
}

// read reads the next changes of a feed. It reads the newest record of each key
// instead on the first read and after the records at its offset were deleted.
func (f *Follower) read(ctx context.Context, s *feedState, wait oleanderspool.Millis) (Batch, bool) {
	var batch Batch
	var err error
	sentAt := f.clock.Now()
	if s.synced {
		batch, err = s.feed.Read(ctx, s.next, wait)
	} else {
		batch, err = readNewest(ctx, s.feed)
	}
	if !f.recordReply(ctx, s, sentAt, err) {
		return Batch{}, false
	}
	if !s.synced {
		s.listEnd = batch.Next
		if batch.Restored = s.restores(batch.Next); batch.Restored {
			f.restored(s, batch.Next)
			f.onRestore()
			s.listAgainAt = f.clock.Now() + restoreSettle
		}
	}
	s.synced = true
	// A reply of Newest may be older than the records that were read before.
	s.next = max(s.next, batch.Next)
	return batch, true
}

// maxNewestParts bounds the parts of the newest changes of the operator's feed, which
// usually has one.
const maxNewestParts = 1000

// readNewest reads all parts of the newest changes of a feed.
func readNewest(ctx context.Context, feed Feed) (Batch, error) {
	all, err := feed.Newest(ctx, "")
	for parts := 1; err == nil && all.More; parts++ {
		if parts == maxNewestParts {
			return Batch{}, oleanderspool.ErrUnavailable.New("the newest records have no end after %d parts", parts)
		}
		var part Batch
		part, err = feed.Newest(ctx, all.After)
		if err == nil && part.Next.Era() != all.Next.Era() {
			return Batch{}, errPartsOfEras
		}
		all.Changes = append(all.Changes, part.Changes...)
		all.More, all.After = part.More, part.After
	}
	return all, err
}

// recordReply records the outcome of a read of a feed that was sent at an instant, and
// reports whether it succeeded. A read whose records were deleted has failed, but the store
// has answered it.
func (f *Follower) recordReply(ctx context.Context, s *feedState, sentAt oleanderspool.Millis, err error) bool {
	deleted := err != nil && s.feed.Compacted(err)
	if err != nil && !deleted {
		f.recordFailure(ctx, s, err)
		return false
	}
	if deleted {
		f.logger.Info("records at offset deleted; reading the newest records", "feed", s.name, "offset", s.next)
		s.synced = false
		if s == &f.servers {
			f.recovery.ignoreRecords()
		}
	}
	f.recordAnswer(s, sentAt)
	return !deleted
}

// recordFailure records that the store did not answer a read of a feed.
func (f *Follower) recordFailure(ctx context.Context, s *feedState, err error) {
	timeout := errorx.IsOfType(err, oleanderspool.ErrTimeout)
	s.timeoutsOnly = timeout && (s.timeoutsOnly || s.failingSince == 0)
	if s.failingSince == 0 && ctx.Err() == nil {
		s.failingSince = f.clock.Now()
		f.logger.Warn("store unreachable", "feed", s.name, "error", err.Error())
	}
}

// recordAnswer records that the store answered a read of a feed that was sent at an instant.
func (f *Follower) recordAnswer(s *feedState, sentAt oleanderspool.Millis) {
	now := f.clock.Now()
	lastAnswer := s.lastAnswer()
	s.answeredAt = sentAt
	if s.failingSince != 0 {
		f.logger.Info("store reachable again", "feed", s.name, "after_ms", int64(now-s.failingSince), "last_answer_ms", int64(now-lastAnswer))
		since := s.endFailures(now, lastAnswer, f.heartbeat)
		switch {
		case s != &f.servers:
		case s.mayHaveExpired(now-since, f.heartbeat):
			f.beginGrace(now, since, "failed reads")
		default:
			f.recovery.extend(now, now-since)
		}
	}
	if s == &f.servers && f.reachableSince == 0 {
		f.reachableSince = now
	}
}

// beginGrace begins a grace period at the first answer after an outage, or extends the one
// of an earlier outage: the removals that it defers are not explained by the later one. The
// outage may have begun at the instant since.
func (f *Follower) beginGrace(now, since oleanderspool.Millis, cause string) {
	f.logger.Info("removals of servers deferred", "cause", cause, "for_ms", int64(expiryGrace), "since_ms", int64(now-since))
	if f.recovery != nil {
		f.recovery.startedAt = now
		return
	}
	f.recovery = newRecovery(now, min(since, f.servers.lastReadAt), f.view.UsableInstances())
	f.recovery.reachableSince, f.reachableSince = f.reachableSince, now
	if !f.servers.synced || since < f.servers.lastReadAt {
		// A list has the newest record of each server only, and records from before the last
		// read are not counted.
		f.recovery.ignoreRecords()
	}
}

// configure applies the records of a reply of the operator's feed; complete says that they
// are the newest of each key.
func (f *Follower) configure(batch Batch, complete bool) {
	for _, c := range batch.Changes {
		switch {
		case c.Err == nil:
		case c.Evacuation != "":
			f.logger.Warn("unexpected value of an evacuation", "data_centre", c.Evacuation, "offset", c.Offset, "error", c.Err.Error())
		default:
			f.logger.Warn("cannot decode configuration", "offset", c.Offset, "error", c.Err.Error())
		}
	}
	switch {
	case !complete:
		f.logConfigured(f.view.Configure(batch.Changes...), "removed")
	case batch.Restored:
		f.logConfigured(f.view.ConfigureRestored(batch.Changes), "removed")
	default:
		f.logConfigured(f.view.ConfigureFromList(batch.Changes, f.configurations.listEnd), "not listed")
	}
}

// logConfigured logs and counts the changes that took effect. endCause says why
// evacuations ended.
func (f *Follower) logConfigured(applied []Change, endCause string) {
	for _, c := range applied {
		switch {
		case c.Configuration != nil:
			f.logger.Info("configuration in force", "version", c.Configuration.Version, "offset", c.Offset)
		case c.Removed:
			f.metrics.StateChanged("evacuation_ended")
			f.logger.Info("evacuation ended", "data_centre", c.Evacuation, "cause", endCause, "offset", c.Offset, "servers", f.view.UsableServers(c.Evacuation))
		default:
			f.metrics.StateChanged("data_centre_evacuated")
			f.logger.Info("data centre evacuated", "data_centre", c.Evacuation, "offset", c.Offset, "servers", f.view.UsableServers(c.Evacuation))
		}
	}
}

// register applies records of the registry and returns those that change a server.
func (f *Follower) register(records []Change) []Change {
	return f.registered(records, f.view.Register(records...))
}

// registered logs the effects of records and returns those that change a server here, or
// that make it unusable, since another entry may still use it.
func (f *Follower) registered(records []Change, effects []Registered) []Change {
	var changes []Change
	for i, effect := range effects {
		if effect.Changed || records[i].Server == nil || records[i].Server.Draining {
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
	case effect.TurnedCold:
		f.logger.Info("server cold", "instance", c.Instance, "started", c.Server.Started, "cold_ms", int64(c.Server.ColdUntil-f.clock.Now()), "cause", "registry", "offset", c.Offset)
	case !effect.Notable:
	case c.Server == nil:
		f.logger.Info("server removed", "instance", c.Instance, "cause", "removed", "offset", c.Offset)
	case c.Server.Draining:
		f.logger.Info("server draining", "instance", c.Instance, "offset", c.Offset)
	default:
		f.logger.Info("server ready", "instance", c.Instance, "address", c.Server.Address, "service", c.Server.Service, "started", c.Server.Started,
			"cold_ms", int64(max(0, c.Server.ColdUntil-f.clock.Now())), "offset", c.Offset)
	}
}
