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
	suspectReadLimit    = 1000
	suspectLongPoll     = 5 * oleanderspool.Second
	suspectTickInterval = 100 * oleanderspool.Millis(1)
	// commonLossWindow and commonLossServers distinguish a crash that a request
	// may have caused from the loss of a rack, a switch or a data centre, since
	// one request is in flight on few servers. Without this rule the loss of a
	// data centre would make every request in flight there wait for a trial.
	commonLossWindow  = 10 * oleanderspool.Second
	commonLossServers = 3
	// lossRetention is how long the loss of a server with a request in flight is
	// remembered.
	lossRetention = 10 * oleanderspool.Minute
	// maxRememberedLosses bounds the remembered losses.
	maxRememberedLosses = 20_000
)

// suspectTracker reads the suspect stream of the log and appends to it. A suspect
// is a request that may have crashed a server.
type suspectTracker struct {
	log         oleanderspool.Log
	clock       oleanderspool.Clock
	countChange func(change string)

	mu           sync.Mutex
	state        *suspect.State
	changed      broadcast.Signal
	recentLosses []oleanderspool.Millis // times of the last losses of servers
	lastLoss     map[oleanderspool.Fingerprint]oleanderspool.Millis
	running      map[oleanderspool.Fingerprint]map[oleanderspool.AttemptID]context.CancelFunc
	wake         chan struct{}
}

func newSuspectTracker(e *Entry) *suspectTracker {
	return &suspectTracker{
		log:         e.log,
		clock:       e.clock,
		countChange: e.metrics.StateChanged,
		state:       suspect.New(string(e.instance)+"/"+uniqueID(), e.clock.Now()),
		lastLoss:    make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
		running:     make(map[oleanderspool.Fingerprint]map[oleanderspool.AttemptID]context.CancelFunc),
		wake:        make(chan struct{}, 1),
	}
}

// trackAttempt registers an attempt to be cancelled when its request becomes a
// suspect, since a copy that is still running could crash another server.
func (s *suspectTracker) trackAttempt(f oleanderspool.Fingerprint, id oleanderspool.AttemptID, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[f] == nil {
		s.running[f] = make(map[oleanderspool.AttemptID]context.CancelFunc)
	}
	s.running[f][id] = cancel
}

// untrackAttempt removes an attempt that has ended.
func (s *suspectTracker) untrackAttempt(f oleanderspool.Fingerprint, id oleanderspool.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[f], id)
	if len(s.running[f]) == 0 {
		delete(s.running, f)
	}
}

// applyChanges cancels the running attempts of new suspects and wakes waiting
// requests. The caller holds the lock.
func (s *suspectTracker) applyChanges() {
	for _, f := range s.state.TakeNewSuspects() {
		for _, cancel := range s.running[f] {
			cancel()
		}
	}
	s.changed.Notify()
}

// read applies the stream until ctx ends.
func (s *suspectTracker) read(ctx context.Context) {
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
			s.countChange("suspect_record_unreadable")
		}
		s.applyChanges()
		s.mu.Unlock()
		wait = suspectLongPoll
		if err != nil {
			wait = 0
			clock.Sleep(ctx, readRetryDelay)
		}
	}
}

// append appends the records that are due until ctx ends.
func (s *suspectTracker) append(ctx context.Context) {
	clock.Every(ctx, suspectTickInterval, s.wake, func() {
		s.mu.Lock()
		now := s.clock.Now()
		s.state.Tick(now)
		records := s.state.DueRecords(now)
		s.mu.Unlock()
		if len(records) == 0 {
			return
		}
		// A failed append is repeated until the records have been read back.
		if _, err := s.log.Append(ctx, oleanderspool.StreamSuspect, records); err != nil {
			s.countChange("suspect_append_failed")
		}
	})
}

func (s *suspectTracker) wakeAppend() {
	broadcast.Wake(s.wake)
}

// recordCrash records a crash that an agent reported. own means that a request of
// this entry was in flight, and live that the agent reported the crash when it
// happened.
func (s *suspectTracker) recordCrash(c peer.Crash, own, live bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Crashed(suspect.Crash{
		ID:           suspect.CrashID(c.ID),
		Fingerprints: c.Fingerprints,
		Trial:        c.Trial,
		Local:        own,
		Live:         live,
	}, s.clock.Now())
	s.applyChanges()
	s.wakeAppend()
}

// recordLoss records the loss of a server with a request of this entry in flight
// and reports whether the request is a suspect now. Usually only the agent or the
// instance failed, so a first loss does not make the request wait for a trial; a
// second one within lossRetention does, unless several servers were lost at once.
func (s *suspectTracker) recordLoss(server oleanderspool.BackendServer, f oleanderspool.Fingerprint) bool {
	if s.commonLoss() || !s.rememberLoss(f) {
		return false
	}
	s.recordCrash(peer.Crash{
		ID:           string(server.Instance) + "/" + string(server.Incarnation),
		Fingerprints: []oleanderspool.Fingerprint{f},
	}, true, false)
	return true
}

// rememberLoss stores a loss and reports whether there was an earlier one within
// lossRetention.
func (s *suspectTracker) rememberLoss(f oleanderspool.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	before, ok := s.lastLoss[f]
	if len(s.lastLoss) >= maxRememberedLosses {
		maps.DeleteFunc(s.lastLoss, func(_ oleanderspool.Fingerprint, at oleanderspool.Millis) bool { return now-at > lossRetention })
	}
	if ok || len(s.lastLoss) < maxRememberedLosses {
		s.lastLoss[f] = now
	}
	return ok && now-before <= lossRetention
}

func (s *suspectTracker) commonLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.recentLosses) >= commonLossServers && s.clock.Now()-s.recentLosses[len(s.recentLosses)-commonLossServers] <= commonLossWindow
}

// recordChange handles a membership change.
func (s *suspectTracker) recordChange(c membership.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	switch c.Kind {
	case membership.Ended, membership.Removed:
		s.state.ServerEnded(c.Instance, c.Incarnation, now)
		s.applyChanges()
	case membership.Suspected:
		s.recentLosses = append(s.recentLosses, now)
		if len(s.recentLosses) > commonLossServers {
			s.recentLosses = s.recentLosses[1:]
		}
	}
}

// check decides whether a request may run. The returned channel is closed when
// the decision may change.
func (s *suspectTracker) check(q suspect.Query) (suspect.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.changed.Channel()
	v := s.state.Check(q, s.clock.Now())
	if v.Action == suspect.Wait {
		s.wakeAppend()
	}
	return v, changed
}

func (s *suspectTracker) withdraw(id oleanderspool.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Withdraw(id, s.clock.Now())
	s.wakeAppend()
}

func (s *suspectTracker) recordTrial(id oleanderspool.AttemptID, outcome suspect.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.TrialEnded(id, outcome, s.clock.Now())
	s.applyChanges()
	s.wakeAppend()
}

// checkSuspect waits until the request may run. Usually it may run at once. After
// it was in flight on a server that crashed it runs as a trial, alone on its
// server.
func (x *exchange) checkSuspect(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) (trial bool, refusal *oleanderspool.Refusal) {
	e := x.entry
	for {
		verdict, changed := e.suspects.check(suspect.Query{
			Fingerprint:      x.request.Fingerprint,
			Attempt:          id,
			Instance:         server.Instance,
			Incarnation:      server.Incarnation,
			Remaining:        x.request.Remaining(e.clock.Now()),
			ExpectedDuration: x.minDuration(server),
		})
		switch verdict.Action {
		case suspect.Run:
			return false, nil
		case suspect.RunTrial:
			e.metrics.Retried(oleanderspool.RetrySuspectTrial)
			return true, nil
		case suspect.Refuse:
			return false, x.mergeExecution(verdict.Refusal)
		}
		timer := time.NewTimer(max(1, verdict.Until-e.clock.Now()).Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			e.suspects.withdraw(id)
			return false, x.refuseEnded(ctx)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// minDuration returns the shortest time that the request takes on an idle server:
// its prefill time.
func (x *exchange) minDuration(server oleanderspool.BackendServer) oleanderspool.Millis {
	rate := server.Load.PrefillRate
	if rate <= 0 {
		return 0
	}
	return oleanderspool.Millis(float64(x.request.PromptTokens) / rate)
}

// cancelOnSuspicion returns a context that ends when the request becomes a suspect
// while it runs, unless it must not run again or is a trial.
func (r *attemptRun) cancelOnSuspicion(ctx context.Context) (context.Context, func()) {
	running, cancel := context.WithCancel(ctx)
	if r.trial || !r.request.Idempotent {
		return running, cancel
	}
	s, fingerprint, id := r.entry.suspects, r.request.Fingerprint, r.id
	s.trackAttempt(fingerprint, id, cancel)
	return running, func() {
		s.untrackAttempt(fingerprint, id)
		cancel()
	}
}

// recordCrash records a crash of the engine that ended the attempt.
func (r *attemptRun) recordCrash(end *streamEnd) {
	if end.refusal == nil || end.refusal.Crash == "" {
		return
	}
	c := peer.Crash{ID: end.refusal.Crash, Fingerprints: []oleanderspool.Fingerprint{r.request.Fingerprint}}
	if r.trial {
		c.Trial = r.id
	}
	r.entry.suspects.recordCrash(c, true, false)
	end.failure.Suspect = true
	r.crashed = true
}

// recordLoss records the loss of the server that ran the attempt.
func (r *attemptRun) recordLoss(end streamEnd) {
	reason := end.failure.Reason
	lost := reason == oleanderspool.RetryStreamSilent || reason == oleanderspool.RetryAgentDied
	if !lost || end.notSent || r.request.Kind != oleanderspool.KindModel {
		return
	}
	if r.entry.suspects.recordLoss(r.server, r.request.Fingerprint) {
		r.crashed = true
	}
}

// recordTrial records the outcome of a trial.
func (r *attemptRun) recordTrial(complete bool) {
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
	r.entry.suspects.recordTrial(r.id, outcome)
}
