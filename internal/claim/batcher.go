package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// BatchLimits bounds the batches of a [Batcher].
type BatchLimits struct {
	MaxClaims   int                  // claims in one record
	MaxBytes    int                  // estimated encoded size of one record, in bytes
	MaxAge      oleanderspool.Millis // longest wait of a claim while no append is in flight
	MinInterval oleanderspool.Millis // shortest span between the starts of two appends
	MaxPending  int                  // claims that wait; more are refused
}

// DefaultBatchLimits keeps a claim for at most 5 ms and makes at most 50
// appends/s for each process.
var DefaultBatchLimits = BatchLimits{
	MaxClaims:   2000,
	MaxBytes:    1 << 20,
	MaxAge:      5,
	MinInterval: 20,
	MaxPending:  20000,
}

// AppendResult is the outcome of an append.
type AppendResult int

// The outcomes of an append.
const (
	// AppendSucceeded says that the record is in the log.
	AppendSucceeded AppendResult = iota
	// AppendUnknown says that the record may be in the log or may still come.
	AppendUnknown
	// AppendFailed says that the record is not in the log and never will be.
	AppendFailed
)

// BatchResult is a batch whose append has ended. Each claim's resolver is told the
// result.
type BatchResult struct {
	Claims []Claim
	Result AppendResult
	Offset oleanderspool.Offset // of the record; 0 unless the result is AppendSucceeded
}

// Event returns the event that tells a resolver of the result.
func (s BatchResult) Event() Event {
	switch s.Result {
	case AppendSucceeded:
		return Appended{Offset: s.Offset}
	case AppendFailed:
		return AppendRefused{}
	default:
		return AppendUncertain{}
	}
}

type pendingClaim struct {
	claim Claim
	since oleanderspool.Millis
	bytes int
}

// Batcher collects claims into records, with one append in flight at a time.
// While an append is in flight the next batch grows, so the number of appends
// depends on the log's speed and not on the number of claims.
type Batcher struct {
	limits   BatchLimits
	pending  []pendingClaim
	bytes    int
	inFlight []Claim
	notUntil oleanderspool.Millis // start of the next append at the earliest
}

// NewBatcher returns an empty batcher.
func NewBatcher(limits BatchLimits) *Batcher {
	return &Batcher{limits: limits}
}

// Add queues a claim. A claim that is not queued is not appended: the error is
// of type [oleanderspool.ErrInvalid] if the claim has a fault, which would
// keep the others of its batch out of the log, and of type
// [oleanderspool.ErrUnavailable] if too many claims wait.
func (b *Batcher) Add(c Claim, now oleanderspool.Millis) error {
	if err := c.Validate(); err != nil {
		return err
	}
	if len(b.pending) >= b.limits.MaxPending {
		return oleanderspool.ErrUnavailable.New("%d claims wait for an append", len(b.pending))
	}
	added := pendingClaim{claim: c, since: now, bytes: encodedSize(c)}
	b.pending = append(b.pending, added)
	b.bytes += added.bytes
	return nil
}

// Withdraw removes a waiting claim whose request was given up. It returns
// false when the claim is not waiting; it may then be in the log already.
func (b *Batcher) Withdraw(attempt oleanderspool.AttemptID) bool {
	for i, p := range b.pending {
		if p.claim.Attempt == attempt {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			b.bytes -= p.bytes
			return true
		}
	}
	return false
}

// Due returns the instant at which the next append is to start. It returns
// false while an append is in flight or nothing waits.
func (b *Batcher) Due() (oleanderspool.Millis, bool) {
	if b.inFlight != nil || len(b.pending) == 0 {
		return 0, false
	}
	due := b.pending[0].since + b.limits.MaxAge
	if b.isFull() {
		due = b.pending[0].since
	}
	return max(due, b.notUntil), true
}

// Next returns the record to append. It returns false when no append is due.
// The caller appends the record and then calls Done.
func (b *Batcher) Next(expiredBefore oleanderspool.Offset, now oleanderspool.Millis) (Record, bool) {
	due, ok := b.Due()
	if !ok || now < due {
		return Record{}, false
	}
	b.inFlight = b.take()
	b.notUntil = now + b.limits.MinInterval
	return Record{ExpiredBefore: expiredBefore, Claims: b.inFlight}, true
}

// FinishAppend ends the append in flight. Without one it returns a batch without
// claims.
func (b *Batcher) FinishAppend(result AppendResult, offset oleanderspool.Offset) BatchResult {
	settled := BatchResult{Claims: b.inFlight, Result: result}
	if result == AppendSucceeded {
		settled.Offset = offset
	}
	b.inFlight = nil
	return settled
}

// Pending returns the number of claims that wait for an append.
func (b *Batcher) Pending() int {
	return len(b.pending)
}

func (b *Batcher) isFull() bool {
	return len(b.pending) >= b.limits.MaxClaims || b.bytes >= b.limits.MaxBytes
}

// take removes the claims of the next batch, at least one.
func (b *Batcher) take() []Claim {
	count, bytes := 0, 0
	for count < len(b.pending) && count < b.limits.MaxClaims {
		bytes += b.pending[count].bytes
		if count > 0 && bytes > b.limits.MaxBytes {
			bytes -= b.pending[count].bytes
			break
		}
		count++
	}
	claims := make([]Claim, count)
	for i := range claims {
		claims[i] = b.pending[i].claim
	}
	b.pending = append([]pendingClaim(nil), b.pending[count:]...)
	b.bytes -= bytes
	return claims
}

// wireOverhead is the size of a claim's field names and punctuation in JSON.
const wireOverhead = 140

// encodedSize estimates the encoded size of c in bytes.
func encodedSize(c Claim) int {
	return wireOverhead + c.textLength() + len(c.Instance) + len(c.Incarnation) + len(c.Supersedes)
}
