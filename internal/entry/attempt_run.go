package entry

import (
	"context"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

// attemptRun runs one attempt of an exchange on one server.
type attemptRun struct {
	*exchange
	server  oleanderspool.BackendServer
	id      oleanderspool.AttemptID
	trial   bool // runs alone on the server, because the request is a suspect
	resumed bool // reads the stream of an attempt of an earlier submission
	crashed bool // the server crashed, perhaps because of the request
}

// nextStep is what to do after a stream has ended: open another stream of the same
// attempt, or end the attempt.
type nextStep struct {
	stream  func() streamEnd       // nil when the attempt has ended
	done    bool                   // the request has ended too
	refusal *oleanderspool.Refusal // of a request that has ended
	delay   oleanderspool.Millis   // before another attempt
}

// runAttempt runs one attempt on a server. done is true when the answer is
// complete or the request is refused, and false when another attempt is needed.
func (x *exchange) runAttempt(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) (done bool, refusal *oleanderspool.Refusal) {
	trial, refusal := x.checkSuspect(ctx, server, id)
	if refusal != nil {
		return true, refusal
	}
	r := &attemptRun{exchange: x, server: server, id: id, trial: trial}
	x.entry.sendConfiguration(ctx, server)
	return r.followStreams(ctx, r.start)
}

// followStreams reads the streams of the attempt, starting with the one that begin
// opens, until the attempt ends.
func (r *attemptRun) followStreams(ctx context.Context, begin func(context.Context) streamEnd) (done bool, refusal *oleanderspool.Refusal) {
	x, server, id := r.exchange, r.server, r.id
	x.currentServer, x.sentAt = server, x.entry.clock.Now()
	x.expectedDelay = x.entry.router.ExpectedDelay(x.request, server, x.sentAt)
	assignments := x.entry.router.Assignments()
	assignments.Start(id, x.request, server.Instance, x.sentAt)
	defer assignments.End(id)
	running, stop := r.cancelOnSuspicion(ctx)
	defer stop()
	streams, disableMove := r.enableMove(running)
	defer disableMove()
	if x.movedAttempt == id {
		x.firstPieceTimer = time.AfterFunc(firstPieceTimeout.Duration(), r.mover.interrupt)
		defer x.firstPieceTimer.Stop()
	}
	end := begin(streams)
	defer func() { r.recordTrial(end.complete) }()
	for {
		switch {
		case end.complete:
			return true, nil
		case ctx.Err() != nil:
			return true, x.abandon(ctx, server, r.id)
		case running.Err() != nil:
			go x.cancelAttempt(server, r.id)
			x.history = x.history.WithExecution(oleanderspool.MayHaveRun)
			x.cancelOrigin()
			return false, nil // runs again as a trial
		case streams.Err() != nil:
			return r.continueElsewhere(ctx)
		}
		next := r.handleStreamEnd(streams, end)
		if next.stream == nil {
			clock.Sleep(ctx, next.delay)
			return next.done, next.refusal
		}
		end = next.stream()
	}
}

// start sends the attempt and reads its stream. If the agent reports that an
// earlier submission of the request is running, it reads that attempt's stream
// instead.
func (r *attemptRun) start(ctx context.Context) streamEnd {
	call := r.runCall(r.server, r.id)
	call.Trial = r.trial
	end := r.openStream(ctx, r.server, call)
	if end.running == nil {
		return end
	}
	r.resumed = true
	r.id = end.running.attempt
	r.assembler = attempt.NewAssembler(end.running.request, r.id, true)
	return r.attach(ctx, r.server, r.id)
}

// handleStreamEnd decides what to do after a stream ended before its answer was
// complete.
func (r *attemptRun) handleStreamEnd(ctx context.Context, end streamEnd) nextStep {
	if r.movedAttempt == r.id {
		r.recordCrash(&end)
		go r.cancelAttempt(r.server, r.id)
		return nextStep{} // no piece arrived, so the request returns to its origin
	}
	if end.state == attempt.StateNotStarted {
		return nextStep{stream: func() streamEnd { return r.bar(ctx, r.server, r.id) }}
	}
	r.recordCrash(&end)
	if r.resumed && end.refusal != nil {
		r.history = r.history.WithExecution(end.refusal.Execution)
		return nextStep{} // the refusal is due to the limits of the earlier submission
	}
	if end.refusal != nil && end.failure.Reason == "" {
		return nextStep{done: true, refusal: r.mergeExecution(end.refusal)}
	}
	decision := r.decide(r.server, end)
	switch decision.Action {
	case retry.Attach:
		r.entry.metrics.Retried(decision.Reason)
		return nextStep{stream: func() streamEnd { return r.attach(ctx, r.server, r.id) }}
	case retry.Refuse:
		r.recordLoss(end)
		return nextStep{done: true, refusal: decision.Refusal}
	default:
		r.recordLoss(end)
		r.entry.metrics.Retried(decision.Reason)
		return nextStep{delay: decision.Delay}
	}
}
