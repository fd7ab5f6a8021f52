package warmup

import "math"

const (
	// maxExcess is the probability, for the most unfavourable requests and one drawing
	// of the subsets of all entries, that more requests than the bound reach one server.
	maxExcess = 1e-10
	// unsettledFraction is the fraction of the bound that all entries in the worst case
	// use on average if they are too many for one request each.
	unsettledFraction = 1.0 / 6
)

// Bound returns the number of requests that may reach a server within one second: the
// rate that a cold server tolerates, in requests a second, times a factor, plus a
// number of requests.
func Bound(rate, factor, slack float64) int {
	return int(min(rate*factor+slack, math.MaxInt32))
}

// Share is the number of requests that one entry may send to a server within
// [Window].
type Share struct {
	// Whole is the number that may go to each server.
	Whole int
	// Part is the probability that a server may get one request more during a period of
	// [drawInterval].
	Part float64
}

// NewShare returns the share of an entry in a bound. The sum over all entries stays
// within the bound if no entry assumes fewer settled entries than there are, and if
// there are no more entries than the worst case.
//
// Entries in the worst case know nothing of each other. If the bound has room for one
// request of each of them, they divide it evenly. Otherwise they use a small fraction of
// it on average, drawn independently. What their sum exceeds with
// probability [maxExcess] only is left to the settled entries, which divide it evenly.
// When that is less than one request for each of them, they draw too. Both shares
// fall with the number of entries, so that entries with different numbers keep the
// bound of the smallest one.
func NewShare(bound int, s Size) Share {
	mean := float64(bound) * unsettledFraction / float64(s.WorstCase)
	if s.WorstCase <= bound {
		mean = float64(bound / s.WorstCase)
	}
	unsettled := Share{Whole: int(mean), Part: mean - math.Floor(mean)}
	if !s.Settled {
		return unsettled.drawn()
	}
	others := s.WorstCase - s.Entries
	rest := bound - others*unsettled.Whole - quantile(others, unsettled.Part)
	if rest >= s.Entries {
		return Share{Whole: rest / s.Entries}
	}
	// The sum of the drawn requests of all entries has this mean at most.
	part := (maxMean(bound) - float64(others)*mean) / float64(s.Entries)
	return Share{Part: min(1, max(0, part))}.drawn()
}

// drawn returns the share whose part is the probability for one period. A window
// covers parts of two periods with probability Window/drawInterval.
func (s Share) drawn() Share {
	s.Part /= 1 + float64(Window)/float64(drawInterval)
	return s
}

// quantile returns the smallest number that is exceeded with a probability of at most
// maxExcess by the successes of n independent trials with probability p.
func quantile(n int, p float64) int {
	k := int(float64(n) * p)
	for k < n && tail(n, k+1, p) > maxExcess {
		k++
	}
	return k
}

// tail returns the probability of k or more successes in n independent trials with
// probability p. k must not be less than the mean.
func tail(n, k int, p float64) float64 {
	if p <= 0 {
		return 0
	}
	term := math.Exp(logFactorial(n) - logFactorial(k) - logFactorial(n-k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
	sum := 0.0
	for ; k <= n && term > sum*1e-6; k++ {
		sum += term
		term *= float64(n-k) / float64(k+1) * p / (1 - p)
	}
	return sum
}

func logFactorial(n int) float64 {
	value, _ := math.Lgamma(float64(n) + 1)
	return value
}

// maxMean returns the largest mean with which a sum of independent trials exceeds a
// bound with a probability of at most maxExcess, by the Chernoff bound.
func maxMean(bound int) float64 {
	k := float64(bound + 1)
	low, high := 0.0, k
	for range 50 { // halves the interval
		mean := (low + high) / 2
		if k-mean-k*math.Log(k/mean) <= math.Log(maxExcess) {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}
