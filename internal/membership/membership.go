// Package membership tracks which agents exist, are alive or are leaving. It merges
// the platform's instance list, which lags behind, with the reports of the agents.
// It implements the entry's side of P6: a server that announced that it leaves
// receives no work more than 3 s later.
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
	// DefaultSuspectAfter is the time in milliseconds without a report after which
	// an agent is suspected. It is below the 3 s of P6, because a report may be half
	// a second old when it arrives, and its sender may announce that it leaves right
	// after sending it. Agents report every second, so an agent is suspected after
	// two missed reports.
	DefaultSuspectAfter oleanderspool.Millis = 2500
	// DefaultPublishInterval is the minimum time in milliseconds between two
	// snapshots, unless a server has to be excluded, which publishes one at once.
	DefaultPublishInterval oleanderspool.Millis = 20
)

// maxEndedIncarnations is the number of ended incarnations kept per instance, to
// recognise their late reports. Reports of incarnations before these are rejected by
// the order of their streams.
const maxEndedIncarnations = 4

// neverPublished is the initial instant of publication, so that the first change is
// published at once. Subtracting it from an instant does not overflow.
const neverPublished oleanderspool.Millis = -1 << 62

// Option configures the table that [New] returns.
type Option func(*Table)

// WithList sets the list that the table uses. Its ApplyPoll and ApplyUpdate must
// only be called through the table.
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
	live    []*agent // by instance; agents with a known incarnation, and some whose incarnation ended since the last snapshot
	sets    map[oleanderspool.InstanceID][]oleanderspool.ServerSetID

	list         *List
	entries      map[oleanderspool.InstanceID]listedEntry // listed entries that are not leaving
	appliedSets  []configuration.ServerSet                // from which sets was built
	setRevision  oleanderspool.Revision                   // configuration revision of the sets
	listRevision int                                      // number of changes of the list and the sets
	lastStream   Stream

	snapshot      atomic.Pointer[[]oleanderspool.BackendServer]
	publishedAt   oleanderspool.Millis
	snapshotCount int  // snapshots published so far
	exclusionDue  bool // the snapshot contains a server that is not eligible any more
	changeDue     bool // the snapshot lacks another change
}

// agent is what the table knows of one instance.
type agent struct {
	listed    oleanderspool.InstanceState
	hash      uint64
	server    oleanderspool.BackendServer // last report, merged with the list
	reported  bool                        // server holds a live incarnation
	suspected bool
	leaving   bool // the current incarnation announced that it leaves

	staleUpTo Stream                      // streams up to this one were opened before the instance was last added to the list
	stream    Stream                      // stream of the last applied report
	position  int64                       // position of the last applied report in its stream
	ended     []oleanderspool.Incarnation // the last ones, at most maxEndedIncarnations
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{
		suspectAfter:    DefaultSuspectAfter,
		publishInterval: DefaultPublishInterval,
		list:            NewList("", 0),
		agents:          make(map[oleanderspool.InstanceID]*agent),
		entries:         make(map[oleanderspool.InstanceID]listedEntry),
		publishedAt:     neverPublished,
	}
	for _, o := range options {
		o(t)
	}
	t.snapshot.Store(&[]oleanderspool.BackendServer{})
	return t
}

// Snapshot returns the eligible backend servers, ordered by instance: those that
// reported within the timeout and are not leaving. The slice is shared and must not
// be modified. Snapshot is safe for concurrent use.
func (t *Table) Snapshot() []oleanderspool.BackendServer {
	return *t.snapshot.Load()
}

// Find returns the last known state of an instance, whether or not it is eligible.
// It returns false if no incarnation is known.
func (t *Table) Find(instance oleanderspool.InstanceID) (oleanderspool.BackendServer, bool) {
	a := t.agents[instance]
	if a == nil || !a.reported {
		return oleanderspool.BackendServer{}, false
	}
	return a.server, true
}

// SnapshotCount returns the number of snapshots published so far.
func (t *Table) SnapshotCount() int {
	return t.snapshotCount
}

// AgentCount returns the number of listed agents.
func (t *Table) AgentCount() int {
	return len(t.ordered)
}

// Tick suspects agents that have not reported within the timeout, and publishes a
// pending snapshot that is due. It should be called several times per timeout. An
// entry that was paused itself suspects every agent until the reports that wait in
// its connections are applied, because one of them may announce that its sender
// leaves.
func (t *Table) Tick(now oleanderspool.Millis) []Change {
	var changes []Change
	for _, a := range t.live {
		if !a.reported || a.suspected || now-a.server.ReportedAt <= t.suspectAfter {
			continue
		}
		a.suspected = true
		t.exclusionDue = true
		changes = append(changes, a.change(Suspected))
	}
	t.publish(now)
	return changes
}

// publish replaces the snapshot if a server has to be excluded or another change is
// due.
func (t *Table) publish(now oleanderspool.Millis) {
	due := t.changeDue && now-t.publishedAt >= t.publishInterval
	if !t.exclusionDue && !due {
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
	t.snapshotCount++
	t.publishedAt = now
	t.exclusionDue, t.changeDue = false, false
}

// addLive adds an agent of which an incarnation is known to the live agents.
// Snapshots are built from these alone, since an entry watches 40 of 12,000 agents.
func (t *Table) addLive(a *agent) {
	i, found := slices.BinarySearchFunc(t.live, a, compareAgents)
	if found {
		t.live[i] = a // may replace the agent from before the instance was removed and listed again
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

// endIncarnation records that an incarnation ended, so that its late reports are
// recognised, and clears the server value if that is the current incarnation.
func (a *agent) endIncarnation(incarnation oleanderspool.Incarnation) {
	if len(a.ended) == maxEndedIncarnations {
		a.ended = slices.Delete(a.ended, 0, 1)
	}
	a.ended = append(a.ended, incarnation)
	if a.server.Incarnation != incarnation {
		return
	}
	a.reported, a.suspected, a.leaving = false, false, false
	a.server = oleanderspool.BackendServer{}
}

func newAgent(listed oleanderspool.InstanceState, staleUpTo Stream) *agent {
	return &agent{listed: listed, hash: routing.Hash(listed.Instance), staleUpTo: staleUpTo}
}

func compareAgents(a, b *agent) int {
	return strings.Compare(string(a.listed.Instance), string(b.listed.Instance))
}
