package directory

import (
	"cmp"
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
	evacuated     []oleanderspool.DataCentreID // ordered by name
	// withheld is the number of usable servers of each service that are in evacuated
	// data centres.
	withheld map[string]int
	// serverLimit bounds the number of registered servers from above while the first list
	// of them is incomplete; 0 otherwise.
	serverLimit int
}

// Servers returns the usable servers of a service outside evacuated data centres,
// ordered by instance. The result must not be modified.
func (s *Snapshot) Servers(service string) []Server {
	return s.servers[service]
}

// maxServers is the number of servers of the largest deployment that the design covers.
const maxServers = 12_000

// ServerCount returns the number of usable servers of all services, also in evacuated data
// centres. While the first list of servers is incomplete, it returns an upper bound: the
// slow-start limit must not assume a smaller fleet than entries with a complete list.
func (s *Snapshot) ServerCount() int {
	n := 0
	for _, servers := range s.servers {
		n += len(servers)
	}
	for _, withheld := range s.withheld {
		n += withheld
	}
	return max(n, s.serverLimit)
}

// IsIncomplete reports whether the first list of servers has been read only in part.
func (s *Snapshot) IsIncomplete() bool {
	return s.serverLimit > 0
}

// Evacuated returns the evacuated data centres, ordered by name. The result must not be
// modified.
func (s *Snapshot) Evacuated() []oleanderspool.DataCentreID {
	return s.evacuated
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *Snapshot) IsEvacuated(dc oleanderspool.DataCentreID) bool {
	return slices.Contains(s.evacuated, dc)
}

// AllEvacuated reports whether a service has usable servers, all of them in evacuated
// data centres.
func (s *Snapshot) AllEvacuated(service string) bool {
	return len(s.servers[service]) == 0 && s.withheld[service] > 0
}

// View merges the records of the operator (configuration and evacuations) and of the
// registry. Records may arrive out of order and more than once; an older one never
// replaces a newer one. It is safe for concurrent use.
type View struct {
	mu          sync.Mutex
	offset      oleanderspool.Offset // of the current configuration
	evacuations evacuations
	records     map[oleanderspool.InstanceID]registration
	serverLimit int  // see [Snapshot]
	hadList     bool // a complete list of servers was read
	snapshot    atomic.Pointer[Snapshot]
	confirmed   atomic.Int64 // instant; 0 before the first read
	readAt      atomic.Int64 // of the registry; instant, 0 before the first read
	ready       chan struct{}
	isReady     bool
}

// registration is the newest record of a server.
type registration struct {
	// unlistedSince is the instant from which on lists have lacked the server; 0 for never.
	unlistedSince oleanderspool.Millis
	offset        oleanderspool.Offset
	server        Server // the last one that was known; zero for none
	usable        bool   // false when draining, after a removal and for a record that cannot be decoded
}

// NewView returns a view without a configuration and servers.
func NewView() *View {
	v := &View{records: make(map[oleanderspool.InstanceID]registration), ready: make(chan struct{})}
	v.evacuations.records = make(map[oleanderspool.DataCentreID]evacuation)
	v.snapshot.Store(&Snapshot{servers: make(map[string][]Server)})
	return v
}

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot {
	return v.snapshot.Load()
}

// Ready returns a channel that is closed once a configuration and a record of a
// server have been received and the configuration was confirmed.
func (v *View) Ready() <-chan struct{} {
	return v.ready
}

// closeIfReady closes the channel of [View.Ready] once its conditions hold.
func (v *View) closeIfReady() {
	if s := v.snapshot.Load(); !v.isReady && s.Configuration != nil && v.confirmed.Load() != 0 && len(v.records) > 0 {
		v.isReady = true
		close(v.ready)
	}
}

// Confirm records that a read of the configuration that was sent at an instant was
// answered, so that the current configuration contains all changes up to that
// instant.
func (v *View) Confirm(sentAt oleanderspool.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmed.Store(max(v.confirmed.Load(), int64(sentAt)))
	v.closeIfReady()
}

// ConfirmedAt returns the instant up to which the configuration is confirmed, or 0
// if it never was.
func (v *View) ConfirmedAt() oleanderspool.Millis {
	return oleanderspool.Millis(v.confirmed.Load())
}

// ConfirmationAge returns the time since the instant up to which the configuration
// is confirmed. If it never was, the age exceeds every limit that callers apply.
func (v *View) ConfirmationAge(now oleanderspool.Millis) oleanderspool.Millis {
	if at := v.ConfirmedAt(); at != 0 {
		return now - at
	}
	return math.MaxInt32
}

// ServersRead records that a read of the registry that was sent at an instant, by this
// or another entry, was answered and applied.
func (v *View) ServersRead(sentAt oleanderspool.Millis) {
	v.readAt.Store(int64(sentAt))
}

// ServersAge returns the time since the last read of the registry that was answered. If
// there was none, the age exceeds every limit that callers apply.
func (v *View) ServersAge(now oleanderspool.Millis) oleanderspool.Millis {
	if at := oleanderspool.Millis(v.readAt.Load()); at != 0 {
		return now - at
	}
	return math.MaxInt32
}

// Configure applies records of the operator, each unless a newer one is known, and
// returns those that change the configuration or an evacuation. All records become
// visible together.
func (v *View) Configure(records ...Change) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configure(records, func() []Change { return nil })
}

// ConfigureFromList is [View.Configure] for a complete list of the newest records, which
// may be seconds old. It also ends the evacuations that the list lacks and that are older
// than end, the offset after its newest record, and returns a change for each.
func (v *View) ConfigureFromList(list []Change, end oleanderspool.Offset) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configure(list, func() []Change { return v.evacuations.endUnlisted(list, end) })
}

func (v *View) configure(records []Change, endUnlisted func() []Change) []Change {
	old := v.snapshot.Load()
	configuration, evacuated := old.Configuration, false
	var applied []Change
	for _, c := range records {
		switch {
		case c.Evacuation != "":
			if !v.evacuations.apply(c) {
				continue
			}
			evacuated = true
		case c.Configuration == nil || configuration != nil && (c.Offset <= v.offset || c.Configuration.Version <= configuration.Version):
			continue
		default:
			v.offset, configuration = c.Offset, c.Configuration
		}
		applied = append(applied, c)
	}
	ended := endUnlisted()
	switch {
	case evacuated || len(ended) > 0:
		v.publish(configuration)
	case configuration != old.Configuration:
		next := *old
		next.Configuration = configuration
		v.snapshot.Store(&next)
		v.closeIfReady()
	}
	return append(applied, ended...)
}

// UsableServers returns the number of usable servers in a data centre, evacuated or not.
func (v *View) UsableServers(dc oleanderspool.DataCentreID) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, r := range v.records {
		if r.usable && r.server.DataCentre == dc {
			count++
		}
	}
	return count
}

// UsableInstances returns the usable servers of all services, evacuated or not.
func (v *View) UsableInstances() []oleanderspool.InstanceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var usable []oleanderspool.InstanceID
	for id, r := range v.records {
		if r.usable {
			usable = append(usable, id)
		}
	}
	return usable
}

// Registered is the effect of a record of a server.
type Registered struct {
	// Changed says that the record changes what is known of the server.
	Changed bool
	// Notable says that it is the first record of the server, makes the server usable
	// or unusable, or describes another process than the record before; the caller logs
	// such a record.
	Notable bool
	// TurnedCold says that the server is cold again without a new start.
	TurnedCold bool
}

// Register applies records of servers, each unless a newer one is known, and returns
// their effects. A nil server means that the record removes the server or cannot be
// decoded. All records become visible together.
func (v *View) Register(records ...Change) []Registered {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registerAll(records, func(Change) {})
}

// registerAll registers records after a call of prepare for each.
func (v *View) registerAll(records []Change, prepare func(Change)) []Registered {
	effects := make([]Registered, len(records))
	changed := false
	for i, c := range records {
		prepare(c)
		effects[i] = v.register(c)
		changed = changed || effects[i].Changed
	}
	if changed {
		v.publish(v.snapshot.Load().Configuration)
	}
	return effects
}

func (v *View) register(c Change) Registered {
	old, known := v.records[c.Instance]
	if known && c.Offset <= old.offset {
		return Registered{}
	}
	r := registration{offset: c.Offset, server: old.server}
	if c.Server != nil {
		r.server, r.usable = *c.Server, !c.Server.Draining
	}
	v.records[c.Instance] = r
	if known && old.usable == r.usable && (!r.usable || old.server == r.server) {
		return Registered{}
	}
	notable := !known || old.usable != r.usable || !old.server.SameRun(r.server)
	return Registered{Changed: true, Notable: notable, TurnedCold: !notable && r.server.ColdUntil > old.server.ColdUntil+coldRecordDelay}
}

// coldRecordDelay is the largest difference between two instants that describe the
// same cold period: a heartbeat and an interval between reads of the registry.
const coldRecordDelay = 2400 * oleanderspool.Millis(1)

// unlistedTime is how long a server that a list lacks is remembered as removed: a store may
// come back from a copy in which it is still registered.
const unlistedTime = oleanderspool.Minute

// RemoveUnlisted removes the servers that are missing from a complete list, which was applied
// at an instant, and whose last record is at an offset from since on. It returns those of them
// that were usable. end is the offset after the newest record of the list; servers that were
// registered later stay.
func (v *View) RemoveUnlisted(listed map[oleanderspool.InstanceID]bool, since, end oleanderspool.Offset, now oleanderspool.Millis) []oleanderspool.InstanceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var removed []oleanderspool.InstanceID
	for id, r := range v.records {
		if listed[id] || r.offset < since || r.offset >= end {
			continue
		}
		if r.usable {
			removed = append(removed, id)
		}
		if r.unlistedSince > 0 && now-r.unlistedSince > unlistedTime {
			delete(v.records, id)
			continue
		}
		r.usable, r.unlistedSince = false, cmp.Or(r.unlistedSince, now)
		v.records[id] = r
	}
	if len(removed) > 0 {
		v.publish(v.snapshot.Load().Configuration)
	}
	return removed
}

// SetIncomplete records that the list of servers is read in parts. end is the offset after
// the newest record of a server: each server has at least one record before it. Once a
// list has been read, the servers of the last one stay known while another is read.
func (v *View) SetIncomplete(end oleanderspool.Offset) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hadList {
		v.limitServers(int(min(end.Index(), maxServers)))
	}
}

// SetComplete records that all parts of a list of servers have been read and applied.
func (v *View) SetComplete() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hadList = true
	if v.serverLimit > 0 {
		v.limitServers(0)
	}
}

func (v *View) limitServers(limit int) {
	v.serverLimit = limit
	next := *v.snapshot.Load()
	next.serverLimit = limit
	v.snapshot.Store(&next)
}

func (v *View) publish(configuration *Configuration) {
	s := &Snapshot{Configuration: configuration, servers: make(map[string][]Server), evacuated: v.evacuations.active(), withheld: make(map[string]int), serverLimit: v.serverLimit}
	for _, id := range slices.Sorted(maps.Keys(v.records)) {
		r := v.records[id]
		switch {
		case !r.usable:
		case s.IsEvacuated(r.server.DataCentre):
			s.withheld[r.server.Service]++
		default:
			s.servers[r.server.Service] = append(s.servers[r.server.Service], r.server)
		}
	}
	v.snapshot.Store(s)
	v.closeIfReady()
}
