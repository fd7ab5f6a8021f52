package memory

import (
	"github.com/oleanderspool/oleanderspool"
)

// entry is a reservation and its state on the engine as far as the ledger knows
// it.
type entry struct {
	Reservation
	serial        int64
	changedAt     oleanderspool.Millis // time of the reservation or of the change to reclaim
	missing       bool                 // absent from the engine's last list
	missingSince  oleanderspool.Millis // time at which the absence was first observed
	cancelled     bool                 // a cancel has been sent
	firstCancelAt oleanderspool.Millis // time of the first cancel
}

// Ledger accounts for the memory of one engine. Free and owned memory always
// add up to the size. Free memory is negative while the engine's list shows
// more memory in use than the ledger had left; nothing is reserved then.
// A Ledger is not safe for concurrent use.
type Ledger struct {
	size    int64
	free    int64
	owned   [ownerCount]int64
	entries map[string]*entry
	serial  int64

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

// NewLedger returns the ledger of an engine with the given memory in tokens, all
// of it free.
func NewLedger(size int64, options ...Option) *Ledger {
	l := &Ledger{
		size:           size,
		free:           size,
		entries:        make(map[string]*entry),
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

// Free returns the memory without an owner, in tokens. It may be negative.
func (l *Ledger) Free() int64 { return l.free }

// ReservedFor returns the memory of one kind of owner, in tokens.
func (l *Ledger) ReservedFor(owner Purpose) int64 { return l.owned[owner] }

// Available returns the memory that may be reserved for attempts, exports and
// imports, in tokens: what is free and not held back for a waiting group.
func (l *Ledger) Available(now oleanderspool.Millis) int64 {
	return max(0, l.free-l.groups.heldBackFrom("", now))
}

// Reservation returns the reservation with the given name.
func (l *Ledger) Reservation(name string) (Reservation, bool) {
	e, ok := l.entries[name]
	if !ok {
		return Reservation{}, false
	}
	return e.Reservation, true
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
	case l.entries[r.Name] != nil:
		return ErrNameInUse.New("%q is already reserved", r.Name)
	case r.Tokens > l.free-heldBack:
		return ErrNoMemory.New("%q needs %d tokens, %d are free and %d of them held back for a waiting group", r.Name, r.Tokens, l.free, heldBack)
	}
	l.freed.remove(r.Name)
	l.insert(r, now)
	return nil
}

func (l *Ledger) insert(r Reservation, now oleanderspool.Millis) *entry {
	l.serial++
	e := &entry{Reservation: r, serial: l.serial, changedAt: now}
	l.entries[r.Name] = e
	l.free -= r.Tokens
	l.owned[r.Purpose] += r.Tokens
	if r.Expiry > 0 {
		l.expiries.add(timer{r.Expiry, r.Name, e.serial})
	}
	return e
}

// Transfer changes the owner of the memory held under a name, for example from
// an import to its attempt, and sets a new expiry (0 means never). It returns an
// error of type [ErrUnknown] or [ErrInvalid].
func (l *Ledger) Transfer(name string, owner Purpose, expiry oleanderspool.Millis) error {
	if owner < 0 || owner >= PurposeReclaim {
		return ErrInvalid.New("transfer of %q to %v", name, owner)
	}
	e := l.entries[name]
	if e == nil || e.Purpose == PurposeReclaim {
		return ErrUnknown.New("%q is not held", name)
	}
	l.setOwner(e, owner)
	l.setExpiry(e, expiry)
	return nil
}

// Extend sets the time at which a reservation expires; 0 means never. It returns
// an error of type [ErrUnknown].
func (l *Ledger) Extend(name string, expiry oleanderspool.Millis) error {
	e := l.entries[name]
	if e == nil || e.Purpose == PurposeReclaim {
		return ErrUnknown.New("%q is not held", name)
	}
	l.setExpiry(e, expiry)
	return nil
}

func (l *Ledger) setOwner(e *entry, owner Purpose) {
	l.owned[e.Purpose] -= e.Tokens
	e.Purpose = owner
	l.owned[owner] += e.Tokens
}

func (l *Ledger) setExpiry(e *entry, expiry oleanderspool.Millis) {
	e.Expiry = expiry
	if expiry > 0 {
		l.expiries.add(timer{expiry, e.Name, e.serial})
	}
	l.expiries.compact(len(l.entries), l.expiryValid)
}

// Release ends the reservation of a name. The memory stays accounted for under
// [PurposeReclaim] until the engine confirms the cancel. Releasing an unknown name
// has no effect.
func (l *Ledger) Release(name string, now oleanderspool.Millis) {
	e := l.entries[name]
	if e == nil || e.Purpose == PurposeReclaim {
		return
	}
	l.reclaim(e, now)
}

func (l *Ledger) reclaim(e *entry, now oleanderspool.Millis) {
	l.setOwner(e, PurposeReclaim)
	e.Expiry = 0
	e.changedAt = now
	e.missing = false
	l.cancels.add(timer{now, e.Name, e.serial})
}

// Finished frees the memory of a name at once. It is for an attempt whose stream
// the engine itself has ended, because the engine has then freed its memory.
func (l *Ledger) Finished(name string, now oleanderspool.Millis) {
	if e := l.entries[name]; e != nil {
		l.remove(e, now)
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
		e := l.entries[t.name]
		expired = append(expired, e.Reservation)
		l.reclaim(e, now)
	}
}

func (l *Ledger) expiryValid(t timer) bool {
	e := l.entries[t.name]
	return e != nil && e.serial == t.serial && e.Expiry == t.at && e.Purpose != PurposeReclaim
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
		e := l.entries[t.name]
		if e == nil || e.serial != t.serial {
			continue
		}
		if !e.cancelled {
			e.cancelled = true
			e.firstCancelAt = now
		}
		due = append(due, Cancel{e.Name, e.serial})
	}
	for _, c := range due {
		l.cancels.add(timer{now + max(1, l.cancelInterval), c.Name, c.serial})
	}
	return due
}

// Confirm frees memory after the engine has confirmed its cancel. Late and
// repeated confirmations have no effect.
func (l *Ledger) Confirm(c Cancel, now oleanderspool.Millis) {
	e := l.entries[c.Name]
	if e == nil || e.serial != c.serial || e.Purpose != PurposeReclaim {
		return
	}
	l.remove(e, now)
}

func (l *Ledger) remove(e *entry, now oleanderspool.Millis) {
	delete(l.entries, e.Name)
	l.owned[e.Purpose] -= e.Tokens
	l.free += e.Tokens
	l.freed.add(e.Name, now)
}

// Check returns an error of type [ErrUnbalanced] when free and owned memory
// do not add up to the size.
func (l *Ledger) Check() error {
	var owned [ownerCount]int64
	total := l.free
	for _, e := range l.entries {
		owned[e.Purpose] += e.Tokens
		total += e.Tokens
	}
	if total != l.size || owned != l.owned {
		return ErrUnbalanced.New("size %d, free %d, owned %v, entries %v", l.size, l.free, l.owned, owned)
	}
	return nil
}
