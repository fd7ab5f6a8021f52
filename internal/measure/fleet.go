package measure

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/admission"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// Parameters of the simulated fleet, with durations in milliseconds.
const (
	entryCount = 3
	// applicationRunners is the number of further runners that the entries
	// watch. They count towards the number that sets the report interval.
	applicationRunners = 3
	networkDelay       = 1
	normalReportDelay  = 200
	// queuePollInterval is the interval at which an agent checks its queue
	// independently of events.
	queuePollInterval = 50
	staleReportDelay  = 3000
	// forecastInterval equals the update interval of the entry's membership table.
	forecastInterval = 200
	detectionDelay   = 1000 // until the entries detect a crashed server
	maxRetries       = 2
	slowFactor       = 0.33
	// faultyServer is the index of the server that is slowed down or killed.
	faultyServer = 5
	// maxShardTokens is the largest number of prompt tokens on one engine. It
	// leaves memory for other requests.
	maxShardTokens = engineMemory * 9 / 10
)

// reportInterval returns the interval at which an entry requests a report from
// each agent that it watches. It has the same steps as the entry process.
func reportInterval(agents int) oleanderspool.Millis {
	switch {
	case agents <= 10:
		return 250
	case agents <= 20:
		return 500
	case agents <= 30:
		return 750
	default:
		return oleanderspool.Second
	}
}

// All servers are in one data centre and serve one model.
const (
	dataCentre oleanderspool.DataCentreID = "dc"
	model      oleanderspool.ModelID      = "m"
)

// status is the state or the outcome of a request.
type status int

const (
	statusOpen status = iota
	statusFinished
	statusRefused
	statusFailed
)

// call is a simulated client request.
type call struct {
	arrival
	number         int
	entry          *entry
	retries        int
	shards         []*shard
	pendingShards  int // shards without a first token
	outputFinished bool
	firstTokenAt   oleanderspool.Millis
	status         status
	ticket         *admission.Ticket // nil without admission control
}

func (c *call) deadline() oleanderspool.Millis { return c.at + c.kind.Timeout }

func (c *call) attempt(sh *shard) oleanderspool.AttemptID {
	return oleanderspool.AttemptID(fmt.Sprintf("%d.%d", c.number, c.retries*10+slices.Index(c.shards, sh)))
}

func (c *call) request() oleanderspool.Request {
	return oleanderspool.Request{
		ID:           oleanderspool.RequestID(fmt.Sprint(c.number)),
		Account:      account(c.account),
		Idempotent:   true,
		Model:        model,
		Prompt:       c.prompt(),
		PromptTokens: int(c.tokens),
		MaxTokens:    int(c.output),
		Deadline:     c.deadline(),
		Fingerprint:  oleanderspool.Fingerprint(c.number + 1),
	}
}

// prompt returns a text of four-byte tokens: the prefix that is shared by
// requests with the same prefix value, then a unique suffix.
func (c *call) prompt() string {
	unique := fmt.Sprintf("%016d", c.number)
	if c.prefix == 0 {
		return unique
	}
	return strings.Repeat(fmt.Sprintf("%016x", c.prefix), int(c.kind.Prefix)/4) + unique
}

func account(number int) oleanderspool.ClientAccountID {
	return oleanderspool.ClientAccountID(fmt.Sprint("account", number))
}

// server is a backend server: an engine with its agent.
type server struct {
	number int
	id     oleanderspool.InstanceID
	engine engine
	queue  Scheduler
	shards map[oleanderspool.AttemptID]*shard
	dead   bool
}

// entry places requests by delayed load reports.
type entry struct {
	state     *EntryState
	placer    Placer
	tracker   Tracker                       // nil if the placer is not a Tracker
	admission *admission.Controller         // nil admits everything
	servers   []oleanderspool.BackendServer // as last reported, by server number
}

// event is an action at a point of virtual time. Events of the same time run in
// the order in which they were scheduled.
type event struct {
	at       oleanderspool.Millis
	sequence int
	run      func()
}

// events is a heap of events; the earliest is first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// fleet is one simulation run of a trace under a policy.
type fleet struct {
	setup           setup
	deployment      Deployment
	trace           Trace
	policy          Policy
	now             oleanderspool.Millis
	events          events
	sequence        int
	servers         []*server
	entries         []*entry
	calls           []*call
	openCalls       int
	prefilledTokens float64 // prefill work done by the end of the arrivals
	busyMillis      float64 // engine time in steps by the end of the arrivals
}

func newFleet(s setup, d Deployment, t Trace, p Policy) *fleet {
	f := &fleet{setup: s, deployment: d, trace: t, policy: p}
	for i := range s.servers {
		f.servers = append(f.servers, &server{
			number: i,
			id:     oleanderspool.InstanceID(fmt.Sprintf("server%02d", i)),
			engine: engine{speed: 1},
			queue:  p.NewQueue(d),
			shards: make(map[oleanderspool.AttemptID]*shard),
		})
	}
	for i := range entryCount {
		random := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		e := &entry{state: newEntryState()}
		e.placer = p.NewPlacer(e.state, random)
		e.tracker, _ = e.placer.(Tracker)
		if p.NewAdmission != nil {
			e.admission = p.NewAdmission()
		}
		for _, x := range f.servers {
			e.servers = append(e.servers, oleanderspool.BackendServer{
				Instance:   x.id,
				DataCentre: dataCentre,
				Models:     []oleanderspool.ModelID{model},
				ReportedAt: f.reportDelay(), // a report cannot arrive earlier
				Load:       oleanderspool.Load{PrefillRate: fullStepRate, FreeTokens: engineMemory, CapacityTokens: engineMemory},
			})
		}
		f.entries = append(f.entries, e)
	}
	return f
}

// after schedules an action after a delay.
func (f *fleet) after(delay oleanderspool.Millis, run func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now + delay, f.sequence, run})
}

// run simulates a trace until every request has ended.
func (f *fleet) run(arrivals []arrival) {
	for i, a := range arrivals {
		c := &call{arrival: a, number: i, entry: f.entries[i%entryCount]}
		f.calls = append(f.calls, c)
		f.after(a.at, func() { f.admit(c) })
		f.after(a.at+a.kind.Timeout, func() { f.end(c, statusFailed) })
	}
	f.openCalls = len(f.calls)
	f.after(f.setup.duration, f.recordWork)
	f.scheduleFault()
	for _, e := range f.entries {
		if e.admission != nil {
			f.updateForecast(e)
		}
	}
	f.startAgents()
	for f.openCalls > 0 && len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// recordWork records the engines' work at the end of the arrivals, before the
// remaining requests complete.
func (f *fleet) recordWork() {
	for _, s := range f.servers {
		f.prefilledTokens += float64(s.engine.prefilledTokens)
		f.busyMillis += s.engine.busyMillis
	}
}

// scheduleFault schedules the server fault of the trace, if it has one.
func (f *fleet) scheduleFault() {
	s := f.servers[faultyServer%len(f.servers)]
	switch f.trace {
	case TraceSlow:
		f.after(f.setup.duration/4, func() { s.engine.speed = slowFactor })
	case TraceKilled:
		f.after(f.setup.duration/3, func() { f.kill(s) })
	}
}

// startAgents starts the load reports and queue timers of the agents. Each entry
// receives its own reports from each agent, at a different phase of the interval.
func (f *fleet) startAgents() {
	interval := reportInterval(len(f.servers) + applicationRunners)
	phase := func(number, count int) oleanderspool.Millis {
		return interval * oleanderspool.Millis(number) / oleanderspool.Millis(count)
	}
	for _, s := range f.servers {
		f.after(phase(s.number, len(f.servers)), func() { f.pollQueue(s) })
		for i, e := range f.entries {
			f.after(phase(s.number*entryCount+i, len(f.servers)*entryCount), func() { f.sendReport(e, s, interval) })
		}
	}
}

// pollQueue dispatches queued work of a server now and after each
// queuePollInterval.
func (f *fleet) pollQueue(s *server) {
	if s.dead {
		return
	}
	f.dispatch(s)
	f.after(queuePollInterval, func() { f.pollQueue(s) })
}

// sendReport reports a server's load to an entry, now and after each interval.
func (f *fleet) sendReport(e *entry, s *server, interval oleanderspool.Millis) {
	if s.dead {
		return
	}
	load := s.queue.Load(f.now)
	if _, isFCFS := s.queue.(*fcfs); isFCFS {
		load.RunningTokens = s.engine.remainingTokens()
	}
	load.CapacityTokens = engineMemory
	load.FreeTokens = max(0, engineMemory-s.engine.usedMemory-s.queue.WaitingMemory())
	sentAt := f.now
	f.after(f.reportDelay(), func() { e.receiveReport(s, load, f.now, sentAt) })
	f.after(interval, func() { f.sendReport(e, s, interval) })
}

// reportDelay returns the delay of a load report from agent to entry.
func (f *fleet) reportDelay() oleanderspool.Millis {
	if f.trace == TraceStale {
		return staleReportDelay
	}
	return normalReportDelay
}

// receiveReport stores a load report. The entry knows the age of the report, as
// the entry process does from the agent's clock.
func (e *entry) receiveReport(s *server, load oleanderspool.Load, now, sentAt oleanderspool.Millis) {
	e.servers[s.number] = e.servers[s.number].WithLoad(load, now)
	e.servers[s.number].ReportAge = now - sentAt
}

// updateForecast updates the forecast of an entry's admission controller, now and
// after each forecastInterval.
func (f *fleet) updateForecast(e *entry) {
	e.admission.SetForecast(admission.NewForecast(e.servers))
	f.after(forecastInterval, func() { f.updateForecast(e) })
}

// admit places a request if the admission controller of its entry, if any, admits
// it.
func (f *fleet) admit(c *call) {
	if e := c.entry; e.admission != nil {
		request := c.request()
		request.PromptTokens = int(c.tokens)
		ticket, refusal := e.admission.Admit(request, f.now)
		if refusal != nil {
			f.end(c, statusRefused)
			return
		}
		c.ticket = ticket
	}
	f.place(c, nil)
}

// place splits a request into shards and assigns each to a different server that
// is not excluded.
func (f *fleet) place(c *call, excluded []oleanderspool.InstanceID) {
	if c.status != statusOpen {
		return
	}
	count := int((c.tokens + maxShardTokens - 1) / maxShardTokens)
	c.shards = c.shards[:0:0]
	c.pendingShards, c.outputFinished = count, false
	request := c.request()
	request.PromptTokens = int(c.tokens) / count
	for i := range count {
		s := f.choose(c.entry, request, excluded)
		if s == nil {
			f.end(c, statusRefused)
			return
		}
		excluded = append(slices.Clip(excluded), s.id)
		sh := &shard{call: c, server: s, tokens: c.tokens / int64(count), primary: i == 0}
		c.shards = append(c.shards, sh)
		f.startAssignment(sh, request)
		request.MaxTokens = 0 // only the first shard generates output
	}
	for _, sh := range c.shards {
		f.after(networkDelay, func() { f.enqueue(sh) })
	}
}

// startAssignment records an assignment in the entry's state and router.
func (f *fleet) startAssignment(sh *shard, r oleanderspool.Request) {
	e, s := sh.call.entry, sh.server
	e.state.Outstanding[s.id]++
	sh.sentAt = f.now
	if e.tracker != nil {
		sh.expectedDelay = e.tracker.ExpectedDelay(r, e.servers[s.number], f.now)
		e.tracker.Assignments().Start(sh.call.attempt(sh), r, s.id, f.now)
	}
}

// endAssignment removes an assignment from the entry's state and router.
func (f *fleet) endAssignment(sh *shard) {
	e := sh.call.entry
	e.state.Outstanding[sh.server.id]--
	if e.tracker != nil {
		e.tracker.Assignments().End(sh.call.attempt(sh))
	}
}

// choose returns the server that the entry's placer chooses, or nil.
func (f *fleet) choose(e *entry, r oleanderspool.Request, excluded []oleanderspool.InstanceID) *server {
	candidates := make([]oleanderspool.BackendServer, 0, len(e.servers))
	for _, b := range e.servers {
		if !b.Leaving && !slices.Contains(excluded, b.Instance) {
			candidates = append(candidates, b)
		}
	}
	b, ok := e.placer.Place(r, candidates, f.now)
	if !ok {
		return nil
	}
	for _, s := range f.servers {
		if s.id == b.Instance {
			return s
		}
	}
	return nil
}

// enqueue adds a shard to its server's queue. If the server is dead, the request is
// retried on another one.
func (f *fleet) enqueue(sh *shard) {
	c, s := sh.call, sh.server
	if c.status != statusOpen || sh.removed {
		return
	}
	if s.dead {
		f.retry(c, s)
		return
	}
	attempt := c.attempt(sh)
	err := s.queue.Push(queue.Item{
		Attempt:      attempt,
		Account:      account(c.account),
		PromptTokens: sh.tokens - s.engine.cachedTokens(c),
		OutputTokens: c.output,
		MemoryTokens: sh.memory(),
		Deadline:     c.deadline(),
		Age:          f.now - c.at,
	}, f.now)
	if err != nil {
		f.handleRefusal(c, s, err)
		return
	}
	s.shards[attempt] = sh
	f.dispatch(s)
}

// handleRefusal retries a request of one shard on another server if the first one
// refused it as overloaded. Any other refusal is final.
func (f *fleet) handleRefusal(c *call, s *server, err error) {
	var refusal *oleanderspool.Refusal
	final := errors.As(err, &refusal) && refusal.Reason != oleanderspool.RefusalOverloaded
	if final || len(c.shards) > 1 {
		f.end(c, statusRefused)
		return
	}
	f.retry(c, s)
}

// retry ends the current attempt and places the request on another server, up to
// maxRetries times.
func (f *fleet) retry(c *call, s *server) {
	f.dropAttempt(c)
	if c.retries++; c.retries > maxRetries {
		f.end(c, statusRefused)
		return
	}
	f.place(c, []oleanderspool.InstanceID{s.id})
}

// dropAttempt ends all shards of the current attempt.
func (f *fleet) dropAttempt(c *call) {
	for _, sh := range c.shards {
		if sh.removed {
			continue
		}
		attempt := c.attempt(sh)
		s := sh.server
		delete(s.shards, attempt)
		f.endAssignment(sh)
		if s.queue.Cancel(attempt) || sh.sequence == 0 {
			sh.removed = true
			continue
		}
		s.engine.remove(sh)
		s.queue.Finished(attempt, f.now)
		f.after(0, func() { f.dispatch(s) })
	}
}

// end records the outcome of a request and releases its resources.
func (f *fleet) end(c *call, s status) {
	if c.status != statusOpen {
		return
	}
	f.dropAttempt(c)
	c.status = s
	f.openCalls--
	if c.ticket != nil {
		c.entry.admission.Finish(c.ticket)
	}
}

// dispatch starts queued work in a server's engine, ends requests that the queue
// refuses, and starts a step if none is running.
func (f *fleet) dispatch(s *server) {
	if s.dead {
		return
	}
	d := s.queue.Next(engineMemory-s.engine.usedMemory, f.now)
	for _, x := range d.Dispatches {
		sh := s.shards[x.Attempt]
		sh.priority = x.EnginePriority
		s.engine.admit(sh)
	}
	for _, x := range d.Refused {
		sh := s.shards[x.Attempt]
		delete(s.shards, x.Attempt)
		f.end(sh.call, statusRefused)
	}
	f.startStep(s)
}

// startStep starts a step of a server's engine if there is work and none is
// running.
func (f *fleet) startStep(s *server) {
	if s.engine.stepping {
		return
	}
	duration := s.engine.planStep()
	if duration == 0 {
		return
	}
	s.engine.stepping = true
	s.engine.busyMillis += duration
	f.after(milliseconds(duration), func() { f.finishStep(s) })
}

// finishStep handles the end of a step and starts the next one.
func (f *fleet) finishStep(s *server) {
	s.engine.stepping = false
	if s.dead {
		return
	}
	first, finished := s.engine.finishStep()
	for _, sh := range first {
		f.handleFirstToken(sh)
	}
	for _, sh := range finished {
		sh.call.outputFinished = true
		f.finishShard(sh)
		f.endIfComplete(sh.call)
	}
	f.dispatch(s)
}

// handleFirstToken handles the end of the prefill of a shard. The request has its
// first token when all of its shards are prefilled.
func (f *fleet) handleFirstToken(sh *shard) {
	c := sh.call
	sh.server.queue.FirstToken(c.attempt(sh), f.now)
	if t := c.entry.tracker; t != nil {
		t.Slowness().Observe(sh.server.id, sh.expectedDelay, f.now-sh.sentAt, f.now)
	}
	if !sh.primary {
		f.finishShard(sh)
	}
	if c.pendingShards--; c.pendingShards == 0 && c.firstTokenAt == 0 {
		c.firstTokenAt = f.now + networkDelay
		if c.ticket != nil {
			c.entry.admission.FirstToken(c.ticket)
		}
	}
	f.endIfComplete(c)
}

// finishShard ends a shard that has completed its work.
func (f *fleet) finishShard(sh *shard) {
	attempt := sh.call.attempt(sh)
	sh.server.engine.remove(sh)
	sh.server.queue.Finished(attempt, f.now)
	delete(sh.server.shards, attempt)
	f.endAssignment(sh)
}

// endIfComplete ends a request once its output is generated and all shards are
// prefilled.
func (f *fleet) endIfComplete(c *call) {
	if c.outputFinished && c.pendingShards == 0 {
		f.end(c, statusFinished)
	}
}

// kill stops a server. The entries detect this after detectionDelay and retry the
// requests that it held.
func (f *fleet) kill(s *server) {
	s.dead = true
	f.after(detectionDelay, func() {
		for _, e := range f.entries {
			e.servers[s.number] = e.servers[s.number].WithLeaving()
		}
		for _, c := range f.calls {
			lost := slices.ContainsFunc(c.shards, func(sh *shard) bool { return sh.server == s && !sh.removed })
			if c.status == statusOpen && lost {
				f.retry(c, s)
			}
		}
	})
}
