package revision

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// snapshotRecordInterval is the number of records after the newest snapshot at
	// which the next one is due. It bounds the replay of a starting process.
	snapshotRecordInterval = 2048

	// snapshotRetryDelay is the delay between attempts to write a snapshot.
	snapshotRetryDelay = 10 * oleanderspool.Second
)

// SnapshotSchedule decides when an entry writes a snapshot. A snapshot of any
// entry is usable by all. Entries are therefore due at different times, by a
// jitter derived from their instance, and each snapshot that an entry reads
// postpones its own. An entry that runs long enough writes the next snapshot
// before the newest one is half the retention old, so that neither the newest
// one nor the records after it expire before the next snapshot exists.
type SnapshotSchedule struct {
	retention       oleanderspool.Millis
	jitter          float64              // derived from the instance, from 0 to 1; spreads the snapshots of entries
	newestPosition  oleanderspool.Offset // position of the newest known snapshot
	newestWrittenAt oleanderspool.Millis // latest instant at which it is assumed to have been written
	lastAttemptAt   oleanderspool.Millis
	attempted       bool
}

// NewSnapshotSchedule returns the schedule of an entry that starts now. The age
// of snapshots from before the start is unknown and assumed to be a quarter of
// the retention.
func NewSnapshotSchedule(retention oleanderspool.Millis, instance oleanderspool.InstanceID, now oleanderspool.Millis) *SnapshotSchedule {
	return &SnapshotSchedule{
		retention:       retention,
		jitter:          float64(xxhash.Sum64String(string(instance))) / math.MaxUint64,
		newestWrittenAt: now - retention/4,
	}
}

// RecordExisting records a snapshot from before the start of the entry.
func (s *SnapshotSchedule) RecordExisting(position oleanderspool.Offset) {
	s.newestPosition = max(s.newestPosition, position)
}

// RecordSnapshot records a snapshot that any entry appended at or before now.
func (s *SnapshotSchedule) RecordSnapshot(position oleanderspool.Offset, now oleanderspool.Millis) {
	if position < s.newestPosition {
		return
	}
	s.newestPosition = position
	s.newestWrittenAt = now
}

// RecordAttempt records an attempt to write a snapshot. Whether it succeeded is
// known once the snapshot has been read and passed to RecordSnapshot.
func (s *SnapshotSchedule) RecordAttempt(now oleanderspool.Millis) {
	s.lastAttemptAt = now
	s.attempted = true
}

// Due reports whether a snapshot of a state at the given position is to be
// written now.
func (s *SnapshotSchedule) Due(position oleanderspool.Offset, now oleanderspool.Millis) bool {
	if position == 0 || position < s.newestPosition {
		return false
	}
	if s.attempted && now-s.lastAttemptAt < min(snapshotRetryDelay, s.retention/16) {
		return false
	}
	// The factor is from 1 to 2, so a snapshot is due after a quarter to half of the
	// retention.
	factor := 1 + s.jitter
	if float64(position-s.newestPosition) >= snapshotRecordInterval*factor {
		return true
	}
	return float64(now-s.newestWrittenAt) >= float64(s.retention)/4*factor
}
