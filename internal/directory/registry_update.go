package directory

import "github.com/oleanderspool/oleanderspool"

// RegistryUpdate is the result of one entry's read of the registry, for the entries
// that did not read.
type RegistryUpdate struct {
	From oleanderspool.Offset // first offset of the read
	Next oleanderspool.Offset // offset to read from next
	// Changes are the records that change a server. Their ColdUntil is the remaining
	// duration instead of an instant, since entries have different clocks.
	Changes []Change
	Age     oleanderspool.Millis // time since the read was sent
}

// Coordinator connects the followers of several entries, so that usually one of
// them reads the registry on behalf of all.
type Coordinator interface {
	// Publish sends an update to the other entries. It does not block.
	Publish(u RegistryUpdate)
	// ReadDelay returns how long after the end of the read interval this entry reads.
	// The delays differ between entries, so that the others usually receive the update
	// of the first one before they would read.
	ReadDelay() oleanderspool.Millis
}

// noCoordinator is the coordinator of a single entry.
type noCoordinator struct{}

func (noCoordinator) Publish(RegistryUpdate) {}

func (noCoordinator) ReadDelay() oleanderspool.Millis { return 0 }

// maxUpdateChanges bounds the changes of one update. When a read finds more, the
// other entries read the registry themselves.
const maxUpdateChanges = 20

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
// before it are missing here, when this entry's copy of the registry is incomplete
// or its reads fail, and during the grace period after an outage.
func (f *Follower) apply(u receivedUpdate) {
	s := &f.servers
	if !s.synced || f.inGrace() || len(f.expired) > 0 || s.failingSince != 0 || u.From > s.next {
		return
	}
	for _, c := range u.Changes {
		f.register(c.shifted(f.clock.Now()))
	}
	s.next = max(s.next, u.Next)
	s.lastReadAt = max(s.lastReadAt, u.sentAt)
}

// publish sends the changes that a read from an offset found to the other entries.
// During the grace period, while registrations may have expired because of the
// outage, each entry reads for itself.
func (f *Follower) publish(from oleanderspool.Offset, changes []Change, sentAt oleanderspool.Millis) {
	if f.inGrace() || len(f.expired) > 0 || len(changes) > maxUpdateChanges {
		return
	}
	now := f.clock.Now()
	for i, c := range changes {
		changes[i] = c.shifted(-now)
	}
	f.coordinator.Publish(RegistryUpdate{From: from, Next: f.servers.next, Changes: changes, Age: now - sentAt})
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
