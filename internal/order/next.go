package order

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Next returns the next action. Loads come first, then the change of the role,
// then unloads.
func (p *Planner) Next(now oleanderspool.Millis) Action {
	if p.pending != nil || !p.reported || p.fencing.revision == 0 || p.fencing.exhausted {
		return Action{}
	}
	wake := wakeUp{now: now}
	for _, a := range p.desired.Artefacts {
		if action, ready := p.nextLoad(a, &wake); ready {
			return action
		}
	}
	if action, ready := p.nextRoleChange(&wake); ready {
		return action
	}
	known := p.knownArtefacts()
	slices.Reverse(known) // adapters before the models that they are for
	for _, a := range known {
		if action, ready := p.nextUnload(a, &wake); ready {
			return action
		}
	}
	return Action{WakeAt: wake.at}
}

// wakeUp determines the earliest instant at which a postponed action is due.
type wakeUp struct {
	now oleanderspool.Millis
	at  oleanderspool.Millis // 0 for none
}

// dueOrWake reports whether an instant has been reached. If not, the action is due
// again at that instant, and at is lowered to it if it was later or unset.
func (w *wakeUp) dueOrWake(instant oleanderspool.Millis) bool {
	if instant <= w.now {
		return true
	}
	if w.at == 0 || instant < w.at {
		w.at = instant
	}
	return false
}

// nextLoad returns the next action towards loading a desired artefact. An
// order to unload it whose outcome is unknown is repeated first; otherwise its
// late effect could unload an artefact that requests use.
func (p *Planner) nextLoad(a Artefact, wake *wakeUp) (Action, bool) {
	s := p.stateOf(a)
	if s.uncertainOrder == oleanderspool.OrderUnload {
		if p.uses[a] > 0 || !wake.dueOrWake(s.retryAt) {
			return Action{}, false
		}
		return p.startOrder(a, oleanderspool.OrderUnload), true
	}
	if s.loaded || !p.baseLoaded(a) || !wake.dueOrWake(s.retryAt) {
		return Action{}, false
	}
	if s.permit {
		return p.startOrder(a, oleanderspool.OrderLoad), true
	}
	if !wake.dueOrWake(s.permitRetryAt) {
		return Action{}, false
	}
	p.pending = &pendingAction{kind: ActionRequestPermit, artefact: a}
	return Action{Kind: ActionRequestPermit, Source: p.desired.Sources[a]}, true
}

// baseLoaded reports whether the model that an adapter is for is loaded.
func (p *Planner) baseLoaded(a Artefact) bool {
	return a.Adapter == "" || p.stateOf(a.base()).loaded
}

func (p *Planner) nextRoleChange(wake *wakeUp) (Action, bool) {
	confirmed := p.desired.Role == p.role && p.roleState.uncertainOrder == ""
	if p.desired.Role == "" || confirmed || !wake.dueOrWake(p.roleState.retryAt) {
		return Action{}, false
	}
	return p.startOrder(Artefact{}, oleanderspool.OrderChangeRole), true
}

// nextUnload returns an order to unload an artefact that is or may be loaded,
// unless it is desired, in use, or must stay until its replacement is loaded.
func (p *Planner) nextUnload(a Artefact, wake *wakeUp) (Action, bool) {
	s := p.artefacts[a]
	if p.desired.has(a) || !s.loaded && !s.possiblyLoaded || p.mayBeDesired(a) {
		return Action{}, false
	}
	if p.inUse(a) || !p.replacementLoaded(a) || p.hasAdapters(a) || !wake.dueOrWake(s.retryAt) {
		return Action{}, false
	}
	return p.startOrder(a, oleanderspool.OrderUnload), true
}

// mayBeDesired reports whether an artefact without a version may be a desired
// one. An order to unload it could unload the desired version.
func (p *Planner) mayBeDesired(a Artefact) bool {
	return a.Version == "" && slices.ContainsFunc(p.desired.Artefacts, func(d Artefact) bool { return sameReported(d, a) })
}

// inUse reports whether a request uses an artefact. If the engine reports more
// requests than the agent knows of, the others are from before the agent started
// and may use any artefact.
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

// replacementLoaded reports whether the replacement of an artefact is loaded: the
// desired version of its model, and the adapters of that version except those
// whose load was refused. An artefact of a model that is no longer desired waits
// for all loads except refused ones, which may have failed for lack of memory.
func (p *Planner) replacementLoaded(a Artefact) bool {
	_, found := p.desired.modelVersion(a.Model)
	for _, d := range p.desired.Artefacts {
		if found && d.Model != a.Model {
			continue
		}
		s := p.stateOf(d)
		needed := found && d.Adapter == ""
		if !s.loaded && (needed || !s.loadRefused) {
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
	for other, s := range p.artefacts {
		if other.Adapter != "" && other.base() == a && (s.loaded || s.possiblyLoaded) {
			return true
		}
	}
	return false
}

// startOrder returns an order with a new fencing token and makes it the pending
// action.
func (p *Planner) startOrder(a Artefact, kind oleanderspool.OrderKind) Action {
	o := oleanderspool.Order{Kind: kind, Model: a.Model, Version: a.Version, Adapter: a.Adapter, FencingToken: p.fencing.next()}
	if kind == oleanderspool.OrderChangeRole {
		o.Role = p.desired.Role
	}
	p.pending = &pendingAction{kind: ActionOrder, artefact: a, order: o, engineRun: p.report.RunID}
	return Action{Kind: ActionOrder, Order: o}
}
