package order

import (
	"github.com/oleanderspool/oleanderspool"
)

// countBits is the number of low bits of a fencing token that hold the count of
// orders; the bits above hold the revision. An agent at an older revision can
// therefore never reach the tokens of a newer one.
const countBits = 20

const maxCount = 1<<countBits - 1

// fencingTokens generates increasing fencing tokens, which consist of the
// revision and a count of orders.
type fencingTokens struct {
	revision  oleanderspool.Revision
	count     int64
	exhausted bool // the engine refused the highest token of this revision
}

// advance moves to a newer revision and restarts the count.
func (f *fencingTokens) advance(revision oleanderspool.Revision) {
	if revision > f.revision {
		*f = fencingTokens{revision: revision}
	}
}

// next returns a new token.
func (f *fencingTokens) next() int64 {
	f.count = min(f.count+1, maxCount)
	return int64(f.revision)<<countBits | f.count
}

// skipRefused raises the count after the engine refused a token, which means that
// it has seen a higher one. An earlier agent at the same revision may have used
// any count, so each refusal doubles the count. If the engine refuses all
// counts, it has accepted an order of a newer revision, and this agent must not
// give orders before it has that revision too.
func (f *fencingTokens) skipRefused() {
	if f.count >= maxCount {
		f.exhausted = true
		return
	}
	f.count = min(2*f.count, maxCount-1)
}
