package directory

import (
	"maps"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// evacuations holds the newest record of each data centre that was evacuated. It is not
// safe for concurrent use.
type evacuations struct {
	records map[oleanderspool.DataCentreID]evacuation
	// settled is the largest end of a complete list. A record before it whose data
	// centre is not in records is obsolete.
	settled oleanderspool.Offset
}

// evacuation is the newest record of a data centre. Records of evacuations that have
// ended are kept until a complete list confirms the end, since an older list may still
// contain the evacuation.
type evacuation struct {
	offset oleanderspool.Offset
	active bool
}

// apply applies a record unless a newer one is known, and reports whether it begins or
// ends an evacuation.
func (e *evacuations) apply(c Change) bool {
	old, known := e.records[c.Evacuation]
	if known && c.Offset <= old.offset || !known && c.Offset < e.settled {
		return false
	}
	e.records[c.Evacuation] = evacuation{offset: c.Offset, active: !c.Removed}
	return old.active == c.Removed
}

// endUnlisted ends the evacuations that a complete list lacks and that are older than
// its end. It returns a change for each.
func (e *evacuations) endUnlisted(list []Change, end oleanderspool.Offset) []Change {
	listed := make(map[oleanderspool.DataCentreID]bool)
	for _, c := range list {
		listed[c.Evacuation] = true
	}
	var ended []Change
	for _, dc := range slices.Sorted(maps.Keys(e.records)) {
		r := e.records[dc]
		if listed[dc] || r.offset >= end {
			continue
		}
		if r.active {
			ended = append(ended, Change{Offset: end, Evacuation: dc, Removed: true})
		}
		delete(e.records, dc)
	}
	e.settled = max(e.settled, end)
	return ended
}

// active returns the evacuated data centres, ordered by name.
func (e *evacuations) active() []oleanderspool.DataCentreID {
	var names []oleanderspool.DataCentreID
	for dc, r := range e.records {
		if r.active {
			names = append(names, dc)
		}
	}
	slices.Sort(names)
	return names
}
