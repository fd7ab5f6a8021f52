package order

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// ObserveReport takes a report of the engine. A report of another run of the engine
// discards what earlier orders achieved, so that they are given again.
func (p *Planner) ObserveReport(report oleanderspool.EngineReport, now oleanderspool.Millis) {
	restarted := !p.reported || report.RunID != p.report.RunID
	p.report = report
	p.reported = true
	if restarted {
		p.forget(now)
	}
	p.reportedAt = now
	p.findLost(now)
	p.findForeign(now)
}

// forget discards what is known of an earlier run of the engine. Permits of the
// weight store and delays stay. An order that was not answered, or a load that
// was answered after the state which the last report shows, may have reached
// the new run.
func (p *Planner) forget(now oleanderspool.Millis) {
	p.role = ""
	p.roleTry = holding{}
	for a, h := range p.holdings {
		fresh := &holding{permit: h.permit, askAt: h.askAt}
		recent := h.loaded && h.answered > p.reportedAt-reportLag
		if recent || h.uncertain != "" {
			fresh.maybe, fresh.answered = true, now
		}
		p.holdings[a] = fresh
	}
}

// findLost finds artefacts that the engine no longer reports, though an order
// to load them was answered longer ago than reports lag, and forgets those that
// are neither wanted nor reported.
func (p *Planner) findLost(now oleanderspool.Millis) {
	for _, a := range p.settled(now) {
		h := p.holdings[a]
		if p.isReported(a) || h.uncertain != "" {
			continue
		}
		if h.loaded || h.maybe {
			*h = holding{permit: h.permit, askAt: h.askAt}
		}
		if !p.wanted.has(a) {
			delete(p.holdings, a)
		}
	}
}

// findForeign finds models and adapters that the engine reports without an
// order of this planner: from before the agent started, or loaded by an order
// that arrived late. Reports lack versions, so all versions of the model are
// taken as possible. What nothing names is
// unloaded without a version.
func (p *Planner) findForeign(now oleanderspool.Millis) {
	for _, model := range p.report.Models {
		p.suspectVersions(Artefact{Model: model}, now)
	}
	for _, id := range p.report.Adapters {
		p.suspectVersions(p.reportedAdapter(id), now)
	}
}

// reportedAdapter returns an adapter with the model that configuration names.
func (p *Planner) reportedAdapter(id oleanderspool.AdapterID) Artefact {
	adapter, _ := p.current.Adapter(id)
	return Artefact{Model: adapter.Model, Adapter: id}
}

// resolve replaces what was marked as possibly loaded without a version by the
// versions that a new configuration names.
func (p *Planner) resolve() {
	for _, a := range p.known() {
		if a.Version != "" || !p.holdings[a].maybe {
			continue
		}
		reported := a
		if a.Adapter != "" {
			reported = p.reportedAdapter(a.Adapter)
		}
		if p.suspectConfigured(reported) {
			delete(p.holdings, a)
		}
	}
}

// suspectVersions marks the versions of a reported model or adapter that
// configuration or earlier orders name as possibly loaded, or one without a
// name when there are none. It does nothing when the report follows from
// orders.
func (p *Planner) suspectVersions(reported Artefact, now oleanderspool.Millis) {
	if p.accounted(reported, now) {
		return
	}
	known := p.suspectKnown(reported)
	configured := p.suspectConfigured(reported)
	if !known && !configured {
		p.suspect(reported)
	}
}

// suspectConfigured marks the versions that configuration names. It returns
// false when there are none.
func (p *Planner) suspectConfigured(reported Artefact) bool {
	found := false
	for _, v := range p.current.Versions() {
		if v.Model == reported.Model {
			p.suspect(Artefact{Model: v.Model, Version: v.ID, Adapter: reported.Adapter})
			found = true
		}
	}
	return found
}

// suspectKnown marks what earlier orders were given for. It returns false when
// there were none.
func (p *Planner) suspectKnown(reported Artefact) bool {
	found := false
	for a, h := range p.holdings {
		if sameReported(a, reported) {
			h.maybe, h.foreign = true, true
			found = true
		}
	}
	return found
}

// sameReported reports whether an artefact shows as the reported model or
// adapter. Ids of adapters are unique among all models.
func sameReported(a, reported Artefact) bool {
	return a.Adapter == reported.Adapter && (reported.Adapter != "" || a.Model == reported.Model)
}

func (p *Planner) suspect(a Artefact) {
	h := p.holding(a)
	h.maybe, h.foreign = true, true
}

// accounted reports whether a reported model or adapter follows from orders:
// one of its versions is or may be loaded, or was answered for so recently that
// the report may be older.
func (p *Planner) accounted(reported Artefact, now oleanderspool.Millis) bool {
	for a, h := range p.holdings {
		if !sameReported(a, reported) {
			continue
		}
		recent := h.answered > 0 && now-h.answered < reportLag
		if h.loaded || h.maybe || recent || p.under != nil && p.under.artefact == a {
			return true
		}
	}
	return false
}

// settled returns the artefacts whose last answer is older than reports lag
// and which no order under way may change.
func (p *Planner) settled(now oleanderspool.Millis) []Artefact {
	var result []Artefact
	for a, h := range p.holdings {
		underWay := p.under != nil && p.under.artefact == a
		if !underWay && now-h.answered >= reportLag {
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
