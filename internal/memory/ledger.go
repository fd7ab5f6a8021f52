package memory

import (
	"github.com/oleanderspool/oleanderspool"
)

// entry is a reservation with what the ledger knows about its state on the
// engine.
type entry struct {
	Reservation
	serial    int64
	since     oleanderspool.Millis // instant of the reservation or of the change to reclaim
	missing   bool                 // absent from the engine's last list
	missingAt oleanderspool.Millis // instant at which the absence was first seen
	cancelled bool                 // a cancel has been sent
	cancelAt  oleanderspool.Millis // instant of the first cancel
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

	started   string
	startedAt oleanderspool.Millis

	expiries schedule
	cancels  schedule
	freed    tombstones
	waiting  waiting

	listLag        oleanderspool.Millis
	missingBound   oleanderspool.Millis
	cancelInterval oleanderspool.Millis
}

// NewLedger returns the account of an engine with the given memory in tokens,
// all of it free.
func NewLedger(size int64, options ...Option) *Ledger {
	l := &Ledger{
		size:           size,
		free:           size,
		entries:        make(map[string]*entry),
		freed:          newTombstones(),
		waiting:        newWaiting(),
		listLag:        DefaultListLag,
		missingBound:   DefaultMissingTimeout,
		cancelInterval: DefaultCancelInterval,
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Size returns the engine's memory in tokens.
func (l *Ledger) Size() int64 { return l.size }

// Free returns the memory without an owner, in tokens.
func (l *Ledger) Free() int64 { return l.free }

// Owned returns the memory of one kind of owner, in tokens.
func (l *Ledger) Owned(owner Owner) int64 { return l.owned[owner] }

// Available returns the memory that may be reserved for attempts, exports and
// imports, in tokens: what is free and not kept for a waiting group.
func (l *Ledger) Available(now oleanderspool.Millis) int64 {
	return max(0, l.free-l.waiting.keptFrom("", now))
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
	return l.reserve(r, l.waiting.keptFrom("", now), now)
}

// reserve reserves memory while kept tokens of the free memory stay untouched.
func (l *Ledger) reserve(r Reservation, kept int64, now oleanderspool.Millis) error {
	switch {
	case r.Name == "" || r.Tokens <= 0 || r.Owner < 0 || r.Owner >= OwnerReclaim:
		return ErrInvalid.New("reservation %q of %d tokens for %v", r.Name, r.Tokens, r.Owner)
	case r.Tokens > l.size:
		return ErrTooLarge.New("%q needs %d tokens of %d", r.Name, r.Tokens, l.size)
	case l.entries[r.Name] != nil:
		return ErrNameInUse.New("%q is held", r.Name)
	case r.Tokens > l.free-kept:
		return ErrNoMemory.New("%q needs %d tokens, %d are free and %d of them kept", r.Name, r.Tokens, l.free, kept)
	}
	l.freed.remove(r.Name)
	l.insert(r, now)
	return nil
}

func (l *Ledger) insert(r Reservation, now oleanderspool.Millis) *entry {
	l.serial++
	e := &entry{Reservation: r, serial: l.serial, since: now}
	l.entries[r.Name] = e
	l.free -= r.Tokens
	l.owned[r.Owner] += r.Tokens
	if r.Expiry > 0 {
		l.expiries.add(appointment{r.Expiry, r.Name, e.serial})
	}
	return e
}

// Transfer gives the memory of a name to another owner, for example from an
// import to its attempt, with a new expiry (0 means never). It returns an
// error of type [ErrUnknown] or [ErrInvalid].
func (l *Ledger) Transfer(name string, owner Owner, expiry oleanderspool.Millis) error {
	if owner < 0 || owner >= OwnerReclaim {
		return ErrInvalid.New("transfer of %q to %v", name, owner)
	}
	e := l.entries[name]
	if e == nil || e.Owner == OwnerReclaim {
		return ErrUnknown.New("%q is not held", name)
	}
	l.setOwner(e, owner)
	l.setExpiry(e, expiry)
	return nil
}

// Extend sets the instant at which a reservation lapses; 0 means never. It
// returns an error of type [ErrUnknown].
func (l *Ledger) Extend(name string, expiry oleanderspool.Millis) error {
	e := l.entries[name]
	if e == nil || e.Owner == OwnerReclaim {
		return ErrUnknown.New("%q is not held", name)
	}
	l.setExpiry(e, expiry)
	return nil
}

func (l *Ledger) setOwner(e *entry, owner Owner) {
	l.owned[e.Owner] -= e.Tokens
	e.Owner = owner
	l.owned[owner] += e.Tokens
}

func (l *Ledger) setExpiry(e *entry, expiry oleanderspool.Millis) {
	e.Expiry = expiry
	if expiry > 0 {
		l.expiries.add(appointment{expiry, e.Name, e.serial})
	}
	l.expiries.compact(len(l.entries), l.expiryValid)
}

// Release ends the ownership of a name. The memory stays accounted for as
// reclaim until the engine confirms the cancel. Releasing an unknown name has
// no effect.
func (l *Ledger) Release(name string, now oleanderspool.Millis) {
	e := l.entries[name]
	if e == nil || e.Owner == OwnerReclaim {
		return
	}
	l.reclaim(e, now)
}

func (l *Ledger) reclaim(e *entry, now oleanderspool.Millis) {
	l.setOwner(e, OwnerReclaim)
	e.Expiry = 0
	e.since = now
	e.missing = false
	l.cancels.add(appointment{now, e.Name, e.serial})
}

// Finished frees the memory of a name at once. It is for an attempt whose
// stream the engine itself has ended, which says that its memory is free.
func (l *Ledger) Finished(name string, now oleanderspool.Millis) {
	if e := l.entries[name]; e != nil {
		l.remove(e, now)
	}
}

// Expire releases the reservations that have lapsed and returns them.
func (l *Ledger) Expire(now oleanderspool.Millis) []Reservation {
	var lapsed []Reservation
	for {
		a, ok := l.expiries.due(now)
		if !ok {
			return lapsed
		}
		if !l.expiryValid(a) {
			continue
		}
		e := l.entries[a.name]
		lapsed = append(lapsed, e.Reservation)
		l.reclaim(e, now)
	}
}

func (l *Ledger) expiryValid(a appointment) bool {
	e := l.entries[a.name]
	return e != nil && e.serial == a.serial && e.Expiry == a.at && e.Owner != OwnerReclaim
}

// Cancels returns the memory that is to be cancelled on the engine now. Each
// cancel is returned again after the cancel interval until it is confirmed.
func (l *Ledger) Cancels(now oleanderspool.Millis) []Cancel {
	var due []Cancel
	for {
		a, ok := l.cancels.due(now)
		if !ok {
			break
		}
		e := l.entries[a.name]
		if e == nil || e.serial != a.serial {
			continue
		}
		if !e.cancelled {
			e.cancelled = true
			e.cancelAt = now
		}
		due = append(due, Cancel{e.Name, e.serial})
	}
	for _, c := range due {
		l.cancels.add(appointment{now + max(1, l.cancelInterval), c.Name, c.serial})
	}
	return due
}

// Confirm frees memory after the engine has confirmed its cancel. Late and
// repeated confirmations have no effect.
func (l *Ledger) Confirm(c Cancel, now oleanderspool.Millis) {
	e := l.entries[c.Name]
	if e == nil || e.serial != c.serial || e.Owner != OwnerReclaim {
		return
	}
	l.remove(e, now)
}

func (l *Ledger) remove(e *entry, now oleanderspool.Millis) {
	delete(l.entries, e.Name)
	l.owned[e.Owner] -= e.Tokens
	l.free += e.Tokens
	l.freed.add(e.Name, now)
}

// Check returns an error of type [ErrUnbalanced] when free and owned memory
// do not add up to the size.
func (l *Ledger) Check() error {
	var owned [ownerCount]int64
	total := l.free
	for _, e := range l.entries {
		owned[e.Owner] += e.Tokens
		total += e.Tokens
	}
	if total != l.size || owned != l.owned {
		return ErrUnbalanced.New("size %d, free %d, owned %v, entries %v", l.size, l.free, l.owned, owned)
	}
	return nil
}
