package claim_test

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

// timeLimit is the time from the arrival of a request to its deadline.
const timeLimit = 5 * oleanderspool.Second

var tableLimits = attempt.Limits{
	StartWindow: 8000, ReaderTimeout: 3000, KeyLifetime: limits.KeyLifetime,
	UnkeyedRetention: 1000, MaxAnswerBytes: 150, MaxEnded: 100,
}

// entry is a simulated entry with a clock of its own.
type entry struct {
	state    *claim.State
	batcher  *claim.Batcher
	origin   oleanderspool.Millis // simulated time at which the entry's clock shows 0
	paused   bool
	dead     bool
	pending  []*submission
	inFlight *claim.AppendResult
	offset   oleanderspool.Offset
	reports  [2]claim.ServerChosen // latest report of each agent
	clocks   [2]oleanderspool.Millis
}

// agent is one incarnation of a simulated agent.
type agent struct {
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
	table       *attempt.Table
	origin      oleanderspool.Millis
	accepted    []oleanderspool.AttemptID
}

// simulation is a set of entries and agents that share a log and exchange
// messages under faults: lost, duplicated and delayed messages, lost and late
// appends, log outages, retention, paused entries and restarts.
type simulation struct {
	t           *rapid.T
	outcomes    map[string]int
	now         oleanderspool.Millis
	log         []oleanderspool.Record
	appendedAt  []oleanderspool.Millis // by index of the record
	firstKept   int                    // index of the first record that retention has kept
	lateRecords [][]byte
	outage      bool
	entries     [3]*entry
	agents      [2]*agent
	messages    []*message
	submissions []*submission
	byAttempt   map[oleanderspool.AttemptID]*submission
	lastRun     map[string]oleanderspool.AttemptID               // last attempt that ran for each key
	chosenAt    map[oleanderspool.AttemptID]oleanderspool.Millis // when each attempt was chosen
	delayed     []*message
	keys        [3]string // keys that are in use
	lastID      int
}

func newSimulation(t *rapid.T, outcomes map[string]int) *simulation {
	sm := &simulation{t: t, outcomes: outcomes, byAttempt: map[oleanderspool.AttemptID]*submission{}, lastRun: map[string]oleanderspool.AttemptID{}, chosenAt: map[oleanderspool.AttemptID]oleanderspool.Millis{}}
	for i := range sm.agents {
		sm.startAgent(i)
	}
	for i := range sm.entries {
		sm.startEntry(i)
	}
	return sm
}

func (sm *simulation) newID() string { sm.lastID++; return fmt.Sprint(sm.lastID) }

func (sm *simulation) drawIndex(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(sm.t, label)
}

func (sm *simulation) startAgent(i int) {
	incarnation := oleanderspool.Incarnation("n" + sm.newID())
	sm.agents[i] = &agent{instance: oleanderspool.InstanceID(fmt.Sprint("i", i)), incarnation: incarnation, table: attempt.NewTable(incarnation, tableLimits), origin: sm.now}
}

func (sm *simulation) startEntry(i int) {
	if old := sm.entries[i]; old != nil {
		old.dead = true
		for _, s := range old.pending {
			s.closed = true
		}
	}
	sm.entries[i] = &entry{
		state:   claim.NewState(limits),
		batcher: claim.NewBatcher(claim.BatchLimits{MaxClaims: 3, MaxBytes: 4000, MaxPending: 100}),
		origin:  sm.now - oleanderspool.Millis(i*1000),
	}
	sm.updateReports(sm.entries[i])
}

func (sm *simulation) updateReports(e *entry) {
	for i, a := range sm.agents {
		e.reports[i] = claim.ServerChosen{Instance: a.instance, Incarnation: a.incarnation}
		e.clocks[i] = sm.now - a.origin
	}
}

func (sm *simulation) entry() *entry { return sm.entries[sm.drawIndex(len(sm.entries), "entry")] }

// submit sends a request to an entry and truthfully reports whether the outcome
// of an earlier submission of the key is unknown. Keys stay in use beyond their
// lifetime.
func (sm *simulation) submit() {
	e, k := sm.entry(), sm.drawIndex(len(sm.keys), "key")
	if sm.keys[k] == "" || sm.drawIndex(5, "new") == 0 {
		sm.keys[k] = "k" + sm.newID()
	}
	sm.submitTo(e, sm.keys[k], sm.drawIndex(10, "fingerprint")/9)
}

func (sm *simulation) submitTo(e *entry, key string, fingerprint int) *submission {
	s := &submission{number: len(sm.submissions), key: key, fingerprint: fingerprint, entry: e, arrivedAt: sm.now}
	earlierUnknown := slices.ContainsFunc(sm.submissions, func(o *submission) bool {
		return o.key == key && !o.notRun && sm.now-o.arrivedAt < limits.KeyLifetime+timeLimit
	})
	s.resolver = claim.NewResolver(claim.Submission{
		Key: newClaim(key, "", "").Key, Fingerprint: oleanderspool.Fingerprint(fingerprint), Request: oleanderspool.RequestID(sm.newID()),
		Deadline: sm.now - e.origin + timeLimit, EarlierOutcomeUnknown: earlierUnknown,
	}, e.state, claim.DefaultDelays)
	sm.submissions = append(sm.submissions, s)
	e.pending = append(e.pending, s)
	if e.paused {
		s.closed = true // the caller gets no connection
	}
	sm.handle(s, claim.Arrived{LogOutage: sm.outage})
	return s
}

func (sm *simulation) handle(s *submission, event claim.Event) {
	if s.entry.paused || s.entry.dead {
		return
	}
	now := sm.now - s.entry.origin
	decision := s.resolver.Handle(event, now)
	if s.closed {
		if _, wait := decision.(claim.Wait); s.refused && !wait {
			sm.t.Fatalf("%s was refused, but its resolver decides: %s", s, decision)
		}
		return
	}
	switch d := decision.(type) {
	case claim.ChooseServer:
		i := sm.drawIndex(len(sm.agents), "agent")
		c := s.entry.reports[i]
		c.Attempt = attempt.NewID(attempt.ClassKeyed, s.entry.clocks[i], sm.newID())
		sm.byAttempt[c.Attempt], sm.chosenAt[c.Attempt] = s, sm.now
		sm.handle(s, c)
	case claim.Append:
		if err := s.entry.batcher.Add(d.Claim, now); err != nil {
			sm.t.Fatal(err)
		}
	case claim.Send:
		sm.sendToAgent(s, d, d.Claim)
	case claim.Attach:
		sm.sendToAgent(s, d, d.Claim)
	case claim.Bar:
		sm.sendToAgent(s, d, d.Claim)
	case claim.Refuse:
		sm.checkRefused(s, d.Refusal)
	}
}

func (sm *simulation) sendToAgent(s *submission, d claim.Decision, c claim.Claim) {
	s.target = c
	sm.messages = append(sm.messages, &message{submission: s, decision: d})
}

// checkRefused records a refusal and fails the test if its execution is untrue.
func (sm *simulation) checkRefused(s *submission, refusal *oleanderspool.Refusal) {
	s.closed, s.refused = true, true
	sm.outcomes[refusal.Execution.String()]++
	sm.outcomes[string(refusal.Reason)]++
	id, ran := sm.lastRun[s.key]
	if refusal.Execution == oleanderspool.Ran && !ran {
		sm.t.Fatalf("%s was refused with %v, but the key has not run", s, refusal)
	}
	if refusal.Execution != oleanderspool.NotRun {
		return
	}
	s.notRun = true
	if ran && sm.now-sm.chosenAt[id] < limits.KeyLifetime && sm.byAttempt[id].number <= s.number && refusal.Reason != oleanderspool.RefusalKeyReused {
		sm.t.Fatalf("%s was refused with %v, but attempt %s ran", s, refusal, id)
	}
}

// takeMessage removes a randomly chosen message in flight that accept allows and
// returns it, or nil if there is none.
func (sm *simulation) takeMessage(accept func(m *message) bool) *message {
	var fit []int
	for i, m := range sm.messages {
		if accept(m) {
			fit = append(fit, i)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	i := fit[sm.drawIndex(len(fit), "message")]
	m := sm.messages[i]
	sm.messages = slices.Delete(sm.messages, i, i+1)
	return m
}

func anyMessage(*message) bool { return true }

func isSend(m *message) bool {
	_, send := m.decision.(claim.Send)
	return send
}

func (sm *simulation) deliver() {
	if m := sm.takeMessage(anyMessage); m != nil {
		sm.deliverMessage(m)
	}
}

func (sm *simulation) deliverMessage(m *message) {
	if m.reply == nil {
		sm.deliverToAgent(m)
		return
	}
	if m.submission.entry.paused {
		sm.messages = append(sm.messages, m)
		return
	}
	sm.handle(m.submission, m.reply)
	if reply, ok := m.reply.(claim.Replied); ok && reply.State == attempt.StateFinished && reply.Attempt == m.submission.target.Attempt && !m.submission.closed {
		sm.checkServed(m)
	}
}

// checkServed records an answer and fails the test if it answers another
// request.
func (sm *simulation) checkServed(m *message) {
	if m.text == "" {
		return // a reply to a bar carries no answer
	}
	owner := sm.byAttempt[oleanderspool.AttemptID(m.text)]
	if owner.key != m.submission.key || owner.fingerprint != m.submission.fingerprint {
		sm.t.Fatalf("%s received the answer to %s", m.submission, owner)
	}
	m.submission.closed = true
	sm.outcomes["served"]++
	if owner != m.submission {
		sm.outcomes["shared_answer"]++
	}
}

// deliverToAgent lets the agent of the claim process a request and sends its
// reply.
func (sm *simulation) deliverToAgent(m *message) {
	reply := &message{submission: m.submission}
	respond := func(c claim.Claim, f func(a *agent, now oleanderspool.Millis) attempt.Reply) {
		a := sm.agents[slices.IndexFunc(sm.agents[:], func(a *agent) bool { return a.instance == c.Instance })]
		r := f(a, sm.now-a.origin)
		for _, p := range r.Pieces {
			reply.text += p.Text
		}
		reply.reply = claim.Replied{Attempt: c.Attempt, State: r.State, Refusal: r.Refusal}
	}
	switch d := m.decision.(type) {
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
	sm.messages = append(sm.messages, reply)
}

func (sm *simulation) duplicate() {
	accept := isSend
	if sm.drawIndex(2, "any") == 0 {
		accept = anyMessage
	}
	if m := sm.takeMessage(accept); m != nil {
		m.duplicated = true
		sm.messages, sm.delayed = append(sm.messages, m), append(sm.delayed, m)
	}
}

// deliverDelayed delivers a delayed copy of a duplicated message.
func (sm *simulation) deliverDelayed() {
	if len(sm.delayed) > 0 {
		i := sm.drawIndex(len(sm.delayed), "delayed")
		m := sm.delayed[i]
		sm.delayed = slices.Delete(sm.delayed, i, i+1)
		sm.deliverMessage(m)
	}
}

func (sm *simulation) drop() { sm.takeMessage(anyMessage) }

func (sm *simulation) notSent() {
	m := sm.takeMessage(func(m *message) bool { return isSend(m) && !m.duplicated && !m.submission.entry.paused })
	if m != nil {
		sm.handle(m.submission, claim.NotSent{Attempt: m.decision.(claim.Send).Claim.Attempt})
	}
}

func (sm *simulation) eachPending(e *entry, event func(s *submission) claim.Event) {
	for _, s := range slices.Clone(e.pending) {
		sm.handle(s, event(s))
	}
	e.pending = slices.DeleteFunc(e.pending, func(s *submission) bool { return s.closed })
}

func (sm *simulation) timeOutStreams() { sm.timeOutStreamsOf(sm.entry()) }

func (sm *simulation) timeOutStreamsOf(e *entry) {
	sm.eachPending(e, func(s *submission) claim.Event { return claim.StreamTimedOut{Attempt: s.target.Attempt} })
}

func (sm *simulation) unreachable() {
	sm.eachPending(sm.entry(), func(s *submission) claim.Event {
		if sm.drawIndex(4, "unreachable") > 0 {
			return claim.LogRead{}
		}
		return claim.Unreachable{Attempt: s.target.Attempt}
	})
}

// work lets an agent execute, refuse or fail one accepted attempt.
func (sm *simulation) work() {
	a := sm.agents[sm.drawIndex(len(sm.agents), "agent")]
	if len(a.accepted) == 0 {
		return
	}
	i := sm.drawIndex(len(a.accepted), "attempt")
	id := a.accepted[i]
	a.accepted = slices.Delete(a.accepted, i, i+1)
	if !a.table.Begin(id, sm.now-a.origin) {
		return
	}
	refusal := oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "")
	outcome := sm.drawIndex(6, "outcome")
	if outcome == 0 {
		a.table.Fail(id, refusal, sm.now-a.origin)
		return
	}
	sm.execute(id)
	if outcome == 1 {
		a.table.Fail(id, refusal.WithExecution(oleanderspool.MayHaveRun), sm.now-a.origin)
		return
	}
	a.table.Append(id, oleanderspool.Piece{Text: string(id), Final: true}, sm.now-a.origin)
}

// execute records that an attempt ran and fails the test if it must not run.
func (sm *simulation) execute(id oleanderspool.AttemptID) {
	s := sm.byAttempt[id]
	if earlier, ok := sm.lastRun[s.key]; ok {
		if sm.chosenAt[id]-sm.chosenAt[earlier] < limits.KeyLifetime-timeLimit {
			sm.t.Fatalf("key %s runs as attempt %s after attempt %s", s.key, id, earlier)
		}
		sm.outcomes["expired"]++
	}
	if s.notRun {
		sm.t.Fatalf("%s runs although its caller was refused with not_run", s)
	}
	sm.lastRun[s.key] = id
}

func (sm *simulation) appendToLog(data []byte) oleanderspool.Offset {
	offset := oleanderspool.Offset(len(sm.log) + 1)
	sm.log = append(sm.log, oleanderspool.Record{Offset: offset, Data: data})
	sm.appendedAt = append(sm.appendedAt, sm.now)
	return offset
}

func (sm *simulation) beginAppend() { sm.appendFrom(sm.entry(), sm.drawIndex(6, "append")) }

func (sm *simulation) appendFrom(e *entry, fault int) {
	now := sm.now - e.origin
	record, ok := claim.Record{}, false
	if !e.paused && e.inFlight == nil {
		record, ok = e.batcher.Next(e.state.ExpiredBefore(now), now)
	}
	if !ok {
		return
	}
	data, err := claim.Encode(record)
	if err != nil {
		sm.t.Fatal(err)
	}
	result := claim.ResultUncertain
	switch {
	case sm.outage:
		result = claim.ResultFailed
	case fault == 0: // the record is lost
	case fault == 1:
		sm.lateRecords = append(sm.lateRecords, data)
	case fault == 2: // the record is appended, but the reply is lost
		sm.appendToLog(data)
	default:
		result, e.offset = claim.ResultAppended, sm.appendToLog(data)
	}
	e.inFlight = &result
}

func (sm *simulation) endAppend() { sm.finishAppend(sm.entry()) }

func (sm *simulation) finishAppend(e *entry) {
	if e.paused || e.inFlight == nil {
		return
	}
	batch := e.batcher.FinishAppend(*e.inFlight, e.offset)
	e.inFlight = nil
	for _, c := range batch.Claims {
		sm.handle(sm.byAttempt[c.Attempt], batch.Event())
	}
}

// completeLateAppend appends a record after its sender has given up.
func (sm *simulation) completeLateAppend() {
	if sm.outage || len(sm.lateRecords) == 0 {
		return
	}
	data := sm.lateRecords[0]
	sm.lateRecords = sm.lateRecords[1:]
	sm.outcomes["late"]++
	sm.appendToLog(data)
}

func (sm *simulation) read() { sm.readLogOf(sm.entry(), 1+sm.drawIndex(4, "records")) }

func (sm *simulation) readLogOf(e *entry, limit int) {
	if sm.outage || e.paused {
		return
	}
	now := sm.now - e.origin
	first := max(sm.firstKept, int(e.state.Position()))
	records := sm.log[first:min(len(sm.log), first+limit)]
	for _, r := range records {
		applied := e.state.Apply(r, now)
		if applied.Gap != nil {
			sm.outcomes["gap"]++
		}
		if record, err := claim.Decode(r.Data); err == nil && applied.Valid > 0 && record.Claims[0].Supersedes != "" {
			sm.outcomes["superseded"]++
		}
	}
	e.state.FinishRead(len(records), oleanderspool.Offset(len(sm.log)), now)
	sm.eachPending(e, func(*submission) claim.Event { return claim.LogRead{} })
}

func (sm *simulation) applyRetention() {
	for sm.firstKept < len(sm.log) && sm.now-sm.appendedAt[sm.firstKept] > 2*limits.KeyLifetime {
		sm.firstKept++
	}
}

func (sm *simulation) gossip() { sm.gossipTo(sm.entry()) }

func (sm *simulation) gossipTo(e *entry) {
	sm.updateReports(e)
	for _, a := range sm.agents {
		sm.eachPending(e, func(*submission) claim.Event {
			return claim.IncarnationChanged{Instance: a.instance, Incarnation: a.incarnation}
		})
	}
}

func (sm *simulation) killEntry() {
	if sm.drawIndex(3, "kill") == 0 {
		sm.startEntry(sm.drawIndex(len(sm.entries), "entry"))
	}
}

func (sm *simulation) killAgent() {
	if sm.drawIndex(3, "kill") == 0 {
		sm.startAgent(sm.drawIndex(len(sm.agents), "agent"))
	}
}

func (sm *simulation) pause() {
	e := sm.entry()
	e.paused = !e.paused && sm.drawIndex(2, "pause") == 0
}

func (sm *simulation) toggleOutage() { sm.setOutage(!sm.outage && sm.drawIndex(4, "outage") == 0) }

func (sm *simulation) setOutage(active bool) {
	sm.outage = active
	for _, e := range sm.entries {
		sm.eachPending(e, func(*submission) claim.Event { return claim.LogOutage{Active: active} })
	}
}

func (sm *simulation) advance() {
	sm.advanceTime(rapid.SampledFrom([]oleanderspool.Millis{10, 10, 100, 100, 300, 300, 1000, 1000, 3000, 6000, 25000, 130000}).Draw(sm.t, "duration"))
}

func (sm *simulation) advanceTime(duration oleanderspool.Millis) {
	sm.now += duration
	for _, a := range sm.agents {
		a.table.Tick(sm.now - a.origin)
	}
	for _, e := range sm.entries {
		sm.eachPending(e, func(*submission) claim.Event { return claim.LogRead{} })
	}
}

func (sm *simulation) progressAndWork() {
	sm.work()
	for _, e := range sm.entries {
		sm.timeOutStreamsOf(e)
	}
	sm.progress()
}

// progress appends, reads and delivers everything pending, without faults.
func (sm *simulation) progress() {
	for _, e := range sm.entries {
		sm.appendFrom(e, 5)
		sm.finishAppend(e)
		sm.readLogOf(e, 100)
	}
	for _, m := range slices.Clone(sm.messages) {
		sm.messages = sm.messages[1:]
		sm.deliverMessage(m)
	}
}

// endFaults ends all faults and checks that every request has been answered by
// its time limit and that a request with a new key is served.
func (sm *simulation) endFaults() {
	sm.setOutage(false)
	for _, e := range sm.entries {
		e.paused = false
	}
	sm.advanceTime(timeLimit)
	for _, s := range sm.submissions {
		if !s.closed {
			sm.t.Fatalf("%s has not been answered by its time limit", s)
		}
	}
	e := sm.entries[0]
	sm.gossipTo(e)
	s := sm.submitTo(e, "fresh", 0)
	for range 4 {
		sm.progress()
	}
	for _, a := range sm.agents {
		if slices.Contains(a.accepted, s.target.Attempt) && a.table.Begin(s.target.Attempt, sm.now-a.origin) {
			sm.execute(s.target.Attempt)
			a.table.Append(s.target.Attempt, oleanderspool.Piece{Text: string(s.target.Attempt), Final: true}, sm.now-a.origin)
		}
	}
	sm.handle(s, claim.StreamTimedOut{Attempt: s.target.Attempt})
	sm.progress()
	sm.progress()
	if !s.closed || sm.lastRun["fresh"] == "" {
		sm.t.Fatalf("%s was not served after the faults ended", s)
	}
}
