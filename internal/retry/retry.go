// Package retry decides what an entry does after an attempt has failed: attach to it
// again, run the request on another server, run it as the trial of a suspect (a
// request that may crash servers), or refuse it. It keeps retries within a budget and
// repeats a request that is not idempotent only if no attempt can have run.
package retry

import (
	"math/rand/v2"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of [New].
const (
	// DefaultBudgetFraction is the number of retries per admitted request.
	DefaultBudgetFraction = 0.1
	// DefaultBudgetReserve is the number of retries per ten seconds that are allowed
	// in addition to the fraction, so that an entry with little traffic can retry too.
	DefaultBudgetReserve = 10
	// DefaultMaxRetries bounds the retries of one request.
	DefaultMaxRetries = 4
	// DefaultMaxAttaches bounds the re-attaches to one attempt without a piece of the
	// stream in between.
	DefaultMaxAttaches = 2
)

// defaultRetryAfter is the delay after which a caller should resend a request that was
// refused after a failed attempt. Failed agents are detected and replaced within it.
const defaultRetryAfter = 3 * oleanderspool.Second

// meanRevisitDelay is the mean delay before tried servers are tried again. With it,
// the retries of one request last as long as the restart of an engine or agent.
const meanRevisitDelay = oleanderspool.Second

// ServerWaitTimeout bounds how long a request whose attempt was lost waits for a
// server that may run it. A failed engine or agent is replaced and reports again
// within it.
const ServerWaitTimeout = 5 * oleanderspool.Second

// Action is what to do after a failed attempt.
type Action int

const (
	// Refuse answers the caller with the Refusal of the [Decision].
	Refuse Action = iota
	// Failover runs a new attempt on an untried server, or on any server after a
	// delay when all were tried.
	Failover
	// Attach resumes the stream of the same attempt after the last received piece.
	Attach
	// Trial is like Failover, but runs the attempt alone on its server, once the
	// platform's log confirms that this entry runs the trial.
	Trial
)

var actionNames = [...]string{Refuse: "refuse", Failover: "elsewhere", Attach: "attach", Trial: "trial"}

// String returns the name used in logs.
func (a Action) String() string {
	if a < 0 || int(a) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[a]
}

// Failure describes a failed attempt.
type Failure struct {
	Reason   oleanderspool.RetryReason
	Instance oleanderspool.InstanceID
	// Execution says whether the attempt may have run: NotRun if it was never sent, or
	// if the agent reported that it did not start and never will.
	// NotRun counts only with AgentReported or with the reason connect_failed.
	Execution oleanderspool.Execution
	// AgentReported says that the agent itself reported Execution. A request under a
	// claim is moved to another server only then, because other entries may know the
	// claim.
	AgentReported bool
	// RetryAfter is the delay after which the agent expects to accept requests; 0
	// when it reported none.
	RetryAfter oleanderspool.Millis
	// Suspect says that the request was in flight when its server crashed.
	Suspect bool
}

// Input is what [Policy.Decide] knows in addition to the failure: the request, its
// history and the remaining servers.
type Input struct {
	Request oleanderspool.Request
	History History
	// Untried is the number of servers that may run the request and were not tried,
	// excluding the one that failed.
	Untried int
	// MinDuration is the shortest expected duration of another attempt.
	MinDuration oleanderspool.Millis
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Action Action
	Reason oleanderspool.RetryReason // reason of the retry; empty for Refuse
	Delay  oleanderspool.Millis      // delay before the retry
	// History is the history for the next attempt. The caller resets Attaches when a
	// new piece arrives.
	History History
	Refusal *oleanderspool.Refusal // set for Refuse
}

// Option configures the policy that [New] returns.
type Option func(*Policy)

// WithBudget sets the budget.
func WithBudget(budget *Budget) Option {
	return func(p *Policy) { p.budget = budget }
}

// WithSeed seeds the jitter of the delays.
func WithSeed(seed uint64) Option {
	return func(p *Policy) { p.source = rand.New(rand.NewPCG(seed, seed)) }
}

// Policy decides about retries for one entry. It is not safe for concurrent
// use.
type Policy struct {
	budget      *Budget
	crashes     crashes
	source      *rand.Rand
	maxRetries  int
	maxAttaches int
}

// New returns a policy.
func New(options ...Option) *Policy {
	p := &Policy{
		budget:      NewBudget(DefaultBudgetFraction, DefaultBudgetReserve),
		crashes:     crashes{last: make(map[oleanderspool.InstanceID]oleanderspool.Millis)},
		source:      rand.New(rand.NewPCG(0, 0)),
		maxRetries:  DefaultMaxRetries,
		maxAttaches: DefaultMaxAttaches,
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// RecordAdmission counts an admitted request, which increases the budget.
func (p *Policy) RecordAdmission(now oleanderspool.Millis) {
	p.budget.RecordAdmission(now)
}

// SetKnownServers sets the number of known backend servers.
func (p *Policy) SetKnownServers(servers int) {
	p.crashes.servers = servers
}

// RecordCrash records that a backend server crashed. It must be called before
// [Policy.Decide] for the requests that were in flight on it.
func (p *Policy) RecordCrash(instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	p.crashes.add(instance, now)
}

// Decide returns what to do after a failed attempt.
func (p *Policy) Decide(in Input, f Failure, now oleanderspool.Millis) Decision {
	if f.Reason == oleanderspool.RetryStreamSilent && in.History.Attaches < p.maxAttaches {
		return p.attach(in, now)
	}
	h := in.History.withFailure(f)
	if !canMove(in.Request, f, h) {
		return refuse(h, oleanderspool.RefusalBackendServerFailed, "the backend server failed", resendAfter(in.Request, h))
	}
	if refusal := p.checkLimits(in, f, h); refusal != nil {
		return Decision{Action: Refuse, History: h, Refusal: refusal}
	}
	delay := p.delay(f, h)
	if in.Untried == 0 {
		delay = p.revisitDelay()
		h = h.WithoutTried()
	}
	if in.Request.Remaining(now) <= delay+in.MinDuration {
		return refuse(h, oleanderspool.RefusalTimeLimit, "the time limit leaves no time for a retry", defaultRetryAfter)
	}
	return p.chargeRetry(f, h, delay, now)
}

func (p *Policy) attach(in Input, now oleanderspool.Millis) Decision {
	h := in.History
	if in.Request.Remaining(now) == 0 {
		h.Execution = max(h.Execution, oleanderspool.MayHaveRun)
		return refuse(h, oleanderspool.RefusalTimeLimit, "the time limit passed", 0)
	}
	return Decision{Action: Attach, Reason: oleanderspool.RetryStreamSilent, History: h.withAttach()}
}

// canMove reports whether the request may run on another server. A request that is
// not idempotent may only if no attempt can have run and, if it needs a claim, only if
// the agent itself reported that.
func canMove(r oleanderspool.Request, f Failure, h History) bool {
	if r.Idempotent {
		return true
	}
	if h.Execution != oleanderspool.NotRun {
		return false
	}
	return f.AgentReported || !r.NeedsClaim()
}

// resendAfter returns the delay after which the caller should resend a request that
// cannot be moved. It is 0, meaning none, when a resend could run the request twice.
func resendAfter(r oleanderspool.Request, h History) oleanderspool.Millis {
	if h.Execution != oleanderspool.NotRun && !r.NeedsClaim() {
		return 0
	}
	return defaultRetryAfter
}

// checkLimits returns a refusal if the request has no retry left or would have to
// return to a busy server, and nil otherwise.
func (p *Policy) checkLimits(in Input, f Failure, h History) *oleanderspool.Refusal {
	busy := f.Reason == oleanderspool.RetryQueueFull
	switch {
	case busy && (in.Untried == 0 || h.Retries >= p.maxRetries):
		return refusal(h, oleanderspool.RefusalOverloaded, "every backend server is busy", max(f.RetryAfter, oleanderspool.Second))
	case h.Retries >= p.maxRetries:
		return refusal(h, oleanderspool.RefusalBackendServerFailed, "too many attempts have failed", defaultRetryAfter)
	default:
		return nil
	}
}

// delay returns the delay before the retry. Waiting helps only if the servers are
// busy; after any other failure the first retry can start at once.
func (p *Policy) delay(f Failure, h History) oleanderspool.Millis {
	if f.Reason != oleanderspool.RetryQueueFull && h.Retries == 0 {
		return 0
	}
	return backoff(h.Retries+1, p.source)
}

// revisitDelay returns the delay before tried servers are tried again. When several
// servers fail at about the same time, for example because one request crashes them
// in turn, their other requests have no untried server for a short time.
func (p *Policy) revisitDelay() oleanderspool.Millis {
	return meanRevisitDelay/2 + oleanderspool.Millis(p.source.Int64N(int64(meanRevisitDelay)+1))
}

// chargeRetry charges the retry to the budget, except for one free retry after a
// crash, and returns the decision.
func (p *Policy) chargeRetry(f Failure, h History, delay, now oleanderspool.Millis) Decision {
	free := serverFailed(f) && !h.FreeRetryUsed && !p.crashes.exceedLimit(now)
	if !free && !p.budget.Take(now) {
		return refuse(h, oleanderspool.RefusalRetryBudget, "too many requests are being retried", defaultRetryAfter)
	}
	if free {
		h.FreeRetryUsed = true
	}
	d := Decision{Action: Failover, Reason: f.Reason, Delay: delay, History: h.withRetry()}
	if f.Suspect {
		d.Action, d.Reason = Trial, oleanderspool.RetrySuspectTrial
	}
	return d
}

// serverFailed reports whether the attempt failed because its server failed.
func serverFailed(f Failure) bool {
	switch f.Reason {
	case oleanderspool.RetryAgentDied, oleanderspool.RetryEngineDied, oleanderspool.RetryStreamSilent:
		return true
	default:
		return f.Suspect
	}
}

func refuse(h History, reason oleanderspool.RefusalReason, message string, retryAfter oleanderspool.Millis) Decision {
	return Decision{Action: Refuse, History: h, Refusal: refusal(h, reason, message, retryAfter)}
}

func refusal(h History, reason oleanderspool.RefusalReason, message string, retryAfter oleanderspool.Millis) *oleanderspool.Refusal {
	return oleanderspool.Refuse(reason, message).WithExecution(h.Execution).WithRetryAfter(retryAfter)
}
