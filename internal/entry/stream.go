package entry

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

// shortCallTimeout bounds calls that only query or update state.
const shortCallTimeout = 2 * oleanderspool.Second

// streamEnd describes how the stream of an attempt ended.
type streamEnd struct {
	complete    bool
	progress    bool // a piece was accepted
	failure     retry.Failure
	state       attempt.State          // as the agent reported; StateForgotten if it did not
	refusal     *oleanderspool.Refusal // the agent's refusal
	notSent     bool                   // the agent cannot have received the attempt
	unreachable bool                   // the agent of an attempt that was sent cannot be reached
	running     *runningAttempt        // other attempt of the same request that is running; nil for none
}

// runningAttempt is an attempt of an earlier submission of the same request.
type runningAttempt struct {
	request oleanderspool.RequestID
	attempt oleanderspool.AttemptID
}

// eventReceiver is the stream that Run and Attach return.
type eventReceiver interface {
	Recv() (*peerpb.Event, error)
	Close() error
}

// openStream starts an attempt and reads its stream.
func (x *exchange) openStream(ctx context.Context, server oleanderspool.BackendServer, call peer.RunCall) streamEnd {
	end := x.followStream(ctx, server, attempt.FirstEventTimeout, func(ctx context.Context) (eventReceiver, error) {
		if call.Request.Idempotent {
			return x.entry.peers.Agent(server.Address).Run(ctx, peer.EncodeRun(call, x.entry.clock.Now()))
		}
		return x.dialAndRun(ctx, server, call)
	})
	if end.notSent {
		end.failure.Reason = oleanderspool.RetryConnectFailed
		end.failure.Execution = oleanderspool.NotRun
	}
	if end.state == attempt.StateOtherIncarnation {
		// Only this call carried the attempt, and another incarnation of the
		// agent answered it, so the one that the attempt was addressed to has
		// ended without receiving it.
		end.notSent = true
		end.failure.Execution = oleanderspool.NotRun
	}
	return x.reattachWhileRunning(ctx, server, call.Attempt, end)
}

// dedicatedStream is the stream of a call on a connection that is not pooled.
type dedicatedStream struct {
	eventReceiver
	disconnect func()
}

// Close ends the stream and its connection.
func (s dedicatedStream) Close() error {
	defer s.disconnect()
	return s.eventReceiver.Close()
}

// dialAndRun starts an attempt that must not run twice, on a new connection.
func (x *exchange) dialAndRun(ctx context.Context, server oleanderspool.BackendServer, call peer.RunCall) (eventReceiver, error) {
	agent, disconnect, err := x.entry.peers.DialAgent(ctx, server.Address)
	if err != nil {
		return nil, err
	}
	stream, err := agent.Run(ctx, peer.EncodeRun(call, x.entry.clock.Now()))
	if err != nil {
		disconnect()
		return nil, err
	}
	return dedicatedStream{eventReceiver: stream, disconnect: disconnect}, nil
}

// attach reads the stream of an attempt from the first missing piece on, over a
// new connection.
func (x *exchange) attach(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) streamEnd {
	x.entry.peers.CloseIdle(server.Address)
	return x.reattachWhileRunning(ctx, server, id, x.attachStream(ctx, server, id, attempt.FirstEventTimeout))
}

// reattachWhileRunning attaches again whenever the agent ends a stream to check
// that the attempt still has a reader. The agent has just responded, so the
// timeout for the first event is that of any other event.
func (x *exchange) reattachWhileRunning(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID, end streamEnd) streamEnd {
	for end.state == attempt.StateRunning && end.running == nil && ctx.Err() == nil {
		progress := end.progress
		end = x.attachStream(ctx, server, id, attempt.StreamTimeout)
		end.progress = end.progress || progress
	}
	return end
}

// attachStream reads the stream of an attempt that was sent before, from the first
// missing piece on.
func (x *exchange) attachStream(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID, firstTimeout oleanderspool.Millis) streamEnd {
	from, _ := x.assembler.Missing()
	return markUnreachable(x.followStream(ctx, server, firstTimeout, func(ctx context.Context) (eventReceiver, error) {
		return x.entry.peers.Agent(server.Address).Attach(ctx, &peerpb.AttachRequest{
			Revision:    int64(x.entry.configuration.Revision()),
			Incarnation: string(server.Incarnation),
			Attempt:     string(id),
			From:        from,
		})
	}))
}

// markUnreachable corrects the end of a call about an attempt that was sent
// before: this call did not reach the agent, but the earlier one may have.
func markUnreachable(end streamEnd) streamEnd {
	if end.notSent {
		end.notSent, end.unreachable = false, true
	}
	return end
}

// followStream emits the pieces of a stream until it ends, fails or times out.
// firstTimeout bounds the wait for the first event.
func (x *exchange) followStream(ctx context.Context, server oleanderspool.BackendServer, firstTimeout oleanderspool.Millis, dial func(context.Context) (eventReceiver, error)) streamEnd {
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// Cancelling the context closes the connection, which ends Recv.
	unlink := context.AfterFunc(ctx, cancel)
	idle := time.AfterFunc(firstTimeout.Duration(), cancel)
	stream, err := dial(call)
	if err != nil {
		unlink()
		idle.Stop()
		cancel()
		return endWithError(server, err)
	}
	end := x.receiveEvents(stream, idle, server)
	unlink()
	if end.complete {
		go drainStream(stream, idle, cancel)
		return end
	}
	idle.Stop()
	_ = stream.Close()
	cancel()
	return end
}

// drainStream reads to the end of a stream whose answer is complete, so that its
// connection returns to the pool. Closing the stream earlier would close the
// connection, and the next request would have to dial.
func drainStream(stream eventReceiver, idle *time.Timer, cancel context.CancelFunc) {
	idle.Reset(attempt.FirstEventTimeout.Duration())
	_, _ = stream.Recv()
	idle.Stop()
	_ = stream.Close()
	cancel()
}

// receiveEvents emits the pieces of an open stream until it ends or fails.
func (x *exchange) receiveEvents(stream eventReceiver, idle *time.Timer, server oleanderspool.BackendServer) streamEnd {
	progress := false
	for {
		m, err := stream.Recv()
		if err != nil {
			end := endWithError(server, err)
			end.progress = progress
			return end
		}
		idle.Reset(attempt.StreamTimeout.Duration())
		event := peer.DecodeEvent(m)
		switch {
		case event.Failure != nil:
			if event.Failure.Refusal.Retry == oleanderspool.RetryLeaving {
				x.entry.members.observeLeaving(server)
			}
			end := endWithFailure(server, event.Failure)
			end.progress = progress
			return end
		case event.Move:
			if x.mover != nil {
				x.mover.startTransfer()
			}
		case event.Piece != nil:
			pieces, verdict := x.assembler.Accept(*event.Piece)
			if verdict != attempt.VerdictAccepted {
				x.entry.metrics.PieceDropped(verdict.String())
				continue
			}
			progress = true
			x.confirmMove(event.Piece.Attempt)
			if err := x.emitPieces(pieces); err != nil {
				return streamEnd{failure: retry.Failure{Reason: oleanderspool.RetryStreamSilent, Instance: server.Instance}}
			}
			if x.assembler.Complete() {
				return streamEnd{complete: true}
			}
		}
	}
}

// endWithError describes a stream that ended with a connection error instead of a
// message of the agent. A failed dial says nothing about an attempt that was sent
// before.
func endWithError(server oleanderspool.BackendServer, err error) streamEnd {
	end := streamEnd{failure: retry.Failure{
		Reason:    oleanderspool.RetryStreamSilent,
		Instance:  server.Instance,
		Execution: oleanderspool.MayHaveRun,
	}}
	var dial *peer.DialError
	if errors.As(err, &dial) {
		end.notSent = true
		end.failure.Reason = oleanderspool.RetryAgentDied
	}
	return end
}

// endWithFailure describes a stream that the agent ended with a failure.
func endWithFailure(server oleanderspool.BackendServer, f *peer.Failure) streamEnd {
	end := streamEnd{state: attempt.ParseState(f.State), refusal: &f.Refusal}
	if f.Request != "" {
		end.running = &runningAttempt{request: f.Request, attempt: f.Attempt}
	}
	end.failure = retry.Failure{
		Reason:        f.Refusal.Retry,
		Instance:      server.Instance,
		Execution:     f.Refusal.Execution,
		AgentReported: true,
		RetryAfter:    f.Refusal.RetryAfter,
	}
	if f.Refusal.Retry == oleanderspool.RetryBarred {
		// The attempt never starts, or ended because it had no reader, so the
		// server may be chosen again.
		end.failure.Instance = ""
	}
	if end.state == attempt.StateOtherIncarnation || end.state == attempt.StateForgotten {
		end.failure.Reason = oleanderspool.RetryAgentDied
	}
	return end
}

// bar prevents the start of an attempt that the agent reports as unknown.
func (x *exchange) bar(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) streamEnd {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout.Duration())
	defer cancel()
	reply, err := x.entry.peers.Agent(server.Address).Bar(ctx, &peerpb.BarRequest{
		Revision:    int64(x.entry.configuration.Revision()),
		Incarnation: string(server.Incarnation),
		Attempt:     string(id),
	})
	if err != nil {
		return markUnreachable(endWithError(server, err))
	}
	state := attempt.ParseState(reply.GetState())
	end := streamEnd{state: state, failure: retry.Failure{
		Reason:        oleanderspool.RetryBarred,
		Instance:      server.Instance,
		Execution:     oleanderspool.MayHaveRun,
		AgentReported: true,
	}}
	if state == attempt.StateBarred {
		end.failure.Execution = oleanderspool.NotRun
		// The server responded, and only a connection to it was lost, so it may
		// be chosen again.
		end.failure.Instance = ""
	}
	if state == attempt.StateRunning || state == attempt.StateFinished {
		end.failure.Reason = oleanderspool.RetryStreamSilent
	}
	return end
}

// cancelAttempt asks an agent to end an attempt. A lost cancel does no harm, since
// the agent ends attempts that have no reader.
func (x *exchange) cancelAttempt(server oleanderspool.BackendServer, id oleanderspool.AttemptID) {
	ctx, stop := context.WithTimeout(context.Background(), shortCallTimeout.Duration())
	defer stop()
	_, _ = x.entry.peers.Agent(server.Address).Cancel(ctx, &peerpb.CancelRequest{
		Revision:    int64(x.entry.configuration.Revision()),
		Incarnation: string(server.Incarnation),
		Attempt:     string(id),
	})
}
