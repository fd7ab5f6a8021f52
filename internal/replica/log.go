package replica

import (
	"context"
	"errors"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/revision"
)

const (
	maxReadRecords = 500
	readWait       = 5 * oleanderspool.Second // long poll for new records
	readRetryDelay = 500 * oleanderspool.Millis(1)
	// maxSnapshotRecords is large enough that one read usually returns all retained
	// snapshots, since readSnapshots keeps only the last read. By age, one snapshot
	// is due per quarter of the retention period.
	maxSnapshotRecords = 64
	peerTimeout        = 2 * oleanderspool.Second
)

// Source holds what Follow and ReadToHead use to read the log, and Follow also to
// write snapshots and to pull from peers.
type Source struct {
	Log       oleanderspool.Log
	Clock     oleanderspool.Clock
	Instance  oleanderspool.InstanceID
	Retention oleanderspool.Millis // how long the log keeps records
	Peers     *peer.Client
	Addresses []string // other entries, used while the log cannot be read
}

// Follow replays the log until ctx ends. While the log cannot be read, it pulls
// the configuration from peers. It writes snapshots when they are due.
func (r *Replica) Follow(ctx context.Context, s Source) {
	schedule := revision.NewSnapshotSchedule(s.Retention, s.Instance, s.Clock.Now())
	needSnapshot := true
	for ctx.Err() == nil {
		err := r.applyNext(ctx, s, schedule, needSnapshot)
		var gap *revision.GapError
		needSnapshot = errors.As(err, &gap) || (err != nil && needSnapshot)
		if err == nil {
			r.writeSnapshot(ctx, s, schedule)
			continue
		}
		r.pullFromPeers(ctx, s)
		clock.Sleep(ctx, readRetryDelay)
	}
}

// applyNext restores the newest snapshot if one is needed, and then applies the
// next records of the log.
func (r *Replica) applyNext(ctx context.Context, s Source, schedule *revision.SnapshotSchedule, needSnapshot bool) error {
	wait := readWait
	if needSnapshot {
		if err := r.restoreSnapshot(ctx, s, schedule); err != nil {
			return err
		}
		wait = 0
	}
	records, _, err := s.Log.Read(ctx, oleanderspool.StreamConfiguration, r.Position()+1, maxReadRecords, wait)
	if err != nil {
		return err
	}
	return r.apply(records, func(revision.Decision) {})
}

func (r *Replica) apply(records []oleanderspool.Record, onDecision func(revision.Decision)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.publish()
	for _, record := range records {
		d, err := r.state.Apply(record)
		if err != nil {
			return err
		}
		if d.Verdict != revision.Ignored {
			r.metrics.StateChanged("change_set_" + d.Verdict.String())
		}
		onDecision(d)
	}
	return nil
}

// ReadToHead replays the log up to its last record. It starts from the newest
// snapshot if the replica is empty or the log has discarded the records after
// the replica's position. It passes each decision to onDecision and returns the
// offset of the last record. Errors are those of the log and of package
// revision.
func (r *Replica) ReadToHead(ctx context.Context, s Source, onDecision func(revision.Decision)) (oleanderspool.Offset, error) {
	schedule := revision.NewSnapshotSchedule(s.Retention, s.Instance, s.Clock.Now())
	needSnapshot := r.Position() == 0
	for {
		if needSnapshot {
			if err := r.restoreSnapshot(ctx, s, schedule); err != nil {
				return 0, err
			}
		}
		records, head, err := s.Log.Read(ctx, oleanderspool.StreamConfiguration, r.Position()+1, maxReadRecords, 0)
		if err != nil {
			return 0, err
		}
		err = r.apply(records, onDecision)
		var gap *revision.GapError
		if errors.As(err, &gap) && !needSnapshot {
			needSnapshot = true
			continue
		}
		if err != nil || r.Position() >= head {
			return head, err
		}
		needSnapshot = false
	}
}

// Decision returns the decision about a recent change set.
func (r *Replica) Decision(change string) (revision.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Decision(change)
}

// restoreSnapshot restores the newest snapshot of the log.
func (r *Replica) restoreSnapshot(ctx context.Context, s Source, schedule *revision.SnapshotSchedule) error {
	records, err := r.readSnapshots(ctx, s, 1)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.publish()
	if restored, _ := r.state.RestoreNewest(records); restored {
		r.metrics.StateChanged("configuration_snapshot_restored")
		schedule.RecordExisting(r.state.Position())
	}
	return nil
}

// readSnapshots reads the snapshot stream from an offset to its end and returns
// the records of the last read.
func (r *Replica) readSnapshots(ctx context.Context, s Source, from oleanderspool.Offset) ([]oleanderspool.Record, error) {
	var lastRead []oleanderspool.Record
	for {
		records, head, err := s.Log.Read(ctx, oleanderspool.StreamConfigurationSnapshot, from, maxSnapshotRecords, 0)
		if err != nil || len(records) == 0 {
			return lastRead, err
		}
		lastRead = records
		r.lastSnapshot = records[len(records)-1].Offset
		from = r.lastSnapshot + 1
		if from > head {
			return lastRead, nil
		}
	}
}

// writeSnapshot appends a snapshot if one is due and no other entry has written
// one in the meantime. If two entries write one at the same time, both
// snapshots are valid.
func (r *Replica) writeSnapshot(ctx context.Context, s Source, schedule *revision.SnapshotSchedule) {
	if !r.snapshotDue(s, schedule) {
		return
	}
	records, err := r.readSnapshots(ctx, s, r.lastSnapshot+1)
	if err != nil {
		return
	}
	for _, record := range records {
		if snapshot, err := revision.ParseSnapshot(record.Data); err == nil {
			schedule.RecordSnapshot(snapshot.Position, s.Clock.Now())
		}
	}
	if !r.snapshotDue(s, schedule) {
		return
	}
	r.mu.Lock()
	snapshot := r.state.Snapshot()
	r.mu.Unlock()
	now := s.Clock.Now()
	schedule.RecordAttempt(now)
	if _, err := s.Log.Append(ctx, oleanderspool.StreamConfigurationSnapshot, [][]byte{snapshot.Data}); err != nil {
		r.metrics.StateChanged("configuration_snapshot_failed")
		return
	}
	schedule.RecordSnapshot(snapshot.Position, now)
	r.metrics.StateChanged("configuration_snapshot_written")
}

func (r *Replica) snapshotDue(s Source, schedule *revision.SnapshotSchedule) bool {
	return schedule.Due(r.Position(), s.Clock.Now())
}

// pullFromPeers catches up from the first entry that answers. One is enough,
// since all entries replay the same stream.
func (r *Replica) pullFromPeers(ctx context.Context, s Source) {
	for _, address := range s.Addresses {
		pullCtx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
		err := r.Pull(pullCtx, s.Peers, address)
		cancel()
		if err == nil {
			return
		}
	}
}
