package claim

import (
	"fmt"

	"github.com/oleanderspool/oleanderspool"
)

// Decision is what a [Resolver] asks its process to do next.
type Decision interface {
	fmt.Stringer
	decision()
}

// Wait asks for no action until the next event.
type Wait struct{}

// ChooseServer asks for a backend server and a new attempt. The answer is
// [ServerChosen] or [NoServerChosen].
type ChooseServer struct{}

// Append asks to append the claim. The answer is [Appended],
// [AppendUncertain] or [AppendFailed].
type Append struct {
	Claim Claim
}

// ReadLog asks to read the stream up to an offset, or to its end if Until is 0,
// and to report each read with [LogRead].
type ReadLog struct {
	Until oleanderspool.Offset
}

// Send asks to run the attempt under the claim on the claim's agent.
type Send struct {
	Claim Claim
}

// Attach asks to stream the answer of the claim's attempt from the claim's
// agent. The pieces carry the claim's request ID.
type Attach struct {
	Claim Claim
}

// Bar asks the claim's agent to forbid the start of the attempt unless it has
// already started.
type Bar struct {
	Claim Claim
}

// Refuse ends the submission: the request is refused.
type Refuse struct {
	Refusal *oleanderspool.Refusal
}

func (Wait) decision()         {}
func (ChooseServer) decision() {}
func (Append) decision()       {}
func (ReadLog) decision()      {}
func (Send) decision()         {}
func (Attach) decision()       {}
func (Bar) decision()          {}
func (Refuse) decision()       {}

// String returns the decision in one line.
func (Wait) String() string { return "wait" }

// String returns the decision in one line.
func (ChooseServer) String() string { return "choose" }

// String returns the decision in one line.
func (d Append) String() string {
	if d.Claim.Supersedes == "" {
		return fmt.Sprintf("append %s", d.Claim.describe())
	}
	return fmt.Sprintf("append %s superseding %s", d.Claim.describe(), d.Claim.Supersedes)
}

// String returns the decision in one line.
func (d ReadLog) String() string {
	if d.Until == 0 {
		return "read log to the end"
	}
	return fmt.Sprintf("read log to %d", d.Until)
}

// String returns the decision in one line.
func (d Send) String() string { return "send " + d.Claim.describe() }

// String returns the decision in one line.
func (d Attach) String() string { return "attach " + d.Claim.describe() }

// String returns the decision in one line.
func (d Bar) String() string { return "bar " + d.Claim.describe() }

// String returns the decision in one line.
func (d Refuse) String() string {
	return fmt.Sprintf("refuse %s, retry after %d ms", d.Refusal, d.Refusal.RetryAfter)
}

// describe returns the attempt, the instance and the incarnation.
func (c Claim) describe() string {
	return fmt.Sprintf("%s on %s/%s", c.Attempt, c.Instance, c.Incarnation)
}
