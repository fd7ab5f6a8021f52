package suspect

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// maxKeptIDs bounds the number of crashes and of earlier trials that are kept
// per fingerprint, to recognise their late records.
const maxKeptIDs = 4

// phase is the state of a fingerprint in the log.
type phase int

const (
	phaseSuspect phase = iota
	phaseCleared
	phaseCause
)

// suspicion is the replayed state of a fingerprint.
type suspicion struct {
	phase      phase
	crashes    []CrashID
	trial      *trial                    // current trial; nil without one
	pastTrials []oleanderspool.AttemptID // earlier trials
	changedAt  oleanderspool.Millis
}

// trial is the current trial of a suspect.
type trial struct {
	id     oleanderspool.AttemptID
	claim  claim
	seenAt oleanderspool.Millis // when this entry read the record
}

// replay is the state after the replayed records. Every process that replays
// the same records has the same state, apart from what it has evicted.
type replay struct {
	suspicions map[oleanderspool.Fingerprint]*suspicion
	limit      int                  // maximum number of fingerprints
	retention  oleanderspool.Millis // for which a cause is refused
}

func (rp *replay) apply(r record, now oleanderspool.Millis) {
	switch r.kind {
	case kindSuspected:
		for _, f := range r.fingerprints {
			rp.markSuspect(f, r.crash, now)
		}
	case kindTrial:
		rp.applyClaim(r, now)
	case kindResult:
		rp.applyResult(r, now)
	}
	rp.evict(now)
}

// markSuspect makes a fingerprint a suspect. A crash that is already known has
// no effect, and a cause stays a cause.
func (rp *replay) markSuspect(f oleanderspool.Fingerprint, crash CrashID, now oleanderspool.Millis) {
	s := rp.suspicionOf(f, now)
	if s.phase == phaseCause || slices.Contains(s.crashes, crash) {
		return
	}
	s.crashes = keepLast(s.crashes, crash)
	s.phase = phaseSuspect
	s.changedAt = now
}

// applyClaim grants the trial to the first claim for a suspect without one, or
// to the first claim that names the current trial as superseded. An unknown
// suspect was evicted, or its record has left the log; the claim then makes it
// a suspect.
func (rp *replay) applyClaim(r record, now oleanderspool.Millis) {
	s := rp.suspicionOf(r.fingerprint, now)
	if s.phase != phaseSuspect || slices.Contains(s.pastTrials, r.trial) {
		return
	}
	if s.trial != nil && (s.trial.id == r.trial || s.trial.id != r.claim.superseded) {
		return
	}
	s.endTrial()
	s.trial = &trial{id: r.trial, claim: r.claim, seenAt: now}
	s.changedAt = now
}

// applyResult applies the result of a trial. A crash also counts for a trial
// that was superseded, because its request ran alone too, and for a result
// without a trial, which an entry appends when two crashes have shown the
// cause.
func (rp *replay) applyResult(r record, now oleanderspool.Millis) {
	s := rp.suspicionOf(r.fingerprint, now)
	current := s.trial != nil && s.trial.id == r.trial
	known := current || r.trial == "" || slices.Contains(s.pastTrials, r.trial) || s.trial == nil && len(s.pastTrials) == 0
	switch {
	case r.outcome == OutcomeCrashed && known && s.phase == phaseSuspect:
		s.phase = phaseCause
	case r.outcome == OutcomeFinished && current:
		s.phase = phaseCleared
	case !current:
		return
	}
	s.endTrial()
	s.changedAt = now
}

func (rp *replay) suspicionOf(f oleanderspool.Fingerprint, now oleanderspool.Millis) *suspicion {
	s := rp.suspicions[f]
	if s == nil {
		s = &suspicion{changedAt: now}
		rp.suspicions[f] = s
	}
	return s
}

func (s *suspicion) endTrial() {
	if s.trial == nil {
		return
	}
	s.pastTrials = keepLast(s.pastTrials, s.trial.id)
	s.trial = nil
}

// keepLast appends to a list of at most maxKeptIDs values.
func keepLast[T any](list []T, value T) []T {
	if len(list) == maxKeptIDs {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, value)
}

// evict removes what has expired, and then the oldest tenth if the state is
// still too large. It does nothing until the limit is reached, so that its
// cost is spread over many records.
func (rp *replay) evict(now oleanderspool.Millis) {
	if len(rp.suspicions) <= rp.limit {
		return
	}
	type candidate struct {
		fingerprint oleanderspool.Fingerprint
		phase       phase
		changedAt   oleanderspool.Millis
	}
	list := make([]candidate, 0, len(rp.suspicions))
	for f, s := range rp.suspicions {
		if now-s.changedAt > rp.retention {
			delete(rp.suspicions, f)
			continue
		}
		list = append(list, candidate{f, s.phase, s.changedAt})
	}
	excess := len(list) - rp.limit + rp.limit/10
	if len(list) <= rp.limit {
		return
	}
	// Cleared suspects protect nothing, so they are removed before suspects
	// and causes.
	slices.SortFunc(list, func(a, b candidate) int {
		if (a.phase == phaseCleared) != (b.phase == phaseCleared) {
			if a.phase == phaseCleared {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.changedAt, b.changedAt), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, a := range list[:excess] {
		delete(rp.suspicions, a.fingerprint)
	}
}
