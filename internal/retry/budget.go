package retry

import "github.com/oleanderspool/oleanderspool"

const (
	// slots and slotSpan divide the window over which admitted requests and
	// retries are compared.
	slots                         = 10
	slotSpan oleanderspool.Millis = 1000
)

// Budget bounds the retries of an entry to a fraction of the requests that it
// admitted in the last ten seconds plus a constant, so that retries do not
// overload a fleet that fails already.
type Budget struct {
	fraction float64
	constant int
	admitted window
	retried  window
}

// NewBudget returns a budget of constant retries plus fraction per admitted
// request.
func NewBudget(fraction float64, constant int) *Budget {
	return &Budget{fraction: fraction, constant: constant}
}

// SetReserve changes the number of retries that are allowed in addition, for
// example when the number of entries that share them changes.
func (b *Budget) SetReserve(constant int) {
	b.constant = constant
}

// RecordAdmission counts an admitted request.
func (b *Budget) RecordAdmission(now oleanderspool.Millis) {
	b.admitted.add(now)
}

// Take counts a retry and returns true, or returns false when the budget is
// used up.
func (b *Budget) Take(now oleanderspool.Millis) bool {
	limit := float64(b.constant) + b.fraction*float64(b.admitted.sum(now))
	if float64(b.retried.sum(now)+1) > limit {
		return false
	}
	b.retried.add(now)
	return true
}

// window counts events of the last slots * slotSpan milliseconds.
type window struct {
	counts [slots]int
	slot   int64 // number of the newest slot
}

func (w *window) add(now oleanderspool.Millis) {
	w.advance(now)
	w.counts[w.slot%slots]++
}

func (w *window) sum(now oleanderspool.Millis) int {
	w.advance(now)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// advance clears the slots that have left the window.
func (w *window) advance(now oleanderspool.Millis) {
	newest := int64(now / slotSpan)
	if newest-w.slot >= slots {
		w.counts = [slots]int{}
		w.slot = newest
	}
	for w.slot < newest {
		w.slot++
		w.counts[w.slot%slots] = 0
	}
}
