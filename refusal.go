package oleanderspool

import "fmt"

// Execution tells whether a refused request was run.
type Execution int

// The values of Execution, in order of what a caller may assume.
const (
	// NotRun says that no side effect happened and none will.
	NotRun Execution = iota
	// MayHaveRun says that the side effect may have happened or may still happen.
	MayHaveRun
	// Ran says that the request was run, but its answer is not available.
	Ran
)

var executionNames = [...]string{NotRun: "not_run", MayHaveRun: "may_have_run", Ran: "ran"}

// String returns the name used on the wire.
func (e Execution) String() string {
	if e < 0 || int(e) >= len(executionNames) {
		return "may_have_run"
	}
	return executionNames[e]
}

// ParseExecution returns the execution with the given wire name. An unknown
// name is MayHaveRun, the answer that promises least.
func ParseExecution(name string) Execution {
	for i, known := range executionNames {
		if known == name {
			return Execution(i)
		}
	}
	return MayHaveRun
}

// RefusalReason is a machine-readable reason of a refusal, from a closed list.
type RefusalReason string

// The refusal reasons.
const (
	RefusalBadRequest          RefusalReason = "bad_request"
	RefusalUnknownAccount      RefusalReason = "unknown_account"
	RefusalUnknownModel        RefusalReason = "unknown_model"
	RefusalUnknownRoute        RefusalReason = "unknown_route"
	RefusalPromptTooLong       RefusalReason = "prompt_too_long"
	RefusalBodyTooLarge        RefusalReason = "body_too_large"
	RefusalHeaderTooLarge      RefusalReason = "header_too_large"
	RefusalSlowSender          RefusalReason = "slow_sender"
	RefusalAccountRateLimit    RefusalReason = "account_rate_limit"
	RefusalAccountShare        RefusalReason = "account_share"
	RefusalNoBackendServer     RefusalReason = "no_backend_server"
	RefusalDeadlineTooShort    RefusalReason = "deadline_too_short"
	RefusalOverloaded          RefusalReason = "overloaded"
	RefusalLogUnavailable      RefusalReason = "log_unavailable"
	RefusalClaimedElsewhere    RefusalReason = "claimed_elsewhere_unknown"
	RefusalKeyReused           RefusalReason = "key_reused"
	RefusalCrashesServer       RefusalReason = "crashes_backend_server"
	RefusalRetryBudget         RefusalReason = "retry_budget"
	RefusalBackendServerFailed RefusalReason = "backend_server_failed"
	RefusalTimeLimit           RefusalReason = "time_limit"
	RefusalStopping            RefusalReason = "stopping"
	RefusalCancelled           RefusalReason = "cancelled"
)

// RefusalReasons lists every refusal reason, in the order of the design page.
var RefusalReasons = []RefusalReason{
	RefusalBadRequest, RefusalUnknownAccount, RefusalUnknownModel, RefusalUnknownRoute,
	RefusalPromptTooLong, RefusalBodyTooLarge, RefusalHeaderTooLarge, RefusalSlowSender, RefusalAccountRateLimit,
	RefusalAccountShare, RefusalNoBackendServer, RefusalDeadlineTooShort, RefusalOverloaded,
	RefusalLogUnavailable, RefusalClaimedElsewhere, RefusalKeyReused, RefusalCrashesServer,
	RefusalRetryBudget, RefusalBackendServerFailed, RefusalTimeLimit, RefusalStopping,
	RefusalCancelled,
}

// Refusal is the final answer to a request that is not served. It is an error.
type Refusal struct {
	Reason     RefusalReason
	Execution  Execution
	RetryAfter Millis // span after which a resend makes sense; 0 when none does
	Message    string // for people; not to be parsed
	// Retry is set when another attempt inside the fleet makes sense.
	Retry RetryReason
	// Crash identifies the crash of an engine that ended the attempt; empty
	// for none. It stays inside the fleet.
	Crash string
}

// Refuse returns a refusal of a request that was not run.
func Refuse(reason RefusalReason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message}
}

// Error returns the reason, the execution and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Execution, r.Message)
}

// WithExecution returns a copy with the given execution.
func (r *Refusal) WithExecution(execution Execution) *Refusal {
	c := *r
	c.Execution = execution
	return &c
}

// WithRetryAfter returns a copy that asks the caller to come back after span.
func (r *Refusal) WithRetryAfter(span Millis) *Refusal {
	c := *r
	c.RetryAfter = span
	return &c
}

// WithRetry returns a copy that says why another attempt makes sense.
func (r *Refusal) WithRetry(reason RetryReason) *Refusal {
	c := *r
	c.Retry = reason
	return &c
}

// WithCrash returns a copy that names the crash that ended the attempt.
func (r *Refusal) WithCrash(id string) *Refusal {
	c := *r
	c.Crash = id
	return &c
}

// RetryReason is a machine-readable reason of a retry inside the fleet, from
// a closed list.
type RetryReason string

// The retry reasons.
const (
	RetryConnectFailed       RetryReason = "connect_failed"
	RetryLeaving             RetryReason = "leaving"
	RetryBarred              RetryReason = "barred"
	RetryAgentDied           RetryReason = "agent_died"
	RetryEngineDied          RetryReason = "engine_died"
	RetryStreamSilent        RetryReason = "stream_silent"
	RetryQueueFull           RetryReason = "queue_full"
	RetryBehindConfiguration RetryReason = "behind_configuration"
	RetrySuspectTrial        RetryReason = "suspect_trial"
)

// RetryReasons lists every retry reason, in the order of the design page.
var RetryReasons = []RetryReason{
	RetryConnectFailed, RetryLeaving, RetryBarred, RetryAgentDied, RetryEngineDied,
	RetryStreamSilent, RetryQueueFull, RetryBehindConfiguration, RetrySuspectTrial,
}
