package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// alternativeMargin is the cost above that of the best server up to which another
	// one may be drawn. It allows an empty server in place of a packed one, and none at
	// which the request would be late.
	alternativeMargin = 8 * packingCost
	// alternativesPerUnknown is the number of additional servers that are drawn from
	// for each placement that this entry does not know of yet, so that few of these
	// meet on one server.
	alternativesPerUnknown = 2
	// maxAlternatives bounds the number of servers that are drawn from.
	maxAlternatives = 64
	// delayWindow is the time over which delays are averaged.
	delayWindow = oleanderspool.Second
	// maxObservedDelay bounds an observed delay: entries that have just started are sent
	// older tasks.
	maxObservedDelay = 100 * oleanderspool.Millis(1)
)

// unknownPlacements estimates how many placements of other entries have not arrived
// yet: their rate times their mean delay, which is the sum of the delays of those that
// arrived within a window, divided by the window.
type unknownPlacements struct {
	mean float64
	at   oleanderspool.Millis
}

func (u *unknownPlacements) decay(now oleanderspool.Millis) {
	if now > u.at {
		u.mean *= math.Exp(-float64(now-u.at) / float64(delayWindow))
		u.at = now
	}
}

// ObserveDelay records that a placement of another entry arrived after a delay.
func (sc *Scheduler) ObserveDelay(delay, now oleanderspool.Millis) {
	sc.unknown.decay(now)
	sc.unknown.mean += float64(min(delay, maxObservedDelay)) / float64(delayWindow)
}

// alternatives returns the number of servers among which a short prompt is placed by
// chance. All entries prefer the same servers, so that the requests that arrive before
// the entries know of each other's placements would meet on the best one.
func (sc *Scheduler) alternatives(now oleanderspool.Millis) int {
	sc.unknown.decay(now)
	return min(maxAlternatives, 1+int(alternativesPerUnknown*sc.unknown.mean))
}

// wholeCandidate is a server that may prefill a prompt alone.
type wholeCandidate struct {
	*serverLoad
	cost, ttft float64
}

// draw returns one of a number of candidates with the lowest costs by chance, all of them
// with a free slot and within a margin of cost of the best. Those that stay below
// packedFraction with the request precede the others. Without a candidate it returns the
// best. It changes their order.
func (sc *Scheduler) draw(candidates []wholeCandidate, e *directory.Engine, count int, margin float64) wholeCandidate {
	byCost := func(x, y wholeCandidate) int { return cmp.Compare(x.cost, y.cost) }
	best := slices.MinFunc(candidates, byCost)
	if count == 1 {
		return best
	}
	near := slices.DeleteFunc(candidates, func(c wholeCandidate) bool {
		return c.cost > best.cost+margin || c.slotsUsed >= e.Slots
	})
	packed := func(c wholeCandidate) bool { return float64(c.slotsUsed+1) > packedFraction*float64(e.Slots) }
	// Servers above packedFraction are drawn from when there are no others: without that
	// all entries would choose the same best one as soon as most servers are above it.
	if slices.ContainsFunc(near, func(c wholeCandidate) bool { return !packed(c) }) {
		near = slices.DeleteFunc(near, packed)
	}
	if len(near) == 0 {
		return best
	}
	slices.SortFunc(near, byCost)
	return near[sc.random.IntN(min(count, len(near)))]
}
