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

// importTimeout bounds a call that imports a KV cache. The agent has a shorter
// timeout of its own, so this one passes only if the agent is unreachable.
const importTimeout = 25 * oleanderspool.Second

// firstPieceTimeout bounds the wait for the first piece from a destination. Only
// the tokens generated during the transfer are left to prefill there, so a longer
// wait means that its engine hangs.
const firstPieceTimeout = 5 * oleanderspool.Second

// destination is a backend server with the KV cache of an attempt.
type destination struct {
	server  oleanderspool.BackendServer
	attempt oleanderspool.AttemptID // attempt that the cache was imported for
}

// mover moves an attempt to another backend server. The attempt streams until its
// KV cache is there, so that a failed transfer has no effect on it.
type mover struct {
	run       *attemptRun
	ctx       context.Context // ends the transfer
	interrupt func()          // ends the streams of the attempt

	mu           sync.Mutex
	transferring bool         // a transfer is in progress
	ended        bool         // the attempt has ended
	ready        *destination // set once the cache was imported
}

// enableMove returns a context for the streams of the attempt, which also ends once
// the request can continue at a destination, and a function that ends the
// transfer.
func (r *attemptRun) enableMove(ctx context.Context) (streams context.Context, end func()) {
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

// startTransfer starts the transfer that the agent has offered.
func (m *mover) startTransfer() {
	r := m.run
	if !r.request.Idempotent || r.request.Kind != oleanderspool.KindModel || r.group != nil || r.trial || r.resumed {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.transferring || m.ended || m.ready != nil {
		return
	}
	m.transferring = true
	// The text is read here, on the goroutine that appends to it.
	request := r.runCall(r.server, r.id).Request.WithGeneratedText(r.assembler.Text())
	go m.transfer(request)
}

// transfer requests the import from one server after another.
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
		id := attempt.NewID(attempt.ClassUnkeyed, server.AgentClock, uniqueID())
		reason = m.requestImport(server, id, request)
		if reason == "" {
			m.finishTransfer(&destination{server: server, attempt: id})
			return
		}
		if !handover.MayTryAnotherTarget(reason, asked) {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transferring = false
	e.metrics.Transferred(observe.TransferMove, string(reason))
}

// requestImport asks a server to import the cache for an attempt. It returns an
// empty reason on success.
func (m *mover) requestImport(server oleanderspool.BackendServer, id oleanderspool.AttemptID, request oleanderspool.Request) handover.Reason {
	r := m.run
	ctx, cancel := context.WithTimeout(m.ctx, importTimeout.Duration())
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
	// The import may still succeed, and would hold memory until it expires.
	go r.cancelAttempt(server, id)
	switch {
	case m.ctx.Err() != nil:
		return handover.ReasonEnded
	case ctx.Err() != nil:
		return handover.ReasonTimeout
	default:
		return handover.ReasonLinkFailed
	}
}

// finishTransfer interrupts the attempt so that the request continues at the
// destination, or releases the destination if the attempt has ended.
func (m *mover) finishTransfer(d *destination) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transferring = false
	if m.ended {
		m.release(d)
		return
	}
	m.ready = d
	m.interrupt()
}

// end ends the moves of an attempt and releases a destination that was not used.
func (m *mover) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.ready != nil {
		m.release(m.ready)
	}
}

// takeDestination returns the destination that the attempt was interrupted for, or
// nil.
func (m *mover) takeDestination() *destination {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.ready
	m.ready = nil
	return d
}

// release frees the memory at a destination that is not used.
func (m *mover) release(d *destination) {
	m.run.entry.metrics.Transferred(observe.TransferMove, string(handover.ReasonEnded))
	go m.run.cancelAttempt(d.server, d.attempt)
}

// nextServer returns the server and the id of the next attempt: those of the
// destination that has the KV cache, or a routed server and a new id.
func (x *exchange) nextServer() (server oleanderspool.BackendServer, id oleanderspool.AttemptID, refusal *oleanderspool.Refusal) {
	if d := x.destination; d != nil {
		x.destination = nil
		x.movedAttempt = d.attempt
		return d.server, d.attempt, nil
	}
	server, refusal = x.choose()
	return server, attempt.NewID(attempt.ClassUnkeyed, server.AgentClock, uniqueID()), refusal
}

// confirmMove handles a piece of an attempt. The first piece of a moved attempt
// confirms the move, and the attempt at the origin is cancelled.
func (x *exchange) confirmMove(id oleanderspool.AttemptID) {
	if x.movedAttempt == id {
		x.firstPieceTimer.Stop()
		x.recordMove(observe.TransferDone)
		x.cancelOrigin()
	}
}

// continueElsewhere handles the interruption of an attempt's streams: the request
// continues at a destination, or returns from one that sent no piece in time.
func (r *attemptRun) continueElsewhere(ctx context.Context) (done bool, refusal *oleanderspool.Refusal) {
	if d := r.mover.takeDestination(); d != nil {
		r.destination, r.origin = d, &destination{server: r.server, attempt: r.id}
		return false, nil
	}
	if r.movedAttempt == r.id {
		go r.cancelAttempt(r.server, r.id)
		return false, nil
	}
	// The first piece arrived just as the timeout passed.
	return r.followStreams(ctx, r.reattach)
}

// reattach attaches to the attempt again.
func (r *attemptRun) reattach(ctx context.Context) streamEnd {
	return r.attach(ctx, r.server, r.id)
}

// cancelOrigin cancels the attempt that the request was moved from.
func (x *exchange) cancelOrigin() {
	if o := x.origin; o != nil {
		x.origin = nil
		go x.cancelAttempt(o.server, o.attempt)
	}
}

// returnToOrigin reads the stream of the attempt at the origin again, because the
// one at the destination has ended without a piece. done and refusal are those of
// the destination and are returned if the origin cannot continue.
func (x *exchange) returnToOrigin(ctx context.Context, done bool, refusal *oleanderspool.Refusal) (bool, *oleanderspool.Refusal) {
	x.recordMove(string(handover.ReasonNotStarted))
	o := x.origin
	if o == nil {
		return done, refusal
	}
	if ctx.Err() != nil || !x.assembler.Revert() {
		x.cancelOrigin()
		return done, refusal
	}
	x.origin = nil
	r := &attemptRun{exchange: x, server: o.server, id: o.attempt}
	return r.followStreams(ctx, r.reattach)
}

// recordMove counts the result of a move whose attempt was sent to its destination.
func (x *exchange) recordMove(result string) {
	if x.movedAttempt != "" {
		x.movedAttempt = ""
		x.entry.metrics.Transferred(observe.TransferMove, result)
	}
}
