package memory

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Rebuild replaces the state of the ledger by the engine's own list. It is for
// an agent that starts beside a running engine: the new agent owns nothing, so
// all memory on the list is cancelled.
func (l *Ledger) Rebuild(size int64, list List, now oleanderspool.Millis) {
	l.reset(size, list.RunID, now)
	for _, listed := range list.Allocations {
		l.adopt(listed, now)
	}
}

// ObserveRun records which run of the engine process is responding, and its
// memory in tokens. After a restart the engine holds nothing, so the ledger is
// emptied and the reservations that were lost are returned, sorted by name. The
// first call only records the run.
func (l *Ledger) ObserveRun(size int64, started string, now oleanderspool.Millis) []Reservation {
	if started == l.runID {
		return nil
	}
	if l.runID == "" {
		l.runID, l.runObservedAt = started, now
		return nil
	}
	var lost []Reservation
	for _, e := range l.entries {
		if e.Purpose != PurposeReclaim {
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
	l.runID, l.runObservedAt = started, now
}

// adopt adds memory that the engine holds but that has no owner, and schedules
// its cancel.
func (l *Ledger) adopt(listed oleanderspool.MemoryAllocation, now oleanderspool.Millis) {
	if listed.Tokens <= 0 || l.entries[listed.Owner] != nil {
		return
	}
	l.freed.remove(listed.Owner)
	e := l.insert(Reservation{Name: listed.Owner, Purpose: PurposeReclaim, Tokens: listed.Tokens}, now)
	l.cancels.add(timer{now, e.Name, e.serial})
}

// Reconcile compares the ledger with the engine's list, whose content may be
// older than the request for it by up to the list lag. Memory without an owner
// is cancelled. Memory that is being cancelled and absent from the list becomes
// free. A reservation that stays absent from the lists for the missing timeout is
// released; those are returned, sorted by name. A list that may predate a
// reservation, release or restart is ignored for it.
func (l *Ledger) Reconcile(list List, now oleanderspool.Millis) []Reservation {
	if list.RunID != l.runID || list.RequestedAt < l.runObservedAt {
		return nil
	}
	takenAt := list.RequestedAt - l.listLag
	l.freed.expire(takenAt)
	listed := make(map[string]bool, len(list.Allocations))
	for _, e := range list.Allocations {
		listed[e.Owner] = true
		l.reconcileListed(e, takenAt, now)
	}
	return l.reconcileAbsent(listed, takenAt, now)
}

func (l *Ledger) reconcileListed(listed oleanderspool.MemoryAllocation, takenAt, now oleanderspool.Millis) {
	if e := l.entries[listed.Owner]; e != nil {
		e.missing = false
		return
	}
	if l.freed.after(listed.Owner, takenAt) {
		return
	}
	l.adopt(listed, now)
}

func (l *Ledger) reconcileAbsent(listed map[string]bool, takenAt, now oleanderspool.Millis) []Reservation {
	var lost []Reservation
	for name, e := range l.entries {
		switch {
		case listed[name]:
		case e.Purpose == PurposeReclaim:
			if e.cancelled && e.firstCancelAt <= takenAt {
				l.remove(e, now)
			}
		case e.changedAt > takenAt:
		case !e.missing:
			e.missing, e.missingSince = true, now
		case now-e.missingSince >= l.missingTimeout:
			lost = append(lost, e.Reservation)
		}
	}
	slices.SortFunc(lost, func(a, b Reservation) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range lost {
		l.reclaim(l.entries[r.Name], now)
	}
	return lost
}

// tombstones records when names were freed, so that an older list does not bring
// them back.
type tombstones struct {
	freedAt map[string]oleanderspool.Millis
	order   []tombstone
}

type tombstone struct {
	name string
	at   oleanderspool.Millis
}

// tombstoneLimit bounds the number of names that are recorded while the engine
// returns no list. A dropped name costs at most one needless cancel.
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

// after reports whether the name was freed after the given time.
func (t *tombstones) after(name string, at oleanderspool.Millis) bool {
	freed, ok := t.freedAt[name]
	return ok && freed > at
}

// expire removes the names that were freed at or before the given time.
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
