package agent

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/memory"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// chunkBytes is the size of one chunk of a KV cache. Even a link of 10 Mbit/s must
// send a chunk within [attempt.StreamTimeout].
const chunkBytes = 1 << 20

// streamOf describes an attempt for the decision which streams to move. A stream
// whose model version was unknown at its start is pinned, since no engine accepts
// its KV cache.
func streamOf(call peer.RunCall, version oleanderspool.VersionID) handover.Stream {
	r := call.Request
	return handover.Stream{
		Attempt:      call.Attempt,
		Idempotent:   r.Idempotent,
		Pinned:       call.Trial || call.Group != "" || version == "",
		PromptTokens: int64(promptTokens(r)),
		OutputTokens: int64(r.MaxTokens),
		Deadline:     r.Deadline,
	}
}

// offerStream offers the KV cache of one stream of a leaving agent to the reader.
func (a *Agent) offerStream() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id, ok := a.source.NextOffer(a.queue.PrefillRate(), a.clock.Now()); ok {
		a.notifyReaders(id)
	}
}

// Export sends the KV cache of an attempt that was offered.
func (h *handler) Export(m *peerpb.ExportRequest, s peerpb.DRPCAgent_ExportStream) error {
	a := h.Agent
	id := oleanderspool.AttemptID(m.GetAttempt())
	if reason := a.beginExport(m); reason != "" {
		return s.Send(&peerpb.ExportChunk{Revision: int64(a.Revision()), Failure: string(reason)})
	}
	a.metrics.Transferred(observe.TransferExport, observe.TransferStarted)
	data, err := a.exportCache(id, s)
	if err == nil {
		err = a.sendCache(data, s)
	}
	reason := a.endExport(id, int64(len(data)), err)
	if reason == "" {
		return nil
	}
	a.metrics.Transferred(observe.TransferExport, string(reason))
	if reason == handover.ReasonLinkFailed {
		return err
	}
	return s.Send(&peerpb.ExportChunk{Revision: int64(a.Revision()), Failure: string(reason)})
}

// beginExport marks the memory of an attempt as being exported. It returns a
// reason if the export may not begin.
func (a *Agent) beginExport(m *peerpb.ExportRequest) handover.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := oleanderspool.AttemptID(m.GetAttempt())
	call, ok := a.calls[id]
	if !ok || oleanderspool.Incarnation(m.GetIncarnation()) != a.incarnation {
		return handover.ReasonEnded
	}
	// A KV cache of an unknown version may belong to other weights.
	if version := a.artefacts[id].Version; version == "" || oleanderspool.VersionID(m.GetVersion()) != version {
		return handover.ReasonVersionMismatch
	}
	if !a.source.BeginExport(id, a.clock.Now()) {
		return handover.ReasonNotOffered
	}
	// The attempt still runs, so the reservation must not expire before it ends.
	_ = a.ledger.Transfer(string(id), memory.PurposeExport, call.Request.Deadline)
	return ""
}

// exportCache reads the KV cache from the engine and sends empty chunks meanwhile,
// so that the reader can tell a slow export from an unresponsive connection.
func (a *Agent) exportCache(id oleanderspool.AttemptID, s peerpb.DRPCAgent_ExportStream) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.Context(), a.transferLimits.TransferTimeout.Duration())
	defer cancel()
	type result struct {
		data []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		data, err := a.engine.Export(ctx, string(id))
		done <- result{data, err}
	}()
	ticker := time.NewTicker(a.heartbeat.Duration())
	defer ticker.Stop()
	for {
		select {
		case r := <-done:
			if r.err == nil && int64(len(r.data)) > a.transferLimits.MaxBytes {
				return nil, oleanderspool.ErrTooLarge.New("KV cache has %d bytes", len(r.data))
			}
			return r.data, r.err
		case <-ticker.C:
			if err := s.Send(&peerpb.ExportChunk{Revision: int64(a.Revision())}); err != nil {
				return nil, &linkError{err}
			}
		}
	}
}

// linkError is an error on the connection to the reader of an export.
type linkError struct{ error }

// sendCache sends a KV cache in chunks, the last one with the checksum.
func (a *Agent) sendCache(data []byte, s peerpb.DRPCAgent_ExportStream) error {
	sum := xxhash.Sum64(data)
	for from := 0; ; from += chunkBytes {
		to := min(from+chunkBytes, len(data))
		chunk := &peerpb.ExportChunk{Revision: int64(a.Revision()), Data: data[from:to], Size: int64(len(data))}
		if to == len(data) {
			chunk.Checksum = sum
		}
		if err := s.Send(chunk); err != nil {
			return &linkError{err}
		}
		if to == len(data) {
			return nil
		}
	}
}

// endExport returns the memory to the attempt, which continues to run until its
// reader cancels it. It returns the reason of a failed export.
func (a *Agent) endExport(id oleanderspool.AttemptID, bytes int64, err error) handover.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if r, ok := a.ledger.Reservation(string(id)); ok && r.Purpose == memory.PurposeExport {
		_ = a.ledger.Transfer(string(id), memory.PurposeAttempt, r.Expiry)
	}
	var link *linkError
	switch {
	case err == nil && a.source.Exported(id, bytes, now):
		return ""
	case err == nil:
		return handover.ReasonTimeout
	case errorx.IsOfType(err, oleanderspool.ErrTooLarge):
		a.source.ExportTooLarge(id, now)
		return handover.ReasonTooLarge
	case errors.As(err, &link):
		a.source.ExportFailed(id, now)
		return handover.ReasonLinkFailed
	default:
		a.source.ExportFailed(id, now)
		return handover.ReasonExportFailed
	}
}
