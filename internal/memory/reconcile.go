package memory

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Rebuild replaces the account by the engine's own list. It is for an agent
// that starts beside a living engine: the new agent owns nothing, so all
// memory on the list is cancelled.
func (l *Ledger) Rebuild(size int64, list List, now oleanderspool.Millis) {
	l.reset(size, list.RunID, now)
	for _, listed := range list.Entries {
		l.adopt(listed, now)
	}
}

// ObserveRun tells the ledger which run of the engine process answers, and its
// memory in tokens. After a restart the engine holds nothing, so the ledger is
// emptied; the reservations that were lost are returned in order of name. The
// first call only records the run.
func (l *Ledger) ObserveRun(size int64, started string, now oleanderspool.Millis) []Reservation {
	if started == l.started {
		return nil
	}
	if l.started == "" {
		l.started, l.startedAt = started, now
		return nil
	}
	var lost []Reservation
	for _, e := range l.entries {
		if e.Owner != OwnerReclaim {
			lost = append(lost, e.Reservation)
		}
	}
	slices.SortFunc(lost, func(a, b Reservation) int { return cmp.Compare(a.Name, b.Name) })
	l.reset(size, started, now)
	return lost
}

func (l *Ledger) reset(size int64, started string, now oleanderspool.Millis) {
	l.size, l.free = size, size
	l.owned = [ownerCount]int64{}
	clear(l.entries)
	l.expiries, l.cancels = schedule{}, schedule{}
	l.freed = newTombstones()
	l.started, l.startedAt = started, now
}

// adopt enters memory that the engine holds and nobody owns.
func (l *Ledger) adopt(listed oleanderspool.EngineEntry, now oleanderspool.Millis) {
	if listed.Tokens <= 0 || l.entries[listed.Owner] != nil {
		return
	}
	l.freed.remove(listed.Owner)
	e := l.insert(Reservation{Name: listed.Owner, Owner: OwnerReclaim, Tokens: listed.Tokens}, now)
	l.cancels.add(appointment{now, e.Name, e.serial})
}

// Reconcile compares the account with the engine's list, which may be up to
// the list lag older than its request. Memory without an owner is cancelled.
// Memory that is being cancelled and absent from the list is free. An owner
// that stays absent from the lists for longer than the missing bound is
// released; those are returned in order of name. A list that may have been
// taken before a reservation, release or restart says nothing about it.
func (l *Ledger) Reconcile(list List, now oleanderspool.Millis) []Reservation {
	if list.RunID != l.started || list.RequestedAt < l.startedAt {
		return nil
	}
	taken := list.RequestedAt - l.listLag
	l.freed.expire(taken)
	listed := make(map[string]bool, len(list.Entries))
	for _, e := range list.Entries {
		listed[e.Owner] = true
		l.reconcileListed(e, taken, now)
	}
	return l.reconcileAbsent(listed, taken, now)
}

func (l *Ledger) reconcileListed(listed oleanderspool.EngineEntry, taken, now oleanderspool.Millis) {
	if e := l.entries[listed.Owner]; e != nil {
		e.missing = false
		return
	}
	if l.freed.after(listed.Owner, taken) {
		return
	}
	l.adopt(listed, now)
}

func (l *Ledger) reconcileAbsent(listed map[string]bool, taken, now oleanderspool.Millis) []Reservation {
	var lost []Reservation
	for name, e := range l.entries {
		switch {
		case listed[name]:
		case e.Owner == OwnerReclaim:
			if e.cancelled && e.cancelAt <= taken {
				l.remove(e, now)
			}
		case e.since > taken:
		case !e.missing:
			e.missing, e.missingAt = true, now
		case now-e.missingAt >= l.missingBound:
			lost = append(lost, e.Reservation)
		}
	}
	slices.SortFunc(lost, func(a, b Reservation) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range lost {
		l.reclaim(l.entries[r.Name], now)
	}
	return lost
}

// tombstones remembers when names were freed, so that a list that was taken
// before does not bring them back.
type tombstones struct {
	freedAt map[string]oleanderspool.Millis
	order   []tombstone
}

type tombstone struct {
	name string
	at   oleanderspool.Millis
}

// tombstoneLimit bounds the names kept while the engine gives no list. A
// dropped name costs at most one needless cancel.
const tombstoneLimit = 1 << 16

func newTombstones() tombstones {
	return tombstones{freedAt: make(map[string]oleanderspool.Millis)}
}

func (t *tombstones) add(name string, now oleanderspool.Millis) {
	t.freedAt[name] = now
	t.order = append(t.order, tombstone{name, now})
	if len(t.order) > tombstoneLimit {
		t.drop(len(t.order) - tombstoneLimit)
	}
}

func (t *tombstones) remove(name string) {
	delete(t.freedAt, name)
}

// after reports whether the name was freed after the given instant.
func (t *tombstones) after(name string, at oleanderspool.Millis) bool {
	freed, ok := t.freedAt[name]
	return ok && freed > at
}

// expire forgets the names that were freed at or before the given instant.
func (t *tombstones) expire(at oleanderspool.Millis) {
	n := 0
	for n < len(t.order) && t.order[n].at <= at {
		n++
	}
	t.drop(n)
}

func (t *tombstones) drop(n int) {
	for _, dropped := range t.order[:n] {
		if t.freedAt[dropped.name] == dropped.at {
			delete(t.freedAt, dropped.name)
		}
	}
	t.order = t.order[n:]
}
