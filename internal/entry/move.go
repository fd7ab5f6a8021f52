package entry

import (
	"context"
	"sync"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/peer"
)

// importBound is the longest span of a call that imports a KV cache. The agent
// has a shorter bound of its own, so that this one passes only if it is silent.
const importBound = 25 * oleanderspool.Second

// firstPieceBound is the span in which a destination gives its first piece.
// Only the tokens generated during the transfer are left to prefill there, so
// that a longer wait means that its engine hangs.
const firstPieceBound = 5 * oleanderspool.Second

// destination is a backend server that has the KV cache of a run.
type destination struct {
	server  oleanderspool.BackendServer
	attempt oleanderspool.AttemptID // that the cache was imported for
}

// mover lets a run go on at another backend server. The run streams until the
// cache has arrived there, so that a failed transfer has no effect on it.
type mover struct {
	run       *run
	ctx       context.Context // ends the transfer
	interrupt func()          // ends the streams of the run

	mu     sync.Mutex
	busy   bool         // a transfer is in progress
	ended  bool         // the run has ended
	arrive *destination // set once the cache has arrived
}

// movable returns a context for the streams of the run, which also ends once
// the run can go on elsewhere, and a function that ends the transfer.
func (r *run) movable(ctx context.Context) (streams context.Context, end func()) {
	streams, interrupt := context.WithCancel(ctx)
	transfer, stop := context.WithCancel(ctx)
	m := &mover{run: r, ctx: transfer, interrupt: interrupt}
	r.mover = m
	return streams, func() {
		stop()
		m.end()
		interrupt()
	}
}

// offered starts a transfer that the agent has offered.
func (m *mover) offered() {
	r := m.run
	if !r.request.Idempotent || r.request.Kind != oleanderspool.KindModel || r.group != nil || r.trial || r.resumed {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy || m.ended || m.arrive != nil {
		return
	}
	m.busy = true
	// The text so far is read here, on the goroutine that extends it.
	request := r.call(r.server, r.id).Request.WithGeneratedText(r.assembler.Text())
	go m.transfer(request)
}

// transfer asks one server after another to import the cache.
func (m *mover) transfer(request oleanderspool.Request) {
	e := m.run.entry
	e.metrics.Transferred(observe.TransferMove, observe.TransferStarted)
	tried := []oleanderspool.InstanceID{m.run.server.Instance}
	reason := handover.ReasonNoServer
	for asked := 1; ; asked++ {
		server, ok := e.router.RouteExcept(request, e.members.table.Snapshot(), tried, e.clock.Now())
		if !ok {
			break
		}
		tried = append(tried, server.Instance)
		id := attempt.NewID(attempt.ClassUnkeyed, server.AgentClock, unique())
		reason = m.ask(server, id, request)
		if reason == "" {
			m.arrived(&destination{server: server, attempt: id})
			return
		}
		if !handover.MayTryAnotherTarget(reason, asked) {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = false
	e.metrics.Transferred(observe.TransferMove, string(reason))
}

// ask lets a server import the cache for an attempt.
func (m *mover) ask(server oleanderspool.BackendServer, id oleanderspool.AttemptID, request oleanderspool.Request) handover.Reason {
	r := m.run
	ctx, cancel := context.WithTimeout(m.ctx, importBound.Duration())
	defer cancel()
	cached := int64(max(request.PromptTokens, oleanderspool.EstimateTokens(request.Prompt)) + oleanderspool.EstimateTokens(request.GeneratedText))
	reply, err := r.entry.peers.Agent(server.Address).Import(ctx, peer.EncodeImport(peer.ImportCall{
		Revision:          r.entry.configuration.Revision(),
		Incarnation:       server.Incarnation,
		Attempt:           id,
		Model:             request.Model,
		Adapter:           request.Adapter,
		MemoryTokens:      cached + int64(request.MaxTokens),
		CachedTokens:      cached,
		Source:            r.server.Address,
		SourceIncarnation: r.server.Incarnation,
		SourceAttempt:     r.id,
	}))
	switch {
	case err == nil && reply.GetFailure() == "":
		return ""
	case err == nil:
		return handover.ParseReason(reply.GetFailure())
	}
	// The import may still end well, and would hold memory until it lapses.
	go r.cancel(server, id)
	switch {
	case m.ctx.Err() != nil:
		return handover.ReasonEnded
	case ctx.Err() != nil:
		return handover.ReasonTimeout
	default:
		return handover.ReasonLinkFailed
	}
}

// arrived interrupts the run so that it goes on at the destination, unless it
// has ended.
func (m *mover) arrived(d *destination) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = false
	if m.ended {
		m.waste(d)
		return
	}
	m.arrive = d
	m.interrupt()
}

// end takes the destination back from a run that does not go on there.
func (m *mover) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.arrive != nil {
		m.waste(m.arrive)
	}
}

// take returns the destination of a run that was interrupted for it.
func (m *mover) take() *destination {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.arrive
	m.arrive = nil
	return d
}

// waste frees the memory at a destination that is not used.
func (m *mover) waste(d *destination) {
	m.run.entry.metrics.Transferred(observe.TransferMove, string(handover.ReasonEnded))
	go m.run.cancel(d.server, d.attempt)
}

// next returns the server and the attempt that the request goes on with: those
// that have its KV cache, or a chosen server.
func (x *exchange) next() (server oleanderspool.BackendServer, id oleanderspool.AttemptID, refusal *oleanderspool.Refusal) {
	if d := x.destination; d != nil {
		x.destination = nil
		x.moved = d.attempt
		return d.server, d.attempt, nil
	}
	server, refusal = x.choose()
	return server, attempt.NewID(attempt.ClassUnkeyed, server.AgentClock, unique()), refusal
}

// arrivedAt notes a piece of an attempt. The first one of a moved attempt ends
// the one that it goes on from.
func (x *exchange) arrivedAt(id oleanderspool.AttemptID) {
	if x.moved == id {
		x.firstBound.Stop()
		x.settleMove(observe.TransferDone)
		x.leaveOrigin()
	}
}

// interrupted goes on after the streams of a run were ended: at a destination,
// or back from one that gave no piece in time.
func (r *run) interrupted(ctx context.Context) (done bool, refusal *oleanderspool.Refusal) {
	if d := r.mover.take(); d != nil {
		r.destination, r.origin = d, &destination{server: r.server, attempt: r.id}
		return false, nil
	}
	if r.moved == r.id {
		go r.cancel(r.server, r.id)
		return false, nil
	}
	// The first piece came while the bound passed.
	return r.toEnd(ctx, r.again)
}

// again attaches to the attempt of the run.
func (r *run) again(ctx context.Context) ending {
	return r.attach(ctx, r.server, r.id)
}

// leaveOrigin ends the attempt that the request has gone on from.
func (x *exchange) leaveOrigin() {
	if o := x.origin; o != nil {
		x.origin = nil
		go x.cancel(o.server, o.attempt)
	}
}

// goBack follows the attempt at the origin again, because the one at the
// destination has ended without a piece. done and refusal are those of the
// destination and stand if there is no way back.
func (x *exchange) goBack(ctx context.Context, done bool, refusal *oleanderspool.Refusal) (bool, *oleanderspool.Refusal) {
	x.settleMove(string(handover.ReasonNotStarted))
	o := x.origin
	if o == nil {
		return done, refusal
	}
	if ctx.Err() != nil || !x.assembler.Revert() {
		x.leaveOrigin()
		return done, refusal
	}
	x.origin = nil
	r := &run{exchange: x, server: o.server, id: o.attempt}
	return r.toEnd(ctx, r.again)
}

// settleMove counts the result of a move that has begun at its destination.
func (x *exchange) settleMove(result string) {
	if x.moved != "" {
		x.moved = ""
		x.entry.metrics.Transferred(observe.TransferMove, result)
	}
}
