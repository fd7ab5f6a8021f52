package order

import (
	"github.com/oleanderspool/oleanderspool"
)

// countBits is the width of the count of orders below the revision in a
// fencing number. An agent at an older revision can never reach the numbers of
// a newer one.
const countBits = 20

const maxCount = 1<<countBits - 1

// fencing gives out fencing numbers that only rise: the revision, then a count
// of orders.
type fencing struct {
	revision  oleanderspool.Revision
	count     int64
	exhausted bool // no number of this revision is left that the engine may accept
}

// raise moves to a newer revision.
func (f *fencing) raise(revision oleanderspool.Revision) {
	if revision > f.revision {
		*f = fencing{revision: revision}
	}
}

// next returns a new number.
func (f *fencing) next() int64 {
	f.count = min(f.count+1, maxCount)
	return int64(f.revision)<<countBits | f.count
}

// refused notes that the engine has seen a higher number. An earlier agent at
// the same revision may have given out any count, so the count is doubled
// until it is accepted. When all counts are refused, the engine has obeyed a
// newer revision, and this agent must not give orders before it has it too.
func (f *fencing) refused() {
	if f.count >= maxCount {
		f.exhausted = true
		return
	}
	f.count = min(2*f.count, maxCount-1)
}
