package suspect

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// remoteAppendDelay is how long an entry waits for the entries that had
	// requests on a crashed server to append the record. All entries learn of
	// the crash from the agent, and the log takes only a few hundred appends
	// per second.
	remoteAppendDelay = 2 * oleanderspool.Second
	// maxAppendJitter bounds the delay that is added to remoteAppendDelay by a
	// hash of the entry, so that the other entries do not append at the same
	// instant.
	maxAppendJitter = 2 * oleanderspool.Second
	// presumedCrashDelay is the delay after the end of a server before its
	// trial counts as crashed. Meanwhile the entry that ran the trial may
	// report that it had finished.
	presumedCrashDelay = 5 * oleanderspool.Second
	// compareWindow is the maximum time between two crashes that are compared.
	// Within it copies of one request can crash several servers, because the
	// first crash is not yet known everywhere.
	compareWindow = 2 * DefaultPropagationDelay
)

// Crash is a crash of a backend server as an entry learned of it: from the
// agent, which reports it to every entry that watches it, or from its own
// requests in flight when an instance disappeared.
type Crash struct {
	ID           CrashID
	Fingerprints []oleanderspool.Fingerprint // of all requests in flight that are known
	// Trial is the attempt in flight if it ran as a trial, or empty.
	Trial oleanderspool.AttemptID
	// Local says that a request of this entry was in flight. Then this entry
	// appends the record; the others do so only if it does not appear.
	Local bool
	// Live says that the agent reported the crash when it happened, with all
	// requests in flight, rather than as part of its history.
	Live bool
}

// liveCrash is a crash that an agent reported when it happened.
type liveCrash struct {
	id           CrashID
	fingerprints map[oleanderspool.Fingerprint]bool
	at           oleanderspool.Millis // when this entry learned of it
}

// Crashed records a crash. The requests in flight are suspects for this entry
// from now on, also while the log is unavailable. Reporting a crash again adds
// only fingerprints that were not known.
func (s *State) Crashed(c Crash, now oleanderspool.Millis) {
	s.recordActivity(now)
	if c.Trial != "" && len(c.Fingerprints) == 1 {
		s.confirmCrasher(c.Fingerprints[0], c.Trial, s.dueAt(c, now), now)
		return
	}
	var added []oleanderspool.Fingerprint
	for _, f := range c.Fingerprints {
		if s.knowsCrash(f, c.ID) || len(s.pending) >= s.replay.limit {
			continue
		}
		s.addNewSuspects([]oleanderspool.Fingerprint{f})
		s.learnedAt[f] = now
		s.pending[f] = pendingSuspect{crash: c.ID, at: now}
		added = append(added, f)
	}
	for chunk := range slices.Chunk(added, maxFingerprints) {
		s.outbox.add(queuedRecord{
			record: record{kind: kindSuspected, crash: c.ID, fingerprints: chunk}, dueAt: s.dueAt(c, now),
		})
	}
	if c.Local {
		s.outbox.expedite(c.ID, now)
	}
	if c.Live {
		s.compareCrashes(c, now)
	}
}

// compareCrashes compares a live crash with those of the last compareWindow.
// Copies of one request that arrive before its first crash is known run on
// several servers at once. If exactly one request was in flight at both
// crashes, it is confirmed as a crashing request, since its trial would only
// crash a third server. Later crashes are not compared, because a known suspect
// runs only in its trial.
func (s *State) compareCrashes(c Crash, now oleanderspool.Millis) {
	s.liveCrashes = slices.DeleteFunc(s.liveCrashes, func(f liveCrash) bool { return now-f.at > compareWindow })
	if slices.ContainsFunc(s.liveCrashes, func(f liveCrash) bool { return f.id == c.ID }) {
		return
	}
	crash := liveCrash{id: c.ID, fingerprints: make(map[oleanderspool.Fingerprint]bool), at: now}
	for _, f := range c.Fingerprints {
		crash.fingerprints[f] = true
	}
	for _, earlier := range s.liveCrashes {
		if f, ok := singleCommon(crash, earlier); ok && !s.isCrasher(f, now) {
			s.confirmCrasher(f, "", s.dueAt(c, now), now)
		}
	}
	s.liveCrashes = append(s.liveCrashes, crash)
}

// singleCommon returns the fingerprint that was in flight at both crashes, if
// there is exactly one.
func singleCommon(a, b liveCrash) (common oleanderspool.Fingerprint, ok bool) {
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

// knowsCrash reports whether it is known that the request was in flight at the
// crash.
func (s *State) knowsCrash(f oleanderspool.Fingerprint, crash CrashID) bool {
	if s.pending[f].crash == crash {
		return true
	}
	fs := s.replay.fingerprints[f]
	return fs != nil && (fs.phase == phaseCrasher || slices.Contains(fs.crashes, crash))
}

// dueAt returns when this entry appends its record of a crash.
func (s *State) dueAt(c Crash, now oleanderspool.Millis) oleanderspool.Millis {
	if c.Local {
		return now
	}
	return now + remoteAppendDelay + s.appendJitter(c.ID)
}

// confirmCrasher records that a request crashes its server, as shown by a trial
// or by the comparison of two crashes.
func (s *State) confirmCrasher(f oleanderspool.Fingerprint, id oleanderspool.AttemptID, dueAt, now oleanderspool.Millis) {
	if len(s.crashers) < s.replay.limit {
		s.crashers[f] = now
	}
	delete(s.pending, f)
	s.outbox.drop(func(qr queuedRecord) bool {
		return qr.record.kind != kindSuspected && qr.record.trial == id && qr.record.fingerprint == f
	})
	s.outbox.add(queuedRecord{dueAt: dueAt, record: record{
		kind: kindResult, fingerprint: f, trial: id, outcome: OutcomeCrashed,
	}})
}

// ServerEnded records that a server incarnation ended, as the membership
// reports it. A trial that ran there counts as crashed unless its own entry
// reports another result soon: a planned stop lets a trial finish first.
func (s *State) ServerEnded(instance oleanderspool.InstanceID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) {
	s.recordActivity(now)
	s.endedServers[serverIncarnation{instance, incarnation}] = now
	for f, fs := range s.replay.fingerprints {
		if fs.trial != nil {
			s.presumeCrash(f, now)
		}
	}
}

// presumeCrash queues the result "crashed" for a trial whose server has ended.
func (s *State) presumeCrash(f oleanderspool.Fingerprint, now oleanderspool.Millis) {
	fs := s.replay.fingerprints[f]
	if fs == nil || fs.trial == nil || s.resultQueued(fs.trial.id) {
		return
	}
	if _, ended := s.endedServers[serverIncarnation{fs.trial.claim.instance, fs.trial.claim.incarnation}]; !ended {
		return
	}
	s.outbox.add(queuedRecord{dueAt: now + presumedCrashDelay, presumed: true, record: record{
		kind: kindResult, fingerprint: f, trial: fs.trial.id, outcome: OutcomeCrashed,
	}})
}

// TrialEnded records the result of a trial that this entry ran. If the server
// crashed, the entry refuses the request as a crashing one at once.
func (s *State) TrialEnded(id oleanderspool.AttemptID, outcome Outcome, now oleanderspool.Millis) {
	s.recordActivity(now)
	c, known := s.claims[id]
	if !known {
		return
	}
	delete(s.claims, id)
	if outcome == OutcomeCrashed {
		s.confirmCrasher(c.fingerprint, id, now, now)
		return
	}
	s.outbox.drop(func(qr queuedRecord) bool { return qr.record.kind != kindSuspected && qr.record.trial == id })
	if s.isCurrent(c.fingerprint, id) {
		s.outbox.add(queuedRecord{dueAt: now, record: record{
			kind: kindResult, fingerprint: c.fingerprint, trial: id, outcome: outcome,
		}})
	}
}

// Withdraw records that a request no longer waits for its trial, because it
// was answered. If the log grants its claim later, the trial is released.
func (s *State) Withdraw(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	s.TrialEnded(id, OutcomeInconclusive, now)
}

// Propagated reports whether the other entries know of the suspect, so that a
// failed request may be answered: if its caller resends it through another
// entry at once, that entry must not run it as an unsuspected request. The
// answer waits until then or until the request's time limit.
func (s *State) Propagated(f oleanderspool.Fingerprint, now oleanderspool.Millis) bool {
	p, open := s.pending[f]
	if open {
		limit := s.propagationDelay
		if !s.logUnavailable() {
			limit += catchUpTimeout
		}
		return now-p.at >= limit
	}
	known := s.replay.fingerprints[f]
	return known == nil || now-known.changedAt >= s.propagationDelay
}
