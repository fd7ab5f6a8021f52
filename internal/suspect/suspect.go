// Package suspect decides whether requests that were in flight when their
// backend server crashed may run again. It replays the log's stream "suspect"
// and combines it with the crashes that this entry observed itself.
//
// Each such request becomes a suspect and may run only as a trial: alone on
// one backend server, and only by the entry whose claim comes first in the
// log. A trial that finishes clears the suspect. A trial whose server crashes
// shows that the request crashes its server, and it is refused from then on.
package suspect

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of [New].
const (
	// DefaultLimit bounds the number of tracked fingerprints. At about 400
	// bytes each they take 8 MB.
	DefaultLimit = 20000
	// DefaultRetention is how long a crashing request is refused after it was
	// last sent.
	DefaultRetention = 24 * oleanderspool.Hour
	// DefaultPropagationDelay is the time in which other entries learn of a
	// crash, from the agent or the log.
	DefaultPropagationDelay oleanderspool.Millis = 500
)

const (
	// pauseThreshold is the time without any activity after which this process
	// assumes that it was paused and may have missed records.
	pauseThreshold oleanderspool.Millis = 500
	// catchUpTimeout bounds how long requests wait for the stream after a
	// pause.
	catchUpTimeout = 2 * oleanderspool.Second
	// outageFailures is the number of successive failed reads that count as an
	// outage of the log. A pause may have interrupted the first one.
	outageFailures = 2
	// trialTimeoutMargin is added to the timeout of another entry's trial, for
	// the latency of its record and for the end of its run.
	trialTimeoutMargin = oleanderspool.Second
	// maxTrialTimeout bounds the timeout of a trial, so that a suspect whose
	// trial was lost is not blocked for the whole time limit of a long
	// request.
	maxTrialTimeout = 10 * oleanderspool.Minute
	// maxFingerprints bounds the number of fingerprints per record.
	maxFingerprints = 1000
)

// Option configures the state that [New] returns.
type Option func(*State)

// WithLimit bounds the number of tracked fingerprints.
func WithLimit(fingerprints int) Option {
	return func(s *State) { s.replay.limit = fingerprints }
}

// State is one entry's view of the suspects. It is not safe for concurrent
// use.
type State struct {
	entry            string // identifies this process of the entry
	propagationDelay oleanderspool.Millis

	replay     replay
	lastOffset oleanderspool.Offset // of the last replayed record
	outbox     outbox

	// pending holds the suspects whose record was not replayed yet.
	pending map[oleanderspool.Fingerprint]pendingSuspect
	// crashers holds the crashing requests that this entry learned of, with the
	// instant of the last refusal.
	crashers map[oleanderspool.Fingerprint]oleanderspool.Millis
	// claims holds the claims of this entry's requests that wait for a trial
	// or run one.
	claims map[oleanderspool.AttemptID]localClaim
	// endedServers holds the server incarnations that ended, since the record
	// of a trial on one of them may be read later.
	endedServers map[serverIncarnation]oleanderspool.Millis
	// learnedAt holds the instants at which this entry last learned that a
	// request was in flight at a crash, for the propagation delay.
	learnedAt map[oleanderspool.Fingerprint]oleanderspool.Millis
	// liveCrashes holds the crashes of the last compareWindow that an agent
	// reported when they happened.
	liveCrashes []liveCrash
	// newSuspects holds the suspects that TakeNewSuspects has not returned
	// yet.
	newSuspects []oleanderspool.Fingerprint

	lastActivityAt oleanderspool.Millis
	resumedAt      oleanderspool.Millis // end of the last pause
	caughtUpTo     oleanderspool.Millis // instant up to which all records are replayed
	failedReads    int                  // number of successive failed reads since the last pause
}

// pendingSuspect is a suspect whose record was not replayed yet.
type pendingSuspect struct {
	crash CrashID
	at    oleanderspool.Millis
}

// serverIncarnation identifies a server process on which a trial was placed.
type serverIncarnation struct {
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
}

// localClaim is this entry's claim for a trial.
type localClaim struct {
	fingerprint oleanderspool.Fingerprint
	validUntil  oleanderspool.Millis
}

// New returns the state of an entry that has read nothing yet. The argument
// entry must be different for each process of the entry.
func New(entry string, now oleanderspool.Millis, options ...Option) *State {
	s := &State{
		entry:            entry,
		propagationDelay: DefaultPropagationDelay,
		replay: replay{
			fingerprints: make(map[oleanderspool.Fingerprint]*fingerprintState),
			limit:        DefaultLimit,
			retention:    DefaultRetention,
		},
		pending:        make(map[oleanderspool.Fingerprint]pendingSuspect),
		crashers:       make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
		claims:         make(map[oleanderspool.AttemptID]localClaim),
		endedServers:   make(map[serverIncarnation]oleanderspool.Millis),
		learnedAt:      make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
		lastActivityAt: now,
		resumedAt:      now,
		caughtUpTo:     now - 1,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Tick records that the process is alive and removes expired data. It must be
// called more often than twice a second, or the state assumes a pause.
func (s *State) Tick(now oleanderspool.Millis) {
	s.recordActivity(now)
	for f, at := range s.crashers {
		if now-at > s.replay.retention {
			delete(s.crashers, f)
		}
	}
	for id, c := range s.claims {
		if now > c.validUntil+trialTimeoutMargin {
			delete(s.claims, id)
		}
	}
	for f, at := range s.learnedAt {
		if now-at >= s.propagationDelay {
			delete(s.learnedAt, f)
		}
	}
	for r, at := range s.endedServers {
		if now-at > maxTrialTimeout {
			delete(s.endedServers, r)
		}
	}
}

// recordActivity records that the process is active, and detects a pause
// before it.
func (s *State) recordActivity(now oleanderspool.Millis) {
	if now-s.lastActivityAt > pauseThreshold {
		s.resumedAt = now
		s.failedReads = 0
	}
	s.lastActivityAt = now
}

// DueRecords returns the records to append to the stream now, in this order. A
// record is returned again every second until it is replayed or obsolete.
func (s *State) DueRecords(now oleanderspool.Millis) [][]byte {
	s.recordActivity(now)
	return s.outbox.due(now)
}

// NextOffset returns the offset from which the stream is to be read.
func (s *State) NextOffset() oleanderspool.Offset {
	return s.lastOffset + 1
}

// Apply replays the records that a read returned. sentAt is the instant at
// which the read was sent, and head the offset of the last record of the
// stream. Records that were replayed before are skipped. Unreadable ones have
// no effect; their number is returned.
func (s *State) Apply(records []oleanderspool.Record, head oleanderspool.Offset, sentAt, now oleanderspool.Millis) (unreadable int) {
	s.recordActivity(now)
	s.failedReads = 0
	for _, stored := range records {
		if stored.Offset <= s.lastOffset {
			continue
		}
		s.lastOffset = stored.Offset
		r, err := decode(stored.Data)
		if err != nil {
			unreadable++
			continue
		}
		s.addNewSuspects(r.fingerprints)
		s.recordLearned(r, now)
		s.replay.apply(r, now)
		s.removePending(r)
		s.releaseUnwantedTrial(r, now)
		s.presumeCrash(r.fingerprint, now)
	}
	if s.lastOffset >= head {
		s.caughtUpTo = max(s.caughtUpTo, sentAt)
	}
	s.outbox.drop(s.isObsolete)
	return unreadable
}

// ReadFailed records that a read of the stream failed or timed out. After the
// second successive failure the log counts as unavailable.
func (s *State) ReadFailed(sentAt, now oleanderspool.Millis) {
	s.recordActivity(now)
	if sentAt >= s.resumedAt {
		s.failedReads++
	}
}

// logUnavailable reports whether the log cannot be read.
func (s *State) logUnavailable() bool {
	return s.failedReads >= outageFailures
}

// TakeNewSuspects returns the fingerprints that became suspects for this entry
// since the last call; some may have been cleared since. The entry should
// cancel its other attempts at these requests and check them again, if they
// are idempotent and no trials: a copy that still runs would crash another
// server.
func (s *State) TakeNewSuspects() []oleanderspool.Fingerprint {
	list := s.newSuspects
	s.newSuspects = nil
	return list
}

// addNewSuspects queues fingerprints that are not suspects yet for
// TakeNewSuspects.
func (s *State) addNewSuspects(fingerprints []oleanderspool.Fingerprint) {
	for _, f := range fingerprints {
		if !s.isSuspect(f) && len(s.newSuspects) < s.replay.limit {
			s.newSuspects = append(s.newSuspects, f)
		}
	}
}

// recordLearned records when this entry learned of a crash from the stream.
func (s *State) recordLearned(r record, now oleanderspool.Millis) {
	for _, f := range r.fingerprints {
		if !s.knowsCrash(f, r.crash) && len(s.learnedAt) < s.replay.limit {
			s.learnedAt[f] = now
		}
	}
}

// removePending removes the pending suspects whose record was replayed.
func (s *State) removePending(r record) {
	for _, f := range r.fingerprints {
		if s.pending[f].crash == r.crash {
			delete(s.pending, f)
		}
	}
}

// releaseUnwantedTrial ends a trial that the log granted to a request of this
// entry that no longer waits for it.
func (s *State) releaseUnwantedTrial(r record, now oleanderspool.Millis) {
	if r.kind != kindTrial || r.claim.entry != s.entry || !s.isCurrent(r.fingerprint, r.trial) {
		return
	}
	if _, waits := s.claims[r.trial]; !waits && !s.resultQueued(r.trial) {
		s.outbox.add(queuedRecord{dueAt: now, record: record{
			kind: kindResult, fingerprint: r.fingerprint, trial: r.trial, outcome: OutcomeInconclusive,
		}})
	}
}

// isObsolete reports whether a queued record was replayed, or no longer has
// any effect.
func (s *State) isObsolete(qr queuedRecord) bool {
	switch qr.record.kind {
	case kindSuspected:
		return !s.hasPending(qr.record.crash)
	case kindTrial:
		return s.claimDecided(qr.record)
	default:
		return s.resultObsolete(qr)
	}
}

// hasPending reports whether a suspect of a crash was not replayed yet.
func (s *State) hasPending(id CrashID) bool {
	for _, p := range s.pending {
		if p.crash == id {
			return true
		}
	}
	return false
}

// isCurrent reports whether a trial is the current one of its suspect in the
// log.
func (s *State) isCurrent(f oleanderspool.Fingerprint, id oleanderspool.AttemptID) bool {
	fs := s.replay.fingerprints[f]
	return fs != nil && fs.trial != nil && fs.trial.id == id
}

// claimDecided reports whether the log has granted or rejected a claim, or its
// request is no longer a suspect.
func (s *State) claimDecided(r record) bool {
	fs := s.replay.fingerprints[r.fingerprint]
	if fs == nil {
		return false
	}
	if fs.phase != phaseSuspect {
		_, open := s.pending[r.fingerprint]
		return !open
	}
	if slices.Contains(fs.pastTrials, r.trial) {
		return true
	}
	return fs.trial != nil && fs.trial.id != r.claim.superseded
}

// resultObsolete reports whether a result was replayed, or no longer has any
// effect.
func (s *State) resultObsolete(qr queuedRecord) bool {
	fs := s.replay.fingerprints[qr.record.fingerprint]
	if fs == nil {
		return false
	}
	if qr.record.outcome == OutcomeCrashed && !qr.presumed {
		return fs.phase != phaseSuspect
	}
	return !s.isCurrent(qr.record.fingerprint, qr.record.trial)
}

// resultQueued reports whether the outbox holds a result of the trial.
func (s *State) resultQueued(id oleanderspool.AttemptID) bool {
	for _, qr := range s.outbox.queue {
		if qr.record.kind == kindResult && qr.record.trial == id {
			return true
		}
	}
	return false
}

// Len returns the number of fingerprints in the replayed state.
func (s *State) Len() int {
	return len(s.replay.fingerprints)
}
