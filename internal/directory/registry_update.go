package directory

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// RegistryUpdate is the result of one entry's read of the registry, for the entries
// that did not read.
type RegistryUpdate struct {
	From oleanderspool.Offset // first offset of the read
	Next oleanderspool.Offset // offset to read from next
	// Changes are the records that change a server. Their ColdUntil is the remaining
	// duration instead of an instant, since entries have different clocks.
	Changes []Change
	Age     oleanderspool.Millis // time since the read was sent
	// Reachable is for how long, up to the read, no registration can have expired because
	// the servers could not reach the store; 0 if unknown.
	Reachable oleanderspool.Millis
}

// Confirmation is what another entry's reads of the configuration say about this
// entry's copy: if it has all records before Next, it is confirmed as of AskedAt.
type Confirmation struct {
	AskedAt oleanderspool.Millis // on the clock of this entry; 0 for none
	Next    oleanderspool.Offset
}

// Coordinator connects the followers of several entries, so that usually one of
// them reads the registry on behalf of all, and a few read the configuration.
type Coordinator interface {
	// Publish sends an update to the other entries. It does not block.
	Publish(u RegistryUpdate)
	// ReadDelay returns how long after the end of the read interval this entry reads,
	// up to the given limit. The delays differ between entries, so that the others
	// usually receive the update of the first one before they would read.
	ReadDelay(limit oleanderspool.Millis) oleanderspool.Millis
	// ReadsConfiguration reports whether this entry reads the configuration all the
	// time. Others read it when no other entry confirms it to them.
	ReadsConfiguration() bool
	// ServesConfirmations reports whether other entries depend on the confirmations of
	// this one.
	ServesConfirmations() bool
	// ConfirmConfiguration confirms to them the configuration before the offset next as
	// of an instant. It does not block.
	ConfirmConfiguration(at oleanderspool.Millis, next oleanderspool.Offset)
}

// noCoordinator is the coordinator of a single entry.
type noCoordinator struct{}

func (noCoordinator) Publish(RegistryUpdate) {}

func (noCoordinator) ReadDelay(oleanderspool.Millis) oleanderspool.Millis { return 0 }

func (noCoordinator) ReadsConfiguration() bool { return true }

func (noCoordinator) ServesConfirmations() bool { return false }

func (noCoordinator) ConfirmConfiguration(oleanderspool.Millis, oleanderspool.Offset) {}

const (
	// maxUpdateChanges is the number of changes in one update, so that it fits into a
	// datagram.
	maxUpdateChanges = 40
	// maxPublishedChanges is the number of changes of one read that are sent to the
	// other entries. When there are more, they read the registry themselves.
	maxPublishedChanges = 10 * maxUpdateChanges
)

// receivedUpdate is an update of another entry with the local instant at which its
// read was sent.
type receivedUpdate struct {
	RegistryUpdate
	sentAt oleanderspool.Millis
}

// Receive queues the update of another entry. It does not block. If the queue is
// full, the update is dropped and the registry is read instead.
func (f *Follower) Receive(u RegistryUpdate) {
	select {
	case f.received <- receivedUpdate{RegistryUpdate: u, sentAt: f.clock.Now() - u.Age}:
	default:
	}
}

// apply applies the update of another entry. It ignores the update when records
// before it are missing here, when this entry's copy of the registry is incomplete, and
// during the grace period after an outage, unless the update shows that the store was
// out of reach of this entry only.
func (f *Follower) apply(u receivedUpdate) {
	s := &f.servers
	if !s.synced || u.From > s.next || u.Next.Era() != s.next.Era() {
		return
	}
	if f.inGrace() && u.sentAt-u.Reachable <= f.recovery.lastReadAt {
		f.logger.Info("store was reachable for another entry", "reachable_ms", int64(u.Reachable), "since_ms", int64(f.clock.Now()-f.recovery.lastReadAt))
		f.endGrace()
	}
	if now := f.clock.Now(); f.defersRemovals(now) || now < f.differsUntil {
		return
	}
	changes := make([]Change, len(u.Changes))
	for i, c := range u.Changes {
		changes[i] = c.shifted(f.clock.Now())
	}
	f.register(changes)
	s.next = max(s.next, u.Next)
	s.lastReadAt = max(s.lastReadAt, u.sentAt)
	f.view.ServersRead(s.lastReadAt)
}

// publish sends the changes that a read from an offset found to the other entries,
// in updates that follow one another: one is not applied when those before it are
// missing. During the grace period, while registrations may have expired because of the
// outage, each entry reads for itself.
func (f *Follower) publish(from oleanderspool.Offset, changes []Change, sentAt oleanderspool.Millis) {
	now := f.clock.Now()
	if f.defersRemovals(now) || now < f.differsUntil || len(changes) > maxPublishedChanges {
		return
	}
	update := func(from, next oleanderspool.Offset, changes []Change, age oleanderspool.Millis) RegistryUpdate {
		return RegistryUpdate{From: from, Next: next, Changes: changes, Age: age, Reachable: max(0, now-age-f.reachableSince)}
	}
	for i, c := range changes {
		changes[i] = c.shifted(-now)
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Offset, y.Offset) })
	for len(changes) > maxUpdateChanges {
		part := changes[:maxUpdateChanges]
		next := part[maxUpdateChanges-1].Offset + 1
		// Only the last update is as new as the read.
		f.coordinator.Publish(update(from, next, part, f.budget.ServerInterval+now-sentAt))
		from, changes = next, changes[maxUpdateChanges:]
	}
	f.coordinator.Publish(update(from, f.servers.next, changes, now-sentAt))
}

// shifted returns the change with its ColdUntil moved by delta, but not below 0.
// This converts the instant to a remaining duration and back.
func (c Change) shifted(delta oleanderspool.Millis) Change {
	if c.Server == nil || c.Server.ColdUntil == 0 {
		return c
	}
	server := *c.Server
	server.ColdUntil = max(0, server.ColdUntil+delta)
	c.Server = &server
	return c
}
