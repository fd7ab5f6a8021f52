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
	// resolverInterval is how often a resolver that waits for the log is invoked
	// without an event.
	resolverInterval = 250 * oleanderspool.Millis(1)
	// maxReattaches bounds how often a timed-out stream of a claimed attempt is
	// reopened without a new piece before its agent counts as unreachable.
	maxReattaches = 2
)

// claimedExchange is an exchange whose attempts are claimed in the log before they
// are sent.
type claimedExchange struct {
	*exchange
	resolver         *claim.Resolver
	assemblerAttempt oleanderspool.AttemptID // attempt that the assembler accepts
	reattaches       int
	logOutage        bool // state that was last passed to the resolver
	complete         bool
	refusal          *oleanderspool.Refusal
	ownAttempts      map[oleanderspool.AttemptID]bool // attempts that this exchange claimed
}

// runClaimed runs a request that must not run more than once.
func (x *exchange) runClaimed(ctx context.Context) *oleanderspool.Refusal {
	c := &claimedExchange{exchange: x, ownAttempts: make(map[oleanderspool.AttemptID]bool), resolver: claim.NewResolver(claim.Submission{
		Key:         claim.Key{Account: x.request.Account, Key: x.request.Key},
		Fingerprint: x.request.Fingerprint,
		Request:     x.request.ID,
		Deadline:    x.request.Deadline,
	}, x.entry.claims.state, claim.DefaultDelays)}
	c.logOutage = x.entry.claims.unavailable()
	event := claim.Event(claim.Arrived{LogOutage: c.logOutage})
	for {
		decision, changed := x.entry.claims.handle(c.resolver, event)
		event = c.execute(ctx, decision, changed)
		if c.complete {
			return nil
		}
		if c.refusal != nil {
			return c.confirmNotRun(ctx)
		}
	}
}

// confirmNotRun returns the refusal, which states "not run" only if the log, read
// after the refusal was decided, has no claim by an earlier submission of the key.
// An entry that cannot read the log does not know the claims of other entries.
func (c *claimedExchange) confirmNotRun(ctx context.Context) *oleanderspool.Refusal {
	if c.refusal.Reason == oleanderspool.RefusalLogUnavailable {
		c.refusal = c.refusal.WithRetryAfter(jitter(c.refusal.RetryAfter))
	}
	if c.refusal.Execution != oleanderspool.NotRun {
		return c.refusal
	}
	key := claim.Key{Account: c.request.Account, Key: c.request.Key}
	if c.entry.claims.hasNoOtherClaim(ctx, key, c.ownAttempts) {
		return c.refusal
	}
	return c.refusal.WithExecution(oleanderspool.MayHaveRun)
}

// jitter returns a random delay between the given one and twice that, so that
// callers do not retry at the same moment after an outage.
func jitter(delay oleanderspool.Millis) oleanderspool.Millis {
	return delay + rand.N(delay+1)
}

// execute carries out a decision and returns the resulting event.
func (c *claimedExchange) execute(ctx context.Context, decision claim.Decision, changed <-chan struct{}) claim.Event {
	switch d := decision.(type) {
	case claim.ChooseServer:
		return c.chooseServer()
	case claim.Append:
		return c.appendClaim(ctx, d.Claim)
	case claim.Send:
		return c.sendAttempt(ctx, d.Claim)
	case claim.Attach:
		return c.attachToAttempt(ctx, d.Claim)
	case claim.Bar:
		return c.barAttempt(ctx, d.Claim)
	case claim.Refuse:
		c.refusal = d.Refusal
		return nil
	default:
		return c.waitForEvent(ctx, changed)
	}
}

// chooseServer chooses a server and creates the id of a new attempt.
func (c *claimedExchange) chooseServer() claim.Event {
	server, refusal := c.choose()
	if refusal != nil {
		return claim.NoServerChosen{Refusal: refusal}
	}
	return claim.ServerChosen{
		Attempt:     attempt.NewID(attempt.ClassKeyed, server.AgentClock, uniqueID()),
		Instance:    server.Instance,
		Incarnation: server.Incarnation,
	}
}

// appendClaim appends a claim to the log and waits for the outcome.
func (c *claimedExchange) appendClaim(ctx context.Context, cl claim.Claim) claim.Event {
	c.ownAttempts[cl.Attempt] = true
	outcome := c.entry.claims.add(cl)
	if outcome == nil {
		return claim.AppendFailed{}
	}
	select {
	case e := <-outcome:
		c.checkIncarnation(cl)
		return e
	case <-ctx.Done():
		c.entry.claims.withdraw(cl.Attempt)
		return claim.DeadlinePassed{}
	}
}

// checkIncarnation informs the resolver if the claim's agent restarted or was
// removed while the claim was being appended.
func (c *claimedExchange) checkIncarnation(cl claim.Claim) {
	server, listed := c.entry.members.find(cl.Instance)
	switch {
	case !listed:
		c.entry.claims.handle(c.resolver, claim.InstanceRemoved{Instance: cl.Instance})
	case server.Incarnation != "" && server.Incarnation != cl.Incarnation:
		c.entry.claims.handle(c.resolver, claim.IncarnationChanged{Instance: cl.Instance, Incarnation: server.Incarnation})
	}
}

// sendAttempt sends the attempt that this exchange claimed and reads its stream.
func (c *claimedExchange) sendAttempt(ctx context.Context, cl claim.Claim) claim.Event {
	server, _ := c.entry.members.find(cl.Instance)
	server.Incarnation = cl.Incarnation
	c.resetAssembler(cl)
	c.entry.sendConfiguration(ctx, server)
	assignments := c.entry.router.Assignments()
	assignments.Start(cl.Attempt, c.request, cl.Instance, c.entry.clock.Now())
	defer assignments.End(cl.Attempt)
	return c.streamEvent(ctx, cl, c.openStream(ctx, server, c.runCall(server, cl.Attempt)))
}

// attachToAttempt reads the stream of an attempt that another entry may have
// started.
func (c *claimedExchange) attachToAttempt(ctx context.Context, cl claim.Claim) claim.Event {
	server, listed := c.entry.members.find(cl.Instance)
	if !listed {
		return claim.InstanceRemoved{Instance: cl.Instance}
	}
	server.Incarnation = cl.Incarnation
	c.resetAssembler(cl)
	return c.streamEvent(ctx, cl, c.attach(ctx, server, cl.Attempt))
}

// resetAssembler prepares the assembler for the attempt of a claim. No piece of an
// earlier attempt was emitted, because that attempt never started.
func (c *claimedExchange) resetAssembler(cl claim.Claim) {
	if c.assemblerAttempt == cl.Attempt {
		return
	}
	c.assemblerAttempt = cl.Attempt
	c.reattaches = 0
	c.assembler = attempt.NewAssembler(cl.Request, cl.Attempt, false)
}

// streamEvent maps the end of a stream to an event.
func (c *claimedExchange) streamEvent(ctx context.Context, cl claim.Claim, end streamEnd) claim.Event {
	switch {
	case end.complete:
		c.complete = true
		return nil
	case ctx.Err() != nil:
		return claim.DeadlinePassed{}
	case end.notSent:
		return claim.NotSent{Attempt: cl.Attempt}
	case end.unreachable:
		return claim.Unreachable{Attempt: cl.Attempt}
	case end.refusal != nil:
		return c.replyEvent(cl, end)
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

// replyEvent maps an agent's failure to an event.
func (c *claimedExchange) replyEvent(cl claim.Claim, end streamEnd) claim.Event {
	if end.state == attempt.StateBarred {
		c.history.Tried = append(c.history.Tried, cl.Instance)
		c.entry.metrics.Retried(oleanderspool.RetryBarred)
	}
	return claim.Replied{Attempt: cl.Attempt, State: end.state, Refusal: end.refusal}
}

// barAttempt prevents the start of an attempt that has not started.
func (c *claimedExchange) barAttempt(ctx context.Context, cl claim.Claim) claim.Event {
	server, listed := c.entry.members.find(cl.Instance)
	if !listed {
		return claim.InstanceRemoved{Instance: cl.Instance}
	}
	server.Incarnation = cl.Incarnation
	end := c.bar(ctx, server, cl.Attempt)
	if !end.failure.AgentReported {
		return claim.Unreachable{Attempt: cl.Attempt}
	}
	return claim.Replied{Attempt: cl.Attempt, State: end.state}
}

// waitForEvent waits for a change of the log's state, the next invocation of the
// resolver or the deadline.
func (c *claimedExchange) waitForEvent(ctx context.Context, changed <-chan struct{}) claim.Event {
	t := time.NewTimer(resolverInterval.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return claim.DeadlinePassed{}
	case <-changed:
		outage := c.entry.claims.unavailable()
		if outage != c.logOutage {
			c.logOutage = outage
			return claim.LogOutage{Active: outage}
		}
		return claim.LogRead{}
	case <-t.C:
		return claim.LogRead{}
	}
}
