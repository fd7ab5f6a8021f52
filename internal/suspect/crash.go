package suspect

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// othersWait is the span for which an entry leaves it to the entries that
	// had requests on a crashed server to append the record. All entries learn
	// of the crash from the agent, and the log takes only a few hundred appends
	// per second.
	othersWait = 2 * oleanderspool.Second
	// spread is added to othersWait by a hash of the entry, so that the other
	// entries do not append at the same instant.
	spread = 2 * oleanderspool.Second
	// vanishedWait is the span for which the entry that ran a trial may report
	// its result after the server ended. The trial may have finished before.
	vanishedWait = 5 * oleanderspool.Second
	// compareSpan bounds the time between two crashes that copies of one request
	// cause before the first crash is known everywhere.
	compareSpan = 2 * DefaultPropagationDelay
)

// Crash is what an entry learned of a crash of a backend server: from the
// agent, which tells every entry that watches it, or from its own requests in
// flight when an instance disappeared.
type Crash struct {
	ID           CrashID
	Fingerprints []oleanderspool.Fingerprint // of all requests in flight that are known
	// Trial is set when the request in flight ran as a trial.
	Trial oleanderspool.AttemptID
	// Local says that a request of this entry was among them. Then this entry
	// appends the record; the others do so only if it does not appear.
	Local bool
	// Live says that the agent reported the crash when it happened, with all
	// requests in flight, rather than as part of its history.
	Live bool
}

// freshCrash is a crash that an agent reported when it happened.
type freshCrash struct {
	id           CrashID
	fingerprints map[oleanderspool.Fingerprint]bool
	at           oleanderspool.Millis // when this process learned of it
}

// Crashed takes a crash. The requests in flight are suspects for this entry
// from now on, also while the log is unavailable. Reporting a crash again adds
// only fingerprints that were not known.
func (s *State) Crashed(c Crash, now oleanderspool.Millis) {
	s.observe(now)
	if c.Trial != "" && len(c.Fingerprints) == 1 {
		s.confirmCause(c.Fingerprints[0], c.Trial, s.dueAt(c, now), now)
		return
	}
	var added []oleanderspool.Fingerprint
	for _, f := range c.Fingerprints {
		if s.knows(f, c.ID) || len(s.pending) >= s.ledger.limit {
			continue
		}
		s.learn([]oleanderspool.Fingerprint{f})
		s.heard[f] = now
		s.pending[f] = pending{crash: c.ID, at: now}
		added = append(added, f)
	}
	for chunk := range slices.Chunk(added, maxFingerprints) {
		s.outbox.add(letter{
			record: record{kind: kindSuspected, crash: c.ID, fingerprints: chunk}, dueAt: s.dueAt(c, now),
		})
	}
	if c.Local {
		s.outbox.hasten(c.ID, now)
	}
	if c.Live {
		s.compare(c, now)
	}
}

// compare looks for the cause of two crashes on different servers. Copies of one
// request that arrive before its first crash is known run on several servers at
// once. If exactly one request was in flight on both, it is confirmed as the
// cause, and its trial would only crash a third server. Later crashes are not
// compared, because a known suspect runs in its trial only.
func (s *State) compare(c Crash, now oleanderspool.Millis) {
	s.fresh = slices.DeleteFunc(s.fresh, func(f freshCrash) bool { return now-f.at > compareSpan })
	if slices.ContainsFunc(s.fresh, func(f freshCrash) bool { return f.id == c.ID }) {
		return
	}
	crash := freshCrash{id: c.ID, fingerprints: make(map[oleanderspool.Fingerprint]bool), at: now}
	for _, f := range c.Fingerprints {
		crash.fingerprints[f] = true
	}
	for _, earlier := range s.fresh {
		if f, ok := onlyCommon(crash, earlier); ok && !s.isCause(f, now) {
			s.confirmCause(f, "", s.dueAt(c, now), now)
		}
	}
	s.fresh = append(s.fresh, crash)
}

// onlyCommon returns the fingerprint that was in flight at both crashes, if
// there is exactly one.
func onlyCommon(a, b freshCrash) (common oleanderspool.Fingerprint, ok bool) {
	for f := range a.fingerprints {
		if !b.fingerprints[f] {
			continue
		}
		if ok {
			return 0, false
		}
		common, ok = f, true
	}
	return common, ok
}

// knows reports whether the fingerprint's part in a crash is known.
func (s *State) knows(f oleanderspool.Fingerprint, crash CrashID) bool {
	if s.pending[f].crash == crash {
		return true
	}
	p := s.ledger.suspicions[f]
	return p != nil && (p.phase == phaseCause || slices.Contains(p.crashes, crash))
}

// dueAt returns when this entry appends what it learned of a crash.
func (s *State) dueAt(c Crash, now oleanderspool.Millis) oleanderspool.Millis {
	if c.Local {
		return now
	}
	return now + othersWait + s.spreadOf(c.ID)
}

// confirmCause notes that a request crashed its server in a trial.
func (s *State) confirmCause(f oleanderspool.Fingerprint, id oleanderspool.AttemptID, dueAt, now oleanderspool.Millis) {
	if len(s.causes) < s.ledger.limit {
		s.causes[f] = now
	}
	delete(s.pending, f)
	s.outbox.drop(func(l letter) bool {
		return l.record.kind != kindSuspected && l.record.trial == id && l.record.fingerprint == f
	})
	s.outbox.add(letter{dueAt: dueAt, record: record{
		kind: kindResult, fingerprint: f, trial: id, outcome: OutcomeCrashed,
	}})
}

// ServerEnded notes that an incarnation ended, as the membership reports it.
// A trial that ran there counts as crashed unless its own entry reports another
// result soon: a planned stop lets a trial finish first.
func (s *State) ServerEnded(instance oleanderspool.InstanceID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) {
	s.observe(now)
	s.ended[runner{instance, incarnation}] = now
	for f, p := range s.ledger.suspicions {
		if p.trial != nil {
			s.presumeCrash(f, now)
		}
	}
}

// presumeCrash prepares the result of a trial whose server has ended.
func (s *State) presumeCrash(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	p := s.ledger.suspicions[f]
	if p == nil || p.trial == nil || s.reported(p.trial.id) {
		return
	}
	if _, ended := s.ended[runner{p.trial.claim.instance, p.trial.claim.incarnation}]; !ended {
		return
	}
	s.outbox.add(letter{dueAt: now + vanishedWait, presumed: true, record: record{
		kind: kindResult, fingerprint: f, trial: p.trial.id, outcome: OutcomeCrashed,
	}})
}

// TrialEnded takes the result of a trial that this entry ran. A crash makes the
// request a cause for this entry at once.
func (s *State) TrialEnded(id oleanderspool.AttemptID, outcome Outcome, now oleanderspool.Millis) {
	s.observe(now)
	c, known := s.claims[id]
	if !known {
		return
	}
	delete(s.claims, id)
	if outcome == OutcomeCrashed {
		s.confirmCause(c.fingerprint, id, now, now)
		return
	}
	s.outbox.drop(func(l letter) bool { return l.record.kind != kindSuspected && l.record.trial == id })
	if s.isCurrent(c.fingerprint, id) {
		s.outbox.add(letter{dueAt: now, record: record{
			kind: kindResult, fingerprint: c.fingerprint, trial: id, outcome: outcome,
		}})
	}
}

// Withdraw notes that a request no longer wants its trial, because it was
// answered. A claim that the log grants later is given back.
func (s *State) Withdraw(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	s.TrialEnded(id, OutcomeInconclusive, now)
}

// Propagated reports whether the other entries know of the suspect, so that a
// failed request may be answered: a caller that resends it through another
// entry at once must not find one that runs it as if it were harmless. The
// answer waits until then or until the request's time limit.
func (s *State) Propagated(f oleanderspool.Fingerprint, now oleanderspool.Millis) bool {
	p, open := s.pending[f]
	if open {
		limit := s.settle
		if !s.unavailable() {
			limit += holdLimit
		}
		return now-p.at >= limit
	}
	known := s.ledger.suspicions[f]
	return known == nil || now-known.changedAt >= s.settle
}
