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
	// Deadline is an instant on the local clock. It is lowered to half the key
	// lifetime after arrival, so that no submission outlives its claim.
	Deadline oleanderspool.Millis
	// EarlierOutcomeUnknown says that the caller knows of an earlier submission of the key
	// whose outcome it does not know. No refusal then says "not run", because
	// the earlier submission may still run.
	EarlierOutcomeUnknown bool
}

// Delays are the spans that a [Resolver] works with, in milliseconds.
type Delays struct {
	// AppendRetry is the shortest span after which an uncertain append is
	// repeated when the log does not show it.
	AppendRetry oleanderspool.Millis
	// LogRetryAfter is told to callers while the log is unavailable.
	LogRetryAfter oleanderspool.Millis
	// AgentRetryAfter is told to callers whose attempt is on an unreachable agent.
	AgentRetryAfter oleanderspool.Millis
	// FullRetryAfter is told to callers while too many keys are claimed.
	FullRetryAfter oleanderspool.Millis
}

// DefaultDelays are chosen to be well above one log round trip and near the 3 s
// after which an agent counts as silent.
var DefaultDelays = Delays{
	AppendRetry:     1 * oleanderspool.Second,
	LogRetryAfter:   5 * oleanderspool.Second,
	AgentRetryAfter: 3 * oleanderspool.Second,
	FullRetryAfter:  30 * oleanderspool.Second,
}

// phase is what a resolver waits for.
type phase int

const (
	phaseNew     phase = iota
	phaseCatchUp       // end of the stream, before a claim is made
	phaseChoose        // backend server and attempt
	phaseAppend        // outcome of the append
	phaseRead          // stream up to the own claim
	phaseSettle        // own claim or a better one, after an uncertain append
	phaseFollow        // agent's answer about the target
	phaseDone          // nothing
)

// Resolver takes one submission of a key from its arrival to the attempt that
// serves it or to a refusal. It decides from the replayed log, never from its
// own memory of what it appended.
//
// Its refusals keep this promise: "not run" means that no attempt made for
// this submission has started or will start, that no attempt of another
// submission is known which could have, and that the caller reported none.
type Resolver struct {
	submission Submission
	delays     Delays
	state      *State

	phase       phase
	outage      bool
	own         Claim                     // last claim made here
	ownOffset   oleanderspool.Offset      // of the own claim, in phaseRead
	uncertainAt oleanderspool.Millis      // last uncertain append
	supersede   oleanderspool.AttemptID   // attempt to name in the next claim
	basedOn     oleanderspool.Offset      // position at which supersede was chosen
	harmless    []oleanderspool.AttemptID // attempts that never start
	target      Claim                     // claim that is followed
	exposed     bool                      // the target may have started
	barring     bool                      // the last question to the agent was a bar
	ownGone     bool                      // the own claim's incarnation ended before it was sent
}

// NewResolver returns a resolver that decides from the given state, which the
// caller keeps applying the stream to.
func NewResolver(submission Submission, state *State, delays Delays) *Resolver {
	return &Resolver{submission: submission, delays: delays, state: state}
}

// Done reports whether the submission was refused. Every later event is
// answered with [Wait].
func (r *Resolver) Done() bool {
	return r.phase == phaseDone
}

// Handle takes an event and returns what to do next. Events that do not fit
// the current step, such as replies about an attempt that is no longer
// followed, are ignored.
func (r *Resolver) Handle(e Event, now oleanderspool.Millis) Decision {
	if r.phase == phaseDone {
		return Wait{}
	}
	if _, limit := e.(DeadlinePassed); limit || now >= r.submission.Deadline {
		return r.timeLimit(now)
	}
	switch v := e.(type) {
	case Arrived:
		return r.arrived(v, now)
	case ServerChosen:
		return r.chosen(v, now)
	case NoServerChosen:
		return r.notChosen(v, now)
	case Appended, AppendUncertain, AppendRefused:
		return r.appendEnded(e, now)
	case LogRead:
		return r.read(now)
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
		return r.silent(v)
	case NotSent:
		return r.notSent(v, now)
	case IncarnationChanged:
		return r.incarnationEnded(v.Instance, v.Incarnation, now)
	case InstanceGone:
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
	longest := now + r.state.limits.KeyLifetime/2
	r.submission.Deadline = min(r.submission.Deadline, longest)
	return r.proceed(now)
}

// proceed follows the current claim of the key or starts a new one.
func (r *Resolver) proceed(now oleanderspool.Millis) Decision {
	current, ok := r.state.Current(r.submission.Key, now)
	if ok && !r.isHarmless(current.Claim.Attempt) {
		return r.follow(current.Claim)
	}
	if span := r.state.IncompleteFor(now); span > 0 {
		return r.refuseUnknown(span)
	}
	if ok && current.Doubtful {
		return r.refuseUnknown(r.delays.FullRetryAfter)
	}
	if r.outage {
		return r.refuseOutage(now)
	}
	if r.state.Full() {
		return r.refuse(oleanderspool.RefusalOverloaded, "too many keys are claimed", r.delays.FullRetryAfter, now)
	}
	if !r.state.Fresh(now) {
		r.phase = phaseCatchUp
		return ReadLog{}
	}
	r.supersede = ""
	if ok {
		r.supersede = current.Claim.Attempt
	}
	r.basedOn = r.state.Position()
	r.phase = phaseChoose
	return ChooseServer{}
}

func (r *Resolver) chosen(e ServerChosen, now oleanderspool.Millis) Decision {
	if r.phase != phaseChoose {
		return Wait{}
	}
	if r.outage {
		return r.refuseOutage(now)
	}
	r.own = Claim{
		Key:         r.submission.Key,
		Fingerprint: r.submission.Fingerprint,
		Request:     r.submission.Request,
		Attempt:     e.Attempt,
		Instance:    e.Instance,
		Incarnation: e.Incarnation,
		Supersedes:  r.supersede,
		BasedOn:     r.basedOn,
	}
	r.ownGone = false
	r.harmless = append(r.harmless, e.Attempt) // until it is sent
	r.phase = phaseAppend
	return Append{Claim: r.own}
}

func (r *Resolver) notChosen(e NoServerChosen, now oleanderspool.Millis) Decision {
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
		return r.read(now)
	case AppendUncertain:
		r.phase = phaseSettle
		r.uncertainAt = now
		return r.settle(now)
	default:
		// An earlier copy of the claim may be in the log after all.
		r.outage = true
		return r.decide(now)
	}
}

func (r *Resolver) read(now oleanderspool.Millis) Decision {
	switch r.phase {
	case phaseCatchUp:
		if !r.state.Fresh(now) {
			return ReadLog{}
		}
		return r.proceed(now)
	case phaseRead:
		if r.state.Position() < r.ownOffset {
			return ReadLog{Until: r.ownOffset}
		}
		return r.decide(now)
	case phaseSettle:
		return r.settle(now)
	default:
		return Wait{}
	}
}

// settle looks for the own claim after an uncertain append.
func (r *Resolver) settle(now oleanderspool.Millis) Decision {
	current, ok := r.state.Current(r.submission.Key, now)
	if ok && current.Claim.Attempt != r.own.Supersedes {
		return r.decide(now)
	}
	if !r.outage && now >= r.uncertainAt+r.delays.AppendRetry {
		// The copy does no harm: of two claims of one attempt the second is invalid.
		r.phase = phaseAppend
		return Append{Claim: r.own}
	}
	return ReadLog{Until: r.state.Position() + 1}
}

// decide acts on the claim that won, once the log shows it.
func (r *Resolver) decide(now oleanderspool.Millis) Decision {
	current, ok := r.state.Current(r.submission.Key, now)
	if !ok || current.Claim.Attempt != r.own.Attempt || r.ownGone {
		return r.proceed(now)
	}
	if current.Doubtful {
		return r.refuseUnknown(r.delays.FullRetryAfter)
	}
	r.harmless = removeAttempt(r.harmless, r.own.Attempt)
	r.startFollowing(r.own)
	return Send{Claim: r.own}
}

// follow attaches to the attempt of a claim.
func (r *Resolver) follow(c Claim) Decision {
	if c.Fingerprint != r.submission.Fingerprint {
		return r.refuseReused()
	}
	r.startFollowing(c)
	return Attach{Claim: c}
}

func (r *Resolver) startFollowing(c Claim) {
	r.target = c
	r.exposed = true
	r.barring = false
	r.phase = phaseFollow
}

func (r *Resolver) replied(e Replied, now oleanderspool.Millis) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	switch e.State {
	case attempt.StateRunning, attempt.StateFinished:
		return r.started()
	case attempt.StateUnknown:
		r.barring = true
		return Bar{Claim: r.target}
	case attempt.StateBarred:
		return r.cleared(now)
	case attempt.StateFailed:
		return r.failed(e.Refusal, now)
	case attempt.StateEvicted:
		return r.refuseAs(oleanderspool.Ran, "the request ran and its answer is no longer kept", 0)
	default:
		return r.refuseAs(oleanderspool.MayHaveRun, "the agent of the attempt no longer knows it", 0)
	}
}

// started waits for the answer, on a new stream if the attempt started between
// the attach and the bar.
func (r *Resolver) started() Decision {
	if !r.barring {
		return Wait{}
	}
	r.barring = false
	return Attach{Claim: r.target}
}

// cleared continues after the target turned out never to start.
func (r *Resolver) cleared(now oleanderspool.Millis) Decision {
	r.exposed = false
	r.harmless = append(r.harmless, r.target.Attempt)
	return r.proceed(now)
}

func (r *Resolver) failed(refusal *oleanderspool.Refusal, now oleanderspool.Millis) Decision {
	if refusal == nil {
		return r.refuseAs(oleanderspool.MayHaveRun, "the attempt failed", 0)
	}
	if refusal.Execution == oleanderspool.NotRun {
		return r.cleared(now)
	}
	r.phase = phaseDone
	return Refuse{Refusal: refusal}
}

func (r *Resolver) unreachable(e Unreachable) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	return r.refuseAs(oleanderspool.MayHaveRun, "the agent of the attempt cannot be reached", r.delays.AgentRetryAfter)
}

func (r *Resolver) silent(e StreamTimedOut) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	return Attach{Claim: r.target}
}

// notSent continues after the own attempt did not reach its agent. It needs no
// bar, because only this resolver sends the attempt, and it will not.
func (r *Resolver) notSent(e NotSent, now oleanderspool.Millis) Decision {
	if r.phase != phaseFollow || e.Attempt != r.target.Attempt {
		return Wait{}
	}
	if r.target.Attempt != r.own.Attempt {
		return r.unreachable(Unreachable(e))
	}
	return r.cleared(now)
}

// incarnationEnded takes that an instance now has another incarnation, or none
// if next is empty. An own claim that was not sent is replaced; whatever was
// sent may have run.
func (r *Resolver) incarnationEnded(instance oleanderspool.InstanceID, next oleanderspool.Incarnation, now oleanderspool.Millis) Decision {
	switch r.phase {
	case phaseAppend, phaseRead, phaseSettle:
		if instance == r.own.Instance && next != r.own.Incarnation {
			r.ownGone = true
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
		return r.proceed(now)
	default:
		return Wait{}
	}
}

func (r *Resolver) isHarmless(id oleanderspool.AttemptID) bool {
	return slices.Contains(r.harmless, id)
}

// execution returns what a refusal may say now.
func (r *Resolver) execution(now oleanderspool.Millis) oleanderspool.Execution {
	if r.exposed || r.submission.EarlierOutcomeUnknown {
		return oleanderspool.MayHaveRun
	}
	current, ok := r.state.Current(r.submission.Key, now)
	if ok && !r.isHarmless(current.Claim.Attempt) {
		return oleanderspool.MayHaveRun
	}
	return oleanderspool.NotRun
}

func (r *Resolver) refuse(reason oleanderspool.RefusalReason, message string, after, now oleanderspool.Millis) Decision {
	execution := r.execution(now)
	r.phase = phaseDone
	return Refuse{Refusal: oleanderspool.Refuse(reason, message).WithExecution(execution).WithRetryAfter(after)}
}

func (r *Resolver) timeLimit(now oleanderspool.Millis) Decision {
	after := r.delays.LogRetryAfter
	if r.exposed {
		after = r.delays.AgentRetryAfter
	}
	return r.refuse(oleanderspool.RefusalTimeLimit, "the time limit has passed", after, now)
}

func (r *Resolver) refuseOutage(now oleanderspool.Millis) Decision {
	return r.refuse(oleanderspool.RefusalLogUnavailable, "the log is unavailable", r.delays.LogRetryAfter, now)
}

// refuseReused refuses a key that another request uses. This request was not
// run, whatever happened to the other one.
func (r *Resolver) refuseReused() Decision {
	execution := oleanderspool.NotRun
	if r.submission.EarlierOutcomeUnknown || r.exposed {
		execution = oleanderspool.MayHaveRun
	}
	return r.refuseWith(oleanderspool.RefusalKeyReused, execution, "the key was used for another request", 0)
}

// refuseUnknown refuses a key of which the state cannot tell whether it was
// claimed.
func (r *Resolver) refuseUnknown(after oleanderspool.Millis) Decision {
	return r.refuseAs(oleanderspool.MayHaveRun, "part of the claim stream was lost", after)
}

func (r *Resolver) refuseAs(execution oleanderspool.Execution, message string, after oleanderspool.Millis) Decision {
	return r.refuseWith(oleanderspool.RefusalClaimedElsewhere, execution, message, after)
}

func (r *Resolver) refuseWith(reason oleanderspool.RefusalReason, execution oleanderspool.Execution, message string, after oleanderspool.Millis) Decision {
	r.phase = phaseDone
	return Refuse{Refusal: oleanderspool.Refuse(reason, message).WithExecution(execution).WithRetryAfter(after)}
}

func removeAttempt(attempts []oleanderspool.AttemptID, id oleanderspool.AttemptID) []oleanderspool.AttemptID {
	return slices.DeleteFunc(attempts, func(a oleanderspool.AttemptID) bool { return a == id })
}
