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

// shortCallBound bounds calls that only ask or tell.
const shortCallBound = 2 * oleanderspool.Second

// ending tells how following an attempt ended.
type ending struct {
	complete bool
	progress bool // a piece was accepted
	failure  retry.Failure
	state    attempt.State          // what the agent knows; StateForgotten when it did not say
	refusal  *oleanderspool.Refusal // the agent's refusal
	notSent  bool                   // the agent certainly received nothing of the attempt
	away     bool                   // the agent of a started attempt cannot be reached
	running  *runningAttempt        // another attempt that runs the same request; nil for none
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

// open starts an attempt and follows it.
func (x *exchange) open(ctx context.Context, server oleanderspool.BackendServer, call peer.RunCall) ending {
	end := x.follow(ctx, server, attempt.FirstEventTimeout, func(ctx context.Context) (eventReceiver, error) {
		if call.Request.Idempotent {
			return x.entry.peers.Agent(server.Address).Run(ctx, peer.EncodeRun(call, x.entry.clock.Now()))
		}
		return x.runOnce(ctx, server, call)
	})
	if end.notSent {
		end.failure.Reason = oleanderspool.RetryConnectFailed
		end.failure.Execution = oleanderspool.NotRun
	}
	if end.state == attempt.StateOtherIncarnation {
		// This call alone carried the attempt, and another run of the agent
		// answered it, so the one that the attempt was made for has ended
		// without receiving it.
		end.notSent = true
		end.failure.Execution = oleanderspool.NotRun
	}
	return x.renew(ctx, server, call.Attempt, end)
}

// onceStream is the stream of a call on a connection of its own.
type onceStream struct {
	eventReceiver
	disconnect func()
}

// Close ends the stream and its connection.
func (s onceStream) Close() error {
	defer s.disconnect()
	return s.eventReceiver.Close()
}

// runOnce starts an attempt that must not run twice.
func (x *exchange) runOnce(ctx context.Context, server oleanderspool.BackendServer, call peer.RunCall) (eventReceiver, error) {
	agent, disconnect, err := x.entry.peers.DialAgent(ctx, server.Address)
	if err != nil {
		return nil, err
	}
	stream, err := agent.Run(ctx, peer.EncodeRun(call, x.entry.clock.Now()))
	if err != nil {
		disconnect()
		return nil, err
	}
	return onceStream{eventReceiver: stream, disconnect: disconnect}, nil
}

// attach follows an attempt from the first missing piece on, over a new
// connection.
func (x *exchange) attach(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) ending {
	x.entry.peers.CloseIdle(server.Address)
	return x.renew(ctx, server, id, x.resume(ctx, server, id, attempt.FirstEventTimeout))
}

// renew attaches again whenever the agent ends a stream to see that it still
// has a reader. The agent has just answered, so that the first event may take
// as long as any other.
func (x *exchange) renew(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID, end ending) ending {
	for end.state == attempt.StateRunning && end.running == nil && ctx.Err() == nil {
		progress := end.progress
		end = x.resume(ctx, server, id, attempt.StreamTimeout)
		end.progress = end.progress || progress
	}
	return end
}

// resume follows an attempt that was sent before from the first missing piece
// on.
func (x *exchange) resume(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID, first oleanderspool.Millis) ending {
	from, _ := x.assembler.Missing()
	return sent(x.follow(ctx, server, first, func(ctx context.Context) (eventReceiver, error) {
		return x.entry.peers.Agent(server.Address).Attach(ctx, &peerpb.AttachRequest{
			Revision:    int64(x.entry.configuration.Revision()),
			Incarnation: string(server.Incarnation),
			Attempt:     string(id),
			From:        from,
		})
	}))
}

// sent corrects the end of a call about an attempt that was sent before: that
// this call did not reach the agent says nothing about the attempt.
func sent(end ending) ending {
	if end.notSent {
		end.notSent, end.away = false, true
	}
	return end
}

// follow passes the pieces of a stream on until it ends, breaks or goes
// silent. first bounds the wait for the first event.
func (x *exchange) follow(ctx context.Context, server oleanderspool.BackendServer, first oleanderspool.Millis, dial func(context.Context) (eventReceiver, error)) ending {
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// Cancelling the context closes the connection, which ends Recv.
	unlink := context.AfterFunc(ctx, cancel)
	silence := time.AfterFunc(first.Duration(), cancel)
	stream, err := dial(call)
	if err != nil {
		unlink()
		silence.Stop()
		cancel()
		return broken(server, err)
	}
	end := x.receive(stream, silence, server)
	unlink()
	if end.complete {
		go finish(stream, silence, cancel)
		return end
	}
	silence.Stop()
	_ = stream.Close()
	cancel()
	return end
}

// finish reads the end of a stream whose answer is complete, so that its
// connection goes back to the pool. Closing the stream before its end would
// close the connection, and the next request would have to dial.
func finish(stream eventReceiver, silence *time.Timer, cancel context.CancelFunc) {
	silence.Reset(attempt.FirstEventTimeout.Duration())
	_, _ = stream.Recv()
	silence.Stop()
	_ = stream.Close()
	cancel()
}

// receive passes the pieces of an open stream on until it ends or breaks.
func (x *exchange) receive(stream eventReceiver, silence *time.Timer, server oleanderspool.BackendServer) ending {
	progress := false
	for {
		m, err := stream.Recv()
		if err != nil {
			end := broken(server, err)
			end.progress = progress
			return end
		}
		silence.Reset(attempt.StreamTimeout.Duration())
		event := peer.DecodeEvent(m)
		switch {
		case event.Failure != nil:
			if event.Failure.Refusal.Retry == oleanderspool.RetryLeaving {
				x.entry.members.leaving(server)
			}
			end := failed(server, event.Failure)
			end.progress = progress
			return end
		case event.Move:
			if x.mover != nil {
				x.mover.offered()
			}
		case event.Piece != nil:
			pieces, verdict := x.assembler.Accept(*event.Piece)
			if verdict != attempt.Accepted {
				x.entry.metrics.PieceDropped(verdict.String())
				continue
			}
			progress = true
			x.arrivedAt(event.Piece.Attempt)
			if err := x.pass(pieces); err != nil {
				return ending{failure: retry.Failure{Reason: oleanderspool.RetryStreamSilent, Instance: server.Instance}}
			}
			if x.assembler.Complete() {
				return ending{complete: true}
			}
		}
	}
}

// broken describes a stream that ended without a word of the agent. That its
// process cannot be reached says nothing about an attempt that was sent before.
func broken(server oleanderspool.BackendServer, err error) ending {
	end := ending{failure: retry.Failure{
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

// failed describes a stream that the agent ended with a failure.
func failed(server oleanderspool.BackendServer, f *peer.Failure) ending {
	end := ending{state: attempt.ParseState(f.State), refusal: &f.Refusal}
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
		// The attempt never starts, or ended for want of a reader, so the server
		// may be chosen again.
		end.failure.Instance = ""
	}
	if end.state == attempt.StateOtherIncarnation || end.state == attempt.StateForgotten {
		end.failure.Reason = oleanderspool.RetryAgentDied
	}
	return end
}

// bar forbids an attempt that the agent says it has not started.
func (x *exchange) bar(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) ending {
	ctx, cancel := context.WithTimeout(ctx, shortCallBound.Duration())
	defer cancel()
	reply, err := x.entry.peers.Agent(server.Address).Bar(ctx, &peerpb.BarRequest{
		Revision:    int64(x.entry.configuration.Revision()),
		Incarnation: string(server.Incarnation),
		Attempt:     string(id),
	})
	if err != nil {
		return sent(broken(server, err))
	}
	state := attempt.ParseState(reply.GetState())
	end := ending{state: state, failure: retry.Failure{
		Reason:        oleanderspool.RetryBarred,
		Instance:      server.Instance,
		Execution:     oleanderspool.MayHaveRun,
		AgentReported: true,
	}}
	if state == attempt.StateBarred {
		end.failure.Execution = oleanderspool.NotRun
		// The server answered, and only a connection to it was lost, so it may
		// be chosen again.
		end.failure.Instance = ""
	}
	if state == attempt.StateRunning || state == attempt.StateFinished {
		end.failure.Reason = oleanderspool.RetryStreamSilent
	}
	return end
}

// cancel asks an agent to end an attempt. A lost cancel does no harm, since
// the agent ends work that nobody reads.
func (x *exchange) cancel(server oleanderspool.BackendServer, id oleanderspool.AttemptID) {
	ctx, stop := context.WithTimeout(context.Background(), shortCallBound.Duration())
	defer stop()
	_, _ = x.entry.peers.Agent(server.Address).Cancel(ctx, &peerpb.CancelRequest{
		Revision:    int64(x.entry.configuration.Revision()),
		Incarnation: string(server.Incarnation),
		Attempt:     string(id),
	})
}
