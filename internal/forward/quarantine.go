package forward

import (
	"context"
	"maps"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

const (
	// savingEntries is the number of entries that save a quarantined part.
	savingEntries = 2
	// saveInterval is the time between attempts to save.
	saveInterval = oleanderspool.Second
	// maxPendingSaves bounds the parts that wait to be saved.
	maxPendingSaves = 1000
)

// WithQuarantineStore sets where quarantined parts of prompts are kept while no entry
// runs.
func WithQuarantineStore(store oleanderspool.QuarantineStore) Option {
	return func(g *Gateway) { g.quarantineStore = store }
}

// runQuarantineStore loads the quarantined parts and then saves the changes until ctx
// ends.
func (g *Gateway) runQuarantineStore(ctx context.Context) {
	if g.quarantineStore == nil {
		return
	}
	loaded := false
	for ctx.Err() == nil && !loaded {
		g.guard.Run("quarantine", func() { loaded = g.loadQuarantine(ctx) })
		if !loaded {
			clock.Sleep(ctx, saveInterval)
		}
	}
	clock.Every(ctx, saveInterval, g.shared.changedQuarantine, func() {
		g.guard.Run("quarantine", func() { g.saveQuarantine(ctx) })
	})
}

func (g *Gateway) loadQuarantine(ctx context.Context) bool {
	parts, err := g.quarantineStore.Load(ctx)
	if err != nil {
		if ctx.Err() == nil {
			g.logger.Warn("cannot load the quarantined parts", "error", err.Error())
		}
		return false
	}
	g.shared.mergeQuarantine(parts)
	return true
}

// saveQuarantine saves the changes that are not saved yet. A change that fails is
// saved by a later call.
func (g *Gateway) saveQuarantine(ctx context.Context) {
	for f, save := range g.shared.unsavedParts() {
		if err := g.quarantineStore.Save(ctx, f, save.quarantined); err != nil {
			g.logger.Warn("cannot save a quarantined part", "part_fingerprint", uint64(f), "quarantined", save.quarantined, "error", err.Error())
			return
		}
		g.shared.markSaved(f, save)
	}
}

// StoreRestored has the quarantined parts saved again after the store has come back from an
// older copy, which may lack some of them.
func (g *Gateway) StoreRestored() {
	s := g.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers.Rank() >= savingEntries {
		return
	}
	for _, p := range s.crashes.tracker.Quarantined() {
		s.queueSave(p.Fingerprint, true)
	}
}

// reportQuarantine counts and logs that the quarantine of a part begins or ends.
func (g *Gateway) reportQuarantine(part oleanderspool.Fingerprint, begins bool, cause string) {
	if begins {
		g.metrics.StateChanged("prompt_part_quarantined")
		g.logger.Warn("prompt part quarantined", "part_fingerprint", uint64(part), "cause", cause)
		return
	}
	g.metrics.StateChanged("prompt_part_released")
	g.logger.Info("prompt part released", "part_fingerprint", uint64(part), "cause", cause)
}

// mergeQuarantine adopts the parts that an earlier entry quarantined.
func (s *sharedState) mergeQuarantine(parts []oleanderspool.Fingerprint) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range parts {
		p := quarantine.Part{Fingerprint: f, Since: now, RequestedAt: now}
		if s.crashes.tracker.Merge(p, now) {
			s.onQuarantine(f, true, "store")
		}
	}
}

// announceQuarantined reports parts that are quarantined from now on, and has them
// saved if this entry is one of those that save.
func (s *sharedState) announceQuarantined(parts []quarantine.Part) {
	for _, p := range parts {
		s.onQuarantine(p.Fingerprint, true, "crashes")
		if s.peers.Rank() < savingEntries {
			s.queueSave(p.Fingerprint, true)
		}
	}
}

// announceReleased reports parts that are no longer quarantined. saves says that this
// entry has the release saved.
func (s *sharedState) announceReleased(parts []oleanderspool.Fingerprint, saves bool, cause string) {
	for _, f := range parts {
		s.onQuarantine(f, false, cause)
		if saves {
			s.queueSave(f, false)
		}
	}
}

func (s *sharedState) queueSave(f oleanderspool.Fingerprint, quarantined bool) {
	if len(s.unsaved) >= maxPendingSaves {
		return
	}
	s.lastSave++
	s.unsaved[f] = pendingSave{quarantined: quarantined, number: s.lastSave}
	broadcast.Wake(s.changedQuarantine)
}

// pendingSave is a change of the quarantine of a part that is not saved yet.
type pendingSave struct {
	quarantined bool
	number      uint64 // distinguishes it from a later one of the same part
}

func (s *sharedState) unsavedParts() map[oleanderspool.Fingerprint]pendingSave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.unsaved)
}

// markSaved removes a saved change, unless the part has to be saved again since.
func (s *sharedState) markSaved(f oleanderspool.Fingerprint, saved pendingSave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsaved[f] == saved {
		delete(s.unsaved, f)
	}
}
