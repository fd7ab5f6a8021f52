package order

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// ObserveReport applies a report of the engine. A report of a different run of
// the engine discards the results of earlier orders, so that they are given
// again.
func (p *Planner) ObserveReport(report oleanderspool.EngineReport, now oleanderspool.Millis) {
	restarted := !p.reported || report.RunID != p.report.RunID
	p.report = report
	p.reported = true
	if restarted {
		p.resetForNewRun(now)
	}
	p.reportedAt = now
	p.reconcileMissing(now)
	p.markUntrackedArtefacts(now)
}

// resetForNewRun discards what is known about an earlier run of the engine. It
// keeps the permits of the weight store and the delays that the store asked for.
// An order whose outcome is unknown, or a load that was answered too late to show in
// the last report, may have reached the new run.
func (p *Planner) resetForNewRun(now oleanderspool.Millis) {
	p.role = ""
	p.roleState = artefactState{}
	for a, s := range p.artefacts {
		fresh := &artefactState{permit: s.permit, permitRetryAt: s.permitRetryAt}
		recent := s.loaded && s.answeredAt > p.reportedAt-reportLag
		if recent || s.uncertainOrder != "" {
			fresh.possiblyLoaded, fresh.answeredAt = true, now
		}
		p.artefacts[a] = fresh
	}
}

// reconcileMissing marks artefacts as not loaded if the engine no longer reports them
// although an order to load them was answered at least reportLag ago. It removes
// the state of those that are neither desired nor reported.
func (p *Planner) reconcileMissing(now oleanderspool.Millis) {
	for _, a := range p.settled(now) {
		s := p.artefacts[a]
		if p.isReported(a) || s.uncertainOrder != "" {
			continue
		}
		if s.loaded || s.possiblyLoaded {
			*s = artefactState{permit: s.permit, permitRetryAt: s.permitRetryAt}
		}
		if !p.desired.has(a) {
			delete(p.artefacts, a)
		}
	}
}

// markUntrackedArtefacts marks models and adapters that the engine reports without
// an order of this planner: they were loaded before the agent started, or by an
// order that arrived late. Reports do not name versions, so all versions of the
// model are marked as possibly loaded. A model or adapter without a known version
// is unloaded without a version.
func (p *Planner) markUntrackedArtefacts(now oleanderspool.Millis) {
	for _, model := range p.report.Models {
		p.markUntrackedVersions(Artefact{Model: model}, now)
	}
	for _, id := range p.report.Adapters {
		p.markUntrackedVersions(p.reportedAdapter(id), now)
	}
}

// reportedAdapter returns an adapter with its model according to the
// configuration.
func (p *Planner) reportedAdapter(id oleanderspool.AdapterID) Artefact {
	adapter, _ := p.configuration.Adapter(id)
	return Artefact{Model: adapter.Model, Adapter: id}
}

// resolveVersions replaces artefacts that were marked as possibly loaded without a
// version by the versions that a new configuration names.
func (p *Planner) resolveVersions() {
	for _, a := range p.knownArtefacts() {
		if a.Version != "" || !p.artefacts[a].possiblyLoaded {
			continue
		}
		reported := a
		if a.Adapter != "" {
			reported = p.reportedAdapter(a.Adapter)
		}
		if p.markConfiguredVersions(reported) {
			delete(p.artefacts, a)
		}
	}
}

// markUntrackedVersions marks the versions of a reported model or adapter that the
// configuration or earlier orders name as possibly loaded, or an artefact without
// a version if there are none. It does nothing if orders explain the report.
func (p *Planner) markUntrackedVersions(reported Artefact, now oleanderspool.Millis) {
	if p.explainedByOrders(reported, now) {
		return
	}
	known := p.markKnownVersions(reported)
	configured := p.markConfiguredVersions(reported)
	if !known && !configured {
		p.markUntracked(reported)
	}
}

// markConfiguredVersions marks the versions that the configuration names. It
// returns false if there are none.
func (p *Planner) markConfiguredVersions(reported Artefact) bool {
	found := false
	for _, v := range p.configuration.Versions() {
		if v.Model == reported.Model {
			p.markUntracked(Artefact{Model: v.Model, Version: v.ID, Adapter: reported.Adapter})
			found = true
		}
	}
	return found
}

// markKnownVersions marks the versions that earlier orders were for. It returns
// false if there are none.
func (p *Planner) markKnownVersions(reported Artefact) bool {
	found := false
	for a, s := range p.artefacts {
		if sameReported(a, reported) {
			s.possiblyLoaded, s.untracked = true, true
			found = true
		}
	}
	return found
}

// sameReported reports whether an artefact appears in reports as the given model
// or adapter. IDs of adapters are unique across models.
func sameReported(a, reported Artefact) bool {
	return a.Adapter == reported.Adapter && (reported.Adapter != "" || a.Model == reported.Model)
}

func (p *Planner) markUntracked(a Artefact) {
	s := p.stateOf(a)
	s.possiblyLoaded, s.untracked = true, true
}

// explainedByOrders reports whether orders explain that the engine reports a model
// or adapter: one of its versions is or may be loaded, has a pending action, or
// had an order answered so recently that the report may be older.
func (p *Planner) explainedByOrders(reported Artefact, now oleanderspool.Millis) bool {
	for a, s := range p.artefacts {
		if !sameReported(a, reported) {
			continue
		}
		recent := s.answeredAt > 0 && now-s.answeredAt < reportLag
		if s.loaded || s.possiblyLoaded || recent || p.pending != nil && p.pending.artefact == a {
			return true
		}
	}
	return false
}

// settled returns the artefacts whose last order was answered at least reportLag
// ago and which have no pending action.
func (p *Planner) settled(now oleanderspool.Millis) []Artefact {
	var result []Artefact
	for a, s := range p.artefacts {
		pending := p.pending != nil && p.pending.artefact == a
		if !pending && now-s.answeredAt >= reportLag {
			result = append(result, a)
		}
	}
	return result
}

func (p *Planner) isReported(a Artefact) bool {
	if a.Adapter != "" {
		return slices.Contains(p.report.Adapters, a.Adapter)
	}
	return slices.Contains(p.report.Models, a.Model)
}
