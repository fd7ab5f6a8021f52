package directory

import (
	"context"

	"github.com/oleanderspool/oleanderspool"
)

// serverList is the progress of a read of the newest record of each server, which the
// store sends in parts. It has no I/O.
type serverList struct {
	startedAt oleanderspool.Millis
	after     string // key after which the next part begins
	listed    map[oleanderspool.InstanceID]bool
	end       oleanderspool.Offset // Next of the first part; older records that are not listed are obsolete
	restored  bool                 // it is the first list of a restored store
	applied   bool                 // the servers of its era that it lacks were removed
	// changesReadAt is the instant at which the last read of the records after the
	// first part was sent; 0 for none.
	changesReadAt oleanderspool.Millis
}

// maxListed bounds the servers of a list, and so the memory that a store can make an entry
// use whose parts have no end.
const maxListed = 10 * maxServers

// add adds a part. It reports whether the list may go on: a part that has no new server
// although others follow would be read forever.
func (l *serverList) add(part Batch) bool {
	before := len(l.listed)
	for _, c := range part.Changes {
		l.listed[c.Instance] = true
	}
	l.after = part.After
	return !part.More || len(l.listed) > before && len(l.listed) <= maxListed
}

// readsChanges reports whether the records after the first part have to be read before
// the next part. The servers of the parts so far are in use, so that their changes must
// be known in time.
func (l *serverList) readsChanges(now, interval oleanderspool.Millis) bool {
	return l != nil && (l.changesReadAt == 0 || now-l.changesReadAt >= interval)
}

// readListPart reads and applies the next part of the list of servers. It reports whether
// the read succeeded; after a failure the same part is read again.
func (f *Follower) readListPart(ctx context.Context) bool {
	after := ""
	if f.list != nil {
		after = f.list.after
	}
	sentAt := f.clock.Now()
	part, err := f.servers.feed.Newest(ctx, after)
	if !f.recordReply(ctx, &f.servers, sentAt, err) {
		return false
	}
	if f.list == nil {
		f.list = &serverList{startedAt: sentAt, listed: make(map[oleanderspool.InstanceID]bool), end: part.Next, restored: f.servers.restores(part.Next)}
		if f.list.restored {
			f.restored(&f.servers, part.Next)
			// The store was away, and registrations may have expired meanwhile.
			f.beginGrace(f.clock.Now(), f.servers.lastReadAt, "restored store")
		}
		// The first part may be older than the records that were read before.
		f.servers.next = max(f.servers.next, part.Next)
		if part.More {
			f.view.SetIncomplete(part.Next)
		}
	}
	if part.Next.Era() != f.list.end.Era() {
		f.list = nil
		return false
	}
	if !f.list.add(part) {
		f.logger.Warn("server list has no end", "servers", len(f.list.listed))
		f.list = nil
		return false
	}
	for _, c := range part.Changes {
		f.listedEnd = max(f.listedEnd, c.Offset+1)
	}
	if f.list.restored {
		f.registered(part.Changes, f.view.RegisterRestored(part.Changes...))
	} else {
		f.register(part.Changes)
	}
	if !part.More {
		f.completeList()
	}
	return true
}

// awaitsStore reports whether the list has to be asked for from its beginning while the store
// does not answer. A call for a list is not repeated while it has no reply, so a read of
// changes, which is, finds out when the store answers again.
func (f *Follower) awaitsStore() bool {
	s := &f.servers
	return f.list == nil && s.next > 0 && s.failingSince != 0 && s.timeoutsOnly
}

// probe reads changes to find out whether the store answers. They are not used, since
// records before them are missing. It reports whether the store answered.
func (f *Follower) probe(ctx context.Context) bool {
	sentAt := f.clock.Now()
	_, err := f.servers.feed.Read(ctx, f.servers.next, 0)
	if err != nil && !f.servers.feed.Compacted(err) {
		f.recordFailure(ctx, &f.servers, err)
		return false
	}
	f.recordAnswer(&f.servers, sentAt)
	return true
}

// completeList removes the servers that the complete list lacks, after the grace period
// if there is one: the list may lack registrations that expired because of the outage.
func (f *Follower) completeList() {
	f.logger.Info("server list complete", "servers", len(f.list.listed), "after_ms", int64(f.clock.Now()-f.list.startedAt), "offset", f.list.end)
	f.metrics.StateChanged("server_list_complete")
	f.view.SetComplete()
	f.servers.synced = true
	if f.list.restored {
		f.differsUntil = f.clock.Now() + restoreHeartbeats*f.heartbeat
		// The store may have been restored right after the last read or just now.
		f.keepsLostUntil = max(f.servers.lastReadAt+restoreHeartbeats*f.heartbeat, f.clock.Now()+part(f.heartbeat, restoreMinHeartbeats))
	}
	f.list, f.unlisted = nil, f.list
	f.removeExpired(f.unlisted.startedAt)
}

// readListChanges reads and applies the records after the first part of the list. It
// reports whether the read succeeded.
func (f *Follower) readListChanges(ctx context.Context) bool {
	sentAt := f.clock.Now()
	batch, err := f.servers.feed.Read(ctx, f.servers.next, 0)
	if !f.recordReply(ctx, &f.servers, sentAt, err) {
		if err != nil && f.servers.feed.Compacted(err) {
			f.list = nil
		}
		return false
	}
	f.servers.next = max(f.servers.next, batch.Next)
	f.applyRead(batch, sentAt)
	if !batch.More {
		f.list.changesReadAt = sentAt
	}
	return true
}
