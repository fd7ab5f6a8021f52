package forward

import (
	"sync"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

// sharedState is the state that all requests of the entry share: the tasks of
// all entries, the suspects (requests that may crash servers) and the retry
// budgets. It is safe for concurrent use.
type sharedState struct {
	clock            oleanderspool.Clock
	entry            uint64
	retryFraction    float64
	retryReserve     float64
	peers            Peers
	onRegistryUpdate func(directory.RegistryUpdate)
	onConfirmation   func(directory.Confirmation)
	// onQuarantine is called when the quarantine of a part begins or ends.
	onQuarantine func(part oleanderspool.Fingerprint, begins bool, cause string)
	// onLinkChange is called when a link to a data centre degrades or recovers.
	onLinkChange func(placement.LinkChange)
	// changedQuarantine signals that unsaved has a new change.
	changedQuarantine chan struct{}

	mu              sync.Mutex
	scheduler       *placement.Scheduler
	exclusions      *placement.Exclusions
	crashes         *crashExchange
	refusals        *refusalTracker
	coldLimits      coldLimits
	budgets         map[string]*retry.Budget
	lastID          uint64
	changed         map[placement.TaskID]bool
	ended           []placement.TaskID
	avoidances      []gossip.Suspicion         // servers to avoid; Remaining holds the instant at which the suspicion ends
	registryUpdates []directory.RegistryUpdate // not sent to the other entries yet
	// unsaved holds the parts whose quarantine began or ended and was not saved yet.
	unsaved  map[oleanderspool.Fingerprint]pendingSave
	lastSave uint64 // number of the latest pending save
}

var (
	_ gossip.State          = (*sharedState)(nil)
	_ directory.Coordinator = (*sharedState)(nil)
)

// assignment is the placement of a request, with the IDs of its tasks.
type assignment struct {
	placement.Decision
	ids      []placement.TaskID
	placedAt oleanderspool.Millis
	// availableIn is the time until one of the servers may be used, if all of them
	// asked for time or are excluded by the slow-start limit; 0 otherwise.
	availableIn oleanderspool.Millis
	limit       limitEffect
}

// reserves reports whether a helper has to reserve memory.
func (as assignment) reserves() bool {
	for _, h := range as.Helpers {
		if h.ReservedTokens > 0 {
			return true
		}
	}
	return false
}

// helpers returns the instances of the helpers.
func (as assignment) helpers() []oleanderspool.InstanceID {
	names := make([]oleanderspool.InstanceID, len(as.Helpers))
	for i, h := range as.Helpers {
		names[i] = h.Server.Instance
	}
	return names
}

// place chooses servers and adds the tasks of the request to the scheduler.
func (s *sharedState) place(snapshot *directory.Snapshot, service directory.Service, r placement.Request) (assignment, bool) {
	now, servers, e := s.clock.Now(), snapshot.Servers(service.Name), service.Engine
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.coldLimiter(snapshot, service, now)
	allowed, effect := limit(limiter, servers, now)
	d, found := s.scheduler.Choose(s.exclusions.Filter(allowed, now), e, r, now)
	for _, c := range s.scheduler.TakeLinkChanges() {
		s.onLinkChange(c)
	}
	if !found || d.Refused != "" {
		wait, _ := s.exclusions.AvailableIn(servers, now)
		usable := s.exclusions.Filter(servers, now)
		if effect.untried = effect.excludesUntried(usable, r.Tried, now); effect.untried {
			wait = limiter.AvailableIn(usable, now)
		}
		return assignment{Decision: d, availableIn: wait, limit: effect}, false
	}
	if limiter != nil {
		limiter.RecordSend(d.Server.Instance, now)
	}
	as := assignment{Decision: d, placedAt: now, limit: effect}
	for _, t := range placement.Tasks(d, e, r, now) {
		s.lastID++
		t.ID = placement.TaskID(s.entry<<24 ^ s.lastID)
		t.Entry = s.entry
		s.scheduler.Add(t)
		s.changed[t.ID] = true
		as.ids = append(as.ids, t.ID)
	}
	s.peers.Wake()
	return as, true
}

// recordFirstToken records that the first token of a request has arrived.
// Helpers that hold no memory for it are done.
func (s *sharedState) recordFirstToken(as assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for i, id := range as.ids {
		s.scheduler.FinishPrefill(id, now)
		if i > 0 && as.Helpers[i-1].ReservedTokens == 0 {
			s.removeTasks(as.ids[i : i+1])
			continue
		}
		s.scheduler.MarkDecoding(id)
		s.changed[id] = true
	}
	s.peers.Wake()
}

// endTasks removes the tasks of a request from its servers.
func (s *sharedState) endTasks(as assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeTasks(as.ids)
	s.peers.Wake()
}

func (s *sharedState) removeTasks(ids []placement.TaskID) {
	for _, id := range ids {
		if _, found := s.scheduler.Task(id); found {
			s.scheduler.FinishPrefill(id, s.clock.Now())
			s.scheduler.Remove(id)
			s.ended = append(s.ended, id)
			delete(s.changed, id)
		}
	}
}

// recordFailure records that a server failed, so that placement avoids it for a while.
func (s *sharedState) recordFailure(server oleanderspool.InstanceID) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.scheduler.RecordFailure(server, now)
	s.avoidances = append(s.avoidances, gossip.Suspicion{Server: server, Remaining: until})
	s.peers.Wake()
}

// recordFirstByte records when the first byte of an answer arrived from the server of a
// request. goal is used in place of a prediction where there is none.
func (s *sharedState) recordFirstByte(as assignment, goal oleanderspool.Millis) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := as.TTFT
	if expected == 0 {
		expected = goal
	}
	s.scheduler.RecordFirstByte(as.Server.Instance, as.Server.DataCentre, now-as.placedAt-expected, now)
}

// recordLinkFailure records that no answer came from the server of a request.
func (s *sharedState) recordLinkFailure(as assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.RecordLinkFailure(as.Server.Instance, as.Server.DataCentre, s.clock.Now())
}

// recordLeaving records that a server leaves, and reports whether that is new.
func (s *sharedState) recordLeaving(run directory.ServerRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exclusions.RecordLeaving(run, s.clock.Now())
}

// recordPause records that a server wants no requests for a duration, and reports
// whether that prolongs its pause.
func (s *sharedState) recordPause(run directory.ServerRun, duration oleanderspool.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exclusions.RecordPause(run, duration, s.clock.Now())
}

// excluded reports whether a server wants no requests.
func (s *sharedState) excluded(run directory.ServerRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exclusions.Excluded(run, s.clock.Now())
}

// recordAdmission adds a request to the retry budget of its service.
func (s *sharedState) recordAdmission(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).RecordAdmission(s.clock.Now())
}

// takeRetry draws a retry from the budget of a service. It reports false when
// the budget is used up.
func (s *sharedState) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget(service)
	// The budget is shared with one more entry than are known, in case one has
	// just started.
	b.SetReserve(int(s.retryReserve * budgetFraction / float64(s.peers.LivePeers()+2)))
	return b.Take(s.clock.Now())
}

// budgetFraction is the fraction of the retry budget of all entries that is
// used. The rest covers entries that count the window differently.
const budgetFraction = 0.8

func (s *sharedState) budget(service string) *retry.Budget {
	b := s.budgets[service]
	if b == nil {
		b = retry.NewBudget(s.retryFraction*budgetFraction, 0)
		s.budgets[service] = b
	}
	return b
}

// recordCrash records a crash that this entry observed and returns the number of
// crashes that count against the request.
func (s *sharedState) recordCrash(c quarantine.Crash) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announceQuarantined(s.crashes.recordLocal(c))
	s.peers.Wake()
	_, n := s.crashes.tracker.Crashes(c.Request, c.At)
	return n
}

// judge returns the verdict on a request that has just arrived. One entry of all may
// let a trial of a quarantined part through.
func (s *sharedState) judge(subject quarantine.Subject) quarantine.Verdict {
	first := s.peers.Rank() == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.tracker.Judge(subject, first, s.clock.Now())
}

// mayRetry reports whether a request whose attempt failed may be sent again.
func (s *sharedState) mayRetry(subject quarantine.Subject) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.tracker.Judge(subject, false, s.clock.Now()) == quarantine.Allowed
}

// recordRefusal records that this entry refused a request and asked its caller
// to retry.
func (s *sharedState) recordRefusal(f oleanderspool.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals.recordLocal(f, s.clock.Now())
	s.peers.Wake()
}

// refusedBefore reports whether an entry refused the request before and asked its
// caller to retry, and how long ago.
func (s *sharedState) refusedBefore(f oleanderspool.Fingerprint) (refused bool, age oleanderspool.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals.refused(f, s.clock.Now())
}

// recordAnswer records that a server answered a request.
func (s *sharedState) recordAnswer(subject quarantine.Subject, server oleanderspool.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reportable, released := s.crashes.recordAnswer(subject, s.clock.Now())
	s.announceReleased(released, true, "answer")
	if reportable {
		s.peers.Wake()
	}
	s.scheduler.RecordSuccess(server)
}

// maxMessageUpdates is the number of registry updates in one message, so that it fits
// into a datagram.
const maxMessageUpdates = 2

// Report implements [gossip.State].
func (s *sharedState) Report(complete bool) gossip.Message {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := gossip.Message{RunID: s.entry, Complete: complete, EndedTasks: s.ended}
	if complete {
		s.scheduler.Expire(now)
		s.exclusions.Expire(now)
		s.refusals.expire(now)
		s.coldLimits.expire(s.peers.LivePeers(), now)
		s.announceReleased(s.crashes.tracker.Expire(now), s.peers.Rank() < savingEntries, "no requests")
		for _, t := range s.scheduler.TasksOf(s.entry) {
			m.Tasks = append(m.Tasks, taskWithAge(t, now))
		}
	} else {
		for id := range s.changed {
			if t, found := s.scheduler.Task(id); found {
				m.Tasks = append(m.Tasks, taskWithAge(t, now))
			}
		}
	}
	if s.crashes.takeReport(&m, now) {
		s.peers.Wake()
	}
	m.Refused = s.refusals.takeUnreported()
	count := min(len(s.registryUpdates), maxMessageUpdates)
	m.RegistryUpdates, s.registryUpdates = s.registryUpdates[:count:count], s.registryUpdates[count:]
	if len(s.registryUpdates) > 0 {
		s.peers.Wake()
	}
	for _, sp := range s.avoidances {
		if sp.Remaining > now {
			m.Suspicions = append(m.Suspicions, gossip.Suspicion{Server: sp.Server, Remaining: sp.Remaining - now})
		}
	}
	s.avoidances, s.ended = nil, nil
	clear(s.changed)
	return m
}

// Snapshot implements [gossip.State].
func (s *sharedState) Snapshot() []gossip.Message {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	messages := make(map[uint64]*gossip.Message)
	for _, t := range s.scheduler.Tasks() {
		m := messages[t.Entry]
		if m == nil {
			m = &gossip.Message{RunID: t.Entry}
			messages[t.Entry] = m
		}
		m.Tasks = append(m.Tasks, taskWithAge(t, now))
	}
	list := make([]gossip.Message, 0, len(messages))
	for _, m := range messages {
		list = append(list, *m)
	}
	return list
}

// Confirm implements [gossip.State].
func (s *sharedState) Confirm(c gossip.Confirmation) {
	s.onConfirmation(directory.Confirmation{AskedAt: c.AskedAt, Next: c.Next})
}

const (
	// readDelayStep is the delay between the reads of entries that are adjacent
	// in rank and both received no update from the others. It covers a call of
	// the store and a datagram.
	readDelayStep = 60 * oleanderspool.Millis(1)
	// readDelaySteps is the number of entries after which the delays between
	// entries are even parts of the rest of the maximum delay.
	readDelaySteps = 3
)

// ReadDelay implements [directory.Coordinator].
func (s *sharedState) ReadDelay(limit oleanderspool.Millis) oleanderspool.Millis {
	rank, others := s.peers.Rank(), s.peers.LivePeers()
	first := min(rank, readDelaySteps)
	delay := min(limit, oleanderspool.Millis(first)*readDelayStep)
	if later := others - readDelaySteps; later > 0 {
		delay += (limit - delay) * oleanderspool.Millis(rank-first) / oleanderspool.Millis(later)
	}
	return delay
}

// ReadsConfiguration implements [directory.Coordinator].
func (s *sharedState) ReadsConfiguration() bool {
	return s.peers.IsRelay()
}

// ServesConfirmations implements [directory.Coordinator].
func (s *sharedState) ServesConfirmations() bool {
	return s.peers.HasSubscribers()
}

// ConfirmConfiguration implements [directory.Coordinator].
func (s *sharedState) ConfirmConfiguration(at oleanderspool.Millis, next oleanderspool.Offset) {
	s.peers.ConfirmConfiguration(at, next)
}

// Publish implements [directory.Coordinator].
func (s *sharedState) Publish(u directory.RegistryUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registryUpdates = append(s.registryUpdates, u)
	s.peers.Wake()
}

func taskWithAge(t placement.Task, now oleanderspool.Millis) gossip.Task {
	return gossip.Task{Task: t, Age: now - t.PlacedAt}
}

// Apply implements [gossip.State].
func (s *sharedState) Apply(m gossip.Message) {
	for _, u := range m.RegistryUpdates {
		s.onRegistryUpdate(u)
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range m.Tasks {
		t := g.Task
		t.Entry, t.PlacedAt = m.RunID, now-g.Age
		if _, known := s.scheduler.Task(t.ID); !known && t.OutputTokens > 0 {
			s.scheduler.ObserveDelay(g.Age, now)
		}
		if t.Decoding {
			s.scheduler.FinishPrefill(t.ID, now)
		}
		s.scheduler.Add(t)
	}
	for _, id := range m.EndedTasks {
		s.scheduler.FinishPrefill(id, now)
		s.scheduler.Remove(id)
	}
	if m.Complete {
		keep := make(map[placement.TaskID]bool, len(m.Tasks))
		for _, g := range m.Tasks {
			keep[g.ID] = true
		}
		s.scheduler.Retain(m.RunID, keep)
	}
	effect := s.crashes.apply(m, now)
	s.announceQuarantined(effect.added)
	s.announceReleased(effect.released, false, "answer at another entry")
	if effect.reportable {
		s.peers.Wake()
	}
	for _, f := range m.Refused {
		s.refusals.add(f, now)
	}
	for _, sp := range m.Suspicions {
		s.scheduler.AvoidUntil(sp.Server, now+sp.Remaining, now)
	}
}

// RemoveEntry implements [gossip.State].
func (s *sharedState) RemoveEntry(entry uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Retain(entry, nil)
}
