package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// BatchLimits bounds the batches of a [Batcher].
type BatchLimits struct {
	MaxClaims   int                  // claims in one record
	MaxBytes    int                  // estimated encoded size of one record, in bytes
	MaxAge      oleanderspool.Millis // longest delay from the first claim of a batch to its append, unless an append is in flight or MinInterval has not passed
	MinInterval oleanderspool.Millis // minimum interval between the starts of two appends
	MaxPending  int                  // waiting claims; more are refused
}

// DefaultBatchLimits starts an append at most 5 ms after the first claim of a
// batch was added, but no more than 50 appends/s in each process.
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
	// ResultAppended says that the record is in the log.
	ResultAppended AppendResult = iota
	// ResultUncertain says that the record may be in the log or may still reach it.
	ResultUncertain
	// ResultFailed says that the record is not in the log and never will be.
	ResultFailed
)

// BatchResult is a batch whose append has ended. The caller passes its
// [BatchResult.Event] to the resolver of each claim.
type BatchResult struct {
	Claims []Claim
	Result AppendResult
	Offset oleanderspool.Offset // of the record; 0 unless the result is ResultAppended
}

// Event returns the event that reports the result to a resolver.
func (r BatchResult) Event() Event {
	switch r.Result {
	case ResultAppended:
		return Appended{Offset: r.Offset}
	case ResultFailed:
		return AppendFailed{}
	default:
		return AppendUncertain{}
	}
}

type pendingClaim struct {
	claim   Claim
	addedAt oleanderspool.Millis
	bytes   int
}

// Batcher collects claims into records, with one append in flight at a time.
// While an append is in flight the next batch grows, so the rate of appends
// depends on the latency of the log and not on the rate of claims.
type Batcher struct {
	limits        BatchLimits
	pending       []pendingClaim
	bytes         int
	inFlight      []Claim
	earliestStart oleanderspool.Millis // earliest start of the next append
}

// NewBatcher returns an empty batcher.
func NewBatcher(limits BatchLimits) *Batcher {
	return &Batcher{limits: limits}
}

// Add queues a claim. If it returns an error, the claim is not queued and is
// never appended. The error is of type [oleanderspool.ErrInvalid] if the claim
// has a fault, which would also keep the other claims of its batch out of the
// log, and of type [oleanderspool.ErrUnavailable] if too many claims wait.
func (b *Batcher) Add(c Claim, now oleanderspool.Millis) error {
	if err := c.Validate(); err != nil {
		return err
	}
	if len(b.pending) >= b.limits.MaxPending {
		return oleanderspool.ErrUnavailable.New("%d claims wait for an append", len(b.pending))
	}
	added := pendingClaim{claim: c, addedAt: now, bytes: encodedSize(c)}
	b.pending = append(b.pending, added)
	b.bytes += added.bytes
	return nil
}

// Withdraw removes a waiting claim whose request has ended. It returns false
// when the claim is not waiting; it may then already be in the log.
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
// false while an append is in flight or no claim waits.
func (b *Batcher) Due() (oleanderspool.Millis, bool) {
	if b.inFlight != nil || len(b.pending) == 0 {
		return 0, false
	}
	due := b.pending[0].addedAt + b.limits.MaxAge
	if b.isFull() {
		due = b.pending[0].addedAt
	}
	return max(due, b.earliestStart), true
}

// Next returns the record to append. It returns false when no append is due.
// The caller appends the record and then calls [Batcher.FinishAppend].
func (b *Batcher) Next(expiredBefore oleanderspool.Offset, now oleanderspool.Millis) (Record, bool) {
	due, ok := b.Due()
	if !ok || now < due {
		return Record{}, false
	}
	b.inFlight = b.takeBatch()
	b.earliestStart = now + b.limits.MinInterval
	return Record{ExpiredBefore: expiredBefore, Claims: b.inFlight}, true
}

// FinishAppend ends the append in flight and returns its batch. If no append is
// in flight, the batch has no claims.
func (b *Batcher) FinishAppend(result AppendResult, offset oleanderspool.Offset) BatchResult {
	batch := BatchResult{Claims: b.inFlight, Result: result}
	if result == ResultAppended {
		batch.Offset = offset
	}
	b.inFlight = nil
	return batch
}

// Pending returns the number of claims that wait for an append.
func (b *Batcher) Pending() int {
	return len(b.pending)
}

func (b *Batcher) isFull() bool {
	return len(b.pending) >= b.limits.MaxClaims || b.bytes >= b.limits.MaxBytes
}

// takeBatch removes and returns the claims of the next batch, at least one.
func (b *Batcher) takeBatch() []Claim {
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

// jsonOverhead is the size of a claim's field names and punctuation in JSON, in
// bytes.
const jsonOverhead = 140

// encodedSize estimates the encoded size of c in bytes.
func encodedSize(c Claim) int {
	return jsonOverhead + c.textLength() + len(c.Instance) + len(c.Incarnation) + len(c.Supersedes)
}
