package agent

import (
	"context"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// configured is called for each newer configuration.
func (a *Agent) configured(c configuration.Configuration, revision oleanderspool.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.Configure(c, revision)
	a.changed.Notify()
	select {
	case a.reorder <- struct{}{}:
	default:
	}
}

// Configuration returns what the caller lacks of the configuration stream.
func (h *handler) Configuration(_ context.Context, m *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return h.configuration.Message(oleanderspool.Offset(m.GetAfter())), nil
}

// Offer applies what an entry offers of the configuration stream.
func (h *handler) Offer(_ context.Context, m *peerpb.ConfigurationReply) (*peerpb.OfferReply, error) {
	return h.configuration.Offer(m), nil
}
