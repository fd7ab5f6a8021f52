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
func (l *Ledger) ObserveRun(size int64, runID string, now oleanderspool.Millis) []Reservation {
	if runID == l.runID {
		return nil
	}
	if l.runID == "" {
		l.runID, l.runObservedAt = runID, now
		return nil
	}
	var lost []Reservation
	for _, a := range l.allocations {
		if a.Purpose != PurposeReclaim {
			lost = append(lost, a.Reservation)
		}
	}
	slices.SortFunc(lost, func(a, b Reservation) int { return cmp.Compare(a.Name, b.Name) })
	l.reset(size, runID, now)
	return lost
}

func (l *Ledger) reset(size int64, runID string, now oleanderspool.Millis) {
	l.size, l.free = size, size
	l.reservedFor = [purposeCount]int64{}
	clear(l.allocations)
	l.expiries, l.cancels = schedule{}, schedule{}
	l.freed = newTombstones()
	l.runID, l.runObservedAt = runID, now
}

// adopt adds memory that the engine holds without a reservation, and schedules
// its cancel.
func (l *Ledger) adopt(listed oleanderspool.MemoryAllocation, now oleanderspool.Millis) {
	if listed.Tokens <= 0 || l.allocations[listed.Owner] != nil {
		return
	}
	l.freed.remove(listed.Owner)
	a := l.insert(Reservation{Name: listed.Owner, Purpose: PurposeReclaim, Tokens: listed.Tokens}, now)
	l.cancels.add(timer{now, a.Name, a.serial})
}

// Reconcile compares the ledger with the engine's list, whose content may be
// older than the request for it by up to the list lag. Memory on the list
// without a reservation is cancelled. Memory that is being cancelled and absent
// from the list becomes free. A reservation that stays absent from the lists
// for the missing timeout is released; those are returned, sorted by name. A
// list that may predate a reservation, release or restart is ignored for it.
func (l *Ledger) Reconcile(list List, now oleanderspool.Millis) []Reservation {
	if list.RunID != l.runID || list.RequestedAt < l.runObservedAt {
		return nil
	}
	earliestTakenAt := list.RequestedAt - l.listLag
	l.freed.expire(earliestTakenAt)
	listed := make(map[string]bool, len(list.Allocations))
	for _, a := range list.Allocations {
		listed[a.Owner] = true
		l.reconcileListed(a, earliestTakenAt, now)
	}
	return l.reconcileAbsent(listed, earliestTakenAt, now)
}

func (l *Ledger) reconcileListed(listed oleanderspool.MemoryAllocation, earliestTakenAt, now oleanderspool.Millis) {
	if a := l.allocations[listed.Owner]; a != nil {
		a.missing = false
		return
	}
	if l.freed.freedAfter(listed.Owner, earliestTakenAt) {
		return
	}
	l.adopt(listed, now)
}

func (l *Ledger) reconcileAbsent(listed map[string]bool, earliestTakenAt, now oleanderspool.Millis) []Reservation {
	var lost []Reservation
	for name, a := range l.allocations {
		switch {
		case listed[name]:
		case a.Purpose == PurposeReclaim:
			if a.cancelled && a.firstCancelAt <= earliestTakenAt {
				l.remove(a, now)
			}
		case a.changedAt > earliestTakenAt:
		case !a.missing:
			a.missing, a.missingSince = true, now
		case now-a.missingSince >= l.missingTimeout:
			lost = append(lost, a.Reservation)
		}
	}
	slices.SortFunc(lost, func(a, b Reservation) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range lost {
		l.reclaim(l.allocations[r.Name], now)
	}
	return lost
}

// tombstones records when names were freed, so that an older list does not
// bring them back.
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

// freedAfter reports whether the name was freed after the given time.
func (t *tombstones) freedAfter(name string, at oleanderspool.Millis) bool {
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
