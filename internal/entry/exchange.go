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
	return oleanderspool.RequestID("r-" + unique())
}

// Now returns the current instant on the entry's clock, for deadlines.
func (e *Entry) Now() oleanderspool.Millis {
	return e.clock.Now()
}

// Serve runs a request and passes the pieces of its answer to emit, in order.
// It returns nil after the final piece, else the refusal. It stops when ctx
// ends, which means that the caller has gone.
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

// exchange is one request on its way through an entry.
type exchange struct {
	entry     *Entry
	request   oleanderspool.Request
	emit      func(oleanderspool.Piece) error
	ticket    *admission.Ticket
	arrived   oleanderspool.Millis
	assembler *attempt.Assembler
	history   retry.History
	started   bool                        // a piece was passed on
	chosen    oleanderspool.BackendServer // server of the current attempt
	expected  oleanderspool.Millis        // span until its first piece
	sentAt    oleanderspool.Millis
	// withoutServer is the instant since which no server may run the request;
	// 0 while there is one.
	withoutServer oleanderspool.Millis

	group   *reservation // engines that serve the prompt together; nil for one
	grouped bool         // a group was made for the request before

	mover       *mover                  // of the current attempt; nil if it cannot move
	destination *destination            // where the request goes on; nil for anywhere
	origin      *destination            // where it runs until a piece comes from there; nil otherwise
	moved       oleanderspool.AttemptID // attempt at a destination without a piece so far
	firstBound  *time.Timer             // ends the wait for its first piece
}

// run runs a request that needs no claim.
func (x *exchange) run(ctx context.Context) *oleanderspool.Refusal {
	for {
		server, id, refusal := x.next()
		if refusal != nil {
			members, ok := x.plan()
			if !ok && x.awaitServer(ctx) {
				continue
			}
			if !ok {
				return refusal
			}
			x.withoutServer = 0
			if done, refusal := x.runTogether(ctx, members); done {
				return refusal
			}
			continue
		}
		x.withoutServer = 0
		if err := x.begin(id); err != nil {
			return x.refuse(oleanderspool.RefusalBackendServerFailed, err.Error())
		}
		done, refusal := x.runOn(ctx, server, id)
		if x.moved == id {
			done, refusal = x.goBack(ctx, done, refusal)
		}
		if done {
			return refusal
		}
	}
}

// begin prepares the assembler for a new attempt, which continues from the
// text so far.
func (x *exchange) begin(id oleanderspool.AttemptID) error {
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

// call returns the message that starts an attempt.
func (x *exchange) call(server oleanderspool.BackendServer, id oleanderspool.AttemptID) peer.RunCall {
	r := x.request
	if x.assembler != nil {
		r.MaxTokens = max(1, r.MaxTokens-x.assembler.Tokens())
	}
	call := peer.RunCall{
		Revision:    x.entry.configuration.Revision(),
		Incarnation: server.Incarnation,
		Attempt:     id,
		Request:     r,
		Imported:    x.moved == id,
	}
	if x.group != nil {
		call.Group = x.group.name()
		call.Members = x.group.members()
	}
	return call
}

// decide asks the policy what to do after a failed attempt.
func (x *exchange) decide(server oleanderspool.BackendServer, end ending) retry.Decision {
	e := x.entry
	now := e.clock.Now()
	untried := x.untried(end.failure.Instance)
	if end.progress {
		x.history.Attaches = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed(end.failure.Reason) {
		e.retries.RecordCrash(server.Instance, now)
	}
	d := e.retries.Decide(retry.Situation{Request: x.request, History: x.history, Untried: untried}, end.failure, now)
	x.history = d.History
	return d
}

func crashed(r oleanderspool.RetryReason) bool {
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

// plan returns the servers that hold a prompt together which none holds alone.
func (x *exchange) plan() ([]oleanderspool.BackendServer, bool) {
	if x.request.Kind != oleanderspool.KindModel {
		return nil, false
	}
	e := x.entry
	members, ok := e.router.PlanGroup(x.request, e.members.table.Snapshot(), x.history.Tried, e.clock.Now())
	return members, ok && len(members) > 1
}

// awaitServer waits for servers of a request whose attempt or group was lost. It
// returns false when none has returned for too long. A request that no server
// has taken is refused at once.
func (x *exchange) awaitServer(ctx context.Context) bool {
	if x.assembler == nil && !x.grouped {
		return false
	}
	now := x.entry.clock.Now()
	if x.withoutServer == 0 {
		x.withoutServer = now
	}
	if now-x.withoutServer >= retry.ServerWaitTimeout {
		return false
	}
	x.history = x.history.WithoutTried()
	clock.Sleep(ctx, awaitInterval)
	return ctx.Err() == nil
}

// awaitInterval is the span between two looks for a server that has returned.
const awaitInterval = 500 * oleanderspool.Millis(1)

// noServerRetryAfter is the span in which an agent restarts and reports.
const noServerRetryAfter = 3 * oleanderspool.Second

// untried counts the servers that may run the request and were not tried, up
// to the number of retries that make sense.
func (x *exchange) untried(failed oleanderspool.InstanceID) int {
	e := x.entry
	if x.group != nil {
		return 1 // another group, perhaps with the same servers
	}
	tried := append([]oleanderspool.InstanceID{failed}, x.history.Tried...)
	return e.router.CountExcept(x.request, e.members.table.Snapshot(), tried, retry.DefaultMaxRetries, e.clock.Now())
}

// refuse returns a refusal that says what the attempts so far may have done.
func (x *exchange) refuse(reason oleanderspool.RefusalReason, message string) *oleanderspool.Refusal {
	return oleanderspool.Refuse(reason, message).WithExecution(x.history.Execution)
}

// worsen raises the execution of an agent's refusal to what earlier attempts
// may have done.
func (x *exchange) worsen(r *oleanderspool.Refusal) *oleanderspool.Refusal {
	if x.history.Execution == oleanderspool.NotRun {
		return r
	}
	return r.WithExecution(max(r.Execution, x.history.Execution))
}

// abandon ends an attempt whose caller has gone or whose time has passed.
func (x *exchange) abandon(ctx context.Context, server oleanderspool.BackendServer, id oleanderspool.AttemptID) *oleanderspool.Refusal {
	if x.request.Idempotent {
		// The refusal does not wait for an agent that may be silent.
		go x.cancel(server, id)
	}
	return x.ended(ctx)
}

// ended refuses a request whose caller has gone or whose time has passed.
func (x *exchange) ended(ctx context.Context) *oleanderspool.Refusal {
	reason, message := oleanderspool.RefusalCancelled, "the caller has gone"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason, message = oleanderspool.RefusalTimeLimit, "the time limit has passed"
	}
	return oleanderspool.Refuse(reason, message).WithExecution(oleanderspool.MayHaveRun)
}

// pass hands accepted pieces to the caller.
func (x *exchange) pass(pieces []oleanderspool.Piece) error {
	for _, p := range pieces {
		if !x.started {
			x.firstPiece()
		}
		if err := x.emit(p); err != nil {
			return err
		}
	}
	return nil
}

func (x *exchange) firstPiece() {
	x.started = true
	e := x.entry
	if x.request.Kind == oleanderspool.KindModel {
		now := e.clock.Now()
		e.metrics.ObserveFirstToken(x.request.PromptTokens, now-x.arrived)
		e.router.Slowness().Observe(x.chosen.Instance, x.expected, now-x.sentAt, now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.Prefilled(x.ticket)
}
