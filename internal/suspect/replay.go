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
	phaseCrasher
)

// fingerprintState is the replayed state of a fingerprint.
type fingerprintState struct {
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
	fingerprints map[oleanderspool.Fingerprint]*fingerprintState
	limit        int                  // maximum number of fingerprints
	retention    oleanderspool.Millis // for which a crashing request is refused
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
// no effect, and a crashing request stays one.
func (rp *replay) markSuspect(f oleanderspool.Fingerprint, crash CrashID, now oleanderspool.Millis) {
	fs := rp.stateOf(f, now)
	if fs.phase == phaseCrasher || slices.Contains(fs.crashes, crash) {
		return
	}
	fs.crashes = keepLast(fs.crashes, crash)
	fs.phase = phaseSuspect
	fs.changedAt = now
}

// applyClaim grants the trial to the first claim for a suspect without one, or
// to the first claim that names the current trial as superseded. An unknown
// suspect was evicted, or its record has left the log; the claim then makes it
// a suspect.
func (rp *replay) applyClaim(r record, now oleanderspool.Millis) {
	fs := rp.stateOf(r.fingerprint, now)
	if fs.phase != phaseSuspect || slices.Contains(fs.pastTrials, r.trial) {
		return
	}
	if fs.trial != nil && (fs.trial.id == r.trial || fs.trial.id != r.claim.superseded) {
		return
	}
	fs.endTrial()
	fs.trial = &trial{id: r.trial, claim: r.claim, seenAt: now}
	fs.changedAt = now
}

// applyResult applies the result of a trial. A crash also counts for a trial
// that was superseded, because its request ran alone too, and for a result
// without a trial, which an entry appends when two crashes have shown that the
// request crashes its servers.
func (rp *replay) applyResult(r record, now oleanderspool.Millis) {
	fs := rp.stateOf(r.fingerprint, now)
	current := fs.trial != nil && fs.trial.id == r.trial
	known := current || r.trial == "" || slices.Contains(fs.pastTrials, r.trial) || fs.trial == nil && len(fs.pastTrials) == 0
	switch {
	case r.outcome == OutcomeCrashed && known && fs.phase == phaseSuspect:
		fs.phase = phaseCrasher
	case r.outcome == OutcomeFinished && current:
		fs.phase = phaseCleared
	case !current:
		return
	}
	fs.endTrial()
	fs.changedAt = now
}

func (rp *replay) stateOf(f oleanderspool.Fingerprint, now oleanderspool.Millis) *fingerprintState {
	fs := rp.fingerprints[f]
	if fs == nil {
		fs = &fingerprintState{changedAt: now}
		rp.fingerprints[f] = fs
	}
	return fs
}

func (fs *fingerprintState) endTrial() {
	if fs.trial == nil {
		return
	}
	fs.pastTrials = keepLast(fs.pastTrials, fs.trial.id)
	fs.trial = nil
}

// keepLast appends to a list of at most maxKeptIDs values.
func keepLast[T any](list []T, value T) []T {
	if len(list) == maxKeptIDs {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, value)
}

// evict removes expired fingerprints when the limit is exceeded. If the limit
// is still exceeded then, evict reduces the state to nine tenths of it: first
// cleared fingerprints, then the oldest. Up to the limit it does nothing, so
// that its cost is spread over many records.
func (rp *replay) evict(now oleanderspool.Millis) {
	if len(rp.fingerprints) <= rp.limit {
		return
	}
	type candidate struct {
		fingerprint oleanderspool.Fingerprint
		phase       phase
		changedAt   oleanderspool.Millis
	}
	list := make([]candidate, 0, len(rp.fingerprints))
	for f, fs := range rp.fingerprints {
		if now-fs.changedAt > rp.retention {
			delete(rp.fingerprints, f)
			continue
		}
		list = append(list, candidate{f, fs.phase, fs.changedAt})
	}
	excess := len(list) - rp.limit + rp.limit/10
	if len(list) <= rp.limit {
		return
	}
	// Cleared suspects protect nothing, so they are removed before suspects
	// and crashing requests.
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
		delete(rp.fingerprints, a.fingerprint)
	}
}
