package revision

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Step is what a publisher needs to be done next.
type Step int

// The steps.
const (
	// StepAppend asks to append the record and to report the result by
	// [Publisher.Appended] or [Publisher.AppendFailed].
	StepAppend Step = iota
	// StepRead asks to read the stream to its head, to report each decision by
	// [Publisher.Observe] and then the positions by [Publisher.Read].
	StepRead
	// StepWait asks to report the revisions of processes by
	// [Publisher.Report] until none lags.
	StepWait
	// StepDone says that [Publisher.Result] is final.
	StepDone
)

// Status is the state of a published change.
type Status int

// The states of a published change.
const (
	// StatusPending says that nothing is decided yet.
	StatusPending Status = iota
	// StatusAccepted says that the change is accepted, and that processes lag or
	// none is expected yet.
	StatusAccepted
	// StatusInForce says that the change is accepted and every expected process
	// has it.
	StatusInForce
	// StatusRejected says that the change was rejected.
	StatusRejected
	// StatusNotAppended says that no append of this publisher had an effect or
	// ever will. An earlier run under the same id may still have appended it.
	StatusNotAppended
	// StatusUnknown says that the change may be in the log or may still arrive
	// there. Publishing it again with the same id is safe.
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
	Lagging  []oleanderspool.InstanceID // expected instances below the revision, in order
}

// retryAppend is the span between attempts to append while the log refuses.
const retryAppend oleanderspool.Millis = 500

// Publisher publishes one change. An append whose outcome is unknown is settled
// by reading the stream to its head: the change is found there by its id, or
// it is appended again under the same id, which readers apply only once. A
// verdict comes only from a decision of the replayed stream.
type Publisher struct {
	change   string
	data     []byte
	digest   uint64
	deadline oleanderspool.Millis // instant after which no append is started and no verdict awaited

	reading   bool                 // the stream must be read before the next append
	sending   bool                 // an append was asked for, and its result is not reported yet
	uncertain bool                 // an append may have had an effect, or may still have one
	offset    oleanderspool.Offset // offset of an acknowledged append, 0 for none
	retryAt   oleanderspool.Millis
	expired   bool
	decision  *Decision

	expected  []oleanderspool.InstanceID
	revisions map[oleanderspool.InstanceID]oleanderspool.Revision
}

// NewPublisher returns a publisher of a change with an id. It first reads the
// stream, since an earlier run may have appended the change already. It
// returns an error of type [oleanderspool.ErrInvalid] when the change cannot
// be printed.
func NewPublisher(change configuration.ChangeSet, deadline oleanderspool.Millis) (*Publisher, error) {
	data, err := change.Print()
	if err != nil {
		return nil, err
	}
	return &Publisher{
		change:    change.ID,
		data:      data,
		digest:    xxhash.Sum64(data),
		deadline:  deadline,
		reading:   true,
		revisions: map[oleanderspool.InstanceID]oleanderspool.Revision{},
	}, nil
}

// Data returns the record to append. It must not be modified.
func (p *Publisher) Data() []byte {
	return p.data
}

// Next returns the next step and the instant from which it is to be taken. When
// that instant is later than now, the caller waits and asks again.
func (p *Publisher) Next(now oleanderspool.Millis) (Step, oleanderspool.Millis) {
	if p.sending {
		p.lose()
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
	case p.reading:
		return StepRead, now
	case now < p.retryAt:
		return StepAppend, p.retryAt
	default:
		p.sending = true
		return StepAppend, now
	}
}

// Appended reports that the record was appended at an offset.
func (p *Publisher) Appended(offset oleanderspool.Offset) {
	p.uncertain = true // accepted or rejected, which only the replay decides
	p.sending = false
	p.offset = offset
	p.reading = true
}

// AppendFailed reports an error of an append. Any error but one of type
// [oleanderspool.ErrUnavailable] leaves the outcome unknown.
func (p *Publisher) AppendFailed(err error, now oleanderspool.Millis) {
	p.sending = false
	p.retryAt = now + retryAppend
	if errorx.IsOfType(err, oleanderspool.ErrUnavailable) {
		return
	}
	p.lose()
}

// lose notes that the outcome of an append is unknown. It is also called when
// the next step is asked for and the result of an append was never reported.
func (p *Publisher) lose() {
	p.sending = false
	p.uncertain = true
	p.reading = true
}

// Observe reports a decision of the replayed stream, or one that the state
// remembers after it took a snapshot. Decisions about other changes are
// ignored.
func (p *Publisher) Observe(d Decision) {
	if d.Change != p.change || d.Verdict == Ignored || p.decision != nil {
		return
	}
	if d.Digest != p.digest {
		d = d.repeat(p.digest)
	}
	p.decision = &d
}

// Replayed reports that the stream was replayed to a position, and its head as
// returned by a read that began after the last append failed.
func (p *Publisher) Replayed(position, head oleanderspool.Offset) {
	if position >= head && position >= p.offset {
		p.reading = false
	}
}

// ExpectInstances names the processes that must reach the revision of the change. Those
// that are not named any longer are not waited for.
func (p *Publisher) ExpectInstances(instances ...oleanderspool.InstanceID) {
	p.expected = slices.Compact(slices.Sorted(slices.Values(instances)))
}

// ReportRevision tells the revision that a process has reached.
func (p *Publisher) ReportRevision(instance oleanderspool.InstanceID, revision oleanderspool.Revision) {
	p.revisions[instance] = max(p.revisions[instance], revision)
}

// Result returns the state of the change.
func (p *Publisher) Result() Result {
	switch {
	case p.decision == nil:
		return Result{Status: p.undecided()}
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

func (p *Publisher) undecided() Status {
	switch {
	case !p.expired:
		return StatusPending
	case p.uncertain || p.sending:
		return StatusUnknown
	default:
		return StatusNotAppended
	}
}
