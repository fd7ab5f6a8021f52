package suspect

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

const (
	// checkInterval is the interval at which a waiting request is checked
	// again when no record arrives.
	checkInterval oleanderspool.Millis = 100
	// claimLatency is the time in which a claim usually appears in the log.
	claimLatency oleanderspool.Millis = 100
	// outageRetryAfter is the delay after which a caller should resend a
	// suspect that was refused because the log was unavailable.
	outageRetryAfter = 5 * oleanderspool.Second
)

// Action says what to do with a request.
type Action int

// The actions that a [Decision] names.
const (
	// Run means that the request runs as usual.
	Run Action = iota
	// RunTrial means that the request runs alone, on the server that the claim
	// names.
	RunTrial
	// Wait means that the request is checked again after records were
	// replayed, and no later than at the instant Until.
	Wait
	// Refuse means that the caller gets the refusal.
	Refuse
)

// Query asks whether a request may run now. Attempt must stay the same each
// time that a waiting request is checked.
type Query struct {
	Fingerprint      oleanderspool.Fingerprint
	Attempt          oleanderspool.AttemptID
	Instance         oleanderspool.InstanceID  // server on which a trial would run
	Incarnation      oleanderspool.Incarnation // incarnation of that server
	Remaining        oleanderspool.Millis      // until the request's time limit
	ExpectedDuration oleanderspool.Millis      // of the run
}

// Decision is the answer to a [Query].
type Decision struct {
	Action   Action
	Until    oleanderspool.Millis     // for Wait: the instant of the next check
	Instance oleanderspool.InstanceID // for RunTrial: the server that the claim names
	Refusal  *oleanderspool.Refusal   // for Refuse; its execution is always "not run"
}

// Check decides whether a request may run. It must be called before each
// attempt, since the request may have become a suspect through another entry.
func (s *State) Check(q Query, now oleanderspool.Millis) Decision {
	s.recordActivity(now)
	if s.isCrasher(q.Fingerprint, now) {
		return refuse(oleanderspool.RefusalCrashesServer, "the request crashes its backend server", 0)
	}
	if !s.isSuspect(q.Fingerprint) {
		return s.checkUnsuspected(q, now)
	}
	if d, granted := s.checkGrantedTrial(q, now); granted {
		return d
	}
	if s.logUnavailable() {
		s.Withdraw(q.Attempt, now)
		return refuse(oleanderspool.RefusalLogUnavailable, "the log that decides about the trial is unavailable", outageRetryAfter)
	}
	if wait := s.expectedWait(q, now); q.Remaining < wait+q.ExpectedDuration {
		s.Withdraw(q.Attempt, now)
		return refuse(oleanderspool.RefusalDeadlineTooShort, "the time limit is shorter than the wait for a trial", wait)
	}
	if s.propagationLeft(q.Fingerprint, now) == 0 {
		s.claimTrial(q, now)
	}
	return Decision{Action: Wait, Until: now + checkInterval}
}

// isCrasher reports whether a request is known to crash its server. Each call
// extends the time for which the request is refused.
func (s *State) isCrasher(f oleanderspool.Fingerprint, now oleanderspool.Millis) bool {
	if at, known := s.crashers[f]; known && now-at <= s.replay.retention {
		s.crashers[f] = now
		return true
	}
	fs := s.replay.fingerprints[f]
	if fs == nil || fs.phase != phaseCrasher || now-fs.changedAt > s.replay.retention {
		return false
	}
	fs.changedAt = now
	return true
}

func (s *State) isSuspect(f oleanderspool.Fingerprint) bool {
	if _, open := s.pending[f]; open {
		return true
	}
	fs := s.replay.fingerprints[f]
	return fs != nil && fs.phase == phaseSuspect
}

// checkUnsuspected lets a request that is not known as a suspect run, except
// after a pause, when records may be missing. During an outage of the log the
// request runs.
func (s *State) checkUnsuspected(q Query, now oleanderspool.Millis) Decision {
	caughtUp := s.caughtUpTo >= s.resumedAt || s.logUnavailable() || now-s.resumedAt >= catchUpTimeout
	if caughtUp {
		return Decision{Action: Run}
	}
	if q.Remaining < checkInterval+q.ExpectedDuration {
		return refuse(oleanderspool.RefusalDeadlineTooShort, "the entry has not caught up with the log", checkInterval)
	}
	return Decision{Action: Wait, Until: now + checkInterval}
}

// checkGrantedTrial lets the request run when the log granted it the trial.
// The grant ends with the timeout of the claim, counted from before the claim
// was appended, so that it ends before another entry may supersede it.
func (s *State) checkGrantedTrial(q Query, now oleanderspool.Millis) (Decision, bool) {
	c, claimed := s.claims[q.Attempt]
	if !claimed || !s.isCurrent(q.Fingerprint, q.Attempt) {
		return Decision{}, false
	}
	if now >= c.validUntil {
		s.Withdraw(q.Attempt, now)
		return refuse(oleanderspool.RefusalTimeLimit, "the time for the trial has passed", checkInterval), true
	}
	server := s.replay.fingerprints[q.Fingerprint].trial.claim.instance
	return Decision{Action: RunTrial, Instance: server}, true
}

// propagationLeft returns the time until a trial may be claimed. By then all
// entries know of the crash and have cancelled their copies, and any crash that
// a copy caused has been reported, see [State.compareCrashes].
func (s *State) propagationLeft(f oleanderspool.Fingerprint, now oleanderspool.Millis) oleanderspool.Millis {
	at, found := s.learnedAt[f]
	if !found {
		return 0
	}
	return max(0, at+s.propagationDelay-now)
}

// expectedWait returns the time after which the trial of the request could
// start, or the trial of another copy will probably have ended.
func (s *State) expectedWait(q Query, now oleanderspool.Millis) oleanderspool.Millis {
	fs := s.replay.fingerprints[q.Fingerprint]
	if fs == nil || fs.trial == nil || fs.trial.expired(now) {
		return claimLatency + s.propagationLeft(q.Fingerprint, now)
	}
	left := fs.trial.seenAt + fs.trial.claim.expected - now
	return max(left, claimLatency)
}

// expired reports whether the entry that runs the trial must have cancelled
// it.
func (t *trial) expired(now oleanderspool.Millis) bool {
	return now >= t.seenAt+t.claim.timeout+trialTimeoutMargin
}

// claimTrial queues a claim for the trial, unless another trial runs or
// another request of this entry has claimed it.
func (s *State) claimTrial(q Query, now oleanderspool.Millis) {
	var superseded oleanderspool.AttemptID
	if fs := s.replay.fingerprints[q.Fingerprint]; fs != nil && fs.trial != nil {
		if !fs.trial.expired(now) {
			return
		}
		superseded = fs.trial.id
	}
	if s.claimedByOther(q, now) {
		return
	}
	if _, claimed := s.claims[q.Attempt]; claimed && s.claimQueued(q.Attempt) {
		return
	}
	timeout := min(q.Remaining, maxTrialTimeout)
	s.claims[q.Attempt] = localClaim{fingerprint: q.Fingerprint, validUntil: now + timeout}
	if p, open := s.pending[q.Fingerprint]; open {
		s.outbox.expedite(p.crash, now)
	}
	s.outbox.add(queuedRecord{dueAt: now, record: record{
		kind: kindTrial, fingerprint: q.Fingerprint, trial: q.Attempt,
		claim: claim{
			entry: s.entry, instance: q.Instance, incarnation: q.Incarnation,
			superseded: superseded, expected: q.ExpectedDuration, timeout: timeout,
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

func (s *State) claimQueued(id oleanderspool.AttemptID) bool {
	for _, qr := range s.outbox.queue {
		if qr.record.kind == kindTrial && qr.record.trial == id {
			return true
		}
	}
	return false
}

// appendJitter returns this entry's part of maxAppendJitter for a crash.
func (s *State) appendJitter(crash CrashID) oleanderspool.Millis {
	weight := routing.Weight(routing.Hash(crash), routing.Hash(s.entry))
	return oleanderspool.Millis(weight % uint64(maxAppendJitter))
}

func refuse(reason oleanderspool.RefusalReason, message string, retryAfter oleanderspool.Millis) Decision {
	return Decision{Action: Refuse, Refusal: oleanderspool.Refuse(reason, message).WithRetryAfter(retryAfter)}
}
