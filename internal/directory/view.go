package directory

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
)

// Snapshot is the state of a [View] at one instant. It is immutable.
type Snapshot struct {
	Configuration *Configuration // nil before the first read
	servers       map[string][]Server
}

// Servers returns the usable servers of a service, ordered by instance. The
// result is not to be modified.
func (s *Snapshot) Servers(service string) []Server {
	return s.servers[service]
}

// View collects what is read of the configuration and the registry. Records
// may arrive out of order and repeatedly; an older one never replaces a newer
// one. It is safe for concurrent use.
type View struct {
	mu        sync.Mutex
	offset    oleanderspool.Offset // of the configuration in force
	entries   map[oleanderspool.InstanceID]registration
	snapshot  atomic.Pointer[Snapshot]
	confirmed atomic.Int64 // instant; 0 before the first read
	known     chan struct{}
	isKnown   bool
}

// registration is the newest record of a server.
type registration struct {
	offset oleanderspool.Offset
	server Server
	usable bool // false after a removal and for a record that cannot be read
}

// NewView returns a view that knows nothing.
func NewView() *View {
	v := &View{entries: make(map[oleanderspool.InstanceID]registration), known: make(chan struct{})}
	v.snapshot.Store(&Snapshot{servers: make(map[string][]Server)})
	return v
}

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot {
	return v.snapshot.Load()
}

// Ready returns a channel that is closed once a confirmed configuration and a
// server are known.
func (v *View) Ready() <-chan struct{} {
	return v.known
}

// noteKnown closes the channel of Known when it is time.
func (v *View) noteKnown() {
	if s := v.snapshot.Load(); !v.isKnown && s.Configuration != nil && v.confirmed.Load() != 0 && len(v.entries) > 0 {
		v.isKnown = true
		close(v.known)
	}
}

// Confirm notes that a read that was sent at the given instant was answered, so
// that the configuration in force contains everything up to it.
func (v *View) Confirm(sentAt oleanderspool.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmed.Store(max(v.confirmed.Load(), int64(sentAt)))
	v.noteKnown()
}

// ConfirmedAt returns the instant up to which the configuration is confirmed,
// or 0 when it never was.
func (v *View) ConfirmedAt() oleanderspool.Millis {
	return oleanderspool.Millis(v.confirmed.Load())
}

// ConfirmationAge returns the span since the instant up to which the configuration is
// confirmed. It exceeds every bound when it never was.
func (v *View) ConfirmationAge(now oleanderspool.Millis) oleanderspool.Millis {
	if at := v.ConfirmedAt(); at != 0 {
		return now - at
	}
	return math.MaxInt32
}

// Configure puts a configuration in force and reports whether it is newer than
// the one in force.
func (v *View) Configure(c *Configuration, offset oleanderspool.Offset) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.snapshot.Load()
	if old.Configuration != nil && (offset <= v.offset || c.Version <= old.Configuration.Version) {
		return false
	}
	v.offset = offset
	v.snapshot.Store(&Snapshot{Configuration: c, servers: old.servers})
	v.noteKnown()
	return true
}

// Register notes the newest record of a server. A nil server means that the
// record removes it or cannot be read. changed reports whether the record says
// anything new, and another whether the set of usable servers changed.
func (v *View) Register(instance oleanderspool.InstanceID, s *Server, offset oleanderspool.Offset) (changed, another bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.entries[instance]
	if known && offset <= old.offset {
		return false, false
	}
	r := registration{offset: offset}
	if s != nil {
		r.server, r.usable = *s, !s.Draining
	}
	v.entries[instance] = r
	if known && old.usable == r.usable && (!r.usable || old.server == r.server) {
		return false, false
	}
	v.publish()
	return true, !known || old.usable != r.usable || !old.server.SameRun(r.server)
}

// RemoveUnlisted removes the servers that a complete list no longer contains. end is the
// offset after the list's newest record; servers that were registered later
// stay. It returns the removed ones.
func (v *View) RemoveUnlisted(listed map[oleanderspool.InstanceID]bool, end oleanderspool.Offset) []oleanderspool.InstanceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var removed []oleanderspool.InstanceID
	for id, r := range v.entries {
		if listed[id] || r.offset >= end {
			continue
		}
		if r.usable {
			removed = append(removed, id)
		}
		delete(v.entries, id)
	}
	if len(removed) > 0 {
		v.publish()
	}
	return removed
}

func (v *View) publish() {
	servers := make(map[string][]Server)
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		if r := v.entries[id]; r.usable {
			servers[r.server.Service] = append(servers[r.server.Service], r.server)
		}
	}
	v.snapshot.Store(&Snapshot{Configuration: v.snapshot.Load().Configuration, servers: servers})
	v.noteKnown()
}
