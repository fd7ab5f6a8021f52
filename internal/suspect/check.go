package suspect

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

const (
	// checkInterval is the span after which a waiting request is checked again
	// when no record arrives.
	checkInterval oleanderspool.Millis = 100
	// claimTime is the span in which a claim usually appears in the log.
	claimTime oleanderspool.Millis = 100
	// outageRetry is the span after which a caller should resend a suspect that
	// was refused because the log was unavailable.
	outageRetry = 5 * oleanderspool.Second
)

// Action tells what to do with a request.
type Action int

// The actions.
const (
	// Run runs the request as usual.
	Run Action = iota
	// RunTrial runs the request alone on the server that it was checked with.
	RunTrial
	// Wait checks the request again after records were replayed, and no later
	// than at the instant Until.
	Wait
	// Refuse answers the caller with the refusal.
	Refuse
)

// Query asks whether a request may run now. The attempt must be the same each
// time that a waiting request is checked.
type Query struct {
	Fingerprint      oleanderspool.Fingerprint
	Attempt          oleanderspool.AttemptID
	Instance         oleanderspool.InstanceID  // server on which a trial would run
	Incarnation      oleanderspool.Incarnation // of the server
	Remaining        oleanderspool.Millis      // span until the request's time limit
	ExpectedDuration oleanderspool.Millis      // span that the run probably takes
}

// Decision is the answer to a query.
type Decision struct {
	Action   Action
	Until    oleanderspool.Millis     // for Wait
	Instance oleanderspool.InstanceID // server that the claim names, for RunTrial
	Refusal  *oleanderspool.Refusal   // for Refuse; always not run
}

// Check decides whether a request may run. It must be asked before each
// attempt, since a request may have become a suspect through another entry.
func (s *State) Check(q Query, now oleanderspool.Millis) Decision {
	s.observe(now)
	if s.isCause(q.Fingerprint, now) {
		return refuse(oleanderspool.RefusalCrashesServer, "the request crashes its backend server", 0)
	}
	if !s.isSuspect(q.Fingerprint) {
		return s.checkHarmless(q, now)
	}
	if v, granted := s.checkGranted(q, now); granted {
		return v
	}
	if s.unavailable() {
		s.Withdraw(q.Attempt, now)
		return refuse(oleanderspool.RefusalLogUnavailable, "the log that decides about the trial is unavailable", outageRetry)
	}
	if wait := s.wait(q, now); q.Remaining < wait+q.ExpectedDuration {
		s.Withdraw(q.Attempt, now)
		return refuse(oleanderspool.RefusalDeadlineTooShort, "the time limit is shorter than the wait for a trial", wait)
	}
	if s.unsettled(q.Fingerprint, now) == 0 {
		s.claimTrial(q, now)
	}
	return Decision{Action: Wait, Until: now + checkInterval}
}

// isCause reports whether a request is known to crash its server. Sending it
// again extends the time for which it is refused.
func (s *State) isCause(f oleanderspool.Fingerprint, now oleanderspool.Millis) bool {
	if at, known := s.causes[f]; known && now-at <= s.ledger.retention {
		s.causes[f] = now
		return true
	}
	p := s.ledger.suspicions[f]
	if p == nil || p.phase != phaseCause || now-p.changedAt > s.ledger.retention {
		return false
	}
	p.changedAt = now
	return true
}

func (s *State) isSuspect(f oleanderspool.Fingerprint) bool {
	if _, open := s.pending[f]; open {
		return true
	}
	p := s.ledger.suspicions[f]
	return p != nil && p.phase == phaseSuspect
}

// checkHarmless runs a request that is not known as a suspect, except after a
// pause, when records may be missing. During an outage of the log it runs.
func (s *State) checkHarmless(q Query, now oleanderspool.Millis) Decision {
	caughtUp := s.viewAt >= s.resumedAt || s.unavailable() || now-s.resumedAt >= holdLimit
	if caughtUp {
		return Decision{Action: Run}
	}
	if q.Remaining < checkInterval+q.ExpectedDuration {
		return refuse(oleanderspool.RefusalDeadlineTooShort, "the entry has not caught up with the log", checkInterval)
	}
	return Decision{Action: Wait, Until: now + checkInterval}
}

// checkGranted lets the request run when the log granted it the trial. The
// grant ends with the bound of the claim, counted from before the claim was
// appended, so that it ends before another entry may supersede it.
func (s *State) checkGranted(q Query, now oleanderspool.Millis) (Decision, bool) {
	c, claimed := s.claims[q.Attempt]
	if !claimed || !s.isCurrent(q.Fingerprint, q.Attempt) {
		return Decision{}, false
	}
	if now >= c.validUntil {
		s.Withdraw(q.Attempt, now)
		return refuse(oleanderspool.RefusalTimeLimit, "the time for the trial has passed", checkInterval), true
	}
	server := s.ledger.suspicions[q.Fingerprint].trial.claim.instance
	return Decision{Action: RunTrial, Instance: server}, true
}

// unsettled returns the span until a trial may be claimed. All entries then know
// of the crash and have ended their copies, and a crash that a copy caused has
// shown, see [State.compare].
func (s *State) unsettled(f oleanderspool.Fingerprint, now oleanderspool.Millis) oleanderspool.Millis {
	at, heard := s.heard[f]
	if !heard {
		return 0
	}
	return max(0, at+s.settle-now)
}

// wait returns the span after which the trial of the request could start, or
// the trial of another copy will probably have ended.
func (s *State) wait(q Query, now oleanderspool.Millis) oleanderspool.Millis {
	p := s.ledger.suspicions[q.Fingerprint]
	if p == nil || p.trial == nil || p.trial.expired(now) {
		return claimTime + s.unsettled(q.Fingerprint, now)
	}
	left := p.trial.seenAt + p.trial.claim.expected - now
	return max(left, claimTime)
}

// expired reports whether the trial's runner must have given up.
func (t *trial) expired(now oleanderspool.Millis) bool {
	return now >= t.seenAt+t.claim.bound+boundMargin
}

// claimTrial puts a claim for the trial in the outbox, unless another trial
// runs or another request of this entry has claimed it.
func (s *State) claimTrial(q Query, now oleanderspool.Millis) {
	var superseded oleanderspool.AttemptID
	if p := s.ledger.suspicions[q.Fingerprint]; p != nil && p.trial != nil {
		if !p.trial.expired(now) {
			return
		}
		superseded = p.trial.id
	}
	if s.claimedByOther(q, now) {
		return
	}
	if _, claimed := s.claims[q.Attempt]; claimed && s.inOutbox(q.Attempt) {
		return
	}
	bound := min(q.Remaining, maxBound)
	s.claims[q.Attempt] = ownClaim{fingerprint: q.Fingerprint, validUntil: now + bound}
	if p, open := s.pending[q.Fingerprint]; open {
		s.outbox.hasten(p.crash, now)
	}
	s.outbox.add(letter{dueAt: now, record: record{
		kind: kindTrial, fingerprint: q.Fingerprint, trial: q.Attempt,
		claim: claim{
			entry: s.entry, instance: q.Instance, incarnation: q.Incarnation,
			superseded: superseded, expected: q.ExpectedDuration, bound: bound,
		},
	}})
}

// claimedByOther reports whether another waiting request of this entry has
// claimed the trial.
func (s *State) claimedByOther(q Query, now oleanderspool.Millis) bool {
	for id, c := range s.claims {
		if id != q.Attempt && c.fingerprint == q.Fingerprint && now < c.validUntil {
			return true
		}
	}
	return false
}

func (s *State) inOutbox(id oleanderspool.AttemptID) bool {
	for _, l := range s.outbox.letters {
		if l.record.kind == kindTrial && l.record.trial == id {
			return true
		}
	}
	return false
}

// spreadOf returns this entry's part of the spread for a crash.
func (s *State) spreadOf(crash CrashID) oleanderspool.Millis {
	weight := routing.Weight(routing.Hash(crash), routing.Hash(s.entry))
	return oleanderspool.Millis(weight % uint64(spread))
}

func refuse(reason oleanderspool.RefusalReason, message string, retryAfter oleanderspool.Millis) Decision {
	return Decision{Action: Refuse, Refusal: oleanderspool.Refuse(reason, message).WithRetryAfter(retryAfter)}
}
