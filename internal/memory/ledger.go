package memory

import (
	"github.com/oleanderspool/oleanderspool"
)

// allocation is a reservation and its state on the engine as far as the ledger
// knows it.
type allocation struct {
	Reservation
	serial        int64
	changedAt     oleanderspool.Millis // time of the reservation or of the change to reclaim
	missing       bool                 // absent from the engine's last list
	missingSince  oleanderspool.Millis // time at which the absence was first observed
	cancelled     bool                 // a cancel has been sent
	firstCancelAt oleanderspool.Millis // time of the first cancel
}

// Ledger accounts for the memory of one engine. Free and reserved memory always
// add up to the size. Free memory is negative while the engine's list shows
// more memory in use than the ledger had left; nothing is reserved then.
// A Ledger is not safe for concurrent use.
type Ledger struct {
	size        int64
	free        int64
	reservedFor [purposeCount]int64
	allocations map[string]*allocation
	serial      int64

	runID         string
	runObservedAt oleanderspool.Millis

	expiries schedule
	cancels  schedule
	freed    tombstones
	groups   groupTable

	listLag        oleanderspool.Millis
	missingTimeout oleanderspool.Millis
	cancelInterval oleanderspool.Millis
}

// NewLedger returns the ledger of an engine with the given memory in tokens,
// all of it free.
func NewLedger(size int64, options ...Option) *Ledger {
	l := &Ledger{
		size:           size,
		free:           size,
		allocations:    make(map[string]*allocation),
		freed:          newTombstones(),
		groups:         newGroupTable(),
		listLag:        DefaultListLag,
		missingTimeout: DefaultMissingTimeout,
		cancelInterval: DefaultCancelInterval,
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Size returns the engine's memory in tokens.
func (l *Ledger) Size() int64 { return l.size }

// Free returns the unreserved memory, in tokens. It may be negative.
func (l *Ledger) Free() int64 { return l.free }

// ReservedFor returns the memory reserved for one purpose, in tokens.
func (l *Ledger) ReservedFor(purpose Purpose) int64 { return l.reservedFor[purpose] }

// Available returns the memory that may be reserved for attempts, exports and
// imports, in tokens: what is free and not held back for a waiting group.
func (l *Ledger) Available(now oleanderspool.Millis) int64 {
	return max(0, l.free-l.groups.heldBackFrom("", now))
}

// Reservation returns the reservation with the given name.
func (l *Ledger) Reservation(name string) (Reservation, bool) {
	a, ok := l.allocations[name]
	if !ok {
		return Reservation{}, false
	}
	return a.Reservation, true
}

// Reserve reserves memory. It returns an error of type [ErrInvalid],
// [ErrTooLarge], [ErrNameInUse] or [ErrNoMemory].
func (l *Ledger) Reserve(r Reservation, now oleanderspool.Millis) error {
	return l.reserve(r, l.groups.heldBackFrom("", now), now)
}

// reserve reserves memory but leaves heldBack tokens of the free memory unused.
func (l *Ledger) reserve(r Reservation, heldBack int64, now oleanderspool.Millis) error {
	switch {
	case r.Name == "" || r.Tokens <= 0 || r.Purpose < 0 || r.Purpose >= PurposeReclaim:
		return ErrInvalid.New("reservation %q of %d tokens for %v", r.Name, r.Tokens, r.Purpose)
	case r.Tokens > l.size:
		return ErrTooLarge.New("%q needs %d tokens of %d", r.Name, r.Tokens, l.size)
	case l.allocations[r.Name] != nil:
		return ErrNameInUse.New("%q is already reserved", r.Name)
	case r.Tokens > l.free-heldBack:
		return ErrNoMemory.New("%q needs %d tokens, %d are free and %d of them held back for a waiting group", r.Name, r.Tokens, l.free, heldBack)
	}
	l.freed.remove(r.Name)
	l.insert(r, now)
	return nil
}

func (l *Ledger) insert(r Reservation, now oleanderspool.Millis) *allocation {
	l.serial++
	a := &allocation{Reservation: r, serial: l.serial, changedAt: now}
	l.allocations[r.Name] = a
	l.free -= r.Tokens
	l.reservedFor[r.Purpose] += r.Tokens
	if r.Expiry > 0 {
		l.expiries.add(timer{r.Expiry, r.Name, a.serial})
	}
	return a
}

// Transfer changes the purpose of the memory held under a name, for example
// from an import to its attempt, and sets a new expiry (0 means never). It
// returns an error of type [ErrUnknown] or [ErrInvalid].
func (l *Ledger) Transfer(name string, purpose Purpose, expiry oleanderspool.Millis) error {
	if purpose < 0 || purpose >= PurposeReclaim {
		return ErrInvalid.New("transfer of %q to %v", name, purpose)
	}
	a := l.allocations[name]
	if a == nil || a.Purpose == PurposeReclaim {
		return ErrUnknown.New("%q is not held", name)
	}
	l.setPurpose(a, purpose)
	l.setExpiry(a, expiry)
	return nil
}

// Extend sets the time at which a reservation expires; 0 means never. It
// returns an error of type [ErrUnknown].
func (l *Ledger) Extend(name string, expiry oleanderspool.Millis) error {
	a := l.allocations[name]
	if a == nil || a.Purpose == PurposeReclaim {
		return ErrUnknown.New("%q is not held", name)
	}
	l.setExpiry(a, expiry)
	return nil
}

func (l *Ledger) setPurpose(a *allocation, purpose Purpose) {
	l.reservedFor[a.Purpose] -= a.Tokens
	a.Purpose = purpose
	l.reservedFor[purpose] += a.Tokens
}

func (l *Ledger) setExpiry(a *allocation, expiry oleanderspool.Millis) {
	a.Expiry = expiry
	if expiry > 0 {
		l.expiries.add(timer{expiry, a.Name, a.serial})
	}
	l.expiries.compact(len(l.allocations), l.expiryValid)
}

// Release ends the reservation of a name. The memory stays accounted for under
// [PurposeReclaim] until the engine confirms the cancel. Releasing an unknown
// name has no effect.
func (l *Ledger) Release(name string, now oleanderspool.Millis) {
	a := l.allocations[name]
	if a == nil || a.Purpose == PurposeReclaim {
		return
	}
	l.reclaim(a, now)
}

func (l *Ledger) reclaim(a *allocation, now oleanderspool.Millis) {
	l.setPurpose(a, PurposeReclaim)
	a.Expiry = 0
	a.changedAt = now
	a.missing = false
	l.cancels.add(timer{now, a.Name, a.serial})
}

// Finished frees the memory of a name at once. It is for an attempt whose
// stream the engine itself has ended, because the engine has then freed its
// memory.
func (l *Ledger) Finished(name string, now oleanderspool.Millis) {
	if a := l.allocations[name]; a != nil {
		l.remove(a, now)
	}
}

// Expire releases the reservations that have expired and returns them.
func (l *Ledger) Expire(now oleanderspool.Millis) []Reservation {
	var expired []Reservation
	for {
		t, ok := l.expiries.due(now)
		if !ok {
			return expired
		}
		if !l.expiryValid(t) {
			continue
		}
		a := l.allocations[t.name]
		expired = append(expired, a.Reservation)
		l.reclaim(a, now)
	}
}

func (l *Ledger) expiryValid(t timer) bool {
	a := l.allocations[t.name]
	return a != nil && a.serial == t.serial && a.Expiry == t.at && a.Purpose != PurposeReclaim
}

// Cancels returns the cancels that the agent must send to the engine now. Each
// cancel is returned again after the cancel interval until it is confirmed.
func (l *Ledger) Cancels(now oleanderspool.Millis) []Cancel {
	var due []Cancel
	for {
		t, ok := l.cancels.due(now)
		if !ok {
			break
		}
		a := l.allocations[t.name]
		if a == nil || a.serial != t.serial {
			continue
		}
		if !a.cancelled {
			a.cancelled = true
			a.firstCancelAt = now
		}
		due = append(due, Cancel{a.Name, a.serial})
	}
	for _, c := range due {
		l.cancels.add(timer{now + max(1, l.cancelInterval), c.Name, c.serial})
	}
	return due
}

// Confirm frees memory after the engine has confirmed its cancel. Late and
// repeated confirmations have no effect.
func (l *Ledger) Confirm(c Cancel, now oleanderspool.Millis) {
	a := l.allocations[c.Name]
	if a == nil || a.serial != c.serial || a.Purpose != PurposeReclaim {
		return
	}
	l.remove(a, now)
}

func (l *Ledger) remove(a *allocation, now oleanderspool.Millis) {
	delete(l.allocations, a.Name)
	l.reservedFor[a.Purpose] -= a.Tokens
	l.free += a.Tokens
	l.freed.add(a.Name, now)
}

// Check returns an error of type [ErrUnbalanced] when free and reserved memory
// do not add up to the size.
func (l *Ledger) Check() error {
	var reservedFor [purposeCount]int64
	total := l.free
	for _, a := range l.allocations {
		reservedFor[a.Purpose] += a.Tokens
		total += a.Tokens
	}
	if total != l.size || reservedFor != l.reservedFor {
		return ErrUnbalanced.New("size %d, free %d, reserved %v, allocations %v", l.size, l.free, l.reservedFor, reservedFor)
	}
	return nil
}
