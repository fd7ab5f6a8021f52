package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// Limits bounds a [State].
type Limits struct {
	// KeyLifetime is the span for which a key is valid, at most half of the
	// log's retention. A reader that starts cannot see whether the log kept
	// less, so a shorter retention lets a key run again.
	KeyLifetime oleanderspool.Millis
	// MaxClaims is the number of claims above which no key is claimed anew.
	// Claims that other processes have in flight still come on top, because
	// dropping a claim that others hold would break the agreement on it.
	MaxClaims int
}

// Gap is a range of offsets that the log no longer keeps.
type Gap struct {
	First, Last oleanderspool.Offset // offsets that were missed, both inclusive
	// Unexpired says that records were dropped that cannot be older than the key
	// lifetime, so unknown keys may have been claimed.
	Unexpired bool
}

// Counts counts what a [State] met.
type Counts struct {
	Records       int64 // records applied
	Valid         int64 // claims that became current
	Invalid       int64 // claims that lost against the current claim
	Repeated      int64 // records that had been applied before
	Malformed     int64 // records that are no claim records; every reader skips them
	Gaps          int64 // gaps in the offsets
	UnexpiredGaps int64 // gaps that lost unexpired claims
	NewerVersions int64 // records of a newer format
}

// ApplyResult tells what a record changed.
type ApplyResult struct {
	Gap   *Gap  // gap before the record; nil without one
	Valid int   // claims that became current
	Err   error // why the record was skipped; nil when it was not
}

// Current is the current claim of a key.
type Current struct {
	Claim  Claim // Supersedes and BasedOn are not kept and always empty
	Offset oleanderspool.Offset
	// Doubtful says that the claim was applied while the state was incomplete,
	// or was decided on a state from before a gap. Other readers may hold
	// another claim as current.
	Doubtful bool
}

// State is the replayed state of the claim stream. Readers that have applied
// the same records, up to those that are older than the key lifetime, have the
// same current claims.
type State struct {
	limits          Limits
	position        oleanderspool.Offset // last offset read
	missed          oleanderspool.Offset // last offset of the last gap
	horizon         oleanderspool.Offset // claims below it are expired for every reader
	incompleteUntil oleanderspool.Millis
	caughtUpAt      oleanderspool.Millis
	caughtUp        bool
	emptyTo         oleanderspool.Offset // head of the last read, if that returned nothing below it
	ages            ages
	slots           slotQueue
	current         map[Key]uint64 // number of the slot of the current claim
	places          map[place]*sharedPlace
	counts          Counts
}

// NewState returns a state that has read nothing.
func NewState(limits Limits) *State {
	return &State{
		limits:  limits,
		ages:    ages{lifetime: limits.KeyLifetime},
		current: map[Key]uint64{},
		places:  map[place]*sharedPlace{},
	}
}

// Position returns the offset of the last record that was read; 0 for none.
func (s *State) Position() oleanderspool.Offset {
	return s.position
}

// Claims returns the number of claims in memory, superseded ones included.
func (s *State) Claims() int {
	return s.slots.len()
}

// Full reports whether no key may be claimed anew.
func (s *State) Full() bool {
	return s.slots.len() >= s.limits.MaxClaims
}

// Counts returns what the state has met so far.
func (s *State) Counts() Counts {
	return s.counts
}

// ExpiredBefore returns the offset to put into the next appended record: each
// claim below it is older than the key lifetime.
func (s *State) ExpiredBefore(now oleanderspool.Millis) oleanderspool.Offset {
	return max(s.horizon, s.ages.expiredBefore(now))
}

// IncompleteFor returns the span in milliseconds for which the state may lack
// unexpired claims; 0 when it lacks none. Until then an unknown key may have
// been claimed.
func (s *State) IncompleteFor(now oleanderspool.Millis) oleanderspool.Millis {
	return max(0, s.incompleteUntil-now)
}

// Fresh reports whether the end of the stream was read less than half the key
// lifetime ago. A claim that is based on an older state may turn out to be
// doubtful once the stream is read.
func (s *State) Fresh(now oleanderspool.Millis) bool {
	return s.caughtUp && now-s.caughtUpAt < s.limits.KeyLifetime/2
}

// Current returns the current claim of a key. A claim that is older than the
// key lifetime is no longer current, though other readers may learn this only
// from the next record.
func (s *State) Current(key Key, now oleanderspool.Millis) (Current, bool) {
	number, ok := s.current[key]
	if !ok {
		return Current{}, false
	}
	found := s.slots.at(number)
	if found.offset < s.ExpiredBefore(now) {
		return Current{}, false
	}
	return Current{Claim: found.claim(), Offset: found.offset, Doubtful: found.doubtful}, true
}

// FinishRead ends a successful read from the offset after [State.Position]. The
// caller has applied the returned records before. head is the offset of the
// last record of the stream as the read returned it.
//
// If retention has taken all records up to the head, no record shows the gap.
// It is then reported here, after a second read that returned nothing: the
// head of the first one may have been newer than its records.
func (s *State) FinishRead(returned int, head oleanderspool.Offset, now oleanderspool.Millis) *Gap {
	var gap *Gap
	switch {
	case returned > 0 || s.position >= head:
		s.emptyTo = 0
	case s.emptyTo == 0:
		s.emptyTo = head
	default:
		gap = s.pass(s.emptyTo, now)
		s.emptyTo = 0
	}
	if s.position >= head {
		s.caughtUp = true
		s.caughtUpAt = now
	}
	return gap
}

// Apply applies a record of the stream. Records must come in rising order; one
// that was applied before is ignored.
func (s *State) Apply(r oleanderspool.Record, now oleanderspool.Millis) ApplyResult {
	if r.Offset <= s.position {
		s.counts.Repeated++
		return ApplyResult{}
	}
	applied := ApplyResult{Gap: s.advance(r.Offset, now)}
	record, err := Decode(r.Data)
	if err != nil {
		applied.Err = err
		s.skip(err, now)
		return applied
	}
	s.counts.Records++
	s.expire(min(record.ExpiredBefore, r.Offset))
	incomplete := s.IncompleteFor(now) > 0
	for _, c := range record.Claims {
		// A claim from before a gap may have lost to one that was in the gap.
		doubtful := incomplete || c.BasedOn < s.missed
		if s.apply(c, r.Offset, doubtful) {
			applied.Valid++
		}
	}
	return applied
}

// advance moves the position to a record and returns the gap before it.
func (s *State) advance(offset oleanderspool.Offset, now oleanderspool.Millis) *Gap {
	gap := s.pass(offset-1, now)
	s.position = offset
	s.ages.received(offset, now)
	return gap
}

// pass moves the position over records that are no longer kept, up to last.
func (s *State) pass(last oleanderspool.Offset, now oleanderspool.Millis) *Gap {
	if last <= s.position {
		return nil
	}
	gap := &Gap{First: s.position + 1, Last: last, Unexpired: s.isEarly(now)}
	s.position = last
	s.missed = last
	s.ages.received(last, now)
	s.counts.Gaps++
	if gap.Unexpired {
		s.counts.UnexpiredGaps++
		s.markIncomplete(now)
		return gap
	}
	// Retention is at least twice the key lifetime, so everything before the
	// first kept record has expired.
	s.expire(last + 1)
	return gap
}

// isEarly reports whether records that are missing now were appended less than
// the key lifetime ago. A reader that was never at the end of the stream may
// have lost old records only.
func (s *State) isEarly(now oleanderspool.Millis) bool {
	return s.caughtUp && now-s.caughtUpAt < s.limits.KeyLifetime
}

func (s *State) markIncomplete(now oleanderspool.Millis) {
	s.incompleteUntil = now + s.limits.KeyLifetime
}

func (s *State) skip(err error, now oleanderspool.Millis) {
	if isNewFormat(err) {
		s.counts.NewerVersions++
		s.markIncomplete(now)
		return
	}
	s.counts.Malformed++
}

// apply makes c current if it is valid.
func (s *State) apply(c Claim, offset oleanderspool.Offset, doubtful bool) bool {
	if number, ok := s.current[c.Key]; ok {
		current := s.slots.at(number)
		if current.attempt() != c.Supersedes {
			s.counts.Invalid++
			return false
		}
		doubtful = doubtful || current.doubtful
	}
	// A claim that names a superseded attempt stays valid when that attempt's
	// claim has expired meanwhile: the attempt was barred, and the key is free.
	added := newSlot(c, s.share(place{instance: c.Instance, incarnation: c.Incarnation}), offset, doubtful)
	delete(s.current, c.Key) // the stored key shares the text of the old slot
	s.current[added.key()] = s.slots.push(added)
	s.counts.Valid++
	return true
}

// expire drops the claims below before.
func (s *State) expire(before oleanderspool.Offset) {
	s.horizon = max(s.horizon, before)
	for s.slots.len() > 0 {
		oldest := s.slots.at(s.slots.first)
		if oldest.offset >= s.horizon {
			return
		}
		key := oldest.key()
		if s.current[key] == s.slots.first {
			delete(s.current, key)
		}
		s.unshare(oldest.place)
		s.slots.pop()
	}
}

func (s *State) share(p place) *sharedPlace {
	shared, ok := s.places[p]
	if !ok {
		shared = &sharedPlace{place: p}
		s.places[p] = shared
	}
	shared.slots++
	return shared
}

func (s *State) unshare(p *sharedPlace) {
	p.slots--
	if p.slots == 0 {
		delete(s.places, p.place)
	}
}
