package claim

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

// Submission is one arrival of a keyed request at this process.
type Submission struct {
	Key         Key
	Fingerprint oleanderspool.Fingerprint
	Request     oleanderspool.RequestID
	// Deadline is an instant on the local clock. The resolver lowers it to at
	// most half the key lifetime after arrival, so that no submission outlives
	// its claim.
	Deadline oleanderspool.Millis
	// EarlierOutcomeUnknown says that the caller knows of an earlier submission
	// of the key, but not its outcome. No refusal then says "not run", because
	// the earlier submission may still run.
	EarlierOutcomeUnknown bool
}

// Delays are the retry delays of a [Resolver], in milliseconds.
type Delays struct {
	// AppendRetry is the minimum delay after which an uncertain append is
	// repeated if the claim has not appeared in the log.
	AppendRetry oleanderspool.Millis
	// LogRetryAfter is returned to callers while the log is unavailable.
	LogRetryAfter oleanderspool.Millis
	// AgentRetryAfter is returned to callers whose attempt is on an unreachable
	// agent.
	AgentRetryAfter oleanderspool.Millis
	// StateRetryAfter is returned to callers while the state is full or the
	// current claim of the key is doubtful.
	StateRetryAfter oleanderspool.Millis
}

// DefaultDelays has an AppendRetry well above one round trip to the log and an
// AgentRetryAfter equal to the 3 s without an event after which an agent's
// stream times out.
var DefaultDelays = Delays{
	AppendRetry:     1 * oleanderspool.Second,
	LogRetryAfter:   5 * oleanderspool.Second,
	AgentRetryAfter: 3 * oleanderspool.Second,
	StateRetryAfter: 30 * oleanderspool.Second,
}

// phase says what a resolver waits for.
type phase int

const (
	phaseNew       phase = iota
	phaseCatchUp         // end of the stream, to be read before a claim is made
	phaseChoose          // choice of a backend server and an attempt
	phaseAppend          // outcome of the append
	phaseRead            // stream up to the own claim, to be read
	phaseUncertain       // own claim or one that wins against it, after an uncertain append
	phaseFollow          // agent's reply about the target
	phaseDone            // nothing
)

// Resolver takes one submission of a key from its arrival to the attempt that
// serves it or to a refusal. It decides from the replayed log, never from its
// own record of what it appended.
//
// A refusal says "not run" only if no attempt made for this submission has
// started or will start, no attempt of another submission is known that may
// have started, and the caller has not set EarlierOutcomeUnknown.
type Resolver struct {
	submission Submission
	delays     Delays
	state      *State

	phase               phase
	outage              bool
	ownClaim            Claim                     // last claim made by this resolver
	ownOffset           oleanderspool.Offset      // offset of the own claim, in phaseRead
	uncertainAt         oleanderspool.Millis      // instant of the last uncertain append
	supersedes          oleanderspool.AttemptID   // attempt that the next claim replaces; empty for none
	basedOn             oleanderspool.Offset      // position of the state from which supersedes was determined
	ruledOut            []oleanderspool.AttemptID // attempts that have not started and never will
	target              Claim                     // claim whose attempt is followed
	mayHaveStarted      bool                      // the target may have started
	barSent             bool                      // the last request to the agent was a bar
	ownIncarnationEnded bool                      // the incarnation of the own claim ended before the attempt was sent
}

// NewResolver returns a resolver that decides from the given state, to which the
// caller keeps applying the stream.
func NewResolver(submission Submission, state *State, delays Delays) *Resolver {
	return &Resolver{submission: submission, delays: delays, state: state}
}

// Done reports whether the submission was refused. [Resolver.Handle] then
// returns [Wait] for every event.
func (r *Resolver) Done() bool {
	return r.phase == phaseDone
}

// Handle processes an event and returns what to do next. It ignores events that
// do not apply to the current phase, such as replies about an attempt that is no
// longer followed.
func (r *Resolver) Handle(e Event, now oleanderspool.Millis) Decision {
	if r.phase == phaseDone {
		return Wait{}
	}
	if _, passed := e.(DeadlinePassed); passed || now >= r.submission.Deadline {
		return r.deadlinePassed(now)
	}
	switch v := e.(type) {
	case Arrived:
		return r.arrived(v, now)
	case ServerChosen:
		return r.serverChosen(v, now)
	case NoServerChosen:
		return r.noServerChosen(v, now)
	case Appended, AppendUncertain, AppendFailed:
		return r.appendEnded(e, now)
	case LogRead:
		return r.logRead(now)
	case LogOutage:
		return r.logOutage(v, now)
	default:
		return r.agentEvent(e, now)
	}
}

func (r *Resolver) agentEvent(e Event, now oleanderspool.Millis) Decision {
	switch v := e.(type) {
	case Replied:
		return r.replied(v, now)
	case Unreachable:
		return r.unreachable(v)
	case StreamTimedOut:
		return r.streamTimedOut(v)
	case NotSent:
		return r.notSent(v, now)
	case IncarnationChanged:
		return r.incarnationEnded(v.Instance, v.Incarnation, now)
	case InstanceRemoved:
		return r.incarnationEnded(v.Instance, "", now)
	default:
		return Wait{}
	}
}

func (r *Resolver) arrived(e Arrived, now oleanderspool.Millis) Decision {
	if r.phase != phaseNew {
		return Wait{}
	}
	r.outage = e.LogOutage
	latest := now + r.state.limits.KeyLifetime/2
	r.submission.Deadline = min(r.submission.Deadline, latest)
	return r.followOrClaim(now)
}

// followOrClaim follows the current claim of the key or starts a new one.
func (r *Resolver) followOrClaim(now oleanderspool.Millis) Decision {
	current, ok := r.state.Current(r.submission.Key, now)
	if ok && !r.isRuledOut(current.Claim.Attempt) {
		return r.follow(current.Claim)
	}
	if remaining := r.state.IncompleteFor(now); remaining > 0 {
		return r.refuseIncomplete(remaining)
	}
	if ok && current.Doubtful {
		return r.refuseIncomplete(r.delays.StateRetryAfter)
	}
	if r.outage {
		return r.refuseOutage(now)
	}
	if r.state.Full() {
		return r.refuse(oleanderspool.RefusalOverloaded, "too many keys are claimed", r.delays.StateRetryAfter, now)
	}
	if !r.state.Fresh(now) {
		r.phase = phaseCatchUp
		return ReadLog{}
	}
	r.supersedes = ""
	if ok {
		r.supersedes = current.Claim.Attempt
	}
	r.basedOn = r.state.Position()
	r.phase = phaseChoose
	return ChooseServer{}
}

func (r *Resolver) serverChosen(e ServerChosen, now oleanderspool.Millis) Decision {
	if r.phase != phaseChoose {
		return Wait{}
	}
	if r.outage {
		return r.refuseOutage(now)
	}
	r.ownClaim = Claim{
		Key:         r.submission.Key,
		Fingerprint: r.submission.Fingerprint,
		Request:     r.submission.Request,
		Attempt:     e.Attempt,
		Instance:    e.Instance,
		Incarnation: e.Incarnation,
		Supersedes:  r.supersedes,
		BasedOn:     r.basedOn,
	}
	r.ownIncarnationEnded = false
	r.ruledOut = append(r.ruledOut, e.Attempt) // removed when the attempt is sent
	r.phase = phaseAppend
	return Append{Claim: r.ownClaim}
}

func (r *Resolver) noServerChosen(e NoServerChosen, now oleanderspool.Millis) Decision {
	if r.phase != phaseChoose {
		return Wait{}
	}
	return r.refuse(e.Refusal.Reason, e.Refusal.Message, e.Refusal.RetryAfter, now)
}

func (r *Resolver) appendEnded(e Event, now oleanderspool.Millis) Decision {
	if r.phase != phaseAppend {
		return Wait{}
	}
	switch v := e.(type) {
	case Appended:
		r.phase = phaseRead
		r.ownOffset = v.Offset
		return r.logRead(now)
	case AppendUncertain:
		r.phase = phaseUncertain
		r.uncertainAt = now
		return r.resolveUncertainAppend(now)
	default:
		// An earlier copy of the claim, from an uncertain append, may be in the log.
		r.outage = true
		return r.sendOwnOrFollow(now)
	}
}

func (r *Resolver) logRead(now oleanderspool.Millis) Decision {
	switch r.phase {
	case phaseCatchUp:
		if !r.state.Fresh(now) {
			return ReadLog{}
		}
		return r.followOrClaim(now)
	case phaseRead:
		if r.state.Position() < r.ownOffset {
			return ReadLog{Until: r.ownOffset}
		}
		return r.sendOwnOrFollow(now)
	case phaseUncertain:
		return r.resolveUncertainAppend(now)
	default:
		return Wait{}
	}
}

// resolveUncertainAppend looks for the own claim in the log after an uncertain
// append, and repeats the append if the claim does not appear.
func (r *Resolver) resolveUncertainAppend(now oleanderspool.Millis) Decision {
	current, ok := r.state.Current(r.submission.Key, now)
	if ok && current.Claim.Attempt != r.ownClaim.Supersedes {
		return r.sendOwnOrFollow(now)
	}
	if !r.outage && now >= r.uncertainAt+r.delays.AppendRetry {
		// A second copy is safe: of two claims for one attempt the second is invalid.
		r.phase = phaseAppend
		return Append{Claim: r.ownClaim}
	}
	return ReadLog{Until: r.state.Position() + 1}
}

// sendOwnOrFollow sends the own attempt if the own claim has won. Otherwise it
// follows the current claim of the key or starts a new one.
func (r *Resolver) sendOwnOrFollow(now oleanderspool.Millis) Decision {
	current, ok := r.state.Current(r.submission.Key, now)
	if !ok || current.Claim.Attempt != r.ownClaim.Attempt || r.ownIncarnationEnded {
		return r.followOrClaim(now)
	}
	if current.Doubtful {
		return r.refuseIncomplete(r.delays.StateRetryAfter)
	}
	r.ruledOut = removeAttempt(r.ruledOut, r.ownClaim.Attempt)
	r.startFollowing(r.ownClaim)
	return Send{Claim: r.ownClaim}
}

// follow attaches to the attempt of a claim. It refuses the submission if the
// claim was made for a different request.
func (r *Resolver) follow(c Claim) Decision {
	if c.Fingerprint != r.submission.Fingerprint {
		return r.refuseKeyReused()
	}
	r.startFollowing(c)
	return Attach{Claim: c}
}

func (r *Resolver) startFollowing(c Claim) {
	r.target = c
	r.mayHaveStarted = true
	r.barSent = false
	r.phase = phaseFollow
}

func (r *Resolver) replied(e Replied, now oleanderspool.Millis) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	switch e.State {
	case attempt.StateRunning, attempt.StateFinished:
		return r.started()
	case attempt.StateNotStarted:
		r.barSent = true
		return Bar{Claim: r.target}
	case attempt.StateBarred:
		return r.targetRuledOut(now)
	case attempt.StateFailed:
		return r.failed(e.Refusal, now)
	case attempt.StateEvicted:
		return r.refuseClaimedElsewhere(oleanderspool.Ran, "the request ran and its answer is no longer kept", 0)
	default:
		return r.refuseClaimedElsewhere(oleanderspool.MayHaveRun, "the agent of the attempt no longer knows it", 0)
	}
}

// started waits for the answer. If the attempt started between the attach and
// the bar, it attaches again.
func (r *Resolver) started() Decision {
	if !r.barSent {
		return Wait{}
	}
	r.barSent = false
	return Attach{Claim: r.target}
}

// targetRuledOut proceeds after the agent has ruled out that the target has
// started or will start.
func (r *Resolver) targetRuledOut(now oleanderspool.Millis) Decision {
	r.mayHaveStarted = false
	r.ruledOut = append(r.ruledOut, r.target.Attempt)
	return r.followOrClaim(now)
}

func (r *Resolver) failed(refusal *oleanderspool.Refusal, now oleanderspool.Millis) Decision {
	if refusal == nil {
		return r.refuseClaimedElsewhere(oleanderspool.MayHaveRun, "the attempt failed", 0)
	}
	if refusal.Execution == oleanderspool.NotRun {
		return r.targetRuledOut(now)
	}
	r.phase = phaseDone
	return Refuse{Refusal: refusal}
}

func (r *Resolver) unreachable(e Unreachable) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	return r.refuseClaimedElsewhere(oleanderspool.MayHaveRun, "the agent of the attempt cannot be reached", r.delays.AgentRetryAfter)
}

func (r *Resolver) streamTimedOut(e StreamTimedOut) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	return Attach{Claim: r.target}
}

// notSent proceeds after the own attempt did not reach its agent. No bar is
// needed: only this resolver sends the attempt, and it does not send it again.
func (r *Resolver) notSent(e NotSent, now oleanderspool.Millis) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	if r.target.Attempt != r.ownClaim.Attempt {
		return r.unreachable(Unreachable(e))
	}
	return r.targetRuledOut(now)
}

// incarnationEnded handles the change of an instance's incarnation to next, or
// the removal of the instance if next is empty. If the own attempt was not sent
// yet, its claim is replaced; an attempt that was sent may have run.
func (r *Resolver) incarnationEnded(instance oleanderspool.InstanceID, next oleanderspool.Incarnation, now oleanderspool.Millis) Decision {
	switch r.phase {
	case phaseAppend, phaseRead, phaseUncertain:
		if instance == r.ownClaim.Instance && next != r.ownClaim.Incarnation {
			r.ownIncarnationEnded = true
		}
		return Wait{}
	case phaseFollow:
		if instance == r.target.Instance && next != r.target.Incarnation {
			return r.replied(Replied{Attempt: r.target.Attempt, State: attempt.StateOtherIncarnation}, now)
		}
	}
	return Wait{}
}

func (r *Resolver) logOutage(e LogOutage, now oleanderspool.Millis) Decision {
	r.outage = e.Active
	if !r.outage {
		return Wait{}
	}
	switch r.phase {
	case phaseCatchUp, phaseChoose:
		return r.followOrClaim(now)
	default:
		return Wait{}
	}
}

func (r *Resolver) isRuledOut(id oleanderspool.AttemptID) bool {
	return slices.Contains(r.ruledOut, id)
}

// execution returns the execution that a refusal may state now.
func (r *Resolver) execution(now oleanderspool.Millis) oleanderspool.Execution {
	if r.mayHaveStarted || r.submission.EarlierOutcomeUnknown {
		return oleanderspool.MayHaveRun
	}
	current, ok := r.state.Current(r.submission.Key, now)
	if ok && !r.isRuledOut(current.Claim.Attempt) {
		return oleanderspool.MayHaveRun
	}
	return oleanderspool.NotRun
}

func (r *Resolver) refuse(reason oleanderspool.RefusalReason, message string, retryAfter, now oleanderspool.Millis) Decision {
	execution := r.execution(now)
	r.phase = phaseDone
	return Refuse{Refusal: oleanderspool.Refuse(reason, message).WithExecution(execution).WithRetryAfter(retryAfter)}
}

func (r *Resolver) deadlinePassed(now oleanderspool.Millis) Decision {
	retryAfter := r.delays.LogRetryAfter
	if r.mayHaveStarted {
		retryAfter = r.delays.AgentRetryAfter
	}
	return r.refuse(oleanderspool.RefusalTimeLimit, "the time limit has passed", retryAfter, now)
}

func (r *Resolver) refuseOutage(now oleanderspool.Millis) Decision {
	return r.refuse(oleanderspool.RefusalLogUnavailable, "the log is unavailable", r.delays.LogRetryAfter, now)
}

// refuseKeyReused refuses a key that was used for a different request. Whatever
// happened to that one, this request did not run.
func (r *Resolver) refuseKeyReused() Decision {
	execution := oleanderspool.NotRun
	if r.submission.EarlierOutcomeUnknown || r.mayHaveStarted {
		execution = oleanderspool.MayHaveRun
	}
	return r.refuseWith(oleanderspool.RefusalKeyReused, execution, "the key was used for another request", 0)
}

// refuseIncomplete refuses a key if the state cannot determine whether the key
// was claimed.
func (r *Resolver) refuseIncomplete(retryAfter oleanderspool.Millis) Decision {
	return r.refuseClaimedElsewhere(oleanderspool.MayHaveRun, "part of the claim stream was lost", retryAfter)
}

func (r *Resolver) refuseClaimedElsewhere(execution oleanderspool.Execution, message string, retryAfter oleanderspool.Millis) Decision {
	return r.refuseWith(oleanderspool.RefusalClaimedElsewhere, execution, message, retryAfter)
}

func (r *Resolver) refuseWith(reason oleanderspool.RefusalReason, execution oleanderspool.Execution, message string, retryAfter oleanderspool.Millis) Decision {
	r.phase = phaseDone
	return Refuse{Refusal: oleanderspool.Refuse(reason, message).WithExecution(execution).WithRetryAfter(retryAfter)}
}

func removeAttempt(attempts []oleanderspool.AttemptID, id oleanderspool.AttemptID) []oleanderspool.AttemptID {
	return slices.DeleteFunc(attempts, func(a oleanderspool.AttemptID) bool { return a == id })
}
