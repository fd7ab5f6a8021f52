package order

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Next returns the next action: first loads, then the role, then unloads.
func (p *Planner) Next(now oleanderspool.Millis) Action {
	if p.under != nil || !p.reported || p.fencing.revision == 0 || p.fencing.exhausted {
		return Action{}
	}
	wake := wakeUp{now: now}
	for _, a := range p.wanted.Artefacts {
		if action, ready := p.load(a, &wake); ready {
			return action
		}
	}
	if action, ready := p.changeRole(&wake); ready {
		return action
	}
	known := p.known()
	slices.Reverse(known) // adapters before the models that they are for
	for _, a := range known {
		if action, ready := p.unload(a, &wake); ready {
			return action
		}
	}
	return Action{WakeAt: wake.at}
}

// wakeUp collects the earliest instant at which something waits to be done.
type wakeUp struct {
	now oleanderspool.Millis
	at  oleanderspool.Millis // 0 for none
}

// reached reports whether an instant is reached, and notes it otherwise.
func (w *wakeUp) reached(instant oleanderspool.Millis) bool {
	if instant <= w.now {
		return true
	}
	if w.at == 0 || instant < w.at {
		w.at = instant
	}
	return false
}

// load returns the next action towards loading a wanted artefact. An unanswered
// order to unload it is repeated first: its late effect would otherwise take
// away what requests use.
func (p *Planner) load(a Artefact, wake *wakeUp) (Action, bool) {
	h := p.holding(a)
	if h.uncertain == oleanderspool.OrderUnload {
		if p.uses[a] > 0 || !wake.reached(h.retryAt) {
			return Action{}, false
		}
		return p.order(a, oleanderspool.OrderUnload), true
	}
	if h.loaded || !p.baseLoaded(a) || !wake.reached(h.retryAt) {
		return Action{}, false
	}
	if h.permit {
		return p.order(a, oleanderspool.OrderLoad), true
	}
	if !wake.reached(h.askAt) {
		return Action{}, false
	}
	p.under = &underWay{kind: ActionReserve, artefact: a}
	return Action{Kind: ActionReserve, Source: p.wanted.Sources[a]}, true
}

// baseLoaded reports whether the model that an adapter is for is loaded.
func (p *Planner) baseLoaded(a Artefact) bool {
	return a.Adapter == "" || p.holding(a.base()).loaded
}

func (p *Planner) changeRole(wake *wakeUp) (Action, bool) {
	confirmed := p.wanted.Role == p.role && p.roleTry.uncertain == ""
	if p.wanted.Role == "" || confirmed || !wake.reached(p.roleTry.retryAt) {
		return Action{}, false
	}
	return p.order(Artefact{}, oleanderspool.OrderChangeRole), true
}

// unload returns an order to unload an artefact that is or may be loaded,
// unless it is wanted, used, or must wait for what replaces it.
func (p *Planner) unload(a Artefact, wake *wakeUp) (Action, bool) {
	h := p.holdings[a]
	if p.wanted.has(a) || !h.loaded && !h.maybe || p.coversWanted(a) {
		return Action{}, false
	}
	if p.inUse(a) || !p.replaced(a) || p.hasAdapters(a) || !wake.reached(h.retryAt) {
		return Action{}, false
	}
	return p.order(a, oleanderspool.OrderUnload), true
}

// coversWanted reports whether an artefact without a version may be a wanted
// one. An order to unload it could take the wanted version away.
func (p *Planner) coversWanted(a Artefact) bool {
	return a.Version == "" && slices.ContainsFunc(p.wanted.Artefacts, func(w Artefact) bool { return sameReported(w, a) })
}

// inUse reports whether a request uses an artefact. Requests that the engine
// reports in excess of the known ones, from before the agent started, may use
// anything.
func (p *Planner) inUse(a Artefact) bool {
	running := 0
	for used, n := range p.uses {
		if used.Adapter == "" {
			running += n
		}
	}
	unknown := Artefact{Model: a.Model, Adapter: a.Adapter}
	return p.uses[a] > 0 || p.uses[unknown] > 0 || p.report.Running > running
}

// replaced reports whether what takes the place of an artefact is loaded: the
// wanted version of its model, and its adapters unless they were refused. An
// artefact of a model that is no longer wanted waits for all loads, unless one
// was refused, perhaps for want of memory.
func (p *Planner) replaced(a Artefact) bool {
	_, found := p.wanted.version(a.Model)
	for _, w := range p.wanted.Artefacts {
		if found && w.Model != a.Model {
			continue
		}
		h := p.holding(w)
		needed := found && w.Adapter == ""
		if !h.loaded && (needed || !h.refused) {
			return false
		}
	}
	return true
}

// hasAdapters reports whether adapters of a model version are or may be loaded.
func (p *Planner) hasAdapters(a Artefact) bool {
	if a.Adapter != "" {
		return false
	}
	for other, h := range p.holdings {
		if other.Adapter != "" && other.base() == a && (h.loaded || h.maybe) {
			return true
		}
	}
	return false
}

// order gives an order with a new fencing number.
func (p *Planner) order(a Artefact, kind oleanderspool.OrderKind) Action {
	o := oleanderspool.Order{Kind: kind, Model: a.Model, Version: a.Version, Adapter: a.Adapter, FencingToken: p.fencing.next()}
	if kind == oleanderspool.OrderChangeRole {
		o.Role = p.wanted.Role
	}
	p.under = &underWay{kind: ActionOrder, artefact: a, order: o, started: p.report.RunID}
	return Action{Kind: ActionOrder, Order: o}
}
