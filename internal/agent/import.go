package agent

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/memory"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/order"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// cacheImport is the KV cache of an attempt that is not yet handed to the
// engine.
type cacheImport struct {
	used   order.Artefact // kept on the engine for the attempt
	cached int64          // tokens
	taken  bool           // its attempt has started
}

// Import fetches the KV cache of an attempt from another agent.
func (h *handler) Import(ctx context.Context, m *peerpb.ImportRequest) (*peerpb.ImportReply, error) {
	a := h.Agent
	call := peer.DecodeImport(m)
	reason := a.importCache(ctx, call)
	return &peerpb.ImportReply{Revision: int64(a.Revision()), Failure: string(reason)}, nil
}

// importCache brings a cache to the engine. Memory and the model stay reserved
// for the attempt until it starts or the import lapses.
func (a *Agent) importCache(ctx context.Context, call peer.ImportCall) handover.Reason {
	used, reason := a.beginImport(call)
	if reason != "" {
		return reason
	}
	a.metrics.Transferred(observe.TransferImport, observe.TransferBegun)
	ctx, cancel := context.WithTimeout(ctx, a.transfers.TransferTimeout.Duration())
	defer cancel()
	reason = a.fetchCache(ctx, call, used.Version)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if reason == "" {
		reason = a.readyImport(call, now)
	}
	if reason == "" {
		a.metrics.Transferred(observe.TransferImport, observe.TransferDone)
		return ""
	}
	a.target.Drop(call.Attempt)
	a.endImport(call.Attempt, reason, now)
	return reason
}

// beginImport reserves what the attempt needs. Memory that waiting requests
// will take is left to them.
func (a *Agent) beginImport(call peer.ImportCall) (used order.Artefact, reason handover.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.engine == nil || !a.engineUp || a.leaving || call.Incarnation != a.incarnation {
		return used, handover.ReasonUnavailable
	}
	if call.MemoryTokens > a.ledger.Available(now)-a.queue.WaitingMemory() {
		return used, handover.ReasonNoMemory
	}
	used, ok := a.planner.Acquire(call.Model, call.Adapter)
	if !ok {
		return used, handover.ReasonUnavailable
	}
	until, ok := a.target.BeginImport(call.Attempt, now)
	if !ok {
		a.planner.Release(used)
		return used, handover.ReasonBusy
	}
	reservation := memory.Reservation{Name: string(call.Attempt), Owner: memory.OwnerImport, Tokens: call.MemoryTokens, Expiry: until}
	if err := a.ledger.Reserve(reservation, now); err != nil {
		a.target.Drop(call.Attempt)
		a.planner.Release(used)
		return used, handover.ReasonNoMemory
	}
	a.imports[call.Attempt] = &cacheImport{used: used, cached: call.CachedTokens}
	return used, ""
}

// fetchCache reads the cache from the other agent and gives it to the engine.
func (a *Agent) fetchCache(ctx context.Context, call peer.ImportCall, version oleanderspool.VersionID) handover.Reason {
	// The engine refuses before the cache is sent, not after.
	if err := a.engine.Reserve(ctx, string(call.Attempt), call.MemoryTokens); err != nil {
		return failedImport(ctx, err)
	}
	data, reason := a.pullCache(ctx, call, version)
	if reason != "" {
		return reason
	}
	if err := a.engine.Import(ctx, string(call.Attempt), data); err != nil {
		return failedImport(ctx, err)
	}
	return ""
}

func failedImport(ctx context.Context, err error) handover.Reason {
	switch {
	case ctx.Err() != nil:
		return ended(ctx)
	case errorx.IsOfType(err, oleanderspool.ErrUnavailable):
		return handover.ReasonNoMemory
	default:
		return handover.ReasonImportFailed
	}
}

// ended tells why the context of a transfer has ended.
func ended(ctx context.Context) handover.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return handover.ReasonTimeout
	}
	return handover.ReasonEnded
}

// pullCache reads a cache from the agent that exports it.
func (a *Agent) pullCache(ctx context.Context, call peer.ImportCall, version oleanderspool.VersionID) ([]byte, handover.Reason) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(attempt.StreamTimeout.Duration(), cancel)
	defer silence.Stop()
	source, disconnect, err := a.peers.DialAgent(bounded, call.Source)
	if err != nil {
		return nil, handover.ReasonLinkFailed
	}
	defer disconnect()
	stream, err := source.Export(bounded, &peerpb.ExportRequest{
		Revision:    int64(a.Revision()),
		Incarnation: string(call.SourceIncarnation),
		Attempt:     string(call.SourceAttempt),
		Version:     string(version),
	})
	if err != nil {
		return nil, handover.ReasonLinkFailed
	}
	c := cacheReader{limit: a.transfers.MaxBytes}
	for !c.complete {
		chunk, err := stream.Recv()
		switch {
		case ctx.Err() != nil:
			return nil, ended(ctx)
		case err != nil:
			return nil, handover.ReasonLinkFailed
		}
		silence.Reset(attempt.StreamTimeout.Duration())
		if reason := c.take(chunk); reason != "" {
			return nil, reason
		}
	}
	return c.data, ""
}

// cacheReader puts the chunks of a KV cache together.
type cacheReader struct {
	limit    int64 // largest cache, in bytes
	data     []byte
	complete bool
}

// take adds a chunk. One without data only shows that the connection lives.
func (c *cacheReader) take(chunk *peerpb.ExportChunk) handover.Reason {
	size, part := chunk.GetSize(), chunk.GetData()
	switch {
	case chunk.GetFailure() != "":
		return handover.ParseReason(chunk.GetFailure())
	case size > c.limit || int64(len(c.data)+len(part)) > size:
		return handover.ReasonTooLarge
	case len(part) == 0:
		return ""
	}
	if c.data == nil {
		c.data = make([]byte, 0, size)
	}
	c.data = append(c.data, part...)
	c.complete = int64(len(c.data)) == size
	if c.complete && xxhash.Sum64(c.data) != chunk.GetChecksum() {
		return handover.ReasonLinkFailed
	}
	return ""
}

// readyImport lets the imported cache wait for its attempt, for a short span.
func (a *Agent) readyImport(call peer.ImportCall, now oleanderspool.Millis) handover.Reason {
	if a.leaving {
		return handover.ReasonUnavailable
	}
	until, ok := a.target.ImportReady(call.Attempt, now)
	if !ok {
		return handover.ReasonTimeout
	}
	if r, held := a.ledger.Reservation(string(call.Attempt)); !held || r.Owner != memory.OwnerImport {
		return handover.ReasonImportFailed // the engine restarted
	}
	_ = a.ledger.Extend(string(call.Attempt), until)
	return ""
}

// takeImport gives an imported cache to its attempt. It returns the length of
// the cache in tokens, or false if it has lapsed.
func (a *Agent) takeImport(call peer.RunCall, now oleanderspool.Millis) (cached int64, ok bool) {
	i := a.imports[call.Attempt]
	if i == nil || !a.target.Claim(call.Attempt, now) {
		return 0, false
	}
	a.planner.Release(i.used) // the attempt has its own use
	i.taken = true
	// From here on the end of the attempt releases the memory.
	err := a.ledger.Transfer(string(call.Attempt), memory.OwnerAttempt, call.Request.Deadline)
	return i.cached, err == nil
}

// endImport gives up an import that is not taken. Its attempt is barred, so that
// a late start never runs under the name of memory that is being cancelled.
func (a *Agent) endImport(id oleanderspool.AttemptID, reason handover.Reason, now oleanderspool.Millis) {
	i := a.imports[id]
	if i == nil {
		return
	}
	delete(a.imports, id)
	a.planner.Release(i.used)
	a.ledger.Release(string(id), now)
	a.attempts.Bar(id, a.incarnation, now)
	a.metrics.Transferred(observe.TransferImport, string(reason))
}

// dropCache releases the memory of an imported cache whose attempt ended before
// it was handed to the engine.
func (a *Agent) dropCache(id oleanderspool.AttemptID) {
	if i := a.imports[id]; i != nil && i.taken {
		delete(a.imports, id)
		a.ledger.Release(string(id), a.clock.Now())
	}
}
