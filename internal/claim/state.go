package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// Limits bounds a [State].
type Limits struct {
	// KeyLifetime is the duration for which a key is valid, at most half of
	// the log's retention period. A reader that starts cannot detect that the
	// log kept less, so with a shorter retention a key can run again.
	KeyLifetime oleanderspool.Millis
	// MaxClaims is the number of stored claims at which this process stops
	// making new ones. Claims that other processes append are stored even above
	// it, because readers would disagree on the current claim of a key if one
	// of them dropped it.
	MaxClaims int
}

// Gap is a range of offsets that the log no longer keeps.
type Gap struct {
	First, Last oleanderspool.Offset // first and last missed offset
	// Unexpired says that records were dropped that cannot be older than the
	// key lifetime, so keys without a known claim may have been claimed.
	Unexpired bool
}

// Counts holds the event counts of a [State].
type Counts struct {
	Records       int64 // records applied
	Valid         int64 // claims that became current
	Invalid       int64 // claims that lost against the current claim
	Repeated      int64 // records that had been applied before
	Malformed     int64 // records that are not claim records; every reader skips them
	Gaps          int64 // gaps in the offsets
	UnexpiredGaps int64 // gaps that lost unexpired claims
	NewerVersions int64 // records of a newer format version
}

// ApplyResult is the effect of applying a record.
type ApplyResult struct {
	Gap   *Gap  // gap before the record; nil if there is none
	Valid int   // claims that became current
	Err   error // why the record was skipped; nil if it was applied
}

// Current is the current claim of a key.
type Current struct {
	Claim  Claim // Supersedes and BasedOn are not kept and always empty
	Offset oleanderspool.Offset
	// Doubtful says that the claim was applied while the state was incomplete,
	// or was based on a state from before a gap. Other readers may have another
	// current claim for the key.
	Doubtful bool
}

// State is the replayed state of the claim stream. Readers that have applied
// the same records, up to those that are older than the key lifetime, have the
// same current claims.
type State struct {
	limits          Limits
	position        oleanderspool.Offset // last offset read
	lastMissed      oleanderspool.Offset // last offset of the last gap
	expiredBefore   oleanderspool.Offset // claims below it have expired for every reader
	incompleteUntil oleanderspool.Millis
	caughtUpAt      oleanderspool.Millis
	caughtUp        bool
	emptyReadHead   oleanderspool.Offset // head of the last read if it returned no records up to the head; 0 otherwise
	ages            ageTracker
	claims          claimQueue
	current         map[Key]uint64 // number of the current claim in claims
	incarnations    map[agentIncarnation]*sharedIncarnation
	counts          Counts
}

// NewState returns a state that has read nothing.
func NewState(limits Limits) *State {
	return &State{
		limits:       limits,
		ages:         ageTracker{lifetime: limits.KeyLifetime},
		current:      map[Key]uint64{},
		incarnations: map[agentIncarnation]*sharedIncarnation{},
	}
}

// Position returns the offset of the last record that was read; 0 for none.
func (s *State) Position() oleanderspool.Offset {
	return s.position
}

// Claims returns the number of claims in memory, superseded ones included.
func (s *State) Claims() int {
	return s.claims.len()
}

// Full reports whether the limit of claims is reached, so that no new claim may
// be made.
func (s *State) Full() bool {
	return s.claims.len() >= s.limits.MaxClaims
}

// Counts returns the event counts so far.
func (s *State) Counts() Counts {
	return s.counts
}

// ExpiredBefore returns the offset to put into the next appended record: each
// claim below it is older than the key lifetime.
func (s *State) ExpiredBefore(now oleanderspool.Millis) oleanderspool.Offset {
	return max(s.expiredBefore, s.ages.expiredBefore(now))
}

// IncompleteFor returns the remaining duration in milliseconds for which the
// state may lack unexpired claims; 0 when it lacks none. Until then a key
// without a known claim may have been claimed.
func (s *State) IncompleteFor(now oleanderspool.Millis) oleanderspool.Millis {
	return max(0, s.incompleteUntil-now)
}

// Fresh reports whether the end of the stream was read less than half the key
// lifetime ago. A claim that is based on an older state may turn out to be
// doubtful once later records are read.
func (s *State) Fresh(now oleanderspool.Millis) bool {
	return s.caughtUp && now-s.caughtUpAt < s.limits.KeyLifetime/2
}

// Current returns the current claim of a key. A claim that is older than the
// key lifetime is no longer current, although other readers may only drop it
// when they apply the next record.
func (s *State) Current(key Key, now oleanderspool.Millis) (Current, bool) {
	number, ok := s.current[key]
	if !ok {
		return Current{}, false
	}
	found := s.claims.at(number)
	if found.offset < s.ExpiredBefore(now) {
		return Current{}, false
	}
	return Current{Claim: found.toClaim(), Offset: found.offset, Doubtful: found.doubtful}, true
}

// FinishRead ends a successful read, which must have started at the offset after
// the [State.Position] of that time. The caller must have applied the records
// that the read returned. returned is their number, and head is the offset of
// the last record of the stream as the read returned it.
//
// If retention has deleted all records up to the head, no record reveals the
// gap. FinishRead then returns it, but only after a second read without
// records: the head of the first one may have been newer than its records.
func (s *State) FinishRead(returned int, head oleanderspool.Offset, now oleanderspool.Millis) *Gap {
	var gap *Gap
	switch {
	case returned > 0 || s.position >= head:
		s.emptyReadHead = 0
	case s.emptyReadHead == 0:
		s.emptyReadHead = head
	default:
		gap = s.skipGap(s.emptyReadHead, now)
		s.emptyReadHead = 0
	}
	if s.position >= head {
		s.caughtUp = true
		s.caughtUpAt = now
	}
	return gap
}

// Apply applies a record of the stream. Records must come in ascending order; a
// record that was applied before is ignored.
func (s *State) Apply(r oleanderspool.Record, now oleanderspool.Millis) ApplyResult {
	if r.Offset <= s.position {
		s.counts.Repeated++
		return ApplyResult{}
	}
	applied := ApplyResult{Gap: s.advance(r.Offset, now)}
	record, err := Decode(r.Data)
	if err != nil {
		applied.Err = err
		s.countSkipped(err, now)
		return applied
	}
	s.counts.Records++
	s.expire(min(record.ExpiredBefore, r.Offset))
	incomplete := s.IncompleteFor(now) > 0
	for _, c := range record.Claims {
		// A claim based on a state from before a gap may have lost to a claim in the gap.
		doubtful := incomplete || c.BasedOn < s.lastMissed
		if s.apply(c, r.Offset, doubtful) {
			applied.Valid++
		}
	}
	return applied
}

// advance moves the position to a record and returns the gap before it.
func (s *State) advance(offset oleanderspool.Offset, now oleanderspool.Millis) *Gap {
	gap := s.skipGap(offset-1, now)
	s.position = offset
	s.ages.recordReceived(offset, now)
	return gap
}

// skipGap moves the position over records that are no longer kept, up to last.
func (s *State) skipGap(last oleanderspool.Offset, now oleanderspool.Millis) *Gap {
	if last <= s.position {
		return nil
	}
	gap := &Gap{First: s.position + 1, Last: last, Unexpired: s.mayHaveLostUnexpired(now)}
	s.position = last
	s.lastMissed = last
	s.ages.recordReceived(last, now)
	s.counts.Gaps++
	if gap.Unexpired {
		s.counts.UnexpiredGaps++
		s.markIncomplete(now)
		return gap
	}
	// Retention is at least twice the key lifetime, so every claim before the
	// first kept record has expired.
	s.expire(last + 1)
	return gap
}

// mayHaveLostUnexpired reports whether records that are missing now were
// appended less than the key lifetime ago. A reader that never reached the end
// of the stream is assumed to lack only older records.
func (s *State) mayHaveLostUnexpired(now oleanderspool.Millis) bool {
	return s.caughtUp && now-s.caughtUpAt < s.limits.KeyLifetime
}

func (s *State) markIncomplete(now oleanderspool.Millis) {
	s.incompleteUntil = now + s.limits.KeyLifetime
}

func (s *State) countSkipped(err error, now oleanderspool.Millis) {
	if isNewerVersion(err) {
		s.counts.NewerVersions++
		s.markIncomplete(now)
		return
	}
	s.counts.Malformed++
}

// apply makes c current if it is valid.
func (s *State) apply(c Claim, offset oleanderspool.Offset, doubtful bool) bool {
	if number, ok := s.current[c.Key]; ok {
		current := s.claims.at(number)
		if current.attempt() != c.Supersedes {
			s.counts.Invalid++
			return false
		}
		doubtful = doubtful || current.doubtful
	}
	// A claim that supersedes an attempt is valid even if the claim of that
	// attempt has expired in the meantime: the attempt was barred, and the key
	// is free.
	added := newStoredClaim(c, s.acquireIncarnation(agentIncarnation{instance: c.Instance, incarnation: c.Incarnation}), offset, doubtful)
	delete(s.current, c.Key) // the map's key shares the text of the old claim
	s.current[added.key()] = s.claims.push(added)
	s.counts.Valid++
	return true
}

// expire drops the claims at offsets below before.
func (s *State) expire(before oleanderspool.Offset) {
	s.expiredBefore = max(s.expiredBefore, before)
	for s.claims.len() > 0 {
		oldest := s.claims.at(s.claims.first)
		if oldest.offset >= s.expiredBefore {
			return
		}
		key := oldest.key()
		if s.current[key] == s.claims.first {
			delete(s.current, key)
		}
		s.releaseIncarnation(oldest.agent)
		s.claims.pop()
	}
}

func (s *State) acquireIncarnation(a agentIncarnation) *sharedIncarnation {
	shared, ok := s.incarnations[a]
	if !ok {
		shared = &sharedIncarnation{agentIncarnation: a}
		s.incarnations[a] = shared
	}
	shared.references++
	return shared
}

func (s *State) releaseIncarnation(a *sharedIncarnation) {
	a.references--
	if a.references == 0 {
		delete(s.incarnations, a.agentIncarnation)
	}
}
