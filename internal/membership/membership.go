// Package membership keeps track of the agents that exist, live or leave. It
// merges the platform's lagging instance list with what the agents report
// themselves. It is the place that implements P6 on the side of the entry.
package membership

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Defaults of [New].
const (
	// DefaultSuspectAfter is below the 3 s of P6: a report may have been half a
	// second old when it arrived, and its sender may have announced that it
	// leaves right after sending it. Agents report every second, so it takes two
	// missed reports.
	DefaultSuspectAfter oleanderspool.Millis = 2500
	// DefaultPublishInterval bounds how often changes that exclude no server copy
	// the snapshot.
	DefaultPublishInterval oleanderspool.Millis = 20
)

// keptIncarnations is the number of ended incarnations kept per instance, to
// recognise their late reports. Reports of older ones are still refused by
// the order of their streams.
const keptIncarnations = 4

// neverPublished makes the first change appear at once. It is far enough from
// the ends of the range to be subtracted from an instant.
const neverPublished oleanderspool.Millis = -1 << 62

// Option configures the table that [New] returns.
type Option func(*Table)

// WithList sets the list that the table follows. Its ApplyPoll and ApplyUpdate
// are called through the table.
func WithList(l *List) Option {
	return func(t *Table) { t.list = l }
}

// Table holds the agents that an entry knows. Its methods must not be called
// concurrently, except for [Table.Snapshot].
type Table struct {
	suspectAfter    oleanderspool.Millis
	publishInterval oleanderspool.Millis

	agents  map[oleanderspool.InstanceID]*agent
	ordered []*agent // by instance
	live    []*agent // by instance; those of which an incarnation is known, and some that ended since the last snapshot
	sets    map[oleanderspool.InstanceID][]oleanderspool.ServerSetID

	list         *List
	entries      map[oleanderspool.InstanceID]listedPeer // listed entries that do not leave
	applied      []configuration.ServerSet               // what sets was made of
	setRevision  oleanderspool.Revision                  // revision of the sets
	listRevision int                                     // changes of the list and the sets so far
	lastStream   Stream

	snapshot    atomic.Pointer[[]oleanderspool.BackendServer]
	publishedAt oleanderspool.Millis
	copies      int  // snapshots published so far
	excluded    bool // the snapshot contains a server that may not be chosen
	changed     bool // another change is not in the snapshot yet
}

// agent is what the table knows of one instance.
type agent struct {
	listed    oleanderspool.InstanceState
	hash      uint64
	server    oleanderspool.BackendServer // last report, merged with the list
	reported  bool                        // server holds a live incarnation
	suspected bool
	leaving   bool // the current incarnation announced that it leaves

	after    Stream // streams up to this one belong to an earlier life of the instance
	stream   Stream // stream of the last applied report
	position int64  // position of the last applied report in its stream
	ended    []oleanderspool.Incarnation
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{
		suspectAfter:    DefaultSuspectAfter,
		publishInterval: DefaultPublishInterval,
		list:            NewList("", 0),
		agents:          make(map[oleanderspool.InstanceID]*agent),
		entries:         make(map[oleanderspool.InstanceID]listedPeer),
		publishedAt:     neverPublished,
	}
	for _, o := range options {
		o(t)
	}
	t.snapshot.Store(&[]oleanderspool.BackendServer{})
	return t
}

// Snapshot returns the backend servers that may be chosen, ordered by
// instance: those that reported within their bound and do not leave. The
// slice is shared and must not be modified. It is safe for concurrent use.
func (t *Table) Snapshot() []oleanderspool.BackendServer {
	return *t.snapshot.Load()
}

// Find returns the last report of an instance, whether or not it may be
// chosen. It returns false when no incarnation is known.
func (t *Table) Find(instance oleanderspool.InstanceID) (oleanderspool.BackendServer, bool) {
	a := t.agents[instance]
	if a == nil || !a.reported {
		return oleanderspool.BackendServer{}, false
	}
	return a.server, true
}

// SnapshotCount returns the number of snapshots that were published, for a counter.
func (t *Table) SnapshotCount() int {
	return t.copies
}

// AgentCount returns the number of listed agents.
func (t *Table) AgentCount() int {
	return len(t.ordered)
}

// Tick suspects agents that are silent for longer than their bound and
// publishes changes of load that are due. It should be called several times
// per bound. An entry that was paused itself suspects every agent until the
// reports that wait in its connections are applied, because one of them may
// say that its sender leaves.
func (t *Table) Tick(now oleanderspool.Millis) []Change {
	var changes []Change
	for _, a := range t.live {
		if !a.reported || a.suspected || now-a.server.ReportedAt <= t.suspectAfter {
			continue
		}
		a.suspected = true
		t.excluded = true
		changes = append(changes, a.change(Suspected))
	}
	t.publish(now)
	return changes
}

// publish replaces the snapshot when a change is due.
func (t *Table) publish(now oleanderspool.Millis) {
	due := t.changed && now-t.publishedAt >= t.publishInterval
	if !t.excluded && !due {
		return
	}
	t.live = slices.DeleteFunc(t.live, func(a *agent) bool { return !a.reported || t.agents[a.listed.Instance] != a })
	snapshot := make([]oleanderspool.BackendServer, 0, len(t.live))
	for _, a := range t.live {
		if a.eligible() {
			snapshot = append(snapshot, a.server)
		}
	}
	t.snapshot.Store(&snapshot)
	t.copies++
	t.publishedAt = now
	t.excluded, t.changed = false, false
}

// follow notes that an incarnation of an agent is known. Of 12,000 agents an
// entry watches 40, so snapshots are made of these alone.
func (t *Table) follow(a *agent) {
	i, found := slices.BinarySearchFunc(t.live, a, compareAgents)
	if found {
		t.live[i] = a // an earlier life of the instance
		return
	}
	t.live = slices.Insert(t.live, i, a)
}

func (a *agent) eligible() bool {
	return a.reported && !a.suspected && !a.server.Leaving
}

func (a *agent) change(kind ChangeKind) Change {
	return Change{Kind: kind, Instance: a.listed.Instance, Incarnation: a.server.Incarnation}
}

// endIncarnation notes that an incarnation ended, so that its late reports are
// recognised, and forgets the current one if it is the one that ended.
func (a *agent) endIncarnation(incarnation oleanderspool.Incarnation) {
	if len(a.ended) == keptIncarnations {
		a.ended = slices.Delete(a.ended, 0, 1)
	}
	a.ended = append(a.ended, incarnation)
	if a.server.Incarnation != incarnation {
		return
	}
	a.reported, a.suspected, a.leaving = false, false, false
	a.server = oleanderspool.BackendServer{}
}

func newAgent(listed oleanderspool.InstanceState, after Stream) *agent {
	return &agent{listed: listed, hash: routing.Hash(listed.Instance), after: after}
}

func compareAgents(a, b *agent) int {
	return strings.Compare(string(a.listed.Instance), string(b.listed.Instance))
}
