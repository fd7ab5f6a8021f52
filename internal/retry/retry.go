// Package retry decides what an entry does after an attempt has failed: attach
// to it again, run the request elsewhere, run it as the trial of a suspect, or
// refuse it. It keeps retries within a budget and never runs a request that is
// not idempotent again unless it is certain that it was not run.
package retry

import (
	"math/rand/v2"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of [New].
const (
	// DefaultBudgetFraction is the part of the admitted requests that may be retried.
	DefaultBudgetFraction = 0.1
	// DefaultBudgetReserve is the number of retries per ten seconds that are allowed
	// in addition, so that a quiet entry can retry too.
	DefaultBudgetReserve = 10
	// DefaultMaxRetries bounds the retries of one request.
	DefaultMaxRetries = 4
	// DefaultMaxAttaches bounds how often one attempt is attached to again
	// without a new piece in between.
	DefaultMaxAttaches = 2
)

// crashRetryAfter is the span after which a caller should resend a request
// whose server was lost. Failed agents are recognised and replaced within it.
const crashRetryAfter = 3 * oleanderspool.Second

// meanReturn is the mean span before servers that were tried are tried again.
// The retries of one request then cover the restart of an engine or agent.
const meanReturn = oleanderspool.Second

// ServerWaitTimeout bounds the wait of a request whose attempt was lost for a server
// that may run it. A failed engine or agent is replaced and reports within it.
const ServerWaitTimeout = 5 * oleanderspool.Second

// Action tells what to do after a failed attempt.
type Action int

// The actions.
const (
	// Refuse answers the caller with the refusal of the decision.
	Refuse Action = iota
	// Failover runs a new attempt on a server that was not tried, or on any
	// after a delay when all were.
	Failover
	// Attach resumes the same attempt from the last piece.
	Attach
	// Trial is like Elsewhere, but runs the attempt alone on its server, once
	// the log says that this entry runs the trial.
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

// Failure is a failed attempt.
type Failure struct {
	Reason   oleanderspool.RetryReason
	Instance oleanderspool.InstanceID
	// Execution is what is certain about the attempt: NotRun if it was never
	// sent, or the agent answered that it did not start and never will. NotRun
	// counts only with Answered or with the reason connect_failed.
	Execution oleanderspool.Execution
	// AgentReported says that the agent itself gave Execution. An attempt under a
	// claim is moved only then, because other entries may know the claim.
	AgentReported bool
	// RetryAfter is the span after which the agent expects to accept work; 0
	// when it gave none.
	RetryAfter oleanderspool.Millis
	// Suspect says that the request was in flight when its server crashed.
	Suspect bool
}

// Situation is what else the decision depends on.
type Situation struct {
	Request oleanderspool.Request
	History History
	// Untried is the number of servers that may run the request and were not
	// tried, without the one that failed.
	Untried int
	// MinDuration is the span that another attempt is expected to take at least.
	MinDuration oleanderspool.Millis
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Action Action
	Reason oleanderspool.RetryReason // reason of the retry; empty for Refuse
	Delay  oleanderspool.Millis      // span to wait before the retry
	// History is that of the next attempt. The caller resets Attaches when a
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

// WithSeed seeds the jitter.
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

// RecordAdmission counts an admitted request for the budget.
func (p *Policy) RecordAdmission(now oleanderspool.Millis) {
	p.budget.RecordAdmission(now)
}

// SetKnownServers sets the number of backend servers that exist.
func (p *Policy) SetKnownServers(servers int) {
	p.crashes.known = servers
}

// RecordCrash notes that a backend server crashed. It must be called before
// [Policy.Decide] for the requests that were in flight on it.
func (p *Policy) RecordCrash(instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	p.crashes.add(instance, now)
}

// Decide returns what to do after a failed attempt.
func (p *Policy) Decide(s Situation, f Failure, now oleanderspool.Millis) Decision {
	if f.Reason == oleanderspool.RetryStreamSilent && s.History.Attaches < p.maxAttaches {
		return p.attach(s, now)
	}
	h := s.History.withFailure(f)
	if !movable(s.Request, f, h) {
		return refuse(h, oleanderspool.RefusalBackendServerFailed, "the backend server failed", resendAfter(s.Request, h))
	}
	if refusal := p.refuseRetry(s, f, h); refusal != nil {
		return Decision{Action: Refuse, History: h, Refusal: refusal}
	}
	delay := p.delay(f, h)
	if s.Untried == 0 {
		delay = p.returnDelay()
		h = h.WithoutTried()
	}
	if s.Request.Remaining(now) <= delay+s.MinDuration {
		return refuse(h, oleanderspool.RefusalTimeLimit, "the time limit leaves no time for a retry", crashRetryAfter)
	}
	return p.spend(f, h, delay, now)
}

func (p *Policy) attach(s Situation, now oleanderspool.Millis) Decision {
	h := s.History
	if s.Request.Remaining(now) == 0 {
		h.Execution = max(h.Execution, oleanderspool.MayHaveRun)
		return refuse(h, oleanderspool.RefusalTimeLimit, "the time limit passed", 0)
	}
	return Decision{Action: Attach, Reason: oleanderspool.RetryStreamSilent, History: h.withAttach()}
}

// movable reports whether the request may run on another server. A request
// that is not idempotent may only if no attempt ran; one under a claim only if
// the agent answered so itself.
func movable(r oleanderspool.Request, f Failure, h History) bool {
	if r.Idempotent {
		return true
	}
	if h.Execution != oleanderspool.NotRun {
		return false
	}
	return f.AgentReported || !r.NeedsClaim()
}

// resendAfter returns the span after which a resend of a request that cannot be
// moved makes sense. It is 0 when the resend could run the request twice.
func resendAfter(r oleanderspool.Request, h History) oleanderspool.Millis {
	if h.Execution != oleanderspool.NotRun && !r.NeedsClaim() {
		return 0
	}
	return crashRetryAfter
}

// refuseRetry refuses a retry that has no attempt left, or that would go back
// to a busy server.
func (p *Policy) refuseRetry(s Situation, f Failure, h History) *oleanderspool.Refusal {
	busy := f.Reason == oleanderspool.RetryQueueFull
	switch {
	case busy && (s.Untried == 0 || h.Retries >= p.maxRetries):
		return refusal(h, oleanderspool.RefusalOverloaded, "every backend server is busy", max(f.RetryAfter, oleanderspool.Second))
	case h.Retries >= p.maxRetries:
		return refusal(h, oleanderspool.RefusalBackendServerFailed, "too many attempts have failed", crashRetryAfter)
	default:
		return nil
	}
}

// delay returns the span to wait before the retry. Only a busy fleet is
// relieved by waiting; after other failures another server can start at once.
func (p *Policy) delay(f Failure, h History) oleanderspool.Millis {
	if f.Reason != oleanderspool.RetryQueueFull && h.Retries == 0 {
		return 0
	}
	return backoff(h.Retries+1, p.source)
}

// returnDelay returns the span before servers that were tried are tried again.
// Several servers that fail at once, as when a request crashes one after the
// other, leave none for their other requests for a moment.
func (p *Policy) returnDelay() oleanderspool.Millis {
	return meanReturn/2 + oleanderspool.Millis(p.source.Int64N(int64(meanReturn)+1))
}

// spend draws the retry from the budget, except for the free one after a
// crash.
func (p *Policy) spend(f Failure, h History, delay, now oleanderspool.Millis) Decision {
	free := crashed(f) && !h.FreeRetryUsed && !p.crashes.many(now)
	if !free && !p.budget.Take(now) {
		return refuse(h, oleanderspool.RefusalRetryBudget, "too many requests are being retried", crashRetryAfter)
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

// crashed reports whether the attempt failed because its server did.
func crashed(f Failure) bool {
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
