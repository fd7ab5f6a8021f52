package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

const (
	suspectReadLimit = 1000
	suspectReadWait  = 5 * oleanderspool.Second
	suspectTick      = 100 * oleanderspool.Millis(1)
	// commonLossSpan and commonLossServers tell a crash that a request may have
	// caused from the loss of a rack, a switch or a data centre: one request is
	// in flight on few servers. Without this rule the loss of a data centre
	// would make every request in flight there wait for a trial.
	commonLossSpan    = 10 * oleanderspool.Second
	commonLossServers = 3
	// lossMemory is how long the loss of a server with a request in flight is
	// remembered.
	lossMemory = 10 * oleanderspool.Minute
	// maxLost bounds the remembered losses.
	maxLost = 20_000
)

// suspects reads the stream of suspects and appends to it.
type suspects struct {
	log    oleanderspool.Log
	clock  oleanderspool.Clock
	report func(change string)

	mu      sync.Mutex
	state   *suspect.State
	changed broadcast.Signal
	losses  []oleanderspool.Millis // instants at which servers were lost
	lost    map[oleanderspool.Fingerprint]oleanderspool.Millis
	running map[oleanderspool.Fingerprint]map[oleanderspool.AttemptID]context.CancelFunc
	wake    chan struct{}
}

func newSuspects(e *Entry) *suspects {
	return &suspects{
		log:     e.log,
		clock:   e.clock,
		report:  e.metrics.StateChanged,
		state:   suspect.New(string(e.instance)+"/"+unique(), e.clock.Now()),
		lost:    make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
		running: make(map[oleanderspool.Fingerprint]map[oleanderspool.AttemptID]context.CancelFunc),
		wake:    make(chan struct{}, 1),
	}
}

// started notes an attempt that is ended when its request becomes a suspect,
// since a copy that still runs would crash another server.
func (s *suspects) started(f oleanderspool.Fingerprint, id oleanderspool.AttemptID, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[f] == nil {
		s.running[f] = make(map[oleanderspool.AttemptID]context.CancelFunc)
	}
	s.running[f][id] = cancel
}

// ended notes the end of an attempt that was started.
func (s *suspects) ended(f oleanderspool.Fingerprint, id oleanderspool.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[f], id)
	if len(s.running[f]) == 0 {
		delete(s.running, f)
	}
}

// notify ends the copies of new suspects and wakes waiting requests. The
// caller holds the lock.
func (s *suspects) notify() {
	for _, f := range s.state.TakeNewSuspects() {
		for _, cancel := range s.running[f] {
			cancel()
		}
	}
	s.changed.Notify()
}

// read applies the stream until ctx ends.
func (s *suspects) read(ctx context.Context) {
	wait := oleanderspool.Millis(0)
	for ctx.Err() == nil {
		s.mu.Lock()
		from := s.state.NextOffset()
		s.mu.Unlock()
		sentAt := s.clock.Now()
		records, head, err := s.log.Read(ctx, oleanderspool.StreamSuspect, from, suspectReadLimit, wait)
		now := s.clock.Now()
		s.mu.Lock()
		if err != nil {
			s.state.ReadFailed(sentAt, now)
		} else if s.state.Apply(records, head, sentAt, now) > 0 {
			s.report("suspect_record_unreadable")
		}
		s.notify()
		s.mu.Unlock()
		wait = suspectReadWait
		if err != nil {
			wait = 0
			clock.Sleep(ctx, claimReadRetry)
		}
	}
}

// append appends what is due until ctx ends.
func (s *suspects) append(ctx context.Context) {
	clock.Every(ctx, suspectTick, s.wake, func() {
		s.mu.Lock()
		now := s.clock.Now()
		s.state.Tick(now)
		records := s.state.DueRecords(now)
		s.mu.Unlock()
		if len(records) == 0 {
			return
		}
		// A failed append is repeated until the records were read.
		if _, err := s.log.Append(ctx, oleanderspool.StreamSuspect, records); err != nil {
			s.report("suspect_append_failed")
		}
	})
}

func (s *suspects) hasten() {
	broadcast.Wake(s.wake)
}

// crashed takes a crash that an agent reported. fresh says that the agent told
// of it when it happened.
func (s *suspects) crashed(c peer.Crash, own, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Crashed(suspect.Crash{
		ID:           suspect.CrashID(c.ID),
		Fingerprints: c.Fingerprints,
		Trial:        c.Trial,
		Local:        own,
		Live:         fresh,
	}, s.clock.Now())
	s.notify()
	s.hasten()
}

// vanished takes the loss of a server with a request of this entry in flight.
// It reports whether the request is a suspect now. As a rule only the agent or
// the instance failed, so a first loss does not make the request wait for a
// trial; a second one within lossMemory does, unless several servers were lost
// at once.
func (s *suspects) vanished(server oleanderspool.BackendServer, f oleanderspool.Fingerprint) bool {
	if s.commonLoss() || !s.lostBefore(f) {
		return false
	}
	s.crashed(peer.Crash{
		ID:           string(server.Instance) + "/" + string(server.Incarnation),
		Fingerprints: []oleanderspool.Fingerprint{f},
	}, true, false)
	return true
}

// lostBefore notes a loss and reports whether there was one before.
func (s *suspects) lostBefore(f oleanderspool.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	before, ok := s.lost[f]
	if len(s.lost) >= maxLost {
		maps.DeleteFunc(s.lost, func(_ oleanderspool.Fingerprint, at oleanderspool.Millis) bool { return now-at > lossMemory })
	}
	if ok || len(s.lost) < maxLost {
		s.lost[f] = now
	}
	return ok && now-before <= lossMemory
}

func (s *suspects) commonLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.losses) >= commonLossServers && s.clock.Now()-s.losses[len(s.losses)-commonLossServers] <= commonLossSpan
}

// noteChange takes a change of the membership.
func (s *suspects) noteChange(c membership.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	switch c.Kind {
	case membership.Ended, membership.Gone:
		s.state.ServerEnded(c.Instance, c.Incarnation, now)
		s.notify()
	case membership.Suspected:
		s.losses = append(s.losses, now)
		if len(s.losses) > commonLossServers {
			s.losses = s.losses[1:]
		}
	}
}

// check decides whether a request may run. The returned channel is closed when
// the decision may change.
func (s *suspects) check(q suspect.Query) (suspect.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.changed.Channel()
	v := s.state.Check(q, s.clock.Now())
	if v.Action == suspect.Wait {
		s.hasten()
	}
	return v, changed
}

func (s *suspects) withdraw(id oleanderspool.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Withdraw(id, s.clock.Now())
	s.hasten()
}

func (s *suspects) trialEnded(id oleanderspool.AttemptID, outcome suspect.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.TrialEnded(id, outcome, s.clock.Now())
	s.notify()
	s.hasten()
}

// checkSuspect waits until the request may run: at once as a rule, and as a
// trial, alone on its server, after it was in flight on a server that crashed.
func (x *exchange) checkSuspect(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) (trial bool, refusal *oleanderspool.Refusal) {
	e := x.entry
	for {
		verdict, changed := e.suspects.check(suspect.Query{
			Fingerprint:      x.request.Fingerprint,
			Attempt:          id,
			Instance:         server.Instance,
			Incarnation:      server.Incarnation,
			Remaining:        x.request.Remaining(e.clock.Now()),
			ExpectedDuration: x.need(server),
		})
		switch verdict.Action {
		case suspect.Run:
			return false, nil
		case suspect.RunTrial:
			e.metrics.Retried(oleanderspool.RetrySuspectTrial)
			return true, nil
		case suspect.Refuse:
			return false, x.worsen(verdict.Refusal)
		}
		timer := time.NewTimer(max(1, verdict.Until-e.clock.Now()).Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			e.suspects.withdraw(id)
			return false, x.ended(ctx)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// need returns the span that the request takes on an idle server at least.
func (x *exchange) need(server oleanderspool.BackendServer) oleanderspool.Millis {
	rate := server.Load.PrefillRate
	if rate <= 0 {
		return 0
	}
	return oleanderspool.Millis(float64(x.request.PromptTokens) / rate)
}

// watchSuspicion returns a context that ends when the request becomes a suspect
// while it runs, unless it must not run again or runs alone already.
func (r *run) watchSuspicion(ctx context.Context) (context.Context, func()) {
	running, cancel := context.WithCancel(ctx)
	if r.trial || !r.request.Idempotent {
		return running, cancel
	}
	s, fingerprint, id := r.entry.suspects, r.request.Fingerprint, r.id
	s.started(fingerprint, id, cancel)
	return running, func() {
		s.ended(fingerprint, id)
		cancel()
	}
}

// noteCrash takes a crash of the engine that ended the attempt.
func (r *run) noteCrash(end *ending) {
	if end.refusal == nil || end.refusal.Crash == "" {
		return
	}
	c := peer.Crash{ID: end.refusal.Crash, Fingerprints: []oleanderspool.Fingerprint{r.request.Fingerprint}}
	if r.trial {
		c.Trial = r.id
	}
	r.entry.suspects.crashed(c, true, false)
	end.failure.Suspect = true
	r.crashed = true
}

// noteLoss takes the loss of the server that ran the attempt.
func (r *run) noteLoss(end ending) {
	reason := end.failure.Reason
	lost := reason == oleanderspool.RetryStreamSilent || reason == oleanderspool.RetryAgentDied
	if !lost || end.notSent || r.request.Kind != oleanderspool.KindModel {
		return
	}
	if r.entry.suspects.vanished(r.server, r.request.Fingerprint) {
		r.crashed = true
	}
}

// endTrial tells what a trial has shown about its request.
func (r *run) endTrial(complete bool) {
	if !r.trial {
		return
	}
	outcome := suspect.OutcomeInconclusive
	switch {
	case complete:
		outcome = suspect.OutcomeFinished
	case r.crashed:
		outcome = suspect.OutcomeCrashed
	}
	r.entry.suspects.trialEnded(r.id, outcome)
}
