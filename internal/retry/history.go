package retry

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// History records the past attempts of a request. It is an immutable value. The zero
// value belongs to a request that was not sent yet.
type History struct {
	Tried    []oleanderspool.InstanceID // servers that the next attempt must not use; not to be modified
	Retries  int                        // retries so far
	Attaches int                        // how often the current attempt was attached to again since its last piece
	// Execution is the maximum over all attempts so far. A later attempt that was
	// not run does not lower it.
	Execution     oleanderspool.Execution
	FreeRetryUsed bool // the retry that is not charged to the budget was used
}

// WithExecution returns a copy that includes the execution of an attempt that ended
// without a decision of the policy.
func (h History) WithExecution(e oleanderspool.Execution) History {
	h.Execution = max(h.Execution, e)
	return h
}

// WithoutTried returns a copy that allows every server again.
func (h History) WithoutTried() History {
	h.Tried = nil
	return h
}

// withFailure returns a copy that includes a failed attempt.
func (h History) withFailure(f Failure) History {
	h.Execution = max(h.Execution, f.executionBound())
	if !slices.Contains(h.Tried, f.Instance) {
		h.Tried = append(slices.Clone(h.Tried), f.Instance)
	}
	return h
}

// withRetry returns a copy for the next attempt.
func (h History) withRetry() History {
	h.Retries++
	h.Attaches = 0
	return h
}

// withAttach returns a copy that counts another attach to the same attempt.
func (h History) withAttach() History {
	h.Attaches++
	return h
}

// executionBound returns the most that the attempt may have executed. Only a report
// of the agent or a failed connect proves that it was not run.
func (f Failure) executionBound() oleanderspool.Execution {
	if f.AgentReported || f.Reason == oleanderspool.RetryConnectFailed {
		return f.Execution
	}
	return max(f.Execution, oleanderspool.MayHaveRun)
}
