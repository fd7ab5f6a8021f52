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
	// toldAtOnce bounds the entries that are told of a poll at the same time. A
	// data centre of 92 entries that do not answer then takes three dial
	// timeouts.
	toldAtOnce = 32
	// tellBound bounds the time to tell all of them.
	tellBound = 5 * oleanderspool.Second
)

// poll asks for the list when it is due, until ctx ends. A failed poll leaves
// the last list in use.
func (m *members) poll(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		wait := m.list.NextPoll() - m.entry.clock.Now()
		m.mu.Unlock()
		if wait > 0 {
			clock.Sleep(ctx, min(wait, membershipTick)) // an update may move the turn
			continue
		}
		m.tell(ctx, m.pollOnce(ctx))
	}
}

// pollOnce polls the list and returns the entries that are to be told.
func (m *members) pollOnce(ctx context.Context) []oleanderspool.InstanceID {
	sentAt := m.entry.clock.Now()
	list, err := m.entry.list.Instances(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.entry.clock.Now()
	if err != nil {
		m.list.PollFailed(now)
		return nil
	}
	m.handle(m.table.ApplyList(sentAt, list, now))
	m.adjust(ctx, now)
	return m.list.Recipients(sentAt)
}

// tell tells other entries of the last poll.
func (m *members) tell(ctx context.Context, entries []oleanderspool.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, tellBound.Duration())
	defer cancel()
	var group errgroup.Group
	group.SetLimit(toldAtOnce)
	for _, id := range entries {
		group.Go(func() error {
			m.tellEntry(ctx, id)
			return nil
		})
	}
	_ = group.Wait()
}

// tellEntry tells one entry, and sends the changes when it asks for them.
func (m *members) tellEntry(ctx context.Context, id oleanderspool.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, shortCallBound.Duration())
	defer cancel()
	m.mu.Lock()
	address, again := m.list.Address(id)
	m.mu.Unlock()
	if !again {
		return
	}
	client, hangUp, err := m.entry.peers.DialProcess(ctx, address)
	if err != nil {
		return
	}
	defer hangUp()
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

// Instances merges what another entry tells of the instance list.
func (h *handler) Instances(_ context.Context, u *peerpb.InstanceUpdate) (*peerpb.InstanceReply, error) {
	m := &h.entry.members
	m.mu.Lock()
	defer m.mu.Unlock()
	reply, changes := m.table.ApplyUpdate(peer.DecodeListUpdate(u), h.entry.clock.Now())
	m.handle(changes)
	return peer.EncodeListReply(reply, h.entry.Revision()), nil
}
