package forward

import (
	"sync"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

// shared is what all requests of the entry share: the work of all entries, the
// suspects and the retry budgets. It is safe for concurrent use.
type shared struct {
	clock  oleanderspool.Clock
	entry  uint64
	name   oleanderspool.InstanceID
	ratio  float64
	extra  float64
	wake   func()
	others func() int
	rank   func() int
	hear   func(directory.RegistryUpdate)

	mu       sync.Mutex
	board    *placement.Scheduler
	crashes  *crashLedger
	returns  *returnLedger
	budgets  map[string]*retry.Budget
	lastID   uint64
	changed  map[placement.TaskID]bool
	ended    []placement.TaskID
	troubles []gossip.Suspicion         // with the instant of the end in Remaining
	news     []directory.RegistryUpdate // not told yet
}

var (
	_ gossip.State          = (*shared)(nil)
	_ directory.Coordinator = (*shared)(nil)
)

// placed is a request on its servers.
type placed struct {
	placement.Decision
	ids      []placement.TaskID
	placedAt oleanderspool.Millis
}

// reserves reports whether a helper has to hold memory.
func (p placed) reserves() bool {
	for _, h := range p.Helpers {
		if h.ReservedTokens > 0 {
			return true
		}
	}
	return false
}

// helpers returns the names of the helpers.
func (p placed) helpers() []oleanderspool.InstanceID {
	names := make([]oleanderspool.InstanceID, len(p.Helpers))
	for i, h := range p.Helpers {
		names[i] = h.Server.Instance
	}
	return names
}

// place chooses servers and notes the work.
func (s *shared) place(servers []directory.Server, e *directory.Engine, r placement.Request) (placed, bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d, found := s.board.Choose(servers, e, r, now)
	if !found || d.Refuse {
		return placed{Decision: d}, false
	}
	p := placed{Decision: d, placedAt: now}
	for _, w := range placement.Tasks(d, e, r, now) {
		s.lastID++
		w.ID = placement.TaskID(s.entry<<24 ^ s.lastID)
		w.Entry = s.entry
		s.board.Add(w)
		s.changed[w.ID] = true
		p.ids = append(p.ids, w.ID)
	}
	s.wake()
	return p, true
}

// write notes that the first token of a request has come. Helpers that hold no
// memory for it are done.
func (s *shared) write(p placed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, id := range p.ids {
		if i > 0 && p.Helpers[i-1].ReservedTokens == 0 {
			s.remove(p.ids[i : i+1])
			continue
		}
		s.board.MarkDecoding(id)
		s.changed[id] = true
	}
	s.wake()
}

// end notes that a request has left its servers.
func (s *shared) end(p placed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(p.ids)
	s.wake()
}

func (s *shared) remove(ids []placement.TaskID) {
	for _, id := range ids {
		if _, found := s.board.Task(id); found {
			s.board.Remove(id)
			s.ended = append(s.ended, id)
			delete(s.changed, id)
		}
	}
}

// avoid notes that a server failed.
func (s *shared) avoid(server oleanderspool.InstanceID) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.board.RecordFailure(server, now)
	s.troubles = append(s.troubles, gossip.Suspicion{Server: server, Remaining: until})
	s.wake()
}

// admit counts a request for the budget of its service.
func (s *shared) admit(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).RecordAdmission(s.clock.Now())
}

// takeRetry draws a retry from the budget of a service.
func (s *shared) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget(service)
	// One more share than entries are known leaves room for one that has just
	// started.
	b.SetReserve(int(s.extra * budgetPart / float64(s.others()+2)))
	return b.Take(s.clock.Now())
}

// budgetPart is the part of the fleet's retry budget that is used. The rest
// covers entries that count the window differently.
const budgetPart = 0.8

func (s *shared) budget(service string) *retry.Budget {
	b := s.budgets[service]
	if b == nil {
		b = retry.NewBudget(s.ratio*budgetPart, 0)
		s.budgets[service] = b
	}
	return b
}

func (s *shared) crashed(f oleanderspool.Fingerprint, server oleanderspool.InstanceID) int {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.see(f, server, now)
	s.wake()
	return s.crashes.count(f, now)
}

func (s *shared) crashCount(f oleanderspool.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.count(f, s.clock.Now())
}

// askBack notes that a request is asked to come back.
func (s *shared) askBack(f oleanderspool.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns.refuse(f, s.clock.Now())
	s.wake()
}

// returned reports whether an entry asked a request to come back.
func (s *shared) returned(f oleanderspool.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returns.expected(f, s.clock.Now())
}

// answered notes that a server answered a request.
func (s *shared) answered(f oleanderspool.Fingerprint, server oleanderspool.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.answer(f, s.clock.Now())
	s.board.RecordSuccess(server)
}

// Report implements [gossip.State].
func (s *shared) Report(complete bool) gossip.Message {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := gossip.Message{Entry: s.entry, Instance: s.name, Complete: complete, EndedTasks: s.ended}
	if complete {
		s.board.Expire(now)
		s.crashes.expire(now)
		s.returns.expire(now)
		for _, w := range s.board.TasksOf(s.entry) {
			m.Tasks = append(m.Tasks, aged(w, now))
		}
	} else {
		for id := range s.changed {
			if w, found := s.board.Task(id); found {
				m.Tasks = append(m.Tasks, aged(w, now))
			}
		}
	}
	m.Crashes = s.crashes.told(now)
	m.Refused = s.returns.told()
	m.Answered = s.crashes.toldAnswered()
	m.RegistryUpdates, s.news = s.news, nil
	for _, t := range s.troubles {
		if t.Remaining > now {
			m.Suspicions = append(m.Suspicions, gossip.Suspicion{Server: t.Server, Remaining: t.Remaining - now})
		}
	}
	s.troubles, s.ended = nil, nil
	clear(s.changed)
	return m
}

const (
	// turnStep is the span between the reads of two entries that both miss the news
	// of the others. It covers a call of the store and a datagram.
	turnStep = 60 * oleanderspool.Millis(1)
	// lateStep is that span after the first turnSteps entries, so that many entries
	// take turns within the notice of a server that leaves.
	lateStep  = 10 * oleanderspool.Millis(1)
	turnSteps = 3
	// maxTurn bounds the span for any number of entries.
	maxTurn = 450 * oleanderspool.Millis(1)
)

// ReadDelay implements [directory.Coordinator].
func (s *shared) ReadDelay() oleanderspool.Millis {
	rank := s.rank()
	first := min(rank, turnSteps)
	return min(maxTurn, oleanderspool.Millis(first)*turnStep+oleanderspool.Millis(rank-first)*lateStep)
}

// Publish implements [directory.Coordinator].
func (s *shared) Publish(n directory.RegistryUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.news = append(s.news, n)
	s.wake()
}

func aged(w placement.Task, now oleanderspool.Millis) gossip.Task {
	return gossip.Task{Task: w, Age: now - w.PlacedAt}
}

// Apply implements [gossip.State].
func (s *shared) Apply(m gossip.Message) {
	for _, n := range m.RegistryUpdates {
		s.hear(n)
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := make(map[placement.TaskID]bool, len(m.Tasks))
	for _, g := range m.Tasks {
		w := g.Task
		w.Entry, w.PlacedAt = m.Entry, now-g.Age
		keep[w.ID] = true
		s.board.Add(w)
	}
	for _, id := range m.EndedTasks {
		s.board.Remove(id)
	}
	if m.Complete {
		s.board.Retain(m.Entry, keep)
	}
	for _, c := range m.Crashes {
		s.crashes.add(c.Fingerprint, c.Server, now-c.Age)
	}
	for _, f := range m.Answered {
		s.crashes.clear(f, now)
	}
	for _, f := range m.Refused {
		s.returns.add(f, now)
	}
	for _, t := range m.Suspicions {
		s.board.AvoidUntil(t.Server, now+t.Remaining, now)
	}
}

// RemoveEntry implements [gossip.State].
func (s *shared) RemoveEntry(entry uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Retain(entry, nil)
}
