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

// cacheImport is an imported KV cache whose attempt has not been handed to the
// engine.
type cacheImport struct {
	artefact     order.Artefact // kept on the engine for the attempt
	cachedTokens int64          // length of the KV cache, in tokens
	claimed      bool           // its attempt has started
}

// Import fetches the KV cache of an attempt from another agent.
func (h *handler) Import(ctx context.Context, m *peerpb.ImportRequest) (*peerpb.ImportReply, error) {
	a := h.Agent
	call := peer.DecodeImport(m)
	reason := a.importCache(ctx, call)
	return &peerpb.ImportReply{Revision: int64(a.Revision()), Failure: string(reason)}, nil
}

// importCache transfers a KV cache to the engine. Memory and the model stay
// reserved for the attempt until it starts or the import expires.
func (a *Agent) importCache(ctx context.Context, call peer.ImportCall) handover.Reason {
	artefact, reason := a.beginImport(call)
	if reason != "" {
		return reason
	}
	a.metrics.Transferred(observe.TransferImport, observe.TransferStarted)
	ctx, cancel := context.WithTimeout(ctx, a.transferLimits.TransferTimeout.Duration())
	defer cancel()
	reason = a.fetchCache(ctx, call, artefact.Version)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if reason == "" {
		reason = a.holdImport(call, now)
	}
	if reason == "" {
		a.metrics.Transferred(observe.TransferImport, observe.TransferDone)
		return ""
	}
	a.target.Drop(call.Attempt)
	a.endImport(call.Attempt, reason, now)
	return reason
}

// beginImport reserves what the attempt needs. It leaves queued requests the
// memory that they need.
func (a *Agent) beginImport(call peer.ImportCall) (artefact order.Artefact, reason handover.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.engine == nil || !a.engineUp || a.leaving || call.Incarnation != a.incarnation {
		return artefact, handover.ReasonUnavailable
	}
	if call.MemoryTokens > a.ledger.Available(now)-a.queue.WaitingMemory() {
		return artefact, handover.ReasonNoMemory
	}
	artefact, ok := a.planner.Acquire(call.Model, call.Adapter)
	if !ok {
		return artefact, handover.ReasonUnavailable
	}
	until, ok := a.target.BeginImport(call.Attempt, now)
	if !ok {
		a.planner.Release(artefact)
		return artefact, handover.ReasonBusy
	}
	reservation := memory.Reservation{Name: string(call.Attempt), Purpose: memory.PurposeImport, Tokens: call.MemoryTokens, Expiry: until}
	if err := a.ledger.Reserve(reservation, now); err != nil {
		a.target.Drop(call.Attempt)
		a.planner.Release(artefact)
		return artefact, handover.ReasonNoMemory
	}
	a.imports[call.Attempt] = &cacheImport{artefact: artefact, cachedTokens: call.CachedTokens}
	return artefact, ""
}

// fetchCache receives the KV cache from the other agent and imports it into the
// engine.
func (a *Agent) fetchCache(ctx context.Context, call peer.ImportCall, version oleanderspool.VersionID) handover.Reason {
	// Reserving first lets the engine refuse before the cache is sent.
	if err := a.engine.Reserve(ctx, string(call.Attempt), call.MemoryTokens); err != nil {
		return importFailure(ctx, err)
	}
	data, reason := a.receiveCache(ctx, call, version)
	if reason != "" {
		return reason
	}
	if err := a.engine.Import(ctx, string(call.Attempt), data); err != nil {
		return importFailure(ctx, err)
	}
	return ""
}

// importFailure maps an error of the engine to the reason of a failed import.
func importFailure(ctx context.Context, err error) handover.Reason {
	switch {
	case ctx.Err() != nil:
		return endReason(ctx)
	case errorx.IsOfType(err, oleanderspool.ErrUnavailable):
		return handover.ReasonNoMemory
	default:
		return handover.ReasonImportFailed
	}
}

// endReason returns the reason why the context of a transfer has ended.
func endReason(ctx context.Context) handover.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return handover.ReasonTimeout
	}
	return handover.ReasonEnded
}

// receiveCache receives a KV cache from the agent that exports it.
func (a *Agent) receiveCache(ctx context.Context, call peer.ImportCall, version oleanderspool.VersionID) ([]byte, handover.Reason) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	receiveTimeout := time.AfterFunc(attempt.StreamTimeout.Duration(), cancel)
	defer receiveTimeout.Stop()
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
	c := cacheReader{limit: a.transferLimits.MaxBytes}
	for !c.complete {
		chunk, err := stream.Recv()
		switch {
		case ctx.Err() != nil:
			return nil, endReason(ctx)
		case err != nil:
			return nil, handover.ReasonLinkFailed
		}
		receiveTimeout.Reset(attempt.StreamTimeout.Duration())
		if reason := c.add(chunk); reason != "" {
			return nil, reason
		}
	}
	return c.data, ""
}

// cacheReader assembles a KV cache from its chunks.
type cacheReader struct {
	limit    int64 // largest accepted KV cache, in bytes
	data     []byte
	complete bool
}

// add appends a chunk. A chunk without data only keeps the connection alive.
func (c *cacheReader) add(chunk *peerpb.ExportChunk) handover.Reason {
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

// holdImport keeps the imported KV cache for its attempt for a short time.
func (a *Agent) holdImport(call peer.ImportCall, now oleanderspool.Millis) handover.Reason {
	if a.leaving {
		return handover.ReasonUnavailable
	}
	until, ok := a.target.ImportReady(call.Attempt, now)
	if !ok {
		return handover.ReasonTimeout
	}
	if r, held := a.ledger.Reservation(string(call.Attempt)); !held || r.Purpose != memory.PurposeImport {
		return handover.ReasonImportFailed // the engine restarted
	}
	_ = a.ledger.Extend(string(call.Attempt), until)
	return ""
}

// claimImport assigns an imported KV cache to its attempt. It returns the length
// of the cache in tokens, or false if the import has expired.
func (a *Agent) claimImport(call peer.RunCall, now oleanderspool.Millis) (cached int64, ok bool) {
	i := a.imports[call.Attempt]
	if i == nil || !a.target.Claim(call.Attempt, now) {
		return 0, false
	}
	a.planner.Release(i.artefact) // the attempt has acquired the artefact itself
	i.claimed = true
	// From here on, the memory is released when the attempt ends.
	err := a.ledger.Transfer(string(call.Attempt), memory.PurposeAttempt, call.Request.Deadline)
	return i.cachedTokens, err == nil
}

// endImport ends an import that no attempt has claimed. The attempt is barred, so
// that a late start never uses memory that is being cancelled under its name.
func (a *Agent) endImport(id oleanderspool.AttemptID, reason handover.Reason, now oleanderspool.Millis) {
	i := a.imports[id]
	if i == nil {
		return
	}
	delete(a.imports, id)
	a.planner.Release(i.artefact)
	a.ledger.Release(string(id), now)
	a.attempts.Bar(id, a.incarnation, now)
	a.metrics.Transferred(observe.TransferImport, string(reason))
}

// releaseClaimedImport releases the memory of an imported KV cache whose attempt
// ended before it was handed to the engine.
func (a *Agent) releaseClaimedImport(id oleanderspool.AttemptID) {
	if i := a.imports[id]; i != nil && i.claimed {
		delete(a.imports, id)
		a.ledger.Release(string(id), a.clock.Now())
	}
}
