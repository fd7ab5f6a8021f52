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
	// step is the time between two steps of a world.
	step oleanderspool.Millis = 50
	// runTime is the expected length of a run; it takes between half of it and
	// three times as long. downTime is the span until a crashed server is back.
	runTime, downTime oleanderspool.Millis = 300, 2000
	// noticeDelay bounds the way of an agent's report of a crash.
	noticeDelay = 200
	// reconnect is the span after which a caller resends when its entry was
	// restarted or its time limit passed. A caller that resends sooner can be
	// faster than the report of a crash in the last moment of the limit.
	reconnect oleanderspool.Millis = 600
)

// poison is the fingerprint whose runs crash their server.
const poison oleanderspool.Fingerprint = 666

// world is a small fleet: entries with a state each, servers, agents that
// report crashes, and the log. Time passes in steps.
type world struct {
	now     oleanderspool.Millis
	random  *rand.Rand
	entries []*entry
	servers []*server
	log     []stored
	late    []stored // uncertain appends that arrive later
	notices []notice // every crash that an agent reported
	crashes int      // by the poisonous request
	sent    int
	failed  []string // innocents that were refused as the cause

	machineCrash bool // a crash takes the agent with it
	silentLog    bool // outage
	loseAppends  bool
	lateAppends  bool
	readLag      oleanderspool.Millis
}

type stored struct {
	data []byte
	at   oleanderspool.Millis
}

type notice struct {
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
	done        bool    // the server finished it
	cancelled   bool    // the agent ended it at the time limit
	lost        *notice // the crash that ended its run
	refused     *oleanderspool.Refusal
	answered    bool
	succeeded   bool
}

func (r *request) attemptID() oleanderspool.AttemptID {
	return oleanderspool.AttemptID(fmt.Sprintf("a%d-%d", r.id, r.attempt))
}

type entry struct {
	number, life int
	state        *suspect.State
	paused       bool
	readsAt      oleanderspool.Millis // the first read after a pause is answered then
	requests     []*request
}

func newWorld(seed uint64, entries, servers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, seed))}
	for i := range entries {
		e := &entry{number: i}
		w.entries = append(w.entries, e)
		w.start(e)
	}
	for i := range servers {
		w.servers = append(w.servers, &server{id: oleanderspool.InstanceID(fmt.Sprintf("s%d", i))})
	}
	w.advance(1000)
	return w
}

// start begins a new life of an entry. Agents repeat their crashes to it.
func (w *world) start(e *entry) {
	e.life++
	e.state = suspect.New(fmt.Sprintf("e%d-%d", e.number, e.life), w.now)
	for _, r := range e.requests {
		// Its run goes on without a reader; a copy before its end is a concurrent
		// one, see TestConcurrentCopies.
		r.answered = true
		r.resendAt = max(w.now, r.endsAt) + reconnect
	}
	e.requests, e.paused = nil, false
	for i := range w.notices {
		delete(w.notices[i].seen, e)
	}
}

func (w *world) send(e *entry, f oleanderspool.Fingerprint, idempotent bool, limit oleanderspool.Millis) *request {
	w.sent++
	r := &request{fingerprint: f, idempotent: idempotent, deadline: w.now + limit, id: w.sent}
	e.requests = append(e.requests, r)
	return r
}

// advance lets time pass in steps.
func (w *world) advance(span oleanderspool.Millis) {
	for end := w.now + span; w.now < end; {
		w.now += step
		w.appendLate(false)
		w.runServers()
		for _, e := range w.entries {
			w.runEntry(e)
		}
	}
}

func (w *world) appendLate(all bool) {
	w.late = slices.DeleteFunc(w.late, func(l stored) bool {
		if due := all || l.at <= w.now; !due {
			return false
		}
		w.log = append(w.log, stored{l.data, w.now})
		return true
	})
}

func (w *world) runServers() {
	for _, s := range w.servers {
		s.runs = slices.DeleteFunc(s.runs, func(r *request) bool {
			r.cancelled = w.now >= r.deadline
			return r.cancelled
		})
		if i := slices.IndexFunc(s.runs, func(r *request) bool {
			return r.fingerprint == poison && w.now >= r.endsAt
		}); i >= 0 {
			w.crashes++
			w.crash(s)
		}
		s.runs = slices.DeleteFunc(s.runs, func(r *request) bool {
			r.done = w.now >= r.endsAt
			return r.done
		})
	}
}

// crash ends all runs of a server.
func (w *world) crash(s *server) {
	s.crashed++
	s.upAt = w.now + downTime
	n := notice{at: w.now + oleanderspool.Millis(w.random.IntN(noticeDelay)), seen: make(map[*entry]bool)}
	n.crash.ID = suspect.CrashID(fmt.Sprintf("%s/%d", s.id, s.crashed))
	for _, r := range s.runs {
		n.crash.Fingerprints = append(n.crash.Fingerprints, r.fingerprint)
		if r.trial {
			n.crash.Trial = r.attemptID()
		}
		r.lost = &n
	}
	s.runs = nil
	if !w.machineCrash {
		w.notices = append(w.notices, n)
	}
}

func (w *world) runEntry(e *entry) {
	if e.paused {
		w.giveUp(e)
		return
	}
	e.state.Tick(w.now)
	for _, n := range w.notices {
		if n.at <= w.now && !n.seen[e] {
			n.seen[e] = true
			c := n.crash
			c.Live = n.at+2*step > w.now
			c.Local = slices.ContainsFunc(e.requests, func(r *request) bool { return r.lost != nil && r.lost.crash.ID == c.ID })
			e.state.Crashed(c, w.now)
		}
	}
	w.read(e)
	w.endCopies(e)
	for _, r := range slices.Clone(e.requests) {
		w.runRequest(e, r)
	}
	w.append(e)
	w.giveUp(e)
}

// endCopies ends the attempts in flight with fingerprints that are suspects now.
func (w *world) endCopies(e *entry) {
	suspects := e.state.TakeNewSuspects()
	for _, r := range e.requests {
		if r.server == nil || r.lost != nil || r.trial || r.done || !r.idempotent || !slices.Contains(suspects, r.fingerprint) {
			continue
		}
		r.server.runs = slices.DeleteFunc(r.server.runs, func(o *request) bool { return o == r })
		r.server = nil
		r.attempt++
	}
}

// giveUp ends the requests whose callers have given up. An attempt in flight
// stays known until its end, or nobody would report the crash of its server.
func (w *world) giveUp(e *entry) {
	e.requests = slices.DeleteFunc(e.requests, func(r *request) bool {
		if w.now >= r.deadline && !r.answered {
			r.answered = true
			r.resendAt = w.now + reconnect
			if !e.paused && r.server == nil {
				e.state.Withdraw(r.attemptID(), w.now)
			}
		}
		return r.answered && (r.server == nil || r.done)
	})
}

// resume ends a pause. What waits in the connections of the entry is there at
// once, but a read of the log takes some time.
func (w *world) resume(e *entry) {
	if e.paused {
		e.paused, e.readsAt = false, w.now+4*step
	}
}

func (w *world) read(e *entry) {
	if w.now < e.readsAt {
		return
	}
	if w.silentLog {
		e.state.ReadFailed(w.now, w.now)
		return
	}
	var records []oleanderspool.Record
	head := 0
	for i, l := range w.log {
		if l.at+w.readLag > w.now {
			break
		}
		head = i + 1
		if oleanderspool.Offset(head) >= e.state.NextOffset() {
			records = append(records, oleanderspool.Record{Offset: oleanderspool.Offset(head), Data: l.data})
		}
	}
	e.state.Apply(records, oleanderspool.Offset(head), w.now-w.readLag, w.now)
}

func (w *world) append(e *entry) {
	for _, data := range e.state.DueRecords(w.now) {
		switch {
		case w.silentLog, w.loseAppends && w.random.IntN(2) == 0:
		case w.lateAppends && w.random.IntN(2) == 0:
			w.late = append(w.late, stored{data, w.now + oleanderspool.Millis(w.random.IntN(3000))})
		default:
			w.log = append(w.log, stored{data, w.now})
		}
	}
}

func (w *world) runRequest(e *entry, r *request) {
	switch {
	case r.lost != nil:
		w.afterCrash(e, r)
	case r.cancelled:
		e.state.Withdraw(r.attemptID(), w.now)
		r.server = nil
	case r.done:
		w.finish(e, r)
	case r.answered: // its caller gave up
	case r.refused != nil:
		r.answered = e.state.Propagated(r.fingerprint, w.now)
	case r.server != nil:
	default:
		w.check(e, r)
	}
}

func (w *world) finish(e *entry, r *request) {
	if r.trial {
		e.state.TrialEnded(r.attemptID(), suspect.OutcomeFinished, w.now)
	}
	r.answered, r.succeeded = true, true
}

// afterCrash reports the crash and prepares the retry. A request that is not
// idempotent is answered.
func (w *world) afterCrash(e *entry, r *request) {
	if w.now < r.lost.at {
		return
	}
	if w.machineCrash {
		e.state.Crashed(suspect.Crash{ID: r.lost.crash.ID, Fingerprints: []oleanderspool.Fingerprint{r.fingerprint}, Local: true}, w.now)
	}
	if r.trial {
		e.state.TrialEnded(r.attemptID(), suspect.OutcomeCrashed, w.now)
	}
	r.lost, r.server, r.trial = nil, nil, false
	r.attempt++
	if !r.idempotent {
		r.refused = oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "").WithExecution(oleanderspool.MayHaveRun)
	}
}

func (w *world) check(e *entry, r *request) {
	s := w.choose(r.fingerprint)
	if s == nil {
		return
	}
	v := e.state.Check(suspect.Query{
		Fingerprint: r.fingerprint, Attempt: r.attemptID(), Instance: s.id, Incarnation: "i",
		Remaining: r.deadline - w.now, ExpectedDuration: runTime,
	}, w.now)
	switch v.Action {
	case suspect.Run:
		w.run(r, s, false)
	case suspect.RunTrial:
		idle := slices.IndexFunc(w.servers, func(s *server) bool { return s.upAt <= w.now && len(s.runs) == 0 })
		if idle < 0 {
			return
		}
		w.run(r, w.servers[idle], true)
	case suspect.Refuse:
		r.refused = v.Refusal
		if v.Refusal.Reason == oleanderspool.RefusalCrashesServer && r.fingerprint != poison {
			w.failed = append(w.failed, fmt.Sprintf("innocent %d was refused by e%d at %d", r.fingerprint, e.number, w.now))
		}
	case suspect.Wait:
	}
}

func (w *world) run(r *request, s *server, trial bool) {
	r.server, r.trial, r.done = s, trial, false
	r.endsAt = w.now + runTime/2 + oleanderspool.Millis(w.random.IntN(int(runTime*5/2)))
	s.runs = append(s.runs, r)
}

// choose returns the live server that fingerprints are routed to and that runs
// no trial.
func (w *world) choose(f oleanderspool.Fingerprint) *server {
	var live []*server
	for _, s := range w.servers {
		if s.upAt <= w.now && !slices.ContainsFunc(s.runs, func(r *request) bool { return r.trial }) {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return slices.MaxFunc(live, func(a, b *server) int {
		return cmp.Compare(routing.Weight(uint64(f), routing.Hash(a.id)), routing.Weight(uint64(f), routing.Hash(b.id)))
	})
}

// heal ends all faults and lets everything come to rest.
func (w *world) heal() {
	w.silentLog, w.loseAppends, w.lateAppends, w.readLag = false, false, false, 0
	for _, e := range w.entries {
		w.resume(e)
	}
	w.appendLate(true)
	w.advance(40_000)
}
