package suspect

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// keptIDs is the number of crashes and of earlier trials kept per
// fingerprint, to recognise their late records.
const keptIDs = 4

// phase tells what the log says of a fingerprint.
type phase int

const (
	phaseSuspect phase = iota
	phaseCleared
	phaseCause
)

// suspicion is what the log says of a fingerprint.
type suspicion struct {
	phase     phase
	crashes   []CrashID
	trial     *trial                    // current trial; nil without one
	past      []oleanderspool.AttemptID // earlier trials
	changedAt oleanderspool.Millis
}

// trial is the current trial of a suspect.
type trial struct {
	id     oleanderspool.AttemptID
	claim  claim
	seenAt oleanderspool.Millis // when this process read the record
}

// ledger is the replayed stream. Every process that replays the same records
// gets the same ledger, apart from what it has evicted.
type ledger struct {
	suspicions map[oleanderspool.Fingerprint]*suspicion
	limit      int                  // largest number of fingerprints
	retention  oleanderspool.Millis // span for which a cause is refused
}

func (l *ledger) apply(r record, now oleanderspool.Millis) {
	switch r.kind {
	case kindSuspected:
		for _, f := range r.fingerprints {
			l.suspect(f, r.crash, now)
		}
	case kindTrial:
		l.grant(r, now)
	case kindResult:
		l.settle(r, now)
	}
	l.evict(now)
}

// suspect makes a fingerprint a suspect. A crash that is known already does
// not make it one again, and a cause stays one.
func (l *ledger) suspect(f oleanderspool.Fingerprint, crash CrashID, now oleanderspool.Millis) {
	s := l.get(f, now)
	if s.phase == phaseCause || slices.Contains(s.crashes, crash) {
		return
	}
	s.crashes = keepLast(s.crashes, crash)
	s.phase = phaseSuspect
	s.changedAt = now
}

// grant gives the trial to the first claim for a suspect without one, or to
// the first that names the current trial as superseded. A suspect that is not
// known was evicted, or its record has left the log; the claim stands for it.
func (l *ledger) grant(r record, now oleanderspool.Millis) {
	s := l.get(r.fingerprint, now)
	if s.phase != phaseSuspect || slices.Contains(s.past, r.trial) {
		return
	}
	if s.trial != nil && (s.trial.id == r.trial || s.trial.id != r.claim.superseded) {
		return
	}
	s.endTrial()
	s.trial = &trial{id: r.trial, claim: r.claim, seenAt: now}
	s.changedAt = now
}

// settle takes the result of a trial. A crash counts also for a trial that was
// superseded, because its request ran alone too, and without a trial when two
// crashes have shown the cause.
func (l *ledger) settle(r record, now oleanderspool.Millis) {
	s := l.get(r.fingerprint, now)
	current := s.trial != nil && s.trial.id == r.trial
	known := current || r.trial == "" || slices.Contains(s.past, r.trial) || s.trial == nil && len(s.past) == 0
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

func (l *ledger) get(f oleanderspool.Fingerprint, now oleanderspool.Millis) *suspicion {
	s := l.suspicions[f]
	if s == nil {
		s = &suspicion{changedAt: now}
		l.suspicions[f] = s
	}
	return s
}

func (s *suspicion) endTrial() {
	if s.trial == nil {
		return
	}
	s.past = keepLast(s.past, s.trial.id)
	s.trial = nil
}

// keepLast appends to a list of at most keptIDs values.
func keepLast[T any](list []T, value T) []T {
	if len(list) == keptIDs {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, value)
}

// evict drops what has expired, and then the oldest tenth if the ledger is
// still too large. It does nothing until the limit is reached, so its cost is
// spread over many records.
func (l *ledger) evict(now oleanderspool.Millis) {
	if len(l.suspicions) <= l.limit {
		return
	}
	type aged struct {
		fingerprint oleanderspool.Fingerprint
		phase       phase
		changedAt   oleanderspool.Millis
	}
	list := make([]aged, 0, len(l.suspicions))
	for f, s := range l.suspicions {
		if now-s.changedAt > l.retention {
			delete(l.suspicions, f)
			continue
		}
		list = append(list, aged{f, s.phase, s.changedAt})
	}
	excess := len(list) - l.limit + l.limit/10
	if len(list) <= l.limit {
		return
	}
	// Cleared ones protect nothing, so they go before suspects and causes.
	slices.SortFunc(list, func(a, b aged) int {
		if (a.phase == phaseCleared) != (b.phase == phaseCleared) {
			if a.phase == phaseCleared {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.changedAt, b.changedAt), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, a := range list[:excess] {
		delete(l.suspicions, a.fingerprint)
	}
}
