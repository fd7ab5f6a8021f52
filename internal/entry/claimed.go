package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

const (
	// settleInterval is how often a resolver that waits for the log is asked
	// again without an event.
	settleInterval = 250 * oleanderspool.Millis(1)
	// maxReattaches bounds how often a silent stream of a claimed attempt is
	// replaced without a new piece before its agent counts as unreachable.
	maxReattaches = 2
)

// claimed is a request that runs under a claim.
type claimed struct {
	*exchange
	resolver   *claim.Resolver
	assembled  oleanderspool.AttemptID // attempt of the assembler
	reattaches int
	outage     bool // as the resolver was last told
	complete   bool
	refusal    *oleanderspool.Refusal
	own        map[oleanderspool.AttemptID]bool // attempts that were claimed here
}

// runClaimed runs a request that must run at most once.
func (x *exchange) runClaimed(ctx context.Context) *oleanderspool.Refusal {
	c := &claimed{exchange: x, own: make(map[oleanderspool.AttemptID]bool), resolver: claim.NewResolver(claim.Submission{
		Key:         claim.Key{Account: x.request.Account, Key: x.request.Key},
		Fingerprint: x.request.Fingerprint,
		Request:     x.request.ID,
		Deadline:    x.request.Deadline,
	}, x.entry.claims.state, claim.DefaultDelays)}
	c.outage = x.entry.claims.unavailable()
	event := claim.Event(claim.Arrived{LogOutage: c.outage})
	for {
		decision, changed := x.entry.claims.handle(c.resolver, event)
		event = c.act(ctx, decision, changed)
		if c.complete {
			return nil
		}
		if c.refusal != nil {
			return c.confirm(ctx)
		}
	}
}

// confirm says "not run" only if the log, read after the refusal was decided,
// shows no claim by an earlier submission of the key. An entry that cannot read
// the log does not know what was claimed through the others.
func (c *claimed) confirm(ctx context.Context) *oleanderspool.Refusal {
	if c.refusal.Reason == oleanderspool.RefusalLogUnavailable {
		c.refusal = c.refusal.WithRetryAfter(spread(c.refusal.RetryAfter))
	}
	if c.refusal.Execution != oleanderspool.NotRun {
		return c.refusal
	}
	key := claim.Key{Account: c.request.Account, Key: c.request.Key}
	if c.entry.claims.unclaimed(ctx, key, c.own) {
		return c.refusal
	}
	return c.refusal.WithExecution(oleanderspool.MayHaveRun)
}

// spread returns a span between the given one and twice that, so that callers
// do not return in step after an outage.
func spread(span oleanderspool.Millis) oleanderspool.Millis {
	return span + rand.N(span+1)
}

// act carries out a decision and returns the event that follows.
func (c *claimed) act(ctx context.Context, decision claim.Decision, changed <-chan struct{}) claim.Event {
	switch d := decision.(type) {
	case claim.ChooseServer:
		return c.chooseServer()
	case claim.Append:
		return c.append(ctx, d.Claim)
	case claim.Send:
		return c.send(ctx, d.Claim)
	case claim.Attach:
		return c.attachTo(ctx, d.Claim)
	case claim.Bar:
		return c.barAttempt(ctx, d.Claim)
	case claim.Refuse:
		c.refusal = d.Refusal
		return nil
	default:
		return c.wait(ctx, changed)
	}
}

// chooseServer names a server and a new attempt.
func (c *claimed) chooseServer() claim.Event {
	server, refusal := c.choose()
	if refusal != nil {
		return claim.NoServerChosen{Refusal: refusal}
	}
	return claim.ServerChosen{
		Attempt:     attempt.NewID(attempt.ClassKeyed, server.AgentClock, unique()),
		Instance:    server.Instance,
		Incarnation: server.Incarnation,
	}
}

// append appends a claim and waits for the outcome.
func (c *claimed) append(ctx context.Context, cl claim.Claim) claim.Event {
	c.own[cl.Attempt] = true
	settled := c.entry.claims.add(cl)
	if settled == nil {
		return claim.AppendRefused{}
	}
	select {
	case e := <-settled:
		c.noticeIncarnation(cl)
		return e
	case <-ctx.Done():
		c.entry.claims.withdraw(cl.Attempt)
		return claim.DeadlinePassed{}
	}
}

// noticeIncarnation tells the resolver when the claim's agent was replaced
// while the claim was being appended.
func (c *claimed) noticeIncarnation(cl claim.Claim) {
	server, listed := c.entry.members.find(cl.Instance)
	switch {
	case !listed:
		c.entry.claims.handle(c.resolver, claim.InstanceGone{Instance: cl.Instance})
	case server.Incarnation != "" && server.Incarnation != cl.Incarnation:
		c.entry.claims.handle(c.resolver, claim.IncarnationChanged{Instance: cl.Instance, Incarnation: server.Incarnation})
	}
}

// send runs the own attempt.
func (c *claimed) send(ctx context.Context, cl claim.Claim) claim.Event {
	server, _ := c.entry.members.find(cl.Instance)
	server.Incarnation = cl.Incarnation
	c.assemble(cl)
	c.entry.bringUpToDate(ctx, server)
	assignments := c.entry.router.Assignments()
	assignments.Start(cl.Attempt, c.request, cl.Instance, c.entry.clock.Now())
	defer assignments.End(cl.Attempt)
	return c.ended(ctx, cl, c.open(ctx, server, c.call(server, cl.Attempt)))
}

// attachTo follows an attempt that may have been started by another entry.
func (c *claimed) attachTo(ctx context.Context, cl claim.Claim) claim.Event {
	server, listed := c.entry.members.find(cl.Instance)
	if !listed {
		return claim.InstanceGone{Instance: cl.Instance}
	}
	server.Incarnation = cl.Incarnation
	c.assemble(cl)
	return c.ended(ctx, cl, c.attach(ctx, server, cl.Attempt))
}

// assemble prepares the assembler for the attempt of a claim. Nothing was
// passed on from an earlier attempt, because it never started.
func (c *claimed) assemble(cl claim.Claim) {
	if c.assembled == cl.Attempt {
		return
	}
	c.assembled = cl.Attempt
	c.reattaches = 0
	c.assembler = attempt.NewAssembler(cl.Request, cl.Attempt, false)
}

// ended maps the end of a stream to an event.
func (c *claimed) ended(ctx context.Context, cl claim.Claim, end ending) claim.Event {
	switch {
	case end.complete:
		c.complete = true
		return nil
	case ctx.Err() != nil:
		return claim.DeadlinePassed{}
	case end.notSent:
		return claim.NotSent{Attempt: cl.Attempt}
	case end.away:
		return claim.Unreachable{Attempt: cl.Attempt}
	case end.refusal != nil:
		return c.replied(cl, end)
	}
	if end.progress {
		c.reattaches = 0
	}
	c.reattaches++
	if c.reattaches > maxReattaches {
		return claim.Unreachable{Attempt: cl.Attempt}
	}
	c.entry.metrics.Retried(oleanderspool.RetryStreamSilent)
	return claim.StreamTimedOut{Attempt: cl.Attempt}
}

// replied maps an agent's failure to an event.
func (c *claimed) replied(cl claim.Claim, end ending) claim.Event {
	if end.state == attempt.StateBarred {
		c.history.Tried = append(c.history.Tried, cl.Instance)
		c.entry.metrics.Retried(oleanderspool.RetryBarred)
	}
	return claim.Replied{Attempt: cl.Attempt, State: end.state, Refusal: end.refusal}
}

// barAttempt forbids an attempt that has not started.
func (c *claimed) barAttempt(ctx context.Context, cl claim.Claim) claim.Event {
	server, listed := c.entry.members.find(cl.Instance)
	if !listed {
		return claim.InstanceGone{Instance: cl.Instance}
	}
	server.Incarnation = cl.Incarnation
	end := c.bar(ctx, server, cl.Attempt)
	if !end.failure.AgentReported {
		return claim.Unreachable{Attempt: cl.Attempt}
	}
	return claim.Replied{Attempt: cl.Attempt, State: end.state}
}

// wait waits for the stream, the log or the time limit.
func (c *claimed) wait(ctx context.Context, changed <-chan struct{}) claim.Event {
	t := time.NewTimer(settleInterval.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return claim.DeadlinePassed{}
	case <-changed:
		outage := c.entry.claims.unavailable()
		if outage != c.outage {
			c.outage = outage
			return claim.LogOutage{Active: outage}
		}
		return claim.LogRead{}
	case <-t.C:
		return claim.LogRead{}
	}
}
