// Package suspect decides what happens to requests that were in flight when
// their backend server crashed. It replays the log's stream "suspect" and
// combines it with what this entry learned itself.
//
// Every such request becomes a suspect and may run only as a trial: alone on
// one backend server, and only by the entry whose claim the log shows first.
// A trial that finishes clears the suspect; one whose server crashes shows that
// the request is the cause, and it is refused from then on.
package suspect

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of [New].
const (
	// DefaultLimit bounds the fingerprints that are kept. At about 400 bytes
	// each they take 8 MB.
	DefaultLimit = 20000
	// DefaultRetention is the span for which a cause is refused after it was
	// last sent.
	DefaultRetention = 24 * oleanderspool.Hour
	// DefaultPropagationDelay is the span in which other entries learn of a crash, from
	// the agent or the log.
	DefaultPropagationDelay oleanderspool.Millis = 500
)

const (
	// pauseBound is the span without an event after which this process assumes
	// that it was paused and may have missed records.
	pauseBound oleanderspool.Millis = 500
	// holdLimit bounds how long requests wait for the stream after a pause.
	holdLimit = 2 * oleanderspool.Second
	// outageReads is the number of successive failed reads that mean an outage
	// of the log. The first one may have been interrupted by a pause.
	outageReads = 2
	// boundMargin is added to the bound of another entry's trial, for the way of
	// its record and for the end of its run.
	boundMargin = oleanderspool.Second
	// maxBound bounds a trial, so that a suspect whose trial vanished is not
	// blocked for the whole time limit of a long request.
	maxBound = 10 * oleanderspool.Minute
	// maxFingerprints bounds the fingerprints per record.
	maxFingerprints = 1000
)

// Option configures the state that [New] returns.
type Option func(*State)

// WithLimit bounds the number of fingerprints that are kept.
func WithLimit(fingerprints int) Option {
	return func(s *State) { s.ledger.limit = fingerprints }
}

// State is one entry's view of the suspects. It is not safe for concurrent
// use.
type State struct {
	entry  string // identifies this process
	settle oleanderspool.Millis

	ledger ledger
	last   oleanderspool.Offset // offset of the last replayed record
	outbox outbox

	// pending holds the suspects whose record was not replayed yet.
	pending map[oleanderspool.Fingerprint]pending
	// causes holds the causes that this entry learned of, by the instant of
	// the last refusal.
	causes map[oleanderspool.Fingerprint]oleanderspool.Millis
	// claims holds the requests of this entry that want a trial or run one.
	claims map[oleanderspool.AttemptID]ownClaim
	// ended holds the server incarnations that ended, because the record of a
	// trial on one of them may be read later.
	ended map[runner]oleanderspool.Millis
	// heard holds the instants at which this entry last learned that a request
	// was in flight at a crash, for the settle span.
	heard map[oleanderspool.Fingerprint]oleanderspool.Millis
	// fresh holds the crashes of the last compareSpan.
	fresh []freshCrash
	// learned holds the suspects that NewSuspects has not returned yet.
	learned []oleanderspool.Fingerprint

	lastEvent oleanderspool.Millis
	resumedAt oleanderspool.Millis // end of the last pause
	viewAt    oleanderspool.Millis // the replay contains all records up to this instant
	failures  int                  // successive failed reads since the last pause
}

// pending is a suspect whose record was not replayed yet.
type pending struct {
	crash CrashID
	at    oleanderspool.Millis
}

// runner is a server incarnation that runs a trial.
type runner struct {
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
}

// ownClaim is this entry's claim for a trial.
type ownClaim struct {
	fingerprint oleanderspool.Fingerprint
	validUntil  oleanderspool.Millis
}

// New returns the state of an entry that has read nothing yet. entry must be
// different for each run of an entry process.
func New(entry string, now oleanderspool.Millis, options ...Option) *State {
	s := &State{
		entry:  entry,
		settle: DefaultPropagationDelay,
		ledger: ledger{
			suspicions: make(map[oleanderspool.Fingerprint]*suspicion),
			limit:      DefaultLimit,
			retention:  DefaultRetention,
		},
		pending:   make(map[oleanderspool.Fingerprint]pending),
		causes:    make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
		claims:    make(map[oleanderspool.AttemptID]ownClaim),
		ended:     make(map[runner]oleanderspool.Millis),
		heard:     make(map[oleanderspool.Fingerprint]oleanderspool.Millis),
		lastEvent: now,
		resumedAt: now,
		viewAt:    now - 1,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Tick tells the state that the process is alive. It must be called more often
// than twice a second, or the state assumes a pause. It drops what expired.
func (s *State) Tick(now oleanderspool.Millis) {
	s.observe(now)
	for f, at := range s.causes {
		if now-at > s.ledger.retention {
			delete(s.causes, f)
		}
	}
	for id, c := range s.claims {
		if now > c.validUntil+boundMargin {
			delete(s.claims, id)
		}
	}
	for f, at := range s.heard {
		if now-at >= s.settle {
			delete(s.heard, f)
		}
	}
	for r, at := range s.ended {
		if now-at > maxBound {
			delete(s.ended, r)
		}
	}
}

// observe notes an event, and a pause before it.
func (s *State) observe(now oleanderspool.Millis) {
	if now-s.lastEvent > pauseBound {
		s.resumedAt = now
		s.failures = 0
	}
	s.lastEvent = now
}

// DueRecords returns the records to append to the stream now, in this order. A
// record is returned again after a second until it was replayed.
func (s *State) DueRecords(now oleanderspool.Millis) [][]byte {
	s.observe(now)
	return s.outbox.due(now)
}

// NextOffset returns the offset from which the stream is to be read.
func (s *State) NextOffset() oleanderspool.Offset {
	return s.last + 1
}

// Apply replays records that a read returned. sentAt is the instant at which
// the read was sent, and head the offset of the last record of the stream.
// Records that were replayed before are skipped, unreadable ones have no
// effect; their number is returned.
func (s *State) Apply(records []oleanderspool.Record, head oleanderspool.Offset, sentAt, now oleanderspool.Millis) (unreadable int) {
	s.observe(now)
	s.failures = 0
	for _, stored := range records {
		if stored.Offset <= s.last {
			continue
		}
		s.last = stored.Offset
		r, err := decode(stored.Data)
		if err != nil {
			unreadable++
			continue
		}
		s.learn(r.fingerprints)
		s.hear(r, now)
		s.ledger.apply(r, now)
		s.confirm(r)
		s.giveBack(r, now)
		s.presumeCrash(r.fingerprint, now)
	}
	if s.last >= head {
		s.viewAt = max(s.viewAt, sentAt)
	}
	s.outbox.drop(s.pointless)
	return unreadable
}

// ReadFailed notes that a read of the stream failed or timed out. After the
// second one in succession the log counts as unavailable.
func (s *State) ReadFailed(sentAt, now oleanderspool.Millis) {
	s.observe(now)
	if sentAt >= s.resumedAt {
		s.failures++
	}
}

// unavailable reports whether the log cannot be read.
func (s *State) unavailable() bool {
	return s.failures >= outageReads
}

// TakeNewSuspects returns the fingerprints that this entry learned to be suspects
// since the last call, perhaps with some that were cleared meanwhile. The entry
// should end its other attempts with them and check these requests again, if
// they are idempotent and no trials: a copy that still runs would crash another
// server.
func (s *State) TakeNewSuspects() []oleanderspool.Fingerprint {
	list := s.learned
	s.learned = nil
	return list
}

// learn notes fingerprints that are not known as suspects yet.
func (s *State) learn(fingerprints []oleanderspool.Fingerprint) {
	for _, f := range fingerprints {
		if !s.isSuspect(f) && len(s.learned) < s.ledger.limit {
			s.learned = append(s.learned, f)
		}
	}
}

// hear notes when this entry learned of a crash from the stream.
func (s *State) hear(r record, now oleanderspool.Millis) {
	for _, f := range r.fingerprints {
		if !s.knows(f, r.crash) && len(s.heard) < s.ledger.limit {
			s.heard[f] = now
		}
	}
}

// confirm ends the pending state of suspects whose record was replayed.
func (s *State) confirm(r record) {
	for _, f := range r.fingerprints {
		if s.pending[f].crash == r.crash {
			delete(s.pending, f)
		}
	}
}

// giveBack ends a trial that the log granted to a request of this entry that
// no longer waits for it.
func (s *State) giveBack(r record, now oleanderspool.Millis) {
	if r.kind != kindTrial || r.claim.entry != s.entry || !s.isCurrent(r.fingerprint, r.trial) {
		return
	}
	if _, waits := s.claims[r.trial]; !waits && !s.reported(r.trial) {
		s.outbox.add(letter{dueAt: now, record: record{
			kind: kindResult, fingerprint: r.fingerprint, trial: r.trial, outcome: OutcomeInconclusive,
		}})
	}
}

// pointless reports whether a letter was replayed, or has no effect any more.
func (s *State) pointless(l letter) bool {
	switch l.record.kind {
	case kindSuspected:
		return !s.open(l.record.crash)
	case kindTrial:
		return s.decided(l.record)
	default:
		return s.settled(l)
	}
}

// open reports whether a suspect of a crash was not replayed yet.
func (s *State) open(id CrashID) bool {
	for _, p := range s.pending {
		if p.crash == id {
			return true
		}
	}
	return false
}

// isCurrent reports whether the log says that a trial is the current one.
func (s *State) isCurrent(f oleanderspool.Fingerprint, id oleanderspool.AttemptID) bool {
	p := s.ledger.suspicions[f]
	return p != nil && p.trial != nil && p.trial.id == id
}

// decided reports whether the log has decided about a claim.
func (s *State) decided(r record) bool {
	p := s.ledger.suspicions[r.fingerprint]
	if p == nil {
		return false
	}
	if p.phase != phaseSuspect {
		_, open := s.pending[r.fingerprint]
		return !open
	}
	if slices.Contains(p.past, r.trial) {
		return true
	}
	return p.trial != nil && p.trial.id != r.claim.superseded
}

// settled reports whether a result was replayed, or has no effect any more.
func (s *State) settled(l letter) bool {
	p := s.ledger.suspicions[l.record.fingerprint]
	if p == nil {
		return false
	}
	if l.record.outcome == OutcomeCrashed && !l.presumed {
		return p.phase != phaseSuspect
	}
	return !s.isCurrent(l.record.fingerprint, l.record.trial)
}

// reported reports whether the outbox holds a result of the trial.
func (s *State) reported(id oleanderspool.AttemptID) bool {
	for _, l := range s.outbox.letters {
		if l.record.kind == kindResult && l.record.trial == id {
			return true
		}
	}
	return false
}

// Len returns the number of fingerprints that the replayed state holds.
func (s *State) Len() int {
	return len(s.ledger.suspicions)
}
