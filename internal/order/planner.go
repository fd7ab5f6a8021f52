// Package order reconciles one engine with its configuration. It derives the
// orders to the engine: which models, versions and adapters to load and unload,
// and which role to take.
//
// The package does no I/O, starts no goroutines and reads no clock. A planner is
// not safe for concurrent use.
package order

import (
	"slices"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	// reportLag is the duration after the answer to an order during which reports
	// may still show the state before the order.
	reportLag = 5 * oleanderspool.Second

	minRetryDelay oleanderspool.Millis = 500                       // delay after the first failure of an action
	maxRetryDelay                      = 30 * oleanderspool.Second // limit of the delay, which doubles with each failure
)

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of action.
const (
	// ActionNone asks the caller to call Next again at WakeAt, or after the next
	// event if that is earlier. WakeAt is 0 if only an event can lead to an
	// action.
	ActionNone ActionKind = iota
	// ActionRequestPermit asks the caller to request a permit to load Source from
	// the weight store, and to report the result with [Planner.PermitAnswered] or
	// [Planner.PermitFailed].
	ActionRequestPermit
	// ActionOrder asks the caller to send Order to the engine, and to report the
	// result with [Planner.OrderAnswered].
	ActionOrder
)

// Action is what the caller of a planner must do next. Only one action is pending
// at a time.
type Action struct {
	Kind   ActionKind
	Source string // name in the weight store
	Order  oleanderspool.Order
	WakeAt oleanderspool.Millis // for ActionNone: when to call Next again
}

// artefactState is what the planner knows about an artefact in the engine.
type artefactState struct {
	loaded         bool                    // an order to load succeeded in this run of the engine, and later reports do not contradict it
	possiblyLoaded bool                    // the engine may have it, from an earlier agent or an order whose outcome is unknown
	untracked      bool                    // the engine reported it although this planner had not ordered the load
	uncertainOrder oleanderspool.OrderKind // kind of the last order if its outcome is unknown
	answeredAt     oleanderspool.Millis    // instant of the last answer
	loadRefused    bool                    // the last order to load was refused
	retryAt        oleanderspool.Millis
	retryDelay     oleanderspool.Millis // last delay between attempts
	permit         bool                 // the weight store granted a permit for the load
	permitRetryAt  oleanderspool.Millis // earliest instant of the next request to the weight store
}

// backOff postpones the next attempt and doubles the delay.
func (s *artefactState) backOff(now oleanderspool.Millis) {
	s.retryDelay = min(max(minRetryDelay, 2*s.retryDelay), maxRetryDelay)
	s.retryAt = now + s.retryDelay
}

// pendingAction is the action whose result has not been reported.
type pendingAction struct {
	kind      ActionKind
	artefact  Artefact
	order     oleanderspool.Order
	engineRun string // run of the engine when the action began
}

// Planner generates the orders for one engine, one at a time. It loads before it
// unloads, unloads only artefacts that no request uses, and obtains a permit from
// the weight store before each load. It compares its orders with the reports of
// the engine, and so corrects the state of an engine that ignores fencing tokens
// and executes a late order.
type Planner struct {
	instance      oleanderspool.InstanceID
	desired       DesiredState
	configuration configuration.Configuration
	fencing       fencingTokens
	report        oleanderspool.EngineReport
	reported      bool
	reportedAt    oleanderspool.Millis // instant of the last report
	artefacts     map[Artefact]*artefactState
	uses          map[Artefact]int // number of requests that use each artefact
	role          string           // role that the engine confirmed in this run
	roleState     artefactState    // progress of the order to change the role
	pending       *pendingAction
}

// NewPlanner returns a planner for the engine at an instance. It generates no
// order before it has a configuration and a report.
func NewPlanner(instance oleanderspool.InstanceID) *Planner {
	return &Planner{instance: instance, artefacts: map[Artefact]*artefactState{}, uses: map[Artefact]int{}}
}

// Configure applies a configuration. It ignores one that is not newer than the
// current one.
func (p *Planner) Configure(c configuration.Configuration, revision oleanderspool.Revision) {
	if revision <= p.fencing.revision {
		return
	}
	p.fencing.advance(revision)
	p.configuration = c
	p.desired = DesiredStateOf(c, p.instance)
	p.resolveVersions()
	for _, s := range p.artefacts {
		s.retryDelay, s.retryAt = 0, 0
	}
	p.roleState = artefactState{uncertainOrder: p.roleState.uncertainOrder}
}

// Fenced reports whether the engine refuses all fencing tokens of the current
// revision, so that no order is generated before a newer revision arrives.
func (p *Planner) Fenced() bool {
	return p.fencing.exhausted
}

// ServedModels returns the models that requests can use, in ascending order.
func (p *Planner) ServedModels() []oleanderspool.ModelID {
	var models []oleanderspool.ModelID
	for _, a := range p.desired.Artefacts {
		if _, served := p.findServed(a.Model, ""); served && a.Adapter == "" {
			models = append(models, a.Model)
		}
	}
	return models
}

// Acquire marks a model, and an adapter unless it is empty, as used by a
// request. It returns false if the engine does not have them or is about to
// unload them. The result must be passed to [Planner.Release] when the request
// ends. Its version is empty for a model that the engine had before the agent
// started and whose version is not yet known.
func (p *Planner) Acquire(model oleanderspool.ModelID, adapter oleanderspool.AdapterID) (Artefact, bool) {
	a, served := p.findServed(model, adapter)
	if !served {
		return Artefact{}, false
	}
	if adapter != "" {
		p.uses[a]++
	}
	p.uses[a.base()]++
	return a, true
}

// Release ends the use of an artefact that [Planner.Acquire] returned.
func (p *Planner) Release(a Artefact) {
	p.release(a)
	if a.Adapter != "" {
		p.release(a.base())
	}
}

func (p *Planner) release(a Artefact) {
	p.uses[a]--
	if p.uses[a] <= 0 {
		delete(p.uses, a)
	}
}

// findServed returns the artefact that serves a desired model and adapter: the
// desired version, or another one until the desired version is loaded.
func (p *Planner) findServed(model oleanderspool.ModelID, adapter oleanderspool.AdapterID) (Artefact, bool) {
	desired, found := p.desired.modelVersion(model)
	if !found {
		return Artefact{}, false
	}
	candidates := append([]Artefact{desired}, p.knownArtefacts()...)
	for _, a := range candidates {
		if a.Model != model || a.Adapter != "" || !p.usable(a) {
			continue
		}
		a.Adapter = adapter
		if adapter == "" || p.usable(a) {
			return a, true
		}
	}
	untracked := Artefact{Model: model, Adapter: adapter}
	return untracked, p.untrackedUsable(untracked.base()) && (adapter == "" || p.untrackedUsable(untracked))
}

// usable reports whether an order to load an artefact succeeded and no order to
// unload it is pending or has an unknown outcome.
func (p *Planner) usable(a Artefact) bool {
	s := p.artefacts[a]
	return s != nil && s.loaded && !p.unloading(a, s)
}

// unloading reports whether an order to unload an artefact is pending or
// has an unknown outcome.
func (p *Planner) unloading(a Artefact, s *artefactState) bool {
	if s.uncertainOrder == oleanderspool.OrderUnload {
		return true
	}
	return p.pending != nil && p.pending.artefact == a && p.pending.order.Kind == oleanderspool.OrderUnload
}

// untrackedUsable reports whether the engine reports a model or adapter of
// unknown version and no order to unload a version of it is pending or
// has an unknown outcome. This lets an agent that starts beside a running engine
// serve the models of the engine even while the weight store is down.
func (p *Planner) untrackedUsable(a Artefact) bool {
	found := false
	for other, s := range p.artefacts {
		if other.Model != a.Model || other.Adapter != a.Adapter {
			continue
		}
		if p.unloading(other, s) {
			return false
		}
		found = found || s.untracked
	}
	return found && p.isReported(a)
}

// stateOf returns the state of an artefact, which it creates if necessary.
func (p *Planner) stateOf(a Artefact) *artefactState {
	s := p.artefacts[a]
	if s == nil {
		s = &artefactState{}
		p.artefacts[a] = s
	}
	return s
}

// knownArtefacts returns the artefacts that have a state, in loading order.
func (p *Planner) knownArtefacts() []Artefact {
	list := make([]Artefact, 0, len(p.artefacts))
	for a := range p.artefacts {
		list = append(list, a)
	}
	slices.SortFunc(list, Artefact.compare)
	return list
}

// PermitAnswered records the answer of the weight store: the delay before the next
// request, or 0 for a permit.
func (p *Planner) PermitAnswered(wait, now oleanderspool.Millis) {
	if p.pending == nil || p.pending.kind != ActionRequestPermit {
		return
	}
	s := p.stateOf(p.pending.artefact)
	s.permit = wait <= 0
	s.permitRetryAt = now + wait
	p.pending = nil
}

// PermitFailed records that the weight store did not answer. The request is
// retried later; a permit that was lost with the answer is not used.
func (p *Planner) PermitFailed(now oleanderspool.Millis) {
	if p.pending == nil || p.pending.kind != ActionRequestPermit {
		return
	}
	p.stateOf(p.pending.artefact).backOff(now)
	p.pending = nil
}

// OrderAnswered records the result of an order. An error of type
// [oleanderspool.ErrFenced], [oleanderspool.ErrNotSent],
// [oleanderspool.ErrUnavailable] or [oleanderspool.ErrInvalid] means that the
// order had no effect. After any other error its outcome is unknown and the order
// is repeated.
func (p *Planner) OrderAnswered(err error, now oleanderspool.Millis) {
	if p.pending == nil || p.pending.kind != ActionOrder {
		return
	}
	done := *p.pending
	p.pending = nil
	s := &p.roleState
	if done.order.Kind != oleanderspool.OrderChangeRole {
		s = p.stateOf(done.artefact)
	}
	switch {
	case err == nil && done.engineRun != p.report.RunID:
		p.markUncertain(s, done.order.Kind, now) // answered by an earlier run of the engine
	case err == nil:
		p.orderSucceeded(s, done, now)
	case errorx.IsOfType(err, oleanderspool.ErrFenced):
		p.fencing.skipRefused()
		s.retryAt = now + minRetryDelay
	case done.order.Kind == oleanderspool.OrderUnload && errorx.IsOfType(err, oleanderspool.ErrInvalid):
		*s = artefactState{answeredAt: now} // the engine does not have it, or no longer has it
	case isWithoutEffect(err):
		s.loadRefused = done.order.Kind == oleanderspool.OrderLoad
		s.permit = s.permit && errorx.IsOfType(err, oleanderspool.ErrNotSent)
		s.backOff(now)
	default:
		p.markUncertain(s, done.order.Kind, now)
	}
}

func isWithoutEffect(err error) bool {
	return errorx.IsOfType(err, oleanderspool.ErrNotSent) ||
		errorx.IsOfType(err, oleanderspool.ErrUnavailable) ||
		errorx.IsOfType(err, oleanderspool.ErrInvalid)
}

// markUncertain records that an order may have taken effect or may still do so.
func (p *Planner) markUncertain(s *artefactState, kind oleanderspool.OrderKind, now oleanderspool.Millis) {
	s.uncertainOrder = kind
	s.loaded = s.loaded && kind != oleanderspool.OrderUnload
	s.possiblyLoaded = true
	s.backOff(now)
}

func (p *Planner) orderSucceeded(s *artefactState, done pendingAction, now oleanderspool.Millis) {
	switch done.order.Kind {
	case oleanderspool.OrderChangeRole:
		p.role = done.order.Role
		p.roleState = artefactState{}
	case oleanderspool.OrderLoad:
		*s = artefactState{loaded: true, answeredAt: now}
	case oleanderspool.OrderUnload:
		*s = artefactState{answeredAt: now}
	}
}
