package directory

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// The store may come back from a copy that is some seconds old. What the operator and the
// servers wrote since is written again. Until then the list of the newest records is older
// than what is known, although its offsets are later.

const (
	// restoreHeartbeats is the time after the last read before a restored list, in heartbeats
	// of the servers, after which a server that the list lacks is removed unless it has
	// registered again. It is the lifetime of a registration.
	restoreHeartbeats = 3
	// restoreMinHeartbeats is the least time after the list. A server that runs registers
	// again within a heartbeat.
	restoreMinHeartbeats = 1.25
	// restoreSettle is the time after which the operator has written its records again. The
	// list of them is read once more then.
	restoreSettle = 5 * oleanderspool.Second
)

// restores reports whether a list that ends at an offset is the first one of a later era
// than the records read before.
func (s *feedState) restores(end oleanderspool.Offset) bool {
	return s.next > 0 && end.Era() > s.next.Era()
}

// restored records that the first list of an era was read.
func (f *Follower) restored(s *feedState, end oleanderspool.Offset) {
	f.metrics.StateChanged("store_restored")
	f.logger.Warn("store restored from an older copy", "feed", s.name, "era", int64(end.Era()), "previous_era", int64(s.next.Era()),
		"index", end.Index(), "previous_index", s.next.Index())
}

// errPartsOfEras is returned when the store was restored between two parts of a list.
var errPartsOfEras = oleanderspool.ErrUnavailable.New("the store was restored between two parts of a list")

// RegisterRestored is [View.Register] for a part of the first list of an era. Of a server
// that is known the list may have an older record: a removal stays, and of two records of
// the same run the one that makes the server unusable is the later one.
func (v *View) RegisterRestored(list ...Change) []Registered {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registerAll(list, func(c Change) {
		old, known := v.records[c.Instance]
		if known && old.offset.Era() < c.Offset.Era() && !old.precedes(c) {
			old.offset = c.Offset // the next record counts
			v.records[c.Instance] = old
		}
	})
}

// precedes reports whether a record of a list is certainly later than that of the same
// server that is known from an earlier era.
func (r registration) precedes(c Change) bool {
	switch {
	case c.Server == nil || r.server.Instance == "":
		return false
	case r.server.SameRun(*c.Server):
		return r.usable && c.Server.Draining
	default:
		return c.Server.Started > r.server.Started
	}
}

// ConfigureRestored is [View.ConfigureFromList] for the first list of an era. Evacuations
// that are known stay as they are, and ended ones do not begin again, until a later record
// or list says so.
func (v *View) ConfigureRestored(list []Change) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configure(slices.DeleteFunc(slices.Clone(list), v.evacuations.keep), func() []Change { return nil })
}

// keep makes a known evacuation as late as the record of a restored list, which may be
// older: just before the record if the two differ, so that the same record of the next list
// counts. It reports whether the evacuation was known.
func (e *evacuations) keep(c Change) bool {
	old, known := e.records[c.Evacuation]
	if c.Evacuation == "" || !known || old.offset.Era() >= c.Offset.Era() {
		return false
	}
	old.offset = c.Offset
	if old.active == c.Removed {
		old.offset--
	}
	e.records[c.Evacuation] = old
	return true
}
