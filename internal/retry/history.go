package retry

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// History records the past attempts of a request. It is an immutable value. The zero
// value is the history of a request that was not sent yet.
type History struct {
	Tried    []oleanderspool.InstanceID // servers that the next attempt must not use; not to be modified
	Retries  int                        // retries so far
	Attaches int                        // re-attaches to the current attempt since its last piece
	// Execution is the maximum over all attempts so far. A later attempt that was
	// not run does not lower it.
	Execution     oleanderspool.Execution
	FreeRetryUsed bool // the retry that is not charged to the budget was used
}

// WithExecution returns a copy that includes the execution of an attempt for which
// [Policy.Decide] was not called.
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
	h.Execution = max(h.Execution, f.worstExecution())
	if !slices.Contains(h.Tried, f.Instance) {
		h.Tried = append(slices.Clone(h.Tried), f.Instance)
	}
	return h
}

// withRetry returns a copy that counts a retry and resets Attaches.
func (h History) withRetry() History {
	h.Retries++
	h.Attaches = 0
	return h
}

// withAttach returns a copy that counts a re-attach to the current attempt.
func (h History) withAttach() History {
	h.Attaches++
	return h
}

// worstExecution returns whether the attempt may have run, in the worst case. Only a
// report of the agent or a failed connect proves that it was not run.
func (f Failure) worstExecution() oleanderspool.Execution {
	if f.AgentReported || f.Reason == oleanderspool.RetryConnectFailed {
		return f.Execution
	}
	return max(f.Execution, oleanderspool.MayHaveRun)
}
