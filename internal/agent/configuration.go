package agent

import (
	"context"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	// pullInterval is how often an agent that no entry watches pulls the
	// configuration from an entry.
	pullInterval = 5 * oleanderspool.Second
	pullTimeout  = 2 * oleanderspool.Second
)

// pullConfiguration pulls the configuration from the entries named in the
// settings, in turn, while no entry watches the agent and offers it.
func (a *Agent) pullConfiguration(ctx context.Context) {
	for turn := 0; ctx.Err() == nil && len(a.entryAddresses) > 0; turn++ {
		if !a.hasWatcher() {
			bounded, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
			_ = a.configuration.Pull(bounded, a.peers, a.entryAddresses[turn%len(a.entryAddresses)])
			cancel()
		}
		clock.Sleep(ctx, pullInterval)
	}
}

// hasWatcher reports whether a watch stream is open.
func (a *Agent) hasWatcher() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watchers > 0
}

// addWatcher counts an open watch stream until done is called.
func (a *Agent) addWatcher() (done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.watchers--
	}
}

// applyConfiguration passes a newer configuration to the planner.
func (a *Agent) applyConfiguration(c configuration.Configuration, revision oleanderspool.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.Configure(c, revision)
	a.changed.Notify()
	broadcast.Wake(a.wakePlanner)
}

// Configuration returns the records of the configuration stream that the caller
// lacks.
func (h *handler) Configuration(_ context.Context, m *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return h.configuration.CatchUp(oleanderspool.Offset(m.GetAfter())), nil
}

// Offer applies records of the configuration stream that an entry offers.
func (h *handler) Offer(_ context.Context, m *peerpb.ConfigurationReply) (*peerpb.OfferReply, error) {
	return h.configuration.ApplyPushed(m), nil
}
