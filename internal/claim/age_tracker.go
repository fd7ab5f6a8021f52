package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// marksPerLifetime is the number of marks per key lifetime. Expiry is late by
// at most one mark interval, so claims are kept for at most 1/128 longer than
// the lifetime.
const marksPerLifetime = 128

// ageMark covers records below endOffset. at is an instant no earlier than the
// receipt of the last of them.
type ageMark struct {
	endOffset oleanderspool.Offset
	at        oleanderspool.Millis
}

// ageTracker tracks when parts of the stream were received. The number of its
// marks is bounded whatever the rate of records.
type ageTracker struct {
	lifetime oleanderspool.Millis
	marks    []ageMark
	expired  oleanderspool.Offset // end of the records older than the lifetime
}

// recordReceived records that the record at offset was received at now.
func (a *ageTracker) recordReceived(offset oleanderspool.Offset, now oleanderspool.Millis) {
	a.expiredBefore(now)
	step := max(1, a.lifetime/marksPerLifetime)
	last := len(a.marks) - 1
	if last >= 0 && now <= a.marks[last].at {
		a.marks[last].endOffset = offset + 1
		return
	}
	a.marks = append(a.marks, ageMark{endOffset: offset + 1, at: now + step})
}

// expiredBefore returns the offset below which every record was received more
// than the key lifetime ago. It removes the marks of these records.
func (a *ageTracker) expiredBefore(now oleanderspool.Millis) oleanderspool.Offset {
	for len(a.marks) > 0 && now-a.marks[0].at >= a.lifetime {
		a.expired = a.marks[0].endOffset
		a.marks = a.marks[1:]
	}
	return a.expired
}
