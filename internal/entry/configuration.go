package entry

import (
	"context"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/replica"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// followConfiguration keeps the configuration up to date until ctx ends.
func (e *Entry) followConfiguration(ctx context.Context) {
	e.configuration.Follow(ctx, replica.Source{
		Log:       e.log,
		Clock:     e.clock,
		Instance:  e.instance,
		Retention: e.retention,
		Peers:     e.peers,
		Addresses: e.peerAddresses,
	})
}

// applyConfiguration passes a new configuration to admission and membership.
func (e *Entry) applyConfiguration(c configuration.Configuration, revision oleanderspool.Revision) {
	now := e.clock.Now()
	put, removed := c.ClientAccountChanges(e.applied)
	e.applied = c
	e.mu.Lock()
	e.admission.UpdateAccounts(revision, put, removed, now)
	e.mu.Unlock()
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.table.ApplySets(revision, c.ServerSets(), now)
}

// handler serves the protocol between processes.
type handler struct {
	peerpb.DRPCPeerUnimplementedServer
	entry *Entry
}

// sendConfiguration offers the configuration to an agent whose last report had an
// older revision, since an agent does not start work of a newer revision than its
// own.
func (e *Entry) sendConfiguration(ctx context.Context, server oleanderspool.BackendServer) {
	if server.Revision >= e.configuration.Revision() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout.Duration())
	defer cancel()
	_, _ = e.peers.Process(server.Address).Offer(ctx, e.configuration.CatchUp(server.Revision))
}

// Status describes the process.
func (h *handler) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	e := h.entry
	return &peerpb.StatusReply{
		Revision:   int64(e.configuration.Revision()),
		Instance:   string(e.instance),
		DataCentre: string(e.dataCentre),
		Role:       "entry",
		Leaving:    e.stopping.Load(),
		Version:    e.version,
	}, nil
}

// Configuration returns the part of the configuration stream that the caller lacks.
func (h *handler) Configuration(_ context.Context, m *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return h.entry.configuration.CatchUp(oleanderspool.Offset(m.GetAfter())), nil
}

// Offer applies the part of the configuration stream that another process offers.
func (h *handler) Offer(_ context.Context, m *peerpb.ConfigurationReply) (*peerpb.OfferReply, error) {
	return h.entry.configuration.ApplyPushed(m), nil
}
