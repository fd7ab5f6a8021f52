package oleanderspool

import "fmt"

// Execution records whether a refused request was run.
type Execution int

// The values of Execution, from certainly not run to certainly run.
const (
	// NotRun means that no side effect occurred and none will.
	NotRun Execution = iota
	// MayHaveRun means that side effects may have occurred or may still occur.
	MayHaveRun
	// Ran means that the request was run, but its answer is not available.
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

// ParseExecution returns the execution with the given wire name. For an
// unknown name it returns MayHaveRun, which guarantees the least.
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

// Refusal is the final answer to a request that is not served. It implements
// error.
type Refusal struct {
	Reason     RefusalReason
	Execution  Execution
	RetryAfter Millis // delay after which the caller may retry; 0 when a retry is pointless
	Message    string // for people; not to be parsed
	// Retry is the reason why another attempt inside the fleet may succeed;
	// empty when none may.
	Retry RetryReason
	// Crash identifies the engine crash that ended the attempt; empty for none.
	// It is not sent to callers.
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

// WithRetryAfter returns a copy that asks the caller to retry after delay.
func (r *Refusal) WithRetryAfter(delay Millis) *Refusal {
	c := *r
	c.RetryAfter = delay
	return &c
}

// WithRetry returns a copy with the given reason for another attempt.
func (r *Refusal) WithRetry(reason RetryReason) *Refusal {
	c := *r
	c.Retry = reason
	return &c
}

// WithCrash returns a copy with the id of the engine crash that ended the
// attempt.
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
