package agent

import (
	"context"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/memory"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// Reserve reserves engine memory for a group of backend servers, or renews the
// reservation.
func (h *handler) Reserve(ctx context.Context, m *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	a := h.Agent
	request := memory.GroupRequest{
		Group:  m.GetGroup(),
		Round:  m.GetTry(),
		Tokens: m.GetTokens(),
		Lease:  oleanderspool.Millis(m.GetExpiryMs()),
		Age:    oleanderspool.Millis(m.GetAgeMs()),
	}
	reply, held := a.reserveGroup(request, oleanderspool.Incarnation(m.GetIncarnation()))
	if reply.Granted && !held && a.engine.Reserve(ctx, memory.GroupName(request.Group, request.Round), request.Tokens) != nil {
		a.releaseGroup(request.Group, request.Round, false)
		reply.Granted = false
	}
	return &peerpb.ReserveReply{
		Revision:   int64(a.configuration.Revision()),
		Granted:    reply.Granted,
		FreeTokens: reply.Free,
	}, nil
}

// reserveGroup reserves memory in the ledger. held reports that the memory was
// reserved before, so that the request is a renewal. An agent that is leaving, or
// whose engine is late with a report, still renews reservations, since a refusal
// would end the work of the whole group.
func (a *Agent) reserveGroup(r memory.GroupRequest, incarnation oleanderspool.Incarnation) (reply memory.GroupReply, held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engine == nil || incarnation != a.incarnation {
		return memory.GroupReply{}, false
	}
	_, held = a.ledger.Reservation(memory.GroupName(r.Group, r.Round))
	if !held && (a.leaving || !a.engineUp) {
		return memory.GroupReply{}, false
	}
	return a.ledger.ReserveGroup(r, a.clock.Now()), held
}

// Release releases memory that is reserved for a group.
func (h *handler) Release(_ context.Context, m *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	h.releaseGroup(m.GetGroup(), m.GetTry(), m.GetWait())
	return &peerpb.ReleaseReply{Revision: int64(h.configuration.Revision())}, nil
}

func (a *Agent) releaseGroup(group string, try int64, wait bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.ReleaseGroup(group, try, wait, a.clock.Now())
}
