package entry

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/admission"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/retry"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Configuration returns the configuration in force.
func (e *Entry) Configuration() configuration.Configuration {
	return e.configuration.Configuration()
}

// NewRequestID returns the id of a new request.
func (e *Entry) NewRequestID() oleanderspool.RequestID {
	return oleanderspool.RequestID("r-" + uniqueID())
}

// Now returns the current time of the entry's clock, for deadlines.
func (e *Entry) Now() oleanderspool.Millis {
	return e.clock.Now()
}

// Serve runs a request and passes the pieces of its answer to emit, in order.
// It returns nil after the final piece, and the refusal otherwise. It stops when
// ctx ends, which means that the caller has disconnected.
func (e *Entry) Serve(ctx context.Context, r oleanderspool.Request, emit func(oleanderspool.Piece) error) *oleanderspool.Refusal {
	now := e.clock.Now()
	e.mu.Lock()
	ticket, refusal := e.admission.Admit(r, now)
	if refusal == nil {
		e.retries.RecordAdmission(now)
	}
	e.mu.Unlock()
	if refusal != nil {
		e.metrics.Refused(refusal)
		return refusal
	}
	e.metrics.Admitted(r.Kind)
	defer e.finish(ticket)
	x := &exchange{entry: e, request: r, emit: emit, ticket: ticket, arrived: now}
	ctx, cancel := context.WithTimeout(ctx, r.Remaining(now).Duration())
	defer cancel()
	if r.NeedsClaim() {
		refusal = x.runClaimed(ctx)
	} else {
		refusal = x.run(ctx)
	}
	if refusal != nil {
		e.metrics.Refused(refusal)
		return refusal
	}
	e.metrics.Finished(r.Kind)
	return nil
}

func (e *Entry) finish(t *admission.Ticket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.Finish(t)
	e.metrics.Ended()
}

// exchange is the state of one admitted request.
type exchange struct {
	entry            *Entry
	request          oleanderspool.Request
	emit             func(oleanderspool.Piece) error
	ticket           *admission.Ticket
	arrived          oleanderspool.Millis
	assembler        *attempt.Assembler
	history          retry.History
	firstPiecePassed bool                        // a piece was emitted
	currentServer    oleanderspool.BackendServer // server of the current attempt
	expectedDelay    oleanderspool.Millis        // expected time from sentAt to its first piece
	sentAt           oleanderspool.Millis
	// noServerSince is the time since which no server may run the request; 0
	// while there is one.
	noServerSince oleanderspool.Millis

	group    *groupReservation // engines that serve the prompt together; nil for one
	hadGroup bool              // a group was reserved for the request earlier

	mover           *mover                  // of the current attempt; nil if it cannot move
	destination     *destination            // where the request continues; nil if the router chooses
	origin          *destination            // attempt that is kept until the destination sends a piece; nil for none
	movedAttempt    oleanderspool.AttemptID // attempt at a destination that has sent no piece yet
	firstPieceTimer *time.Timer             // bounds the wait for its first piece
}

// run runs a request that needs no claim.
func (x *exchange) run(ctx context.Context) *oleanderspool.Refusal {
	for {
		server, id, refusal := x.nextServer()
		if refusal != nil {
			members, ok := x.planGroup()
			if !ok && x.waitForServer(ctx) {
				continue
			}
			if !ok {
				return refusal
			}
			x.noServerSince = 0
			if done, refusal := x.runOnGroup(ctx, members); done {
				return refusal
			}
			continue
		}
		x.noServerSince = 0
		if err := x.prepareAssembler(id); err != nil {
			return x.refuse(oleanderspool.RefusalBackendServerFailed, err.Error())
		}
		done, refusal := x.runAttempt(ctx, server, id)
		if x.movedAttempt == id {
			done, refusal = x.returnToOrigin(ctx, done, refusal)
		}
		if done {
			return refusal
		}
	}
}

// prepareAssembler prepares the assembler for a new attempt, which continues after
// the text received so far.
func (x *exchange) prepareAssembler(id oleanderspool.AttemptID) error {
	if x.assembler == nil {
		x.assembler = attempt.NewAssembler(x.request.ID, id, x.request.Idempotent)
		return nil
	}
	if !x.request.Idempotent {
		x.assembler = attempt.NewAssembler(x.request.ID, id, false)
		return nil
	}
	text, err := x.assembler.Continue(id)
	if err != nil {
		return err
	}
	x.request = x.request.WithGeneratedText(text)
	return nil
}

// runCall returns the message that starts an attempt.
func (x *exchange) runCall(server oleanderspool.BackendServer, id oleanderspool.AttemptID) peer.RunCall {
	r := x.request
	if x.assembler != nil {
		r.MaxTokens = max(1, r.MaxTokens-x.assembler.Tokens())
	}
	call := peer.RunCall{
		Revision:    x.entry.configuration.Revision(),
		Incarnation: server.Incarnation,
		Attempt:     id,
		Request:     r,
		Imported:    x.movedAttempt == id,
	}
	if x.group != nil {
		call.Group = x.group.memoryName()
		call.Members = x.group.members()
	}
	return call
}

// decide applies the retry policy after a failed attempt.
func (x *exchange) decide(server oleanderspool.BackendServer, end streamEnd) retry.Decision {
	e := x.entry
	now := e.clock.Now()
	untried := x.countUntried(end.failure.Instance)
	if end.progress {
		x.history.Attaches = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if isCrash(end.failure.Reason) {
		e.retries.RecordCrash(server.Instance, now)
	}
	d := e.retries.Decide(retry.Input{Request: x.request, History: x.history, Untried: untried}, end.failure, now)
	x.history = d.History
	return d
}

func isCrash(r oleanderspool.RetryReason) bool {
	return r == oleanderspool.RetryEngineDied || r == oleanderspool.RetryAgentDied
}

// choose returns the backend server for the next attempt.
func (x *exchange) choose() (oleanderspool.BackendServer, *oleanderspool.Refusal) {
	e := x.entry
	server, ok := e.router.RouteExcept(x.request, e.members.table.Snapshot(), x.history.Tried, e.clock.Now())
	if ok {
		return server, nil
	}
	return server, x.refuse(oleanderspool.RefusalNoBackendServer, "no backend server can run the request").
		WithRetryAfter(noServerRetryAfter)
}

// planGroup returns the servers that can hold a prompt in shards that is too large
// for any one of them.
func (x *exchange) planGroup() ([]oleanderspool.BackendServer, bool) {
	if x.request.Kind != oleanderspool.KindModel {
		return nil, false
	}
	e := x.entry
	members, ok := e.router.PlanGroup(x.request, e.members.table.Snapshot(), x.history.Tried, e.clock.Now())
	return members, ok && len(members) > 1
}

// waitForServer waits before the next look for a server for a request whose
// attempt or group was lost. It returns false once no server has been available
// for retry.ServerWaitTimeout, and at once for a request that no server has run.
func (x *exchange) waitForServer(ctx context.Context) bool {
	if x.assembler == nil && !x.hadGroup {
		return false
	}
	now := x.entry.clock.Now()
	if x.noServerSince == 0 {
		x.noServerSince = now
	}
	if now-x.noServerSince >= retry.ServerWaitTimeout {
		return false
	}
	x.history = x.history.WithoutTried()
	clock.Sleep(ctx, serverCheckInterval)
	return ctx.Err() == nil
}

// serverCheckInterval is the interval between checks for an available server.
const serverCheckInterval = 500 * oleanderspool.Millis(1)

// noServerRetryAfter is the time in which an agent restarts and reports.
const noServerRetryAfter = 3 * oleanderspool.Second

// countUntried counts the servers that may run the request and were not tried, up
// to the maximum number of retries.
func (x *exchange) countUntried(failed oleanderspool.InstanceID) int {
	e := x.entry
	if x.group != nil {
		return 1 // another group, perhaps with the same servers
	}
	tried := append([]oleanderspool.InstanceID{failed}, x.history.Tried...)
	return e.router.CountExcept(x.request, e.members.table.Snapshot(), tried, retry.DefaultMaxRetries, e.clock.Now())
}

// refuse returns a refusal that states whether earlier attempts may have run.
func (x *exchange) refuse(reason oleanderspool.RefusalReason, message string) *oleanderspool.Refusal {
	return oleanderspool.Refuse(reason, message).WithExecution(x.history.Execution)
}

// mergeExecution raises the execution of an agent's refusal to that of the earlier
// attempts.
func (x *exchange) mergeExecution(r *oleanderspool.Refusal) *oleanderspool.Refusal {
	if x.history.Execution == oleanderspool.NotRun {
		return r
	}
	return r.WithExecution(max(r.Execution, x.history.Execution))
}

// abandon ends an attempt whose caller has disconnected or whose deadline has
// passed.
func (x *exchange) abandon(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) *oleanderspool.Refusal {
	if x.request.Idempotent {
		// The refusal does not wait for an agent that may be unreachable.
		go x.cancelAttempt(server, id)
	}
	return x.refuseEnded(ctx)
}

// refuseEnded refuses a request whose caller has disconnected or whose deadline
// has passed.
func (x *exchange) refuseEnded(ctx context.Context) *oleanderspool.Refusal {
	reason, message := oleanderspool.RefusalCancelled, "the caller has gone"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason, message = oleanderspool.RefusalTimeLimit, "the time limit has passed"
	}
	return oleanderspool.Refuse(reason, message).WithExecution(oleanderspool.MayHaveRun)
}

// emitPieces passes accepted pieces to the caller.
func (x *exchange) emitPieces(pieces []oleanderspool.Piece) error {
	for _, p := range pieces {
		if !x.firstPiecePassed {
			x.recordFirstPiece()
		}
		if err := x.emit(p); err != nil {
			return err
		}
	}
	return nil
}

func (x *exchange) recordFirstPiece() {
	x.firstPiecePassed = true
	e := x.entry
	if x.request.Kind == oleanderspool.KindModel {
		now := e.clock.Now()
		e.metrics.ObserveFirstToken(x.request.PromptTokens, now-x.arrived)
		e.router.Slowness().Observe(x.currentServer.Instance, x.expectedDelay, now-x.sentAt, now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.FirstToken(x.ticket)
}
