package suspect_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

const (
	// step is the time between two steps of a simulation.
	step oleanderspool.Millis = 50
	// runTime is the expected duration of a run; a run takes between half of
	// it and three times as long. downTime is the time until a crashed server
	// is up again.
	runTime, downTime oleanderspool.Millis = 300, 2000
	// reportDelay bounds the latency of an agent's report of a crash.
	reportDelay = 200
	// resendDelay is the time after which a caller resends when its entry was
	// restarted or its time limit passed. A caller that resends sooner can be
	// faster than the report of a crash that happens just before the time
	// limit.
	resendDelay oleanderspool.Millis = 600
)

// poison is the fingerprint of the poison request, whose runs crash their
// server.
const poison oleanderspool.Fingerprint = 666

// simulation simulates entries with a state each, servers, agents that report
// crashes, and the log. Time passes in steps.
type simulation struct {
	now            oleanderspool.Millis
	random         *rand.Rand
	entries        []*entry
	servers        []*server
	log            []logRecord
	delayed        []logRecord   // appends with an uncertain outcome that arrive later
	reports        []crashReport // of all crashes, by the agents
	crashes        int           // caused by the poison request
	sent           int
	wronglyRefused []string // harmless requests that were refused as the cause

	machineCrash bool // a crash ends the agent too
	logOutage    bool // the log cannot be read or written
	loseAppends  bool
	delayAppends bool
	readLag      oleanderspool.Millis
}

type logRecord struct {
	data []byte
	at   oleanderspool.Millis
}

type crashReport struct {
	crash suspect.Crash
	at    oleanderspool.Millis
	seen  map[*entry]bool
}

type server struct {
	id      oleanderspool.InstanceID
	upAt    oleanderspool.Millis
	crashed int
	runs    []*request
}

type request struct {
	fingerprint oleanderspool.Fingerprint
	idempotent  bool
	deadline    oleanderspool.Millis
	resendAt    oleanderspool.Millis
	attempt     int
	id          int
	endsAt      oleanderspool.Millis // of its run
	server      *server
	trial       bool
	done        bool         // the server finished it
	cancelled   bool         // the agent cancelled it at the time limit
	report      *crashReport // the crash that ended its run
	refused     *oleanderspool.Refusal
	answered    bool
	succeeded   bool
}

func (r *request) attemptID() oleanderspool.AttemptID {
	return oleanderspool.AttemptID(fmt.Sprintf("a%d-%d", r.id, r.attempt))
}

type entry struct {
	number, generation int
	state              *suspect.State
	paused             bool
	nextReadAt         oleanderspool.Millis // instant of the first answered read after a pause
	requests           []*request
}

func newSimulation(seed uint64, entries, servers int) *simulation {
	sm := &simulation{random: rand.New(rand.NewPCG(seed, seed))}
	for i := range entries {
		e := &entry{number: i}
		sm.entries = append(sm.entries, e)
		sm.restart(e)
	}
	for i := range servers {
		sm.servers = append(sm.servers, &server{id: oleanderspool.InstanceID(fmt.Sprintf("s%d", i))})
	}
	sm.advance(1000)
	return sm
}

// restart starts or restarts an entry. Agents repeat their crashes to it.
func (sm *simulation) restart(e *entry) {
	e.generation++
	e.state = suspect.New(fmt.Sprintf("e%d-%d", e.number, e.generation), sm.now)
	for _, r := range e.requests {
		// Its run continues without a reader. A copy that is sent before the
		// end of the run is a concurrent one, see TestConcurrentTrials.
		r.answered = true
		r.resendAt = max(sm.now, r.endsAt) + resendDelay
	}
	e.requests, e.paused = nil, false
	for i := range sm.reports {
		delete(sm.reports[i].seen, e)
	}
}

func (sm *simulation) send(e *entry, f oleanderspool.Fingerprint, idempotent bool, limit oleanderspool.Millis) *request {
	sm.sent++
	r := &request{fingerprint: f, idempotent: idempotent, deadline: sm.now + limit, id: sm.sent}
	e.requests = append(e.requests, r)
	return r
}

// advance lets time pass in steps.
func (sm *simulation) advance(duration oleanderspool.Millis) {
	for end := sm.now + duration; sm.now < end; {
		sm.now += step
		sm.appendDelayed(false)
		sm.runServers()
		for _, e := range sm.entries {
			sm.runEntry(e)
		}
	}
}

func (sm *simulation) appendDelayed(all bool) {
	sm.delayed = slices.DeleteFunc(sm.delayed, func(l logRecord) bool {
		if due := all || l.at <= sm.now; !due {
			return false
		}
		sm.log = append(sm.log, logRecord{l.data, sm.now})
		return true
	})
}

func (sm *simulation) runServers() {
	for _, s := range sm.servers {
		s.runs = slices.DeleteFunc(s.runs, func(r *request) bool {
			r.cancelled = sm.now >= r.deadline
			return r.cancelled
		})
		if i := slices.IndexFunc(s.runs, func(r *request) bool {
			return r.fingerprint == poison && sm.now >= r.endsAt
		}); i >= 0 {
			sm.crashes++
			sm.crash(s)
		}
		s.runs = slices.DeleteFunc(s.runs, func(r *request) bool {
			r.done = sm.now >= r.endsAt
			return r.done
		})
	}
}

// crash ends all runs of a server.
func (sm *simulation) crash(s *server) {
	s.crashed++
	s.upAt = sm.now + downTime
	cr := crashReport{at: sm.now + oleanderspool.Millis(sm.random.IntN(reportDelay)), seen: make(map[*entry]bool)}
	cr.crash.ID = suspect.CrashID(fmt.Sprintf("%s/%d", s.id, s.crashed))
	for _, r := range s.runs {
		cr.crash.Fingerprints = append(cr.crash.Fingerprints, r.fingerprint)
		if r.trial {
			cr.crash.Trial = r.attemptID()
		}
		r.report = &cr
	}
	s.runs = nil
	if !sm.machineCrash {
		sm.reports = append(sm.reports, cr)
	}
}

func (sm *simulation) runEntry(e *entry) {
	if e.paused {
		sm.expireRequests(e)
		return
	}
	e.state.Tick(sm.now)
	for _, cr := range sm.reports {
		if cr.at <= sm.now && !cr.seen[e] {
			cr.seen[e] = true
			c := cr.crash
			c.Live = cr.at+2*step > sm.now
			c.Local = slices.ContainsFunc(e.requests, func(r *request) bool { return r.report != nil && r.report.crash.ID == c.ID })
			e.state.Crashed(c, sm.now)
		}
	}
	sm.read(e)
	sm.cancelCopies(e)
	for _, r := range slices.Clone(e.requests) {
		sm.runRequest(e, r)
	}
	sm.append(e)
	sm.expireRequests(e)
}

// cancelCopies cancels the attempts in flight at requests that have become
// suspects.
func (sm *simulation) cancelCopies(e *entry) {
	suspects := e.state.TakeNewSuspects()
	for _, r := range e.requests {
		if r.server == nil || r.report != nil || r.trial || r.done || !r.idempotent || !slices.Contains(suspects, r.fingerprint) {
			continue
		}
		r.server.runs = slices.DeleteFunc(r.server.runs, func(o *request) bool { return o == r })
		r.server = nil
		r.attempt++
	}
}

// expireRequests ends the requests whose time limit has passed. An attempt in
// flight stays known until its end, or no entry would report the crash of its
// server.
func (sm *simulation) expireRequests(e *entry) {
	e.requests = slices.DeleteFunc(e.requests, func(r *request) bool {
		if sm.now >= r.deadline && !r.answered {
			r.answered = true
			r.resendAt = sm.now + resendDelay
			if !e.paused && r.server == nil {
				e.state.Withdraw(r.attemptID(), sm.now)
			}
		}
		return r.answered && (r.server == nil || r.done)
	})
}

// resume ends the pause of an entry. Data that waits in its connections is
// received at once, but a read of the log takes some time.
func (sm *simulation) resume(e *entry) {
	if e.paused {
		e.paused, e.nextReadAt = false, sm.now+4*step
	}
}

func (sm *simulation) read(e *entry) {
	if sm.now < e.nextReadAt {
		return
	}
	if sm.logOutage {
		e.state.ReadFailed(sm.now, sm.now)
		return
	}
	var records []oleanderspool.Record
	head := 0
	for i, l := range sm.log {
		if l.at+sm.readLag > sm.now {
			break
		}
		head = i + 1
		if oleanderspool.Offset(head) >= e.state.NextOffset() {
			records = append(records, oleanderspool.Record{Offset: oleanderspool.Offset(head), Data: l.data})
		}
	}
	e.state.Apply(records, oleanderspool.Offset(head), sm.now-sm.readLag, sm.now)
}

func (sm *simulation) append(e *entry) {
	for _, data := range e.state.DueRecords(sm.now) {
		switch {
		case sm.logOutage, sm.loseAppends && sm.random.IntN(2) == 0:
		case sm.delayAppends && sm.random.IntN(2) == 0:
			sm.delayed = append(sm.delayed, logRecord{data, sm.now + oleanderspool.Millis(sm.random.IntN(3000))})
		default:
			sm.log = append(sm.log, logRecord{data, sm.now})
		}
	}
}

func (sm *simulation) runRequest(e *entry, r *request) {
	switch {
	case r.report != nil:
		sm.afterCrash(e, r)
	case r.cancelled:
		e.state.Withdraw(r.attemptID(), sm.now)
		r.server = nil
	case r.done:
		sm.finish(e, r)
	case r.answered: // its caller no longer waits
	case r.refused != nil:
		r.answered = e.state.Propagated(r.fingerprint, sm.now)
	case r.server != nil:
	default:
		sm.check(e, r)
	}
}

func (sm *simulation) finish(e *entry, r *request) {
	if r.trial {
		e.state.TrialEnded(r.attemptID(), suspect.OutcomeFinished, sm.now)
	}
	r.answered, r.succeeded = true, true
}

// afterCrash reports the crash and prepares the retry. A request that is not
// idempotent is refused instead.
func (sm *simulation) afterCrash(e *entry, r *request) {
	if sm.now < r.report.at {
		return
	}
	if sm.machineCrash {
		e.state.Crashed(suspect.Crash{ID: r.report.crash.ID, Fingerprints: []oleanderspool.Fingerprint{r.fingerprint}, Local: true}, sm.now)
	}
	if r.trial {
		e.state.TrialEnded(r.attemptID(), suspect.OutcomeCrashed, sm.now)
	}
	r.report, r.server, r.trial = nil, nil, false
	r.attempt++
	if !r.idempotent {
		r.refused = oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "").WithExecution(oleanderspool.MayHaveRun)
	}
}

func (sm *simulation) check(e *entry, r *request) {
	s := sm.choose(r.fingerprint)
	if s == nil {
		return
	}
	d := e.state.Check(suspect.Query{
		Fingerprint: r.fingerprint, Attempt: r.attemptID(), Instance: s.id, Incarnation: "i",
		Remaining: r.deadline - sm.now, ExpectedDuration: runTime,
	}, sm.now)
	switch d.Action {
	case suspect.Run:
		sm.run(r, s, false)
	case suspect.RunTrial:
		idle := slices.IndexFunc(sm.servers, func(s *server) bool { return s.upAt <= sm.now && len(s.runs) == 0 })
		if idle < 0 {
			return
		}
		sm.run(r, sm.servers[idle], true)
	case suspect.Refuse:
		r.refused = d.Refusal
		if d.Refusal.Reason == oleanderspool.RefusalCrashesServer && r.fingerprint != poison {
			sm.wronglyRefused = append(sm.wronglyRefused, fmt.Sprintf("harmless request %d was refused by e%d at %d", r.fingerprint, e.number, sm.now))
		}
	case suspect.Wait:
	}
}

func (sm *simulation) run(r *request, s *server, trial bool) {
	r.server, r.trial, r.done = s, trial, false
	r.endsAt = sm.now + runTime/2 + oleanderspool.Millis(sm.random.IntN(int(runTime*5/2)))
	s.runs = append(s.runs, r)
}

// choose returns the server, among those that are up and run no trial, to
// which requests with the fingerprint are routed.
func (sm *simulation) choose(f oleanderspool.Fingerprint) *server {
	var up []*server
	for _, s := range sm.servers {
		if s.upAt <= sm.now && !slices.ContainsFunc(s.runs, func(r *request) bool { return r.trial }) {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return slices.MaxFunc(up, func(a, b *server) int {
		return cmp.Compare(routing.Weight(uint64(f), routing.Hash(a.id)), routing.Weight(uint64(f), routing.Hash(b.id)))
	})
}

// endFaults ends all faults and waits until all requests are done.
func (sm *simulation) endFaults() {
	sm.logOutage, sm.loseAppends, sm.delayAppends, sm.readLag = false, false, false, 0
	for _, e := range sm.entries {
		sm.resume(e)
	}
	sm.appendDelayed(true)
	sm.advance(40_000)
}
