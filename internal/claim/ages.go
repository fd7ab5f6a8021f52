package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// ageSteps is the number of marks per key lifetime. Expiry is late by at most
// one step, so claims are kept for at most 1/128 longer than the lifetime.
const ageSteps = 128

// mark says that all offsets below before had been received by an instant.
type mark struct {
	before oleanderspool.Offset
	at     oleanderspool.Millis
}

// ages remembers when parts of the stream were received. It holds a bounded
// number of marks whatever the rate of records.
type ages struct {
	lifetime oleanderspool.Millis
	marks    []mark
	expired  oleanderspool.Offset
}

// received notes that the record at offset was received.
func (a *ages) received(offset oleanderspool.Offset, now oleanderspool.Millis) {
	a.expiredBefore(now)
	step := max(1, a.lifetime/ageSteps)
	last := len(a.marks) - 1
	if last >= 0 && now <= a.marks[last].at {
		a.marks[last].before = offset + 1
		return
	}
	a.marks = append(a.marks, mark{before: offset + 1, at: now + step})
}

// expiredBefore returns the offset below which every record was received more
// than the key lifetime ago.
func (a *ages) expiredBefore(now oleanderspool.Millis) oleanderspool.Offset {
	for len(a.marks) > 0 && now-a.marks[0].at >= a.lifetime {
		a.expired = a.marks[0].before
		a.marks = a.marks[1:]
	}
	return a.expired
}
