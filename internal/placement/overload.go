package placement

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// contendedFree is the fraction of free slots of the servers below which requests
	// contend for slots. With more of them an arriving request finds a free one.
	contendedFree = 0.1
	// settledFree is the fraction of free slots from which on a contention has ended.
	// It is larger than contendedFree, so that single ends of requests do not end it.
	settledFree = 0.25
	// reservedFree is the fraction of the slots that accounts above their fair share
	// leave free for the others.
	reservedFree = 0.05
	// contendedMargin is the cost above that of the best server up to which another one
	// may be drawn during a contention. With few free slots, entries that all prefer the
	// same servers meet there.
	contendedMargin = 0.15
	// maxMargin bounds the margin of free slots, as a fraction of all slots.
	maxMargin = 0.1
	// fullMarginRefused is the fraction of refused requests from which on the whole margin
	// is left free.
	fullMarginRefused = 0.15
	// minWaitFraction is the wait, as a fraction of the TTFT goal, up to which no request
	// counts as late because of the contention. A prompt whose prefill takes most of its
	// goal is judged by its wait, like the shorter ones.
	minWaitFraction = 0.25
	// lateProbability is the probability of missing the TTFT goal from which on a request
	// counts as late.
	lateProbability = 0.5
	// rankTolerance is by how much a larger fraction of the requests of a more urgent
	// rank may be refused than of a less urgent one.
	rankTolerance = 0.05
	// outcomeWindow is the time over which outcomes and shares are averaged.
	outcomeWindow = 3 * oleanderspool.Second
	// retention is how long what no request has changed is kept.
	retention = 4 * outcomeWindow
	// MaxRank is the least urgent rank that is distinguished.
	MaxRank = 7
	// maxGoals bounds the TTFT goals that are distinguished.
	maxGoals = 64
	// activeInterval is the time between two counts of the active accounts. A count takes
	// some 0.7 ms for 20,000 accounts.
	activeInterval = 100 * oleanderspool.Millis(1)
	// maxAccounts bounds the accounts whose shares are tracked for a service.
	maxAccounts = 20_000
)

// RefusalCause says why a placed request is refused.
type RefusalCause string

// The causes of a refusal; empty for none.
const (
	// RefusedCost: serving it would lose more than refusing it.
	RefusedCost RefusalCause = "cost"
	// RefusedLate: it would wait too long for a slot.
	RefusedLate RefusalCause = "late"
	// RefusedMargin: the free slots are probably taken by requests of other entries.
	RefusedMargin RefusalCause = "margin"
	// RefusedReturned: it came back after its goal had passed, and yields to requests that
	// can be in time.
	RefusedReturned RefusalCause = "returned"
	// RefusedShare: its account has more than its fair share.
	RefusedShare RefusalCause = "share"
	// RefusedRank: requests of a more urgent rank are refused more often.
	RefusedRank RefusalCause = "rank"
	// RefusedGoal: requests of the same rank with a shorter TTFT goal are refused more
	// often.
	RefusedGoal RefusalCause = "goal"
)

// RefusalCauses lists all causes.
var RefusalCauses = []RefusalCause{RefusedCost, RefusedLate, RefusedMargin, RefusedReturned, RefusedShare, RefusedRank, RefusedGoal}

// Contention describes the use of the slots of a service by requests with the TTFT goal
// of a request.
type Contention struct {
	Changed, Lasts bool // it has just begun or ended; it lasts
	Slots, Free    int  // of the servers that were compared
}

// contention decides which requests for a service are refused while more arrive than
// the servers have slots for. A request that waits for a slot is late, and takes the
// slot from one that would have been in time, so that without refusals all are late.
// It is not safe for concurrent use.
type contention struct {
	// periods holds the contentions that last by the TTFT goal of the requests. A server
	// that is busy with prefills has room for those with a long goal only.
	periods map[oleanderspool.Millis]period
	all     outcomes
	ranks   [MaxRank + 1]outcomes
	// goals holds the outcomes of the requests of a rank by their TTFT goal.
	goals    map[rankedGoal]*outcomes
	accounts map[string]decayingCount
	admitted decayingCount // of all accounts
	// active is the number of accounts with recent requests as of activeAt.
	active   float64
	activeAt oleanderspool.Millis
}

// period is the start of a contention and the last request that found it to last.
type period struct {
	since, seenAt oleanderspool.Millis
}

// rankedGoal is the TTFT goal of requests of a rank.
type rankedGoal struct {
	rank int
	goal oleanderspool.Millis
}

// outcomes counts recent requests.
type outcomes struct {
	offered, refused decayingCount
}

func (o *outcomes) record(refused bool, now oleanderspool.Millis) {
	o.offered = o.offered.plusOne(now)
	if refused {
		o.refused = o.refused.plusOne(now)
	}
}

// refusedFraction returns the fraction of the recent requests that was refused.
func (o *outcomes) refusedFraction(now oleanderspool.Millis) float64 {
	return o.refused.value(now) / max(1, o.offered.value(now))
}

// decayingCount is a count whose entries lose weight exponentially over outcomeWindow.
type decayingCount struct {
	count float64
	at    oleanderspool.Millis
}

func (d decayingCount) value(now oleanderspool.Millis) float64 {
	return d.count * math.Exp(-float64(max(0, now-d.at))/float64(outcomeWindow))
}

func (d decayingCount) plusOne(now oleanderspool.Millis) decayingCount {
	return decayingCount{count: d.value(now) + 1, at: now}
}

// slotUse is how far the slots of the servers of a service are taken. A slot counts as
// free if a request can begin there soon enough for its TTFT goal.
type slotUse struct {
	slots, free int
	// unknown is the expected number of placements of other entries that this entry does
	// not know of yet.
	unknown float64
}

func (u slotUse) freeFraction() float64 {
	return float64(u.free) / max(1, float64(u.slots))
}

// margin returns the number of slots to leave free, so that few requests meet others that
// this entry does not know of. A request meets one of u.unknown in one of the free slots
// with probability u.unknown/margin; the margin minimises the sum of the fraction of the
// slots that it leaves unused and that probability.
func (u slotUse) margin() float64 {
	return min(math.Sqrt(u.unknown*float64(u.slots)), maxMargin*float64(u.slots))
}

// slotUseOf returns the use of the slots of the given servers for requests with a TTFT
// goal.
func (sc *Scheduler) slotUseOf(loads []*serverLoad, e *directory.Engine, goal oleanderspool.Millis) slotUse {
	u := slotUse{slots: len(loads) * e.Slots, unknown: sc.unknown.mean}
	for _, l := range loads {
		if goal == 0 || l.backlog <= minWaitFraction*float64(goal) {
			u.free += max(0, e.Slots-l.slotsUsed)
		}
	}
	return u
}

// observe records the use of the slots by requests with a TTFT goal, and reports whether
// they have begun or ceased to contend for them.
func (c *contention) observe(u slotUse, goal, now oleanderspool.Millis) (changed bool) {
	free := u.freeFraction()
	p, contended := c.periods[goal]
	switch {
	case contended && free >= settledFree:
		delete(c.periods, goal)
	case contended:
		c.periods[goal] = period{since: p.since, seenAt: now}
		return false
	case free < contendedFree && len(c.periods) < maxGoals:
		c.periods[goal] = period{since: now, seenAt: now}
	default:
		return false
	}
	return true
}

// lasts reports whether requests with a TTFT goal contend for slots.
func (c *contention) lasts(goal oleanderspool.Millis) bool {
	_, contended := c.periods[goal]
	return contended
}

// decide refuses a placed request if the servers lack slots, and records the decision.
func (c *contention) decide(d *Decision, r Request, u slotUse, now oleanderspool.Millis) {
	if r.Started {
		return
	}
	if d.Refused == "" {
		d.Refused = c.cause(r, float64(d.Wait), float64(d.TTFT), u, now)
	}
	if p, contended := c.periods[r.TTFTGoal]; contended && d.Refused != "" {
		// An overload that has lasted for some time is expected to last as long again.
		d.ReturnDelay = now - p.since
	}
	if len(r.Tried) == 0 {
		c.record(r, d.Refused, now)
	}
}

// cause returns why a request is refused that has to wait for the given time for a server
// and then has its first token after the given one, both in ms; empty for none.
func (c *contention) cause(r Request, wait, ttft float64, u slotUse, now oleanderspool.Millis) RefusalCause {
	if !c.lasts(r.TTFTGoal) {
		return c.goalCause(r, now)
	}
	goal := float64(r.TTFTGoal)
	late := goal > 0 && wait > minWaitFraction*goal && missProbability(ttft, goal) >= lateProbability
	left := float64(u.free) - c.margin(u, now)
	reserved := reservedFree * float64(u.slots)
	switch {
	case late:
		return RefusedLate
	case r.Resubmitted && !r.Overdue:
		return ""
	case r.Overdue && left < reserved:
		return RefusedReturned
	case left < reserved && c.exceedsShare(r.Account, now):
		return RefusedShare
	case left < 0:
		return RefusedMargin
	case c.precedesUrgent(r.Rank, now):
		return RefusedRank
	}
	return c.goalCause(r, now)
}

// goalCause returns RefusedGoal if requests of the same rank with a shorter TTFT goal
// contend for slots and are refused more often. Requests with a long goal find room on
// servers that are busy with prefills, and would keep these busy.
func (c *contention) goalCause(r Request, now oleanderspool.Millis) RefusalCause {
	if r.TTFTGoal == 0 || r.Resubmitted && !r.Overdue {
		return ""
	}
	key := rankedGoal{clampRank(r.Rank), r.TTFTGoal}
	own := 0.0
	if o := c.goals[key]; o != nil {
		own = o.refusedFraction(now)
	}
	for other, o := range c.goals {
		if other.rank == key.rank && other.goal > 0 && other.goal < key.goal && c.lasts(other.goal) &&
			now-o.offered.at < outcomeWindow && o.refusedFraction(now) > own+rankTolerance {
			return RefusedGoal
		}
	}
	return ""
}

// margin returns the number of slots that are left free. A margin pays only if requests
// that find no slot are refused anyway, so it grows with the fraction that is refused.
func (c *contention) margin(u slotUse, now oleanderspool.Millis) float64 {
	return u.margin() * min(1, c.all.refusedFraction(now)/fullMarginRefused)
}

// exceedsShare reports whether more of the recently admitted requests are of an account
// than its fair share, an equal part for each account that has any.
func (c *contention) exceedsShare(account string, now oleanderspool.Millis) bool {
	if now-c.activeAt >= activeInterval {
		c.active, c.activeAt = 0, now
		for _, own := range c.accounts {
			c.active += min(1, own.value(now))
		}
	}
	return c.accounts[account].value(now) > 1+c.admitted.value(now)/max(1, c.active)
}

// precedesUrgent reports whether requests of a rank are refused more rarely than those
// of a more urgent one that still asks.
func (c *contention) precedesUrgent(rank int, now oleanderspool.Millis) bool {
	rank = clampRank(rank)
	own := c.ranks[rank].refusedFraction(now)
	for i := range rank {
		urgent := &c.ranks[i]
		if now-urgent.offered.at < outcomeWindow && urgent.refusedFraction(now) > own+rankTolerance {
			return true
		}
	}
	return false
}

func clampRank(rank int) int {
	return min(max(0, rank), MaxRank)
}

// record counts a decision, also without a contention, so that the shares are known when
// one begins.
func (c *contention) record(r Request, cause RefusalCause, now oleanderspool.Millis) {
	refused := cause != ""
	c.all.record(refused, now)
	// What an account sends beyond its share, or what comes back late, does not hold the
	// other ranks back.
	if cause != RefusedShare && cause != RefusedReturned {
		c.ranks[clampRank(r.Rank)].record(refused, now)
		c.recordGoal(rankedGoal{clampRank(r.Rank), r.TTFTGoal}, refused, now)
	}
	if refused {
		return
	}
	c.admitted = c.admitted.plusOne(now)
	own, known := c.accounts[r.Account]
	if known || len(c.accounts) < maxAccounts {
		c.accounts[r.Account] = own.plusOne(now)
	}
}

func (c *contention) recordGoal(key rankedGoal, refused bool, now oleanderspool.Millis) {
	o := c.goals[key]
	if o == nil {
		if len(c.goals) >= maxGoals {
			return
		}
		o = &outcomes{}
		c.goals[key] = o
	}
	o.record(refused, now)
}

// expire forgets accounts without recent requests, and contentions for which no request
// has asked lately, for example because the goals in the configuration have changed.
func (c *contention) expire(now oleanderspool.Millis) {
	for account, own := range c.accounts {
		if now-own.at > retention {
			delete(c.accounts, account)
		}
	}
	for goal, p := range c.periods {
		if now-p.seenAt > retention {
			delete(c.periods, goal)
		}
	}
	for key, o := range c.goals {
		if now-o.offered.at > retention {
			delete(c.goals, key)
		}
	}
}

// contentionOf returns the contention for the slots of a service.
func (sc *Scheduler) contentionOf(service string) *contention {
	c := sc.contentions[service]
	if c == nil {
		c = &contention{
			periods: make(map[oleanderspool.Millis]period), goals: make(map[rankedGoal]*outcomes), accounts: make(map[string]decayingCount),
		}
		sc.contentions[service] = c
	}
	return c
}
