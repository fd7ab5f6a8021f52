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

// The fleet's parameters, in milliseconds.
const (
	entryCount = 3
	// applicationRunners are watched too, so they count for the interval.
	applicationRunners = 3
	networkDelay       = 1
	reportLag          = 200
	// pumpInterval is the interval at which an agent looks at its queue even
	// without an event.
	pumpInterval = 50
	staleLag     = 3000
	// forecastInterval equals the tick of the entry's membership table.
	forecastInterval = 200
	detectionSpan    = 1000 // until entries notice a dead server
	maxRetries       = 2
	slowFactor       = 0.33
	// faultServer is the server that is slow or killed.
	faultServer = 5
	// partTokens is the largest part of a prompt on one engine. It leaves
	// memory for other requests.
	partTokens = engineMemory * 9 / 10
)

// reportInterval returns the interval at which an entry asks each of its watched
// agents for a report. It follows the steps of the entry process.
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

type status int

const (
	statusOpen status = iota
	statusFinished
	statusRefused
	statusFailed
)

// call is a request in the fleet.
type call struct {
	arrival
	number  int
	entry   *entry
	tries   int
	parts   []*part
	pending int // parts without a first token
	ended   bool
	firstAt oleanderspool.Millis
	status  status
	ticket  *admission.Ticket // nil without admission control
}

func (c *call) deadline() oleanderspool.Millis { return c.at + c.kind.Limit }

func (c *call) attempt(p *part) oleanderspool.AttemptID {
	return oleanderspool.AttemptID(fmt.Sprintf("%d.%d", c.number, c.tries*10+slices.Index(c.parts, p)))
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

// prompt returns a text whose first tokens, of four bytes, are those that
// requests with the same prefix share, followed by a unique rest.
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

// server is an engine with its agent.
type server struct {
	number int
	id     oleanderspool.InstanceID
	engine engine
	queue  Scheduler
	parts  map[oleanderspool.AttemptID]*part
	dead   bool
}

// entry places requests by reports that lag.
type entry struct {
	view      *View
	placement Placement
	tracker   Tracker               // nil for a placement that follows nothing
	admission *admission.Controller // nil admits everything
	known     []oleanderspool.BackendServer
}

type event struct {
	at       oleanderspool.Millis
	sequence int
	run      func()
}

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

// fleet is one run of a trace under a policy.
type fleet struct {
	setup      setup
	deployment Deployment
	trace      Trace
	policy     Policy
	now        oleanderspool.Millis
	events     events
	sequence   int
	servers    []*server
	entries    []*entry
	calls      []*call
	open       int
	work       float64 // prefill tokens done until the last arrival
	busy       float64 // engine milliseconds until the last arrival
}

func newFleet(s setup, d Deployment, t Trace, p Policy) *fleet {
	f := &fleet{setup: s, deployment: d, trace: t, policy: p}
	for i := range s.servers {
		f.servers = append(f.servers, &server{
			number: i,
			id:     oleanderspool.InstanceID(fmt.Sprintf("server%02d", i)),
			engine: engine{speed: 1},
			queue:  p.Queue(d),
			parts:  make(map[oleanderspool.AttemptID]*part),
		})
	}
	for i := range entryCount {
		random := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		e := &entry{view: newView()}
		e.placement = p.Router(e.view, random)
		e.tracker, _ = e.placement.(Tracker)
		if p.Admission != nil {
			e.admission = p.Admission()
		}
		for _, x := range f.servers {
			e.known = append(e.known, oleanderspool.BackendServer{
				Instance:   x.id,
				DataCentre: dataCentre,
				Models:     []oleanderspool.ModelID{model},
				ReportedAt: f.lag(), // no report arrives earlier
				Load:       oleanderspool.Load{PrefillRate: fullRate, FreeTokens: engineMemory, CapacityTokens: engineMemory},
			})
		}
		f.entries = append(f.entries, e)
	}
	return f
}

// after runs an action after a span.
func (f *fleet) after(span oleanderspool.Millis, run func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now + span, f.sequence, run})
}

// run plays a trace until every request has ended.
func (f *fleet) run(arrivals []arrival) {
	for i, a := range arrivals {
		c := &call{arrival: a, number: i, entry: f.entries[i%entryCount]}
		f.calls = append(f.calls, c)
		f.after(a.at, func() { f.admit(c) })
		f.after(a.at+a.kind.Limit, func() { f.end(c, statusFailed) })
	}
	f.open = len(f.calls)
	f.after(f.setup.duration, f.snapshot)
	f.plantFault()
	for _, e := range f.entries {
		if e.admission != nil {
			f.forecast(e)
		}
	}
	f.watch()
	for f.open > 0 && len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// snapshot records the work done while requests arrived.
func (f *fleet) snapshot() {
	for _, s := range f.servers {
		f.work += float64(s.engine.done)
		f.busy += s.engine.busy
	}
}

func (f *fleet) plantFault() {
	s := f.servers[faultServer%len(f.servers)]
	switch f.trace {
	case TraceSlow:
		f.after(f.setup.duration/4, func() { s.engine.speed = slowFactor })
	case TraceKilled:
		f.after(f.setup.duration/3, func() { f.kill(s) })
	}
}

// watch starts the reports and the timers of the agents. Each entry has its own
// stream of reports from each agent, so the phases differ.
func (f *fleet) watch() {
	interval := reportInterval(len(f.servers) + applicationRunners)
	phase := func(number, of int) oleanderspool.Millis {
		return interval * oleanderspool.Millis(number) / oleanderspool.Millis(of)
	}
	for _, s := range f.servers {
		f.after(phase(s.number, len(f.servers)), func() { f.pump(s) })
		for i, e := range f.entries {
			f.after(phase(s.number*entryCount+i, len(f.servers)*entryCount), func() { f.send(e, s, interval) })
		}
	}
}

// pump lets a server's agent look at its queue.
func (f *fleet) pump(s *server) {
	if s.dead {
		return
	}
	f.kick(s)
	f.after(pumpInterval, func() { f.pump(s) })
}

// send reports a server's load to an entry, now and after each interval.
func (f *fleet) send(e *entry, s *server, interval oleanderspool.Millis) {
	if s.dead {
		return
	}
	load := s.queue.Load(f.now)
	if _, plain := s.queue.(*fcfs); plain {
		load.RunningTokens = s.engine.remaining()
	}
	load.CapacityTokens = engineMemory
	load.FreeTokens = max(0, engineMemory-s.engine.used-s.queue.WaitingMemory())
	taken := f.now
	f.after(f.lag(), func() { e.report(s, load, f.now, taken) })
	f.after(interval, func() { f.send(e, s, interval) })
}

func (f *fleet) lag() oleanderspool.Millis {
	if f.trace == TraceStale {
		return staleLag
	}
	return reportLag
}

// report takes a load that arrives now. The entry knows its age, as the entry
// process does from the agent's clock.
func (e *entry) report(s *server, load oleanderspool.Load, now, taken oleanderspool.Millis) {
	e.known[s.number] = e.known[s.number].WithLoad(load, now)
	e.known[s.number].ReportAge = now - taken
}

// forecast brings the admission control of an entry up to date.
func (f *fleet) forecast(e *entry) {
	e.admission.SetForecast(admission.NewForecast(e.known))
	f.after(forecastInterval, func() { f.forecast(e) })
}

// admit asks the admission control of the request's entry.
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

// place chooses servers for a request, without the excluded ones.
func (f *fleet) place(c *call, excluded []oleanderspool.InstanceID) {
	if c.status != statusOpen {
		return
	}
	count := int((c.tokens + partTokens - 1) / partTokens)
	c.parts = c.parts[:0:0]
	c.pending, c.ended = count, false
	request := c.request()
	request.PromptTokens = int(c.tokens) / count
	for i := range count {
		s := f.choose(c.entry, request, excluded)
		if s == nil {
			f.end(c, statusRefused)
			return
		}
		excluded = append(slices.Clip(excluded), s.id)
		p := &part{call: c, server: s, tokens: c.tokens / int64(count), lead: i == 0}
		c.parts = append(c.parts, p)
		f.track(p, request)
		request.MaxTokens = 0 // the other parts generate nothing
	}
	for _, p := range c.parts {
		f.after(networkDelay, func() { f.arrive(p) })
	}
}

// track tells the entry's router of an assignment.
func (f *fleet) track(p *part, r oleanderspool.Request) {
	e, s := p.call.entry, p.server
	e.view.Outstanding[s.id]++
	p.sentAt = f.now
	if e.tracker != nil {
		p.expected = e.tracker.ExpectedDelay(r, e.known[s.number], f.now)
		e.tracker.Assignments().Start(p.call.attempt(p), r, s.id, f.now)
	}
}

// untrack tells the entry's router that an assignment has ended.
func (f *fleet) untrack(p *part) {
	e := p.call.entry
	e.view.Outstanding[p.server.id]--
	if e.tracker != nil {
		e.tracker.Assignments().End(p.call.attempt(p))
	}
}

func (f *fleet) choose(e *entry, r oleanderspool.Request, excluded []oleanderspool.InstanceID) *server {
	candidates := make([]oleanderspool.BackendServer, 0, len(e.known))
	for _, b := range e.known {
		if !b.Leaving && !slices.Contains(excluded, b.Instance) {
			candidates = append(candidates, b)
		}
	}
	b, ok := e.placement.Place(r, candidates, f.now)
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

// arrive adds a part to its server's queue.
func (f *fleet) arrive(p *part) {
	c, s := p.call, p.server
	if c.status != statusOpen || p.gone {
		return
	}
	if s.dead {
		f.replace(c, s)
		return
	}
	attempt := c.attempt(p)
	err := s.queue.Push(queue.Item{
		Attempt:      attempt,
		Account:      account(c.account),
		PromptTokens: p.tokens - s.engine.cached(c),
		OutputTokens: c.output,
		MemoryTokens: p.memory(),
		Deadline:     c.deadline(),
		Age:          f.now - c.at,
	}, f.now)
	if err != nil {
		f.refused(c, s, err)
		return
	}
	s.parts[attempt] = p
	f.kick(s)
}

// refused tries another server after a refusal that depends on the server.
func (f *fleet) refused(c *call, s *server, err error) {
	var refusal *oleanderspool.Refusal
	final := errors.As(err, &refusal) && refusal.Reason != oleanderspool.RefusalOverloaded
	if final || len(c.parts) > 1 {
		f.end(c, statusRefused)
		return
	}
	f.replace(c, s)
}

// replace drops the current attempt and places the request elsewhere.
func (f *fleet) replace(c *call, s *server) {
	f.drop(c)
	if c.tries++; c.tries > maxRetries {
		f.end(c, statusRefused)
		return
	}
	f.place(c, []oleanderspool.InstanceID{s.id})
}

// drop ends all parts of the current attempt.
func (f *fleet) drop(c *call) {
	for _, p := range c.parts {
		if p.gone {
			continue
		}
		attempt := c.attempt(p)
		s := p.server
		delete(s.parts, attempt)
		f.untrack(p)
		if s.queue.Cancel(attempt) || p.sequence == 0 {
			p.gone = true
			continue
		}
		s.engine.remove(p)
		s.queue.Finished(attempt, f.now)
		f.after(0, func() { f.kick(s) })
	}
}

func (f *fleet) end(c *call, s status) {
	if c.status != statusOpen {
		return
	}
	f.drop(c)
	c.status = s
	f.open--
	if c.ticket != nil {
		c.entry.admission.Finish(c.ticket)
	}
}

// kick hands work to a server's engine and starts a step if none runs.
func (f *fleet) kick(s *server) {
	if s.dead {
		return
	}
	d := s.queue.Next(engineMemory-s.engine.used, f.now)
	for _, x := range d.Start {
		p := s.parts[x.Attempt]
		p.priority = x.EnginePriority
		s.engine.admit(p)
	}
	for _, x := range d.Refused {
		p := s.parts[x.Attempt]
		delete(s.parts, x.Attempt)
		f.end(p.call, statusRefused)
	}
	f.step(s)
}

func (f *fleet) step(s *server) {
	if s.engine.stepping {
		return
	}
	span := s.engine.plan()
	if span == 0 {
		return
	}
	s.engine.stepping = true
	s.engine.busy += span
	f.after(milliseconds(span), func() { f.stepped(s) })
}

func (f *fleet) stepped(s *server) {
	s.engine.stepping = false
	if s.dead {
		return
	}
	first, ended := s.engine.finish()
	for _, p := range first {
		f.prefilled(p)
	}
	for _, p := range ended {
		p.call.ended = true
		f.leave(p)
		f.complete(p.call)
	}
	f.kick(s)
}

// prefilled handles the first token of a part.
func (f *fleet) prefilled(p *part) {
	c := p.call
	p.server.queue.FirstToken(c.attempt(p), f.now)
	if t := c.entry.tracker; t != nil {
		t.Slowness().Observe(p.server.id, p.expected, f.now-p.sentAt, f.now)
	}
	if !p.lead {
		f.leave(p)
	}
	if c.pending--; c.pending == 0 && c.firstAt == 0 {
		c.firstAt = f.now + networkDelay
		if c.ticket != nil {
			c.entry.admission.Prefilled(c.ticket)
		}
	}
	f.complete(c)
}

// leave ends a part that has done its work.
func (f *fleet) leave(p *part) {
	attempt := p.call.attempt(p)
	p.server.engine.remove(p)
	p.server.queue.Finished(attempt, f.now)
	delete(p.server.parts, attempt)
	f.untrack(p)
}

func (f *fleet) complete(c *call) {
	if c.ended && c.pending == 0 {
		f.end(c, statusFinished)
	}
}

// kill ends a server with all that it holds.
func (f *fleet) kill(s *server) {
	s.dead = true
	f.after(detectionSpan, func() {
		for _, e := range f.entries {
			e.known[s.number] = e.known[s.number].WithLeaving()
		}
		for _, c := range f.calls {
			lost := slices.ContainsFunc(c.parts, func(p *part) bool { return p.server == s && !p.gone })
			if c.status == statusOpen && lost {
				f.replace(c, s)
			}
		}
	})
}
