package measure

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// The fleet's parameters, in milliseconds.
const (
	entryCount     = 3
	networkDelay   = 1
	reportInterval = 100
	reportLag      = 200
	staleLag       = 3000
	detectionSpan  = 1000 // until entries notice a dead server
	maxRetries     = 2
	slowFactor     = 0.33
	// faultServer is the server that is slow or killed.
	faultServer = 5
	// partTokens is the largest part of a prompt on one engine. It leaves
	// memory for other requests.
	partTokens = engineMemory * 9 / 10
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
}

func (c *call) deadline() oleanderspool.Millis { return c.at + c.kind.Limit }

func (c *call) attempt(p *part) oleanderspool.AttemptID {
	return oleanderspool.AttemptID(fmt.Sprintf("%d.%d", c.number, c.tries*10+slices.Index(c.parts, p)))
}

func (c *call) request() oleanderspool.Request {
	return oleanderspool.Request{
		ID:          oleanderspool.RequestID(fmt.Sprint(c.number)),
		Account:     account(c.account),
		Idempotent:  true,
		PromptCount: int(c.tokens),
		MaxTokens:   int(c.output),
		Deadline:    c.deadline(),
		Fingerprint: oleanderspool.Fingerprint(c.prefix),
	}
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
	known     []oleanderspool.BackendServer
	recent    [][]assignment // by server
}

// assignment is a placement that no report shows yet.
type assignment struct {
	at     oleanderspool.Millis
	tokens int64
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
		e := &entry{view: newView(), recent: make([][]assignment, s.servers)}
		e.placement = p.Router(d, e.view, random)
		for _, x := range f.servers {
			load := oleanderspool.Load{PrefillRate: fullRate}
			e.known = append(e.known, oleanderspool.BackendServer{Instance: x.id, Load: load})
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
		f.after(a.at, func() { f.place(c, nil) })
		f.after(a.at+a.kind.Limit, func() { f.end(c, statusFailed) })
	}
	f.open = len(f.calls)
	f.after(f.setup.duration, f.snapshot)
	f.plantFault()
	for _, s := range f.servers {
		f.after(oleanderspool.Millis(s.number)*reportInterval/oleanderspool.Millis(len(f.servers)), func() { f.tick(s) })
	}
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

// tick reports a server's load and lets its agent look at its queue.
func (f *fleet) tick(s *server) {
	if s.dead {
		return
	}
	f.kick(s)
	load := s.queue.Load(f.now)
	if _, plain := s.queue.(*fcfs); plain {
		load.RunningTokens = s.engine.remaining()
	}
	load.SizeTokens = engineMemory
	load.FreeTokens = engineMemory - s.engine.used - load.QueuedTokens
	ahead, taken := f.ahead(s), f.now
	f.after(f.lag(), func() { f.report(s, load, ahead, taken) })
	f.after(reportInterval, func() { f.tick(s) })
}

// ahead returns the work that requests of each class would wait for.
func (f *fleet) ahead(s *server) ClassTokens {
	var c ClassTokens
	if q, ok := s.queue.(*queue.Queue); ok {
		for i, bound := range classBounds {
			c[i] = q.WorkUpTo(bound, f.now)
		}
		c[len(c)-1] = q.WorkUpTo(engineMemory, f.now)
	}
	return c
}

func (f *fleet) lag() oleanderspool.Millis {
	if f.trace == TraceStale {
		return staleLag
	}
	return reportLag
}

func (f *fleet) report(s *server, load oleanderspool.Load, ahead ClassTokens, taken oleanderspool.Millis) {
	for _, e := range f.entries {
		e.known[s.number] = e.known[s.number].WithLoad(load, f.now)
		e.recent[s.number] = slices.DeleteFunc(e.recent[s.number], func(a assignment) bool { return a.at <= taken })
		var assigned ClassTokens
		for _, a := range e.recent[s.number] {
			assigned = assigned.addUpTo(lengthClass(a.tokens), a.tokens)
		}
		e.view.Ahead[s.id], e.view.Assigned[s.id] = ahead, assigned
	}
}

// place chooses servers for a request, without the excluded ones.
func (f *fleet) place(c *call, excluded []oleanderspool.InstanceID) {
	if c.status != statusOpen {
		return
	}
	count := int((c.tokens + partTokens - 1) / partTokens)
	c.parts = c.parts[:0:0]
	c.pending, c.ended = count, false
	c.entry.view.PrefixTokens = c.kind.Prefix
	request := c.request()
	request.PromptCount = int(c.tokens) / count
	for i := range count {
		s := f.choose(c.entry, request, excluded)
		if s == nil {
			f.end(c, statusRefused)
			return
		}
		excluded = append(slices.Clip(excluded), s.id)
		p := &part{call: c, server: s, tokens: c.tokens / int64(count), lead: i == 0}
		c.parts = append(c.parts, p)
		c.entry.recent[s.number] = append(c.entry.recent[s.number], assignment{f.now, p.tokens})
		c.entry.view.assigned(request, s.id)
	}
	for _, p := range c.parts {
		f.after(networkDelay, func() { f.arrive(p) })
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
		c.entry.view.Outstanding[s.id]--
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
	if !p.lead {
		f.leave(p)
	}
	if c.pending--; c.pending == 0 && c.firstAt == 0 {
		c.firstAt = f.now + networkDelay
	}
	f.complete(c)
}

// leave ends a part that has done its work.
func (f *fleet) leave(p *part) {
	attempt := p.call.attempt(p)
	p.server.engine.remove(p)
	p.server.queue.Finished(attempt, f.now)
	delete(p.server.parts, attempt)
	p.call.entry.view.Outstanding[p.server.id]--
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
