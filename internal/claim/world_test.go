package claim_test

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

const timeLimit = 5 * oleanderspool.Second

var tableLimits = attempt.Limits{
	StartWindow: 8000, ReaderTimeout: 3000, KeyLifetime: limits.KeyLifetime,
	UnkeyedRetention: 1000, MaxAnswerBytes: 150, MaxEnded: 100,
}

type entry struct {
	state    *claim.State
	batcher  *claim.Batcher
	origin   oleanderspool.Millis // of the entry's clock
	paused   bool
	dead     bool
	open     []*submission
	inFlight *claim.AppendResult
	offset   oleanderspool.Offset
	reports  [2]claim.ServerChosen // latest report of each agent
	clocks   [2]oleanderspool.Millis
}

type agent struct {
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
	table       *attempt.Table
	origin      oleanderspool.Millis
	accepted    []oleanderspool.AttemptID
}

type world struct {
	t       *rapid.T
	seen    map[string]int
	now     oleanderspool.Millis
	log     []oleanderspool.Record
	times   []oleanderspool.Millis // of the records
	kept    int                    // index of the first kept record
	late    [][]byte
	outage  bool
	entries [3]*entry
	agents  [2]*agent
	net     []*message
	all     []*submission
	owners  map[oleanderspool.AttemptID]*submission
	ran     map[string]oleanderspool.AttemptID               // keys that have run
	chosen  map[oleanderspool.AttemptID]oleanderspool.Millis // instants of the choices
	delayed []*message
	names   [3]string // keys in use
	unique  int
}

func newWorld(t *rapid.T, seen map[string]int) *world {
	w := &world{t: t, seen: seen, owners: map[oleanderspool.AttemptID]*submission{}, ran: map[string]oleanderspool.AttemptID{}, chosen: map[oleanderspool.AttemptID]oleanderspool.Millis{}}
	for i := range w.agents {
		w.startAgent(i)
	}
	for i := range w.entries {
		w.startEntry(i)
	}
	return w
}

func (w *world) id() string { w.unique++; return fmt.Sprint(w.unique) }

func (w *world) below(n int, label string) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *world) startAgent(i int) {
	incarnation := oleanderspool.Incarnation("n" + w.id())
	w.agents[i] = &agent{instance: oleanderspool.InstanceID(fmt.Sprint("i", i)), incarnation: incarnation, table: attempt.NewTable(incarnation, tableLimits), origin: w.now}
}

func (w *world) startEntry(i int) {
	if old := w.entries[i]; old != nil {
		old.dead = true
		for _, s := range old.open {
			s.closed = true
		}
	}
	w.entries[i] = &entry{
		state:   claim.NewState(limits),
		batcher: claim.NewBatcher(claim.BatchLimits{MaxClaims: 3, MaxBytes: 4000, MaxPending: 100}),
		origin:  w.now - oleanderspool.Millis(i*1000),
	}
	w.report(w.entries[i])
}

func (w *world) report(e *entry) {
	for i, a := range w.agents {
		e.reports[i] = claim.ServerChosen{Instance: a.instance, Incarnation: a.incarnation}
		e.clocks[i] = w.now - a.origin
	}
}

func (w *world) entry() *entry { return w.entries[w.below(len(w.entries), "entry")] }

// submit sends a key to an entry as an honest caller does: it says when an
// earlier outcome is unknown. Keys stay in use beyond their lifetime.
func (w *world) submit() {
	e, k := w.entry(), w.below(len(w.names), "key")
	if w.names[k] == "" || w.below(5, "new") == 0 {
		w.names[k] = "k" + w.id()
	}
	w.submitTo(e, w.names[k], w.below(10, "print")/9)
}

func (w *world) submitTo(e *entry, key string, print int) *submission {
	s := &submission{number: len(w.all), key: key, print: print, entry: e, at: w.now}
	unsettled := slices.ContainsFunc(w.all, func(o *submission) bool {
		return o.key == key && !o.notRun && w.now-o.at < limits.KeyLifetime+timeLimit
	})
	s.resolver = claim.NewResolver(claim.Submission{
		Key: newClaim(key, "", "").Key, Fingerprint: oleanderspool.Fingerprint(print), Request: oleanderspool.RequestID(w.id()),
		Deadline: w.now - e.origin + timeLimit, EarlierOutcomeUnknown: unsettled,
	}, e.state, claim.DefaultDelays)
	w.all = append(w.all, s)
	e.open = append(e.open, s)
	if e.paused {
		s.closed = true // the caller gets no connection
	}
	w.handle(s, claim.Arrived{LogOutage: w.outage})
	return s
}

func (w *world) handle(s *submission, event claim.Event) {
	if s.entry.paused || s.entry.dead {
		return
	}
	now := w.now - s.entry.origin
	decision := s.resolver.Handle(event, now)
	if s.closed {
		if _, wait := decision.(claim.Wait); s.refused && !wait {
			w.t.Fatalf("%s was refused and decides: %s", s, decision)
		}
		return
	}
	switch d := decision.(type) {
	case claim.ChooseServer:
		i := w.below(len(w.agents), "agent")
		c := s.entry.reports[i]
		c.Attempt = attempt.NewID(attempt.ClassKeyed, s.entry.clocks[i], w.id())
		w.owners[c.Attempt], w.chosen[c.Attempt] = s, w.now
		w.handle(s, c)
	case claim.Append:
		if err := s.entry.batcher.Add(d.Claim, now); err != nil {
			w.t.Fatal(err)
		}
	case claim.Send:
		w.ask(s, d, d.Claim)
	case claim.Attach:
		w.ask(s, d, d.Claim)
	case claim.Bar:
		w.ask(s, d, d.Claim)
	case claim.Refuse:
		w.refused(s, d.Refusal)
	}
}

func (w *world) ask(s *submission, d claim.Decision, c claim.Claim) {
	s.asked = c
	w.net = append(w.net, &message{to: s, ask: d})
}

func (w *world) refused(s *submission, refusal *oleanderspool.Refusal) {
	s.closed, s.refused = true, true
	w.seen[refusal.Execution.String()]++
	w.seen[string(refusal.Reason)]++
	id, ran := w.ran[s.key]
	if refusal.Execution == oleanderspool.Ran && !ran {
		w.t.Fatalf("%s: %v, but the key has not run", s, refusal)
	}
	if refusal.Execution != oleanderspool.NotRun {
		return
	}
	s.notRun = true
	if ran && w.now-w.chosen[id] < limits.KeyLifetime && w.owners[id].number <= s.number && refusal.Reason != oleanderspool.RefusalKeyReused {
		w.t.Fatalf("%s: %v, but attempt %s ran", s, refusal, id)
	}
}

// take returns a message of the network and removes it.
func (w *world) take(accept func(m *message) bool) *message {
	var fit []int
	for i, m := range w.net {
		if accept(m) {
			fit = append(fit, i)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	i := fit[w.below(len(fit), "message")]
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	return m
}

func anyMessage(*message) bool { return true }

func isSend(m *message) bool {
	_, send := m.ask.(claim.Send)
	return send
}

func (w *world) deliver() {
	if m := w.take(anyMessage); m != nil {
		w.arrive(m)
	}
}

func (w *world) arrive(m *message) {
	if m.reply == nil {
		w.answer(m)
		return
	}
	if m.to.entry.paused {
		w.net = append(w.net, m)
		return
	}
	w.handle(m.to, m.reply)
	if reply, ok := m.reply.(claim.Replied); ok && reply.State == attempt.StateFinished && reply.Attempt == m.to.asked.Attempt && !m.to.closed {
		w.served(m)
	}
}

func (w *world) served(m *message) {
	if m.text == "" {
		return // a reply to a bar carries no answer
	}
	owner := w.owners[oleanderspool.AttemptID(m.text)]
	if owner.key != m.to.key || owner.print != m.to.print {
		w.t.Fatalf("%s got the answer of %s", m.to, owner)
	}
	m.to.closed = true
	w.seen["served"]++
	if owner != m.to {
		w.seen["replayed"]++
	}
}

// answer lets the agent of the asked claim take a request.
func (w *world) answer(m *message) {
	reply := &message{to: m.to}
	respond := func(c claim.Claim, f func(a *agent, now oleanderspool.Millis) attempt.Reply) {
		a := w.agents[slices.IndexFunc(w.agents[:], func(a *agent) bool { return a.instance == c.Instance })]
		r := f(a, w.now-a.origin)
		for _, p := range r.Pieces {
			reply.text += p.Text
		}
		reply.reply = claim.Replied{Attempt: c.Attempt, State: r.State, Refusal: r.Refusal}
	}
	switch d := m.ask.(type) {
	case claim.Send:
		respond(d.Claim, func(a *agent, now oleanderspool.Millis) attempt.Reply {
			state, ok := a.table.Start(attempt.Start{Attempt: d.Claim.Attempt, Request: d.Claim.Request, Incarnation: d.Claim.Incarnation, Remaining: timeLimit}, now)
			if ok {
				a.accepted = append(a.accepted, d.Claim.Attempt)
				a.table.Detach(d.Claim.Attempt, now)
			}
			return attempt.Reply{State: state}
		})
	case claim.Attach:
		respond(d.Claim, func(a *agent, now oleanderspool.Millis) attempt.Reply {
			r := a.table.Attach(d.Claim.Attempt, d.Claim.Incarnation, 1, now)
			a.table.Detach(d.Claim.Attempt, now)
			return r
		})
	case claim.Bar:
		respond(d.Claim, func(a *agent, now oleanderspool.Millis) attempt.Reply {
			return attempt.Reply{State: a.table.Bar(d.Claim.Attempt, d.Claim.Incarnation, now)}
		})
	}
	w.net = append(w.net, reply)
}

func (w *world) duplicate() {
	accept := isSend
	if w.below(2, "any") == 0 {
		accept = anyMessage
	}
	if m := w.take(accept); m != nil {
		m.duplicated = true
		w.net, w.delayed = append(w.net, m), append(w.delayed, m)
	}
}

// deliverDelayed delivers a copy of a message that took a long way.
func (w *world) deliverDelayed() {
	if len(w.delayed) > 0 {
		i := w.below(len(w.delayed), "delayed")
		m := w.delayed[i]
		w.delayed = slices.Delete(w.delayed, i, i+1)
		w.arrive(m)
	}
}

func (w *world) drop() { w.take(anyMessage) }

func (w *world) notSent() {
	m := w.take(func(m *message) bool { return isSend(m) && !m.duplicated && !m.to.entry.paused })
	if m != nil {
		w.handle(m.to, claim.NotSent{Attempt: m.ask.(claim.Send).Claim.Attempt})
	}
}

func (w *world) eachOpen(e *entry, event func(s *submission) claim.Event) {
	for _, s := range slices.Clone(e.open) {
		w.handle(s, event(s))
	}
	e.open = slices.DeleteFunc(e.open, func(s *submission) bool { return s.closed })
}

func (w *world) silent() { w.silentAt(w.entry()) }

func (w *world) silentAt(e *entry) {
	w.eachOpen(e, func(s *submission) claim.Event { return claim.StreamTimedOut{Attempt: s.asked.Attempt} })
}

func (w *world) unreachable() {
	w.eachOpen(w.entry(), func(s *submission) claim.Event {
		if w.below(4, "unreachable") > 0 {
			return claim.LogRead{}
		}
		return claim.Unreachable{Attempt: s.asked.Attempt}
	})
}

// work lets an agent run, refuse or fail one accepted attempt.
func (w *world) work() {
	a := w.agents[w.below(len(w.agents), "agent")]
	if len(a.accepted) == 0 {
		return
	}
	i := w.below(len(a.accepted), "attempt")
	id := a.accepted[i]
	a.accepted = slices.Delete(a.accepted, i, i+1)
	if !a.table.Begin(id, w.now-a.origin) {
		return
	}
	refusal := oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "")
	outcome := w.below(6, "outcome")
	if outcome == 0 {
		a.table.Fail(id, refusal, w.now-a.origin)
		return
	}
	w.run(id)
	if outcome == 1 {
		a.table.Fail(id, refusal.WithExecution(oleanderspool.MayHaveRun), w.now-a.origin)
		return
	}
	a.table.Append(id, oleanderspool.Piece{Text: string(id), Final: true}, w.now-a.origin)
}

// run is the side effect of an attempt.
func (w *world) run(id oleanderspool.AttemptID) {
	s := w.owners[id]
	if earlier, ok := w.ran[s.key]; ok {
		if w.chosen[id]-w.chosen[earlier] < limits.KeyLifetime-timeLimit {
			w.t.Fatalf("key %s runs as %s after %s", s.key, id, earlier)
		}
		w.seen["expired"]++
	}
	if s.notRun {
		w.t.Fatalf("%s runs after it was told not_run", s)
	}
	w.ran[s.key] = id
}

func (w *world) land(data []byte) oleanderspool.Offset {
	offset := oleanderspool.Offset(len(w.log) + 1)
	w.log = append(w.log, oleanderspool.Record{Offset: offset, Data: data})
	w.times = append(w.times, w.now)
	return offset
}

func (w *world) beginAppend() { w.appendFrom(w.entry(), w.below(6, "append")) }

func (w *world) appendFrom(e *entry, fault int) {
	now := w.now - e.origin
	record, ok := claim.Record{}, false
	if !e.paused && e.inFlight == nil {
		record, ok = e.batcher.Next(e.state.ExpiredBefore(now), now)
	}
	if !ok {
		return
	}
	data, err := claim.Encode(record)
	if err != nil {
		w.t.Fatal(err)
	}
	result := claim.AppendUnknown
	switch {
	case w.outage:
		result = claim.AppendFailed
	case fault == 0: // the record is lost
	case fault == 1:
		w.late = append(w.late, data)
	case fault == 2: // the answer is lost after its effect
		w.land(data)
	default:
		result, e.offset = claim.AppendSucceeded, w.land(data)
	}
	e.inFlight = &result
}

func (w *world) endAppend() { w.finishAppend(w.entry()) }

func (w *world) finishAppend(e *entry) {
	if e.paused || e.inFlight == nil {
		return
	}
	settled := e.batcher.FinishAppend(*e.inFlight, e.offset)
	e.inFlight = nil
	for _, c := range settled.Claims {
		w.handle(w.owners[c.Attempt], settled.Event())
	}
}

// landLate lets a record land after its sender gave up.
func (w *world) landLate() {
	if w.outage || len(w.late) == 0 {
		return
	}
	data := w.late[0]
	w.late = w.late[1:]
	w.seen["late"]++
	w.land(data)
}

func (w *world) read() { w.readBy(w.entry(), 1+w.below(4, "records")) }

func (w *world) readBy(e *entry, limit int) {
	if w.outage || e.paused {
		return
	}
	now := w.now - e.origin
	first := max(w.kept, int(e.state.Position()))
	records := w.log[first:min(len(w.log), first+limit)]
	for _, r := range records {
		applied := e.state.Apply(r, now)
		if applied.Gap != nil {
			w.seen["retained"]++
		}
		if record, err := claim.Decode(r.Data); err == nil && applied.Valid > 0 && record.Claims[0].Supersedes != "" {
			w.seen["superseded"]++
		}
	}
	e.state.FinishRead(len(records), oleanderspool.Offset(len(w.log)), now)
	w.eachOpen(e, func(*submission) claim.Event { return claim.LogRead{} })
}

func (w *world) retain() {
	for w.kept < len(w.log) && w.now-w.times[w.kept] > 2*limits.KeyLifetime {
		w.kept++
	}
}

func (w *world) gossip() { w.gossipTo(w.entry()) }

func (w *world) gossipTo(e *entry) {
	w.report(e)
	for _, a := range w.agents {
		w.eachOpen(e, func(*submission) claim.Event {
			return claim.IncarnationChanged{Instance: a.instance, Incarnation: a.incarnation}
		})
	}
}

func (w *world) killEntry() {
	if w.below(3, "kill") == 0 {
		w.startEntry(w.below(len(w.entries), "entry"))
	}
}

func (w *world) killAgent() {
	if w.below(3, "kill") == 0 {
		w.startAgent(w.below(len(w.agents), "agent"))
	}
}

func (w *world) pause() {
	e := w.entry()
	e.paused = !e.paused && w.below(2, "pause") == 0
}

func (w *world) toggleOutage() { w.setOutage(!w.outage && w.below(4, "outage") == 0) }

func (w *world) setOutage(active bool) {
	w.outage = active
	for _, e := range w.entries {
		w.eachOpen(e, func(*submission) claim.Event { return claim.LogOutage{Active: active} })
	}
}

func (w *world) advance() {
	w.pass(rapid.SampledFrom([]oleanderspool.Millis{10, 10, 100, 100, 300, 300, 1000, 1000, 3000, 6000, 25000, 130000}).Draw(w.t, "span"))
}

func (w *world) pass(span oleanderspool.Millis) {
	w.now += span
	for _, a := range w.agents {
		a.table.Tick(w.now - a.origin)
	}
	for _, e := range w.entries {
		w.eachOpen(e, func(*submission) claim.Event { return claim.LogRead{} })
	}
}

func (w *world) progressAndWork() {
	w.work()
	for _, e := range w.entries {
		w.silentAt(e)
	}
	w.progress()
}

// progress makes several steps without faults.
func (w *world) progress() {
	for _, e := range w.entries {
		w.appendFrom(e, 5)
		w.finishAppend(e)
		w.readBy(e, 100)
	}
	for _, m := range slices.Clone(w.net) {
		w.net = w.net[1:]
		w.arrive(m)
	}
}

// heal ends all faults. Every request must then have an answer by its time
// limit, and a new key must be served.
func (w *world) heal() {
	w.setOutage(false)
	for _, e := range w.entries {
		e.paused = false
	}
	w.pass(timeLimit)
	for _, s := range w.all {
		if !s.closed {
			w.t.Fatalf("%s has no answer at its time limit", s)
		}
	}
	e := w.entries[0]
	w.gossipTo(e)
	s := w.submitTo(e, "fresh", 0)
	for range 4 {
		w.progress()
	}
	for _, a := range w.agents {
		if slices.Contains(a.accepted, s.asked.Attempt) && a.table.Begin(s.asked.Attempt, w.now-a.origin) {
			w.run(s.asked.Attempt)
			a.table.Append(s.asked.Attempt, oleanderspool.Piece{Text: string(s.asked.Attempt), Final: true}, w.now-a.origin)
		}
	}
	w.handle(s, claim.StreamTimedOut{Attempt: s.asked.Attempt})
	w.progress()
	w.progress()
	if !s.closed || w.ran["fresh"] == "" {
		w.t.Fatalf("%s was not served after the faults ended", s)
	}
}
