package revision

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Step is what the caller of a publisher must do next.
type Step int

// The steps.
const (
	// StepAppend asks the caller to append the record and to report the result
	// with [Publisher.Appended] or [Publisher.AppendFailed].
	StepAppend Step = iota
	// StepRead asks the caller to read the stream to its head, to report each
	// decision with [Publisher.Observe] and then the positions with
	// [Publisher.Replayed].
	StepRead
	// StepWait asks the caller to report the revisions of processes with
	// [Publisher.ReportRevision] until no process lags behind.
	StepWait
	// StepDone means that [Publisher.Result] is final.
	StepDone
)

// Status is the state of a published change.
type Status int

// The states of a published change.
const (
	// StatusPending means that nothing is decided yet.
	StatusPending Status = iota
	// StatusAccepted means that the change is accepted, and that expected
	// processes lag behind or no process is expected yet.
	StatusAccepted
	// StatusInForce means that the change is accepted and every expected process
	// has it.
	StatusInForce
	// StatusRejected means that the change was rejected.
	StatusRejected
	// StatusNotAppended means that no append of this publisher had or will have
	// an effect. An earlier run with the same change ID may still have appended
	// the change.
	StatusNotAppended
	// StatusUnknown means that the change may be in the log or may still arrive
	// there. Publishing it again with the same ID is safe.
	StatusUnknown
)

var statusNames = [...]string{
	StatusPending: "pending", StatusAccepted: "accepted", StatusInForce: "in_force",
	StatusRejected: "rejected", StatusNotAppended: "not_appended", StatusUnknown: "unknown",
}

// String returns the name of the status.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Result is the state of a published change.
type Result struct {
	Status   Status
	Revision oleanderspool.Revision     // revision of an accepted change
	Findings []oleanderspool.Finding    // why the change was rejected
	Lagging  []oleanderspool.InstanceID // expected instances below the revision, in ascending order
}

// appendRetryDelay is the delay after a failed append before the next attempt.
const appendRetryDelay oleanderspool.Millis = 500

// Publisher publishes one change. If the outcome of an append is unknown, the
// publisher has the stream read to its head. Either the change is found there
// by its ID, or it is appended again with the same ID, which readers apply only
// once. Only a decision of the replayed stream determines the verdict.
type Publisher struct {
	change   string
	data     []byte
	digest   uint64
	deadline oleanderspool.Millis // instant from which no append is started and nothing is awaited

	replayNeeded   bool                 // the stream must be read to its head before the next append
	appending      bool                 // an append was requested whose result has not been reported
	uncertain      bool                 // an append may have had an effect or may still have one
	appendedOffset oleanderspool.Offset // offset of an acknowledged append; 0 for none
	retryAt        oleanderspool.Millis
	expired        bool
	decision       *Decision

	expected  []oleanderspool.InstanceID
	revisions map[oleanderspool.InstanceID]oleanderspool.Revision
}

// NewPublisher returns a publisher for a change, which must have an ID. Its
// first step is to read the stream, because an earlier run may already have
// appended the change. It returns an error of type [oleanderspool.ErrInvalid]
// if the change cannot be printed.
func NewPublisher(change configuration.ChangeSet, deadline oleanderspool.Millis) (*Publisher, error) {
	data, err := change.Print()
	if err != nil {
		return nil, err
	}
	return &Publisher{
		change:       change.ID,
		data:         data,
		digest:       xxhash.Sum64(data),
		deadline:     deadline,
		replayNeeded: true,
		revisions:    map[oleanderspool.InstanceID]oleanderspool.Revision{},
	}, nil
}

// Data returns the record to append. It must not be modified.
func (p *Publisher) Data() []byte {
	return p.data
}

// Next returns the next step and the earliest instant at which to take it. If
// that instant is later than now, the caller waits and calls Next again.
func (p *Publisher) Next(now oleanderspool.Millis) (Step, oleanderspool.Millis) {
	if p.appending {
		p.markUncertain()
	}
	if p.decision == nil && now >= p.deadline {
		p.expired = true
	}
	switch {
	case p.decision != nil && p.decision.Verdict == Accepted && p.Result().Status != StatusInForce:
		if now >= p.deadline {
			return StepDone, now
		}
		return StepWait, now
	case p.decision != nil || p.expired:
		return StepDone, now
	case p.replayNeeded:
		return StepRead, now
	case now < p.retryAt:
		return StepAppend, p.retryAt
	default:
		p.appending = true
		return StepAppend, now
	}
}

// Appended records that the record was appended at the given offset.
func (p *Publisher) Appended(offset oleanderspool.Offset) {
	p.uncertain = true // only the replay decides whether the change is accepted
	p.appending = false
	p.appendedOffset = offset
	p.replayNeeded = true
}

// AppendFailed records that an append returned an error. The outcome is unknown
// unless the error is of type [oleanderspool.ErrUnavailable].
func (p *Publisher) AppendFailed(err error, now oleanderspool.Millis) {
	p.appending = false
	p.retryAt = now + appendRetryDelay
	if errorx.IsOfType(err, oleanderspool.ErrUnavailable) {
		return
	}
	p.markUncertain()
}

// markUncertain records that the outcome of an append is unknown. It is also
// called if the next step is requested before the result of an append has been
// reported.
func (p *Publisher) markUncertain() {
	p.appending = false
	p.uncertain = true
	p.replayNeeded = true
}

// Observe records a decision of the replayed stream, or one that the state holds
// after it restored a snapshot. Decisions about other changes are ignored.
func (p *Publisher) Observe(d Decision) {
	if d.Change != p.change || d.Verdict == Ignored || p.decision != nil {
		return
	}
	if d.Digest != p.digest {
		d = d.forDuplicate(p.digest)
	}
	p.decision = &d
}

// Replayed records the position to which the stream was replayed, and the head
// of the stream as returned by a read that began after the last append ended.
func (p *Publisher) Replayed(position, head oleanderspool.Offset) {
	if position >= head && position >= p.appendedOffset {
		p.replayNeeded = false
	}
}

// ExpectInstances sets the processes that must reach the revision of the change.
// It replaces the previous set.
func (p *Publisher) ExpectInstances(instances ...oleanderspool.InstanceID) {
	p.expected = slices.Compact(slices.Sorted(slices.Values(instances)))
}

// ReportRevision records the revision that a process has reached.
func (p *Publisher) ReportRevision(instance oleanderspool.InstanceID, revision oleanderspool.Revision) {
	p.revisions[instance] = max(p.revisions[instance], revision)
}

// Result returns the state of the change.
func (p *Publisher) Result() Result {
	switch {
	case p.decision == nil:
		return Result{Status: p.undecidedStatus()}
	case p.decision.Verdict == Rejected:
		return Result{Status: StatusRejected, Findings: p.decision.Findings}
	}
	r := Result{Status: StatusAccepted, Revision: p.decision.Offset}
	for _, instance := range p.expected {
		if p.revisions[instance] < r.Revision {
			r.Lagging = append(r.Lagging, instance)
		}
	}
	if len(p.expected) > 0 && len(r.Lagging) == 0 {
		r.Status = StatusInForce
	}
	return r
}

func (p *Publisher) undecidedStatus() Status {
	switch {
	case !p.expired:
		return StatusPending
	case p.uncertain || p.appending:
		return StatusUnknown
	default:
		return StatusNotAppended
	}
}
