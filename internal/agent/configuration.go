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
	// pullInterval is how often an agent without offers asks an entry.
	pullInterval = 5 * oleanderspool.Second
	pullBound    = 2 * oleanderspool.Second
)

// pullConfiguration asks the entries of the settings for the configuration, in
// turn, while no entry watches the agent and offers it.
func (a *Agent) pullConfiguration(ctx context.Context) {
	for turn := 0; ctx.Err() == nil && len(a.entries) > 0; turn++ {
		if !a.watched() {
			bounded, cancel := context.WithTimeout(ctx, pullBound.Duration())
			_ = a.configuration.Pull(bounded, a.peers, a.entries[turn%len(a.entries)])
			cancel()
		}
		clock.Sleep(ctx, pullInterval)
	}
}

func (a *Agent) watched() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watchers > 0
}

// watching counts a watch stream until the returned function is called.
func (a *Agent) watching() (done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.watchers--
	}
}

// configured is called for each newer configuration.
func (a *Agent) configured(c configuration.Configuration, revision oleanderspool.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.Configure(c, revision)
	a.changed.Notify()
	broadcast.Wake(a.reorder)
}

// Configuration returns what the caller lacks of the configuration stream.
func (h *handler) Configuration(_ context.Context, m *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return h.configuration.Message(oleanderspool.Offset(m.GetAfter())), nil
}

// Offer applies what an entry offers of the configuration stream.
func (h *handler) Offer(_ context.Context, m *peerpb.ConfigurationReply) (*peerpb.OfferReply, error) {
	return h.configuration.Offer(m), nil
}
