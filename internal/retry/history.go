package retry

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// History is what happened to a request so far. The zero value belongs to a
// request that was not sent yet. It is an immutable value.
type History struct {
	Tried    []oleanderspool.InstanceID // servers that must not be chosen next; not to be modified
	Retries  int                        // retries so far
	Attaches int                        // times the current attempt was attached to again
	// Execution is the most that any attempt so far may have done. A later
	// attempt that was not run does not lower it.
	Execution     oleanderspool.Execution
	FreeRetryUsed bool // the free retry after a crash was used
}

// WithExecution returns a copy that says what an attempt may have done which
// was given up without a decision of the policy.
func (h History) WithExecution(e oleanderspool.Execution) History {
	h.Execution = max(h.Execution, e)
	return h
}

// WithoutTried returns a copy that lets every server be chosen again.
func (h History) WithoutTried() History {
	h.Tried = nil
	return h
}

// withFailure returns a copy that contains a failed attempt.
func (h History) withFailure(f Failure) History {
	h.Execution = max(h.Execution, f.certain())
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

// withAttach returns a copy that attaches to the same attempt again.
func (h History) withAttach() History {
	h.Attaches++
	return h
}

// certain returns what is certain about the execution of the attempt. Only an
// answer of the agent or a connection that was never made show that it was not
// run.
func (f Failure) certain() oleanderspool.Execution {
	if f.AgentReported || f.Reason == oleanderspool.RetryConnectFailed {
		return f.Execution
	}
	return max(f.Execution, oleanderspool.MayHaveRun)
}
