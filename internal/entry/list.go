package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

const (
	// maxConcurrentUpdates bounds the entries that are sent an update at the same
	// time. With 92 unreachable entries in a data centre, sending takes three dial
	// timeouts.
	maxConcurrentUpdates = 32
	// updatesTimeout bounds the time to send the update to all entries.
	updatesTimeout = 5 * oleanderspool.Second
)

// poll polls the list whenever a poll is due, until ctx ends. After a failed poll
// the last list stays in use.
func (m *memberTracker) poll(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		wait := m.list.NextPoll() - m.entry.clock.Now()
		m.mu.Unlock()
		if wait > 0 {
			clock.Sleep(ctx, min(wait, membershipTick)) // an update may postpone the poll
			continue
		}
		m.sendUpdates(ctx, m.pollOnce(ctx))
	}
}

// pollOnce polls the list and returns the entries to send an update to.
func (m *memberTracker) pollOnce(ctx context.Context) []oleanderspool.InstanceID {
	sentAt := m.entry.clock.Now()
	list, err := m.entry.list.Instances(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.entry.clock.Now()
	if err != nil {
		m.list.PollFailed(now)
		return nil
	}
	m.recordChanges(m.table.ApplyList(sentAt, list, now))
	m.updateWatches(ctx, now)
	return m.list.Recipients(sentAt)
}

// sendUpdates sends the result of the last poll to other entries.
func (m *memberTracker) sendUpdates(ctx context.Context, entries []oleanderspool.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout.Duration())
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentUpdates)
	for _, id := range entries {
		group.Go(func() error {
			m.sendUpdate(ctx, id)
			return nil
		})
	}
	_ = group.Wait()
}

// sendUpdate sends an update to one entry, and the changes if its reply asks for
// them.
func (m *memberTracker) sendUpdate(ctx context.Context, id oleanderspool.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout.Duration())
	defer cancel()
	m.mu.Lock()
	address, again := m.list.Address(id)
	m.mu.Unlock()
	if !again {
		return
	}
	client, disconnect, err := m.entry.peers.DialProcess(ctx, address)
	if err != nil {
		return
	}
	defer disconnect()
	m.mu.Lock()
	update := m.list.Update(id)
	m.mu.Unlock()
	for calls := 0; again && calls < 2; calls++ {
		sentAt := m.entry.clock.Now()
		reply, err := client.Instances(ctx, peer.EncodeListUpdate(update, m.entry.Revision()))
		if err != nil {
			return
		}
		m.mu.Lock()
		update, again = m.list.ApplyReply(id, peer.DecodeListReply(reply), sentAt, m.entry.clock.Now())
		m.mu.Unlock()
	}
}

// Instances merges another entry's update of the instance list.
func (h *handler) Instances(_ context.Context, u *peerpb.InstanceUpdate) (*peerpb.InstanceReply, error) {
	m := &h.entry.members
	m.mu.Lock()
	defer m.mu.Unlock()
	reply, changes := m.table.ApplyUpdate(peer.DecodeListUpdate(u), h.entry.clock.Now())
	m.recordChanges(changes)
	return peer.EncodeListReply(reply, h.entry.Revision()), nil
}
