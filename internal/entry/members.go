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

// memberTracker follows the platform's instance list and the agents' reports.
type memberTracker struct {
	entry *Entry

	mu              sync.Mutex
	list            *membership.List
	table           *membership.Table
	watches         map[oleanderspool.InstanceID]context.CancelFunc
	watchedRevision int                  // revision of the list and the server sets that the watches match
	reportInterval  oleanderspool.Millis // between reports of a watched agent
	reopen          chan struct{}        // closed when the interval changes
	warmedUp        atomic.Bool          // the agents have reported or have had the time to
}

// watchRetryDelay is the delay between attempts to watch an agent.
const watchRetryDelay = 200 * oleanderspool.Millis(1)

func newMemberTracker(e *Entry, list *membership.List) memberTracker {
	return memberTracker{
		entry:          e,
		list:           list,
		table:          membership.New(membership.WithList(list)),
		watches:        make(map[oleanderspool.InstanceID]context.CancelFunc),
		reportInterval: e.reportInterval,
		reopen:         make(chan struct{}),
	}
}

// run polls the list and ticks the table until ctx ends.
func (m *memberTracker) run(ctx context.Context) {
	go m.poll(ctx)
	began := m.entry.clock.Now()
	before := false
	clock.Every(ctx, membershipTick, nil, func() {
		m.mu.Lock()
		now := m.entry.clock.Now()
		m.recordChanges(m.table.Tick(now))
		m.updateWatches(ctx, now)
		known := m.entry.Revision() > 0 && m.list.Known() && len(m.table.Snapshot()) >= len(m.watches)
		// A change reaches the snapshot by the next tick at the latest.
		if known && before || now-began > membership.DefaultSuspectAfter {
			m.warmedUp.Store(true)
		}
		before = known
		m.mu.Unlock()
		m.updateForecast()
	})
}

// reportsPerSecond bounds the reports of all watched agents together. At about
// 130 bytes each they take 5.2 of the 6 KB/s for control traffic.
const reportsPerSecond = 40

// reportSteps are the shorter report intervals that the limit allows for a small
// fleet. Fresher reports let the router distribute short requests better.
var reportSteps = []oleanderspool.Millis{250, 500, 750}

// setReportInterval adapts the interval between reports to the number of watched
// agents and reopens the watches when it changes.
func (m *memberTracker) setReportInterval(agents int) {
	interval := m.entry.reportInterval
	for _, step := range reportSteps {
		if step < interval && agents*int(oleanderspool.Second) <= reportsPerSecond*int(step) {
			interval = step
			break
		}
	}
	if interval == m.reportInterval {
		return
	}
	m.reportInterval = interval
	close(m.reopen)
	m.reopen = make(chan struct{})
}

// updateWatches passes the counts of a changed list to admission and retries, and
// opens and closes watches to match the chosen agents.
func (m *memberTracker) updateWatches(ctx context.Context, now oleanderspool.Millis) {
	revision := m.table.ListRevision()
	if revision == m.watchedRevision {
		return
	}
	m.watchedRevision = revision
	m.entry.mu.Lock()
	m.entry.admission.SetEntries(m.table.EntryCount())
	m.entry.retries.SetKnownServers(m.table.AgentCount())
	m.entry.mu.Unlock()
	chosen := m.table.ChooseWatches(m.entry.instance, m.entry.dataCentre, m.entry.watchLimit)
	m.setReportInterval(len(chosen.Instances))
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

// watch reads the reports of one agent until ctx ends.
func (m *memberTracker) watch(ctx context.Context, id oleanderspool.InstanceID) {
	for ctx.Err() == nil {
		m.mu.Lock()
		address, _ := m.list.Address(id)
		stream, ok := m.table.OpenStream(id)
		interval, reopen := m.reportInterval, m.reopen
		m.mu.Unlock()
		if ok {
			m.followReports(ctx, address, stream, interval, reopen)
		}
		clock.Sleep(ctx, watchRetryDelay)
	}
}

// followReports applies the reports of one watch stream until it fails, times out
// or is to be reopened.
func (m *memberTracker) followReports(ctx context.Context, address string, stream membership.Stream, interval oleanderspool.Millis, reopen <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-reopen:
			cancel()
		case <-ctx.Done():
		}
	}()
	idle := time.AfterFunc(membership.DefaultSuspectAfter.Duration(), cancel)
	defer idle.Stop()
	opened := m.entry.clock.Now()
	var firstClock oleanderspool.Millis // the agent's clock in the first report
	client, err := m.entry.peers.Agent(address).Watch(ctx, &peerpb.WatchRequest{
		Revision:   int64(m.entry.configuration.Revision()),
		IntervalMs: int64(interval),
	})
	if err != nil {
		m.entry.peers.CloseIdle(address)
		return
	}
	defer func() { _ = client.Close() }()
	var offered configurationOffer
	var reported map[string]bool // crashes in the last report
	for position := int64(1); ; position++ {
		state, err := client.Recv()
		if err != nil {
			m.entry.peers.CloseIdle(address)
			return
		}
		idle.Reset(membership.DefaultSuspectAfter.Duration())
		b := peer.DecodeState(state, address, m.entry.clock.Now())
		if position == 1 {
			firstClock = b.AgentClock
		}
		// The first report was taken after the stream was opened, and the agent's
		// clock says how much later this one was taken.
		b.ReportAge = max(0, b.ReportedAt-opened-(b.AgentClock-firstClock))
		m.applyReport(stream, position, b)
		reported = m.recordCrashes(peer.DecodeCrashes(state.GetCrashes()), reported, position == 1)
		m.offerConfiguration(ctx, address, state, &offered)
	}
}

// recordCrashes records the crashes of a report, which repeats those that were
// reported before. The first report of a stream contains only past crashes.
func (m *memberTracker) recordCrashes(list []peer.Crash, reported map[string]bool, first bool) map[string]bool {
	if len(list) == 0 {
		return reported
	}
	now := make(map[string]bool, len(list))
	for _, c := range list {
		m.entry.suspects.recordCrash(c, false, !first && !reported[c.ID])
		now[c.ID] = true
	}
	return now
}

// configurationOffer is the last configuration that was offered to an agent.
type configurationOffer struct {
	revision    oleanderspool.Revision
	sentAt      oleanderspool.Millis
	behind      bool
	behindSince oleanderspool.Millis // time of the first report that was behind
}

// reofferInterval is how long after an offer the same configuration is offered
// again to an agent that is still behind.
const reofferInterval = oleanderspool.Second

// offerConfiguration sends the agent the configuration changes that it lacks, so
// that a change reaches it within one report interval and no agent reads the log.
// Only the first watcher of an agent sends at once. The others wait for
// reofferInterval, so that a change, or a snapshot of some MB for an agent that
// starts, is usually sent once.
func (m *memberTracker) offerConfiguration(ctx context.Context, address string, state *peerpb.AgentState, last *configurationOffer) {
	e := m.entry
	now := e.clock.Now()
	revision := e.configuration.Revision()
	if oleanderspool.Revision(state.GetRevision()) >= revision {
		last.behind = false
		return
	}
	if !last.behind {
		last.behind, last.behindSince = true, now
	}
	if last.revision == revision && now-last.sentAt < reofferInterval {
		return
	}
	if now-last.behindSince < reofferInterval && !m.isFirstWatcher(oleanderspool.InstanceID(state.GetInstance())) {
		return
	}
	last.revision, last.sentAt = revision, now
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout.Duration())
	defer cancel()
	message := e.configuration.CatchUp(oleanderspool.Offset(state.GetPosition()))
	if _, err := e.peers.Process(address).Offer(ctx, message); err != nil {
		last.revision = 0
	}
}

func (m *memberTracker) isFirstWatcher(id oleanderspool.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.FirstWatcher(m.entry.instance, id)
}

func (m *memberTracker) applyReport(stream membership.Stream, position int64, b oleanderspool.BackendServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordChanges(m.table.ApplyReport(membership.Report{
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
		AgentClock:  b.AgentClock,
		Age:         b.ReportAge,
	}, m.entry.clock.Now()))
}

// observeLeaving records that an agent refused work because it is stopping, which
// may arrive before its report does.
func (m *memberTracker) observeLeaving(b oleanderspool.BackendServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordChanges(m.table.ObserveLeaving(b.Instance, b.Incarnation, m.entry.clock.Now()))
}

// recordChanges passes membership changes to the suspects, counts and logs them.
func (m *memberTracker) recordChanges(changes []membership.Change) {
	for _, c := range changes {
		m.entry.suspects.recordChange(c)
		m.entry.metrics.StateChanged("backend_server_" + c.Kind.String())
		m.entry.logger.Info("backend server changed", "instance", c.Instance, "change", c.Kind.String(), "incarnation", c.Incarnation)
	}
}

// updateForecast updates admission's forecast of how long prompts wait.
func (m *memberTracker) updateForecast() {
	f := admission.NewForecast(m.table.Snapshot())
	m.entry.mu.Lock()
	defer m.entry.mu.Unlock()
	m.entry.admission.SetForecast(f)
}

// find returns what is known of an instance and whether it is still listed.
func (m *memberTracker) find(id oleanderspool.InstanceID) (b oleanderspool.BackendServer, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, _ = m.table.Find(id)
	address, listed := m.list.Address(id)
	if b.Address == "" {
		b.Instance, b.Address = id, address
	}
	return b, listed || !m.list.Known()
}
