package retry

import "github.com/oleanderspool/oleanderspool"

const (
	// The sliding window over which retries are compared with admitted requests has
	// windowBuckets buckets of bucketDuration each: ten seconds.
	windowBuckets                       = 10
	bucketDuration oleanderspool.Millis = 1000
)

// Budget bounds the retries of an entry to a fraction of the requests that it
// admitted in the last ten seconds plus a fixed reserve, so that retries do not
// overload a fleet that is already failing. It is not safe for concurrent use.
type Budget struct {
	fraction float64
	reserve  int
	admitted window
	retried  window
}

// NewBudget returns a budget of reserve retries per ten seconds plus fraction
// retries per admitted request.
func NewBudget(fraction float64, reserve int) *Budget {
	return &Budget{fraction: fraction, reserve: reserve}
}

// SetReserve changes the reserve, for example when the number of entries that
// share it changes.
func (b *Budget) SetReserve(reserve int) {
	b.reserve = reserve
}

// RecordAdmission counts an admitted request, which increases the budget.
func (b *Budget) RecordAdmission(now oleanderspool.Millis) {
	b.admitted.add(now)
}

// Take counts a retry and returns true, or returns false when the budget is
// exhausted.
func (b *Budget) Take(now oleanderspool.Millis) bool {
	limit := float64(b.reserve) + b.fraction*float64(b.admitted.sum(now))
	if float64(b.retried.sum(now)+1) > limit {
		return false
	}
	b.retried.add(now)
	return true
}

// window counts the events of the last windowBuckets * bucketDuration milliseconds in a
// ring of buckets.
type window struct {
	counts [windowBuckets]int
	newest int64 // number of the newest bucket, counted from time 0
}

func (w *window) add(now oleanderspool.Millis) {
	w.advance(now)
	w.counts[w.newest%windowBuckets]++
}

func (w *window) sum(now oleanderspool.Millis) int {
	w.advance(now)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// advance moves the window to now and clears the buckets that have left it.
func (w *window) advance(now oleanderspool.Millis) {
	current := int64(now / bucketDuration)
	if current-w.newest >= windowBuckets {
		w.counts = [windowBuckets]int{}
		w.newest = current
	}
	for w.newest < current {
		w.newest++
		w.counts[w.newest%windowBuckets] = 0
	}
}
