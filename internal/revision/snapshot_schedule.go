package revision

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// snapshotRecords is the number of records after the newest snapshot from
	// which a new one is due, to bound the replay of a starting process.
	snapshotRecords = 2048

	// snapshotRetry is the span after an attempt to write a snapshot before the
	// next one.
	snapshotRetry = 10 * oleanderspool.Second
)

// SnapshotSchedule decides when an entry writes a snapshot. The snapshot of any entry
// serves all, so entries are due at different times, by a share drawn from
// their instance, and a snapshot that is seen postpones the next. An entry that
// runs for longer than that writes the next one before the newest is half a
// retention old; therefore neither it nor the records after it expire before.
type SnapshotSchedule struct {
	retention oleanderspool.Millis
	share     float64              // place among the entries, from 0 to 1
	newest    oleanderspool.Offset // position of the newest known snapshot
	written   oleanderspool.Millis // latest instant at which it may be assumed written
	tried     oleanderspool.Millis
	everTried bool
}

// NewSnapshotSchedule returns the schedule of an entry that starts now. The age of
// snapshots from before the start is unknown and assumed to be a quarter of
// the retention.
func NewSnapshotSchedule(retention oleanderspool.Millis, instance oleanderspool.InstanceID, now oleanderspool.Millis) *SnapshotSchedule {
	return &SnapshotSchedule{
		retention: retention,
		share:     float64(xxhash.Sum64String(string(instance))) / math.MaxUint64,
		written:   now - retention/4,
	}
}

// RecordExisting tells of a snapshot from before the start of the entry.
func (s *SnapshotSchedule) RecordExisting(position oleanderspool.Offset) {
	s.newest = max(s.newest, position)
}

// RecordSnapshot tells of a snapshot that was appended at or before now, by any entry.
func (s *SnapshotSchedule) RecordSnapshot(position oleanderspool.Offset, now oleanderspool.Millis) {
	if position < s.newest {
		return
	}
	s.newest = position
	s.written = now
}

// RecordAttempt tells of an attempt to write a snapshot. Whether it succeeded is known
// when the snapshot is seen.
func (s *SnapshotSchedule) RecordAttempt(now oleanderspool.Millis) {
	s.tried = now
	s.everTried = true
}

// Due reports whether to write a snapshot of a state at the given position.
func (s *SnapshotSchedule) Due(position oleanderspool.Offset, now oleanderspool.Millis) bool {
	if position == 0 || position < s.newest {
		return false
	}
	if s.everTried && now-s.tried < min(snapshotRetry, s.retention/16) {
		return false
	}
	spread := 1 + s.share
	if float64(position-s.newest) >= snapshotRecords*spread {
		return true
	}
	return float64(now-s.written) >= float64(s.retention)/4*spread
}
