// Package order derives the orders for one engine from configuration: which
// models, versions and adapters to load and unload, and which role to take.
//
// The package has no I/O, goroutines or wall clock. A planner is not safe for
// concurrent use.
package order

import (
	"slices"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	// reportLag is the span after an order was answered during which reports
	// may still show the state before it.
	reportLag = 5 * oleanderspool.Second

	firstRetry oleanderspool.Millis = 500                       // span before a failed action is repeated
	lastRetry                       = 30 * oleanderspool.Second // longest such span, reached by doubling
)

// ActionKind tells what an action is.
type ActionKind int

// The kinds of action.
const (
	// ActionNone asks to call Next again at the instant At, or after the next
	// event if that is earlier. At is 0 when only an event can help.
	ActionNone ActionKind = iota
	// ActionReserve asks the weight store for a permit to load Source. Report
	// the result by [Planner.Reserved] or [Planner.ReserveFailed].
	ActionReserve
	// ActionOrder gives Order to the engine. Report the result by
	// [Planner.Answered].
	ActionOrder
)

// Action is what a planner needs to be done. Only one action is under way at a
// time.
type Action struct {
	Kind   ActionKind
	Source string // name in the weight store
	Order  oleanderspool.Order
	WakeAt oleanderspool.Millis
}

// holding is what is known of an artefact in the engine.
type holding struct {
	loaded    bool                    // an order to load was answered, in this run of the engine
	maybe     bool                    // the engine may have it, from an earlier agent or by an unanswered order
	foreign   bool                    // the engine reported it without an order
	uncertain oleanderspool.OrderKind // kind of the last order if its outcome is unknown
	answered  oleanderspool.Millis    // instant of the last answer
	refused   bool                    // the last order to load was refused
	retryAt   oleanderspool.Millis
	retry     oleanderspool.Millis // last span between attempts
	permit    bool                 // the weight store allowed the load
	askAt     oleanderspool.Millis // instant from which the weight store may be asked
}

// backOff postpones the next attempt and doubles the span.
func (h *holding) backOff(now oleanderspool.Millis) {
	h.retry = min(max(firstRetry, 2*h.retry), lastRetry)
	h.retryAt = now + h.retry
}

// underWay is the action whose result is awaited.
type underWay struct {
	kind     ActionKind
	artefact Artefact
	order    oleanderspool.Order
	started  string // run of the engine when the action began
}

// Planner gives the orders for one engine, one at a time. It loads before it
// unloads, unloads only what no request uses, and asks the weight store before
// each load. It compares what it ordered with what the engine reports, so an
// engine that ignores fencing numbers and obeys a late order is set right.
type Planner struct {
	instance   oleanderspool.InstanceID
	wanted     DesiredState
	current    configuration.Configuration
	fencing    fencing
	report     oleanderspool.EngineReport
	reported   bool
	reportedAt oleanderspool.Millis // instant of the last report
	holdings   map[Artefact]*holding
	uses       map[Artefact]int
	role       string  // role that the engine has confirmed in this run
	roleTry    holding // attempts to change the role
	under      *underWay
}

// NewPlanner returns a planner for the engine at an instance. It gives no
// order before it has a configuration and a report.
func NewPlanner(instance oleanderspool.InstanceID) *Planner {
	return &Planner{instance: instance, holdings: map[Artefact]*holding{}, uses: map[Artefact]int{}}
}

// Configure takes a configuration. One that is not newer is ignored.
func (p *Planner) Configure(c configuration.Configuration, revision oleanderspool.Revision) {
	if revision <= p.fencing.revision {
		return
	}
	p.fencing.raise(revision)
	p.current = c
	p.wanted = DesiredStateOf(c, p.instance)
	p.resolve()
	for _, h := range p.holdings {
		h.retry, h.retryAt = 0, 0
	}
	p.roleTry = holding{uncertain: p.roleTry.uncertain}
}

// Fenced reports whether the engine refuses all numbers of the current
// revision, so that no order is given before a newer revision arrives.
func (p *Planner) Fenced() bool {
	return p.fencing.exhausted
}

// ServedModels returns the models that requests can use, in ascending order.
func (p *Planner) ServedModels() []oleanderspool.ModelID {
	var models []oleanderspool.ModelID
	for _, a := range p.wanted.Artefacts {
		if _, served := p.served(a.Model, ""); served && a.Adapter == "" {
			models = append(models, a.Model)
		}
	}
	return models
}

// Acquire marks a model, and an adapter unless it is empty, as used by a
// request. It returns false when the engine does not have them or is about to
// lose them. The result must be given to [Planner.Release] when the request
// ends. Its version is empty for a model that the engine had before the agent
// started and whose version is not known yet.
func (p *Planner) Acquire(model oleanderspool.ModelID, adapter oleanderspool.AdapterID) (Artefact, bool) {
	a, served := p.served(model, adapter)
	if !served {
		return Artefact{}, false
	}
	if adapter != "" {
		p.uses[a]++
	}
	p.uses[a.base()]++
	return a, true
}

// Release ends a use.
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

// served returns the artefact that serves a wanted model and adapter: of the
// wanted version, or of another one until that is loaded.
func (p *Planner) served(model oleanderspool.ModelID, adapter oleanderspool.AdapterID) (Artefact, bool) {
	wanted, found := p.wanted.version(model)
	if !found {
		return Artefact{}, false
	}
	candidates := append([]Artefact{wanted}, p.known()...)
	for _, a := range candidates {
		if a.Model != model || a.Adapter != "" || !p.usable(a) {
			continue
		}
		a.Adapter = adapter
		if adapter == "" || p.usable(a) {
			return a, true
		}
	}
	foreign := Artefact{Model: model, Adapter: adapter}
	return foreign, p.foreignUsable(foreign.base()) && (adapter == "" || p.foreignUsable(foreign))
}

// usable reports whether an order to load an artefact was answered and no
// order to unload it is under way or unanswered.
func (p *Planner) usable(a Artefact) bool {
	h := p.holdings[a]
	return h != nil && h.loaded && !p.leaving(a, h)
}

// leaving reports whether an order to unload an artefact is under way or
// unanswered.
func (p *Planner) leaving(a Artefact, h *holding) bool {
	if h.uncertain == oleanderspool.OrderUnload {
		return true
	}
	return p.under != nil && p.under.artefact == a && p.under.order.Kind == oleanderspool.OrderUnload
}

// foreignUsable reports whether the engine reports a model or adapter of an
// unknown version and no order to unload a version of it is under way or
// unanswered. So an agent that starts beside a running engine serves its models
// also while the weight store is down.
func (p *Planner) foreignUsable(a Artefact) bool {
	found := false
	for other, h := range p.holdings {
		if other.Model != a.Model || other.Adapter != a.Adapter {
			continue
		}
		if p.leaving(other, h) {
			return false
		}
		found = found || h.foreign
	}
	return found && p.isReported(a)
}

// holding returns what is known of an artefact, and starts to remember it.
func (p *Planner) holding(a Artefact) *holding {
	h := p.holdings[a]
	if h == nil {
		h = &holding{}
		p.holdings[a] = h
	}
	return h
}

// known returns the artefacts that are remembered, in order.
func (p *Planner) known() []Artefact {
	list := make([]Artefact, 0, len(p.holdings))
	for a := range p.holdings {
		list = append(list, a)
	}
	slices.SortFunc(list, Artefact.compare)
	return list
}

// Reserved reports the answer of the weight store: the span to wait before it
// is asked again, or 0 for a permit.
func (p *Planner) Reserved(wait, now oleanderspool.Millis) {
	if p.under == nil || p.under.kind != ActionReserve {
		return
	}
	h := p.holding(p.under.artefact)
	h.permit = wait <= 0
	h.askAt = now + wait
	p.under = nil
}

// ReserveFailed reports that the weight store did not answer. It is asked
// again later; a permit that was lost with the answer is not used.
func (p *Planner) ReserveFailed(now oleanderspool.Millis) {
	if p.under == nil || p.under.kind != ActionReserve {
		return
	}
	p.holding(p.under.artefact).backOff(now)
	p.under = nil
}

// OrderAnswered reports the result of an order. An error of type
// [oleanderspool.ErrFenced], [oleanderspool.ErrNotSent],
// [oleanderspool.ErrUnavailable] or [oleanderspool.ErrInvalid] says that the
// order had no effect; after any other its outcome is unknown and it is
// repeated.
func (p *Planner) OrderAnswered(err error, now oleanderspool.Millis) {
	if p.under == nil || p.under.kind != ActionOrder {
		return
	}
	done := *p.under
	p.under = nil
	h := &p.roleTry
	if done.order.Kind != oleanderspool.OrderChangeRole {
		h = p.holding(done.artefact)
	}
	switch {
	case err == nil && done.started != p.report.RunID:
		p.unknown(h, done.order.Kind, now) // answered by an earlier run of the engine
	case err == nil:
		p.carriedOut(h, done, now)
	case errorx.IsOfType(err, oleanderspool.ErrFenced):
		p.fencing.refused()
		h.retryAt = now + firstRetry
	case done.order.Kind == oleanderspool.OrderUnload && errorx.IsOfType(err, oleanderspool.ErrInvalid):
		*h = holding{answered: now} // the engine does not have it, or not any more
	case isWithoutEffect(err):
		h.refused = done.order.Kind == oleanderspool.OrderLoad
		h.permit = h.permit && errorx.IsOfType(err, oleanderspool.ErrNotSent)
		h.backOff(now)
	default:
		p.unknown(h, done.order.Kind, now)
	}
}

func isWithoutEffect(err error) bool {
	return errorx.IsOfType(err, oleanderspool.ErrNotSent) ||
		errorx.IsOfType(err, oleanderspool.ErrUnavailable) ||
		errorx.IsOfType(err, oleanderspool.ErrInvalid)
}

// unknown notes that an order may have had its effect, or may still have it.
func (p *Planner) unknown(h *holding, kind oleanderspool.OrderKind, now oleanderspool.Millis) {
	h.uncertain = kind
	h.loaded = h.loaded && kind != oleanderspool.OrderUnload
	h.maybe = true
	h.backOff(now)
}

func (p *Planner) carriedOut(h *holding, done underWay, now oleanderspool.Millis) {
	switch done.order.Kind {
	case oleanderspool.OrderChangeRole:
		p.role = done.order.Role
		p.roleTry = holding{}
	case oleanderspool.OrderLoad:
		*h = holding{loaded: true, answered: now}
	case oleanderspool.OrderUnload:
		*h = holding{answered: now}
	}
}
