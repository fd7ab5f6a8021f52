package directory

import "github.com/oleanderspool/oleanderspool"

// RegistryUpdate is what a read of the registry found, for entries that did not read.
type RegistryUpdate struct {
	From oleanderspool.Offset // first offset of the read
	Next oleanderspool.Offset // offset to read from next
	// Changes are the records that change a server. Their ColdUntil is the span left.
	Changes []Change
	Age     oleanderspool.Millis // span since the read was sent
}

// Coordinator connects the followers of several entries, so that one of them reads
// the registry for all.
type Coordinator interface {
	// Publish passes news on to the other entries. It does not block.
	Publish(n RegistryUpdate)
	// ReadDelay returns how long after the end of the interval this entry reads, so that
	// usually the first one reads alone.
	ReadDelay() oleanderspool.Millis
}

// alone is the sharing of an entry without others.
type alone struct{}

func (alone) Publish(RegistryUpdate) {}

func (alone) ReadDelay() oleanderspool.Millis { return 0 }

// maxNews bounds the changes that are passed on at once. After more, the others
// read themselves.
const maxNews = 20

// heardNews is news with the instant at which its read was sent.
type heardNews struct {
	RegistryUpdate
	sentAt oleanderspool.Millis
}

// Receive takes the news of another entry. It does not block; news beyond what can
// be kept is dropped, and the registry is read instead.
func (f *Follower) Receive(n RegistryUpdate) {
	select {
	case f.heard <- heardNews{RegistryUpdate: n, sentAt: f.clock.Now() - n.Age}:
	default:
	}
}

// take applies the news of another entry, unless records before it are missing or
// the registry is not known well enough.
func (f *Follower) take(n heardNews) {
	s := &f.servers
	if !s.known || f.inGrace() || len(f.lapsed) > 0 || s.lost != 0 || n.From > s.next {
		return
	}
	for _, c := range n.Changes {
		f.register(c.shifted(f.clock.Now()))
	}
	s.next = max(s.next, n.Next)
	s.freshAt = max(s.freshAt, n.sentAt)
}

// tell passes on what a read from an offset found. While servers may have lapsed,
// each entry reads for itself.
func (f *Follower) tell(from oleanderspool.Offset, changes []Change, sentAt oleanderspool.Millis) {
	if f.inGrace() || len(f.lapsed) > 0 || len(changes) > maxNews {
		return
	}
	now := f.clock.Now()
	for i, c := range changes {
		changes[i] = c.shifted(-now)
	}
	f.sharing.Publish(RegistryUpdate{From: from, Next: f.servers.next, Changes: changes, Age: now - sentAt})
}

// shifted returns a change with another origin of its instants.
func (c Change) shifted(span oleanderspool.Millis) Change {
	if c.Server == nil || c.Server.ColdUntil == 0 {
		return c
	}
	server := *c.Server
	server.ColdUntil = max(0, server.ColdUntil+span)
	c.Server = &server
	return c
}
