package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/admission"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// members follows the platform's instance list and the agents' own reports.
type members struct {
	entry *Entry

	mu       sync.Mutex
	list     *membership.List
	table    *membership.Table
	watches  map[oleanderspool.InstanceID]context.CancelFunc
	adjusted int                  // revision of the list and the sets that the watches follow
	interval oleanderspool.Millis // between reports of a watched agent
	renew    chan struct{}        // closed when the interval changes
	warm     atomic.Bool          // the agents have reported, or had the time to
}

// rewatchDelay is the span between two connections to an agent that does not
// answer.
const rewatchDelay = 200 * oleanderspool.Millis(1)

func newMembers(e *Entry, list *membership.List) members {
	return members{
		entry:    e,
		list:     list,
		table:    membership.New(membership.WithList(list)),
		watches:  make(map[oleanderspool.InstanceID]context.CancelFunc),
		interval: e.watchEvery,
		renew:    make(chan struct{}),
	}
}

// run polls the list and ticks the table until ctx ends.
func (m *members) run(ctx context.Context) {
	go m.poll(ctx)
	began := m.entry.clock.Now()
	before := false
	clock.Every(ctx, membershipTick, nil, func() {
		m.mu.Lock()
		now := m.entry.clock.Now()
		m.handle(m.table.Tick(now))
		m.adjust(ctx, now)
		known := m.entry.Revision() > 0 && m.list.Known() && len(m.table.Snapshot()) >= len(m.watches)
		// A change reaches the snapshot by the next tick at the latest.
		if known && before || now-began > membership.DefaultSuspectAfter {
			m.warm.Store(true)
		}
		before = known
		m.mu.Unlock()
		m.forecast()
	})
}

// reportsPerSecond bounds the reports of all watched agents together. At about
// 130 bytes each they take 5.2 of the 6 KB/s for control.
const reportsPerSecond = 40

// reportSteps are the intervals between reports that a small fleet can afford.
// Fresher reports let the router spread short requests better.
var reportSteps = []oleanderspool.Millis{250, 500, 750}

// setInterval adapts the interval between reports to the number of watched
// agents and opens the watches again when it changes.
func (m *members) setInterval(agents int) {
	interval := m.entry.watchEvery
	for _, step := range reportSteps {
		if step < interval && agents*int(oleanderspool.Second) <= reportsPerSecond*int(step) {
			interval = step
			break
		}
	}
	if interval == m.interval {
		return
	}
	m.interval = interval
	close(m.renew)
	m.renew = make(chan struct{})
}

// adjust passes a changed list on and opens and closes watches so that they
// match the choice.
func (m *members) adjust(ctx context.Context, now oleanderspool.Millis) {
	revision := m.table.ListRevision()
	if revision == m.adjusted {
		return
	}
	m.adjusted = revision
	m.entry.mu.Lock()
	m.entry.admission.SetEntries(m.table.EntryCount())
	m.entry.retries.SetKnownServers(m.table.AgentCount())
	m.entry.mu.Unlock()
	chosen := m.table.ChooseWatches(m.entry.instance, m.entry.dataCentre, m.entry.watchLimit)
	m.setInterval(len(chosen.Instances))
	wanted := make(map[oleanderspool.InstanceID]bool, len(chosen.Instances))
	for _, id := range chosen.Instances {
		wanted[id] = true
		if _, ok := m.watches[id]; ok {
			continue
		}
		watch, cancel := context.WithCancel(ctx)
		m.watches[id] = cancel
		go m.watch(watch, id)
	}
	for id, cancel := range m.watches {
		if wanted[id] {
			continue
		}
		cancel()
		delete(m.watches, id)
		m.table.StopWatching(id, now)
	}
}

// watch follows one agent until ctx ends.
func (m *members) watch(ctx context.Context, id oleanderspool.InstanceID) {
	for ctx.Err() == nil {
		m.mu.Lock()
		address, _ := m.list.Address(id)
		stream, ok := m.table.OpenStream(id)
		interval, renew := m.interval, m.renew
		m.mu.Unlock()
		if ok {
			m.follow(ctx, address, stream, interval, renew)
		}
		clock.Sleep(ctx, rewatchDelay)
	}
}

// follow applies the reports of one watch stream until it breaks, goes silent
// or is to be opened again.
func (m *members) follow(ctx context.Context, address string, stream membership.Stream, interval oleanderspool.Millis, renew <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-renew:
			cancel()
		case <-ctx.Done():
		}
	}()
	silence := time.AfterFunc(membership.DefaultSuspectAfter.Duration(), cancel)
	defer silence.Stop()
	opened := m.entry.clock.Now()
	var first oleanderspool.Millis // the agent's clock in the first report
	client, err := m.entry.peers.Agent(address).Watch(ctx, &peerpb.WatchRequest{
		Revision:   int64(m.entry.configuration.Revision()),
		IntervalMs: int64(interval),
	})
	if err != nil {
		m.entry.peers.CloseIdle(address)
		return
	}
	defer func() { _ = client.Close() }()
	var offered offer
	var told map[string]bool // crashes that the stream carried
	for position := int64(1); ; position++ {
		state, err := client.Recv()
		if err != nil {
			m.entry.peers.CloseIdle(address)
			return
		}
		silence.Reset(membership.DefaultSuspectAfter.Duration())
		b := peer.DecodeState(state, address, m.entry.clock.Now())
		if position == 1 {
			first = b.AgentClock
		}
		// The first report was taken after the stream was opened, and the agent's
		// clock says how much later this one was taken.
		b.ReportAge = max(0, b.ReportedAt-opened-(b.AgentClock-first))
		m.report(stream, position, b)
		told = m.crashes(peer.DecodeCrashes(state.GetCrashes()), told, position == 1)
		m.offer(ctx, address, state, &offered)
	}
}

// crashes takes the crashes of a report, which repeats those that were told. The
// first report of a stream tells only of the past.
func (m *members) crashes(list []peer.Crash, told map[string]bool, first bool) map[string]bool {
	if len(list) == 0 {
		return told
	}
	now := make(map[string]bool, len(list))
	for _, c := range list {
		m.entry.suspects.crashed(c, false, !first && !told[c.ID])
		now[c.ID] = true
	}
	return now
}

// offer is the last configuration that was offered to an agent.
type offer struct {
	revision oleanderspool.Revision
	at       oleanderspool.Millis
	behind   bool
	since    oleanderspool.Millis // first report that was behind
}

// offerAgain is the span after which an agent that is still behind is offered
// the same configuration again.
const offerAgain = oleanderspool.Second

// offer hands over what the agent lacks of the configuration, so that a change
// reaches it within one report interval and no agent reads the log. Only the
// first watcher of an agent does so at once. The others leave it the time of
// offerAgain, so that a change, or a snapshot of some MB for an agent that
// starts, is usually sent once.
func (m *members) offer(ctx context.Context, address string, state *peerpb.AgentState, last *offer) {
	e := m.entry
	now := e.clock.Now()
	revision := e.configuration.Revision()
	if oleanderspool.Revision(state.GetRevision()) >= revision {
		last.behind = false
		return
	}
	if !last.behind {
		last.behind, last.since = true, now
	}
	if last.revision == revision && now-last.at < offerAgain {
		return
	}
	if now-last.since < offerAgain && !m.firstWatcher(oleanderspool.InstanceID(state.GetInstance())) {
		return
	}
	last.revision, last.at = revision, now
	ctx, cancel := context.WithTimeout(ctx, shortCallBound.Duration())
	defer cancel()
	message := e.configuration.CatchUp(oleanderspool.Offset(state.GetPosition()))
	if _, err := e.peers.Process(address).Offer(ctx, message); err != nil {
		last.revision = 0
	}
}

func (m *members) firstWatcher(id oleanderspool.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.FirstWatcher(m.entry.instance, id)
}

func (m *members) report(stream membership.Stream, position int64, b oleanderspool.BackendServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handle(m.table.ApplyReport(membership.Report{
		Stream:      stream,
		Position:    position,
		Instance:    b.Instance,
		Incarnation: b.Incarnation,
		Role:        b.Role,
		Leaving:     b.Leaving,
		Revision:    b.Revision,
		Models:      b.Models,
		Routes:      b.Routes,
		Load:        b.Load,
		Instant:     b.AgentClock,
		Age:         b.ReportAge,
	}, m.entry.clock.Now()))
}

// leaving notes that an agent refused work because it leaves, which may arrive
// before its report does.
func (m *members) leaving(b oleanderspool.BackendServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handle(m.table.ObserveLeaving(b.Instance, b.Incarnation, m.entry.clock.Now()))
}

// handle counts and logs changes.
func (m *members) handle(changes []membership.Change) {
	for _, c := range changes {
		m.entry.suspects.noteChange(c)
		m.entry.metrics.StateChanged("backend_server_" + c.Kind.String())
		m.entry.logger.Info("backend server changed", "instance", c.Instance, "change", c.Kind.String(), "incarnation", c.Incarnation)
	}
}

// forecast tells admission how long prompts wait.
func (m *members) forecast() {
	f := admission.NewForecast(m.table.Snapshot())
	m.entry.mu.Lock()
	defer m.entry.mu.Unlock()
	m.entry.admission.SetForecast(f)
}

// find returns what is known of an instance and whether it is still listed.
func (m *members) find(id oleanderspool.InstanceID) (b oleanderspool.BackendServer, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, _ = m.table.Find(id)
	address, listed := m.list.Address(id)
	if b.Address == "" {
		b.Instance, b.Address = id, address
	}
	return b, listed || !m.list.Known()
}
