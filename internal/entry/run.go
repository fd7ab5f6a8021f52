package entry

import (
	"context"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

// run is one attempt of an exchange on one server.
type run struct {
	*exchange
	server  oleanderspool.BackendServer
	id      oleanderspool.AttemptID
	trial   bool // runs alone, because the request is a suspect
	resumed bool // follows an attempt of an earlier submission
	crashed bool // the server crashed, perhaps because of the request
}

// reaction is what follows from the end of a stream: another stream of the same
// attempt, or the end of the attempt.
type reaction struct {
	follow  func() ending          // nil when the attempt has ended
	done    bool                   // the request has ended too
	refusal *oleanderspool.Refusal // of a request that has ended
	delay   oleanderspool.Millis   // before another attempt
}

// runOn runs one attempt on a server until it is complete, the request is
// refused, or another attempt is to be made.
func (x *exchange) runOn(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) (done bool, refusal *oleanderspool.Refusal) {
	trial, refusal := x.checkSuspect(ctx, server, id)
	if refusal != nil {
		return true, refusal
	}
	r := &run{exchange: x, server: server, id: id, trial: trial}
	x.entry.bringUpToDate(ctx, server)
	return r.toEnd(ctx, r.start)
}

// toEnd follows the attempt from the stream that begin opens to its end.
func (r *run) toEnd(ctx context.Context, begin func(context.Context) ending) (done bool, refusal *oleanderspool.Refusal) {
	x, server, id := r.exchange, r.server, r.id
	x.chosen, x.sentAt = server, x.entry.clock.Now()
	x.expected = x.entry.router.ExpectedDelay(x.request, server, x.sentAt)
	assignments := x.entry.router.Assignments()
	assignments.Start(id, x.request, server.Instance, x.sentAt)
	defer assignments.End(id)
	running, stop := r.watchSuspicion(ctx)
	defer stop()
	streams, endMove := r.movable(running)
	defer endMove()
	if x.moved == id {
		x.firstBound = time.AfterFunc(firstPieceBound.Duration(), r.mover.interrupt)
		defer x.firstBound.Stop()
	}
	end := begin(streams)
	defer func() { r.endTrial(end.complete) }()
	for {
		switch {
		case end.complete:
			return true, nil
		case ctx.Err() != nil:
			return true, x.abandon(ctx, server, r.id)
		case running.Err() != nil:
			go x.cancel(server, r.id)
			x.history = x.history.WithExecution(oleanderspool.MayHaveRun)
			x.leaveOrigin()
			return false, nil // runs again as a trial
		case streams.Err() != nil:
			return r.interrupted(ctx)
		}
		next := r.react(streams, end)
		if next.follow == nil {
			clock.Sleep(ctx, next.delay)
			return next.done, next.refusal
		}
		end = next.follow()
	}
}

// start sends the attempt and follows it, or follows the attempt that the agent
// names instead.
func (r *run) start(ctx context.Context) ending {
	call := r.call(r.server, r.id)
	call.Trial = r.trial
	end := r.open(ctx, r.server, call)
	if end.running == nil {
		return end
	}
	r.resumed = true
	r.id = end.running.attempt
	r.assembler = attempt.NewAssembler(end.running.request, r.id, true)
	return r.attach(ctx, r.server, r.id)
}

// react decides what to do after a stream ended before its answer was complete.
func (r *run) react(ctx context.Context, end ending) reaction {
	if r.moved == r.id {
		r.noteCrash(&end)
		go r.cancel(r.server, r.id)
		return reaction{} // no piece came, so that the stream goes back
	}
	if end.state == attempt.StateUnknown {
		return reaction{follow: func() ending { return r.bar(ctx, r.server, r.id) }}
	}
	r.noteCrash(&end)
	if r.resumed && end.refusal != nil {
		r.history = r.history.WithExecution(end.refusal.Execution)
		return reaction{} // its limits were those of the earlier submission
	}
	if end.refusal != nil && end.failure.Reason == "" {
		return reaction{done: true, refusal: r.worsen(end.refusal)}
	}
	decision := r.decide(r.server, end)
	switch decision.Action {
	case retry.Attach:
		r.entry.metrics.Retried(decision.Reason)
		return reaction{follow: func() ending { return r.attach(ctx, r.server, r.id) }}
	case retry.Refuse:
		r.noteLoss(end)
		return reaction{done: true, refusal: decision.Refusal}
	default:
		r.noteLoss(end)
		r.entry.metrics.Retried(decision.Reason)
		return reaction{delay: decision.Delay}
	}
}
