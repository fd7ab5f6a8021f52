package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// lateShare is the part of its value that a late answer still has.
	lateShare = 0.25
	// baseValue and valuePerToken give the value of a request by its size: an
	// answer to a long prompt took more work and is harder to repeat.
	baseValue     = 1.0
	valuePerToken = 1e-4
	// goalMargin is the part of a goal that a prediction may use up. The rest
	// covers the network and errors of the prediction.
	goalMargin = 0.65
	// answerDelay is the time in ms beyond the engine's own until the entry has the
	// first token: the ways of request and answer, and the work of both ends.
	answerDelay = 50
	// minPart is the smallest part of a prompt, in tokens, that is worth a helper.
	minPart = 8000
	// helperCost is the value of the work that a helper costs beyond its reading.
	helperCost = 0.02
	// reserveCost is the value of the orders that hold memory on a helper.
	reserveCost = 0.3
	// reserveMargin is added to the memory that is reserved, in tokens: memory is
	// given out in blocks, and the length of an answer is an estimate.
	reserveMargin = 2000
	// memoryMargin is left free on a helper, in tokens, for the streams that it
	// takes meanwhile.
	memoryMargin = 60_000
	// farCost is the value lost by a longer way to another data centre.
	farCost = 0.01
	// loadCost is the value per ms of reading that a server has to do: it breaks
	// ties and keeps servers free for later requests.
	loadCost = 1e-3
	// writerCost is the value per request on a server, which breaks ties.
	writerCost = 5e-3
	// preferenceCost is the largest difference between servers that are otherwise
	// equal, by which entries choose different ones: as much as one request on a
	// server. For long prompts, which delay each other by seconds where they meet, it
	// is longPreferenceCost.
	preferenceCost     = 5e-3
	longPreferenceCost = 0.05
	// longRead is the time in ms to read a prompt from which it is long. A shorter
	// one is not refused: it delays others little, and is served late sooner than
	// its caller would come back.
	longRead = 500
)

// Request is a request to place.
type Request struct {
	PromptTokens   int64 // tokens
	OutputTokens   int64 // expected tokens
	TTFTGoal       oleanderspool.Millis
	InterTokenGoal oleanderspool.Millis
	// CallerTimeout is the span until the caller gives up.
	CallerTimeout oleanderspool.Millis
	DataCentre    oleanderspool.DataCentreID // of the entry
	Tried         []oleanderspool.InstanceID // not to be chosen again
	// Resubmitted says that the request was refused before and came back as told.
	Resubmitted bool
	// Started says that a server may have begun the request. It is not refused any
	// more: its caller may have a part of the answer.
	Started bool
}

// Value is what the request loses when it fails.
func (r Request) Value() float64 {
	return baseValue + valuePerToken*float64(r.PromptTokens)
}

// Helper reads a part of a prompt for another server.
type Helper struct {
	Server directory.Server
	// ReservedTokens is the memory, in tokens, that it holds for the prompt; 0 for none.
	ReservedTokens int64
}

// Decision is a placement.
type Decision struct {
	Server  directory.Server
	Helpers []Helper
	TTFT    oleanderspool.Millis // predicted time to the first token
	Cost    float64              // value that is expected to be lost
	Backlog oleanderspool.Millis // reading ahead on the server
	// Refuse says that serving the request would lose more than refusing it.
	Refuse bool
	// MeanBacklog is the mean time that a server needs to read what is placed on it.
	MeanBacklog   oleanderspool.Millis
	ActiveStreams int // streams in progress on the server
}

// Choose returns the placement that loses the least value. It reports false
// when there is no server.
func (b *Scheduler) Choose(servers []directory.Server, e *directory.Engine, r Request, now oleanderspool.Millis) (Decision, bool) {
	if e == nil {
		return b.choosePlain(servers, r, now)
	}
	states := b.states(servers, e, r, now)
	if len(states) == 0 {
		return Decision{}, false
	}
	best := Decision{Cost: math.Inf(1)}
	most := 1 + min(e.MaxHelpers, int(r.PromptTokens/minPart)-1)
	for parts := 1; parts <= max(1, min(most, len(states))); parts++ {
		if d := chooseParts(states, e, r, parts, now); d.Cost < best.Cost {
			best = d
		}
	}
	if math.IsInf(best.Cost, 1) {
		return Decision{}, false
	}
	load := 0.0
	for i := range states {
		load += states[i].backlog / float64(len(states))
	}
	best.MeanBacklog = millis(load)
	read := readMillis(e, r.PromptTokens)
	best.Cost += r.timeCost(read, load)
	best.Refuse = !r.Started && read >= longRead && best.Cost > refusalShare*r.Value()
	return best, true
}

const (
	// busyCost is the value per ms of reading when the servers are busy: other
	// requests would have used the time.
	busyCost = 8e-3
	// returnedShare is the largest part of its value that the time of a request
	// may cost which was refused before: it is refused again only when it would be
	// late or harm others.
	returnedShare = 0.6
	// busyLoad is the mean backlog in ms from which servers are fully busy, and
	// busyGoalShare the part of a request's goal that it has to reach for that
	// request: one that may wait longer finds servers free later.
	busyLoad      = 1000
	busyGoalShare = 1.0 / 3
	// refusalShare is the part of a request's value that is lost when it is
	// refused: its caller may come back when the servers are less busy.
	refusalShare = 0.9
	// abandonSpan, abandonGoals and abandonPauses say when the caller of a stream
	// gives up: after the longest of a fixed span in ms, a number of times the
	// goal of the first token, and a number of times the goal of a pause.
	abandonSpan   = 2000
	abandonGoals  = 4
	abandonPauses = 8
)

// timeCost is the value of the time in ms that servers with a mean backlog in ms
// read a prompt.
func (r Request) timeCost(read, load float64) float64 {
	cost := read * busyCost * min(1, load/max(busyLoad, busyGoalShare*float64(r.TTFTGoal)))
	if r.Resubmitted {
		return min(cost, r.Value()*returnedShare)
	}
	return cost
}

// abandoned is the probability that a caller gives up in a span without an event.
func abandoned(span float64, goal, pauseGoal oleanderspool.Millis) float64 {
	limit := max(abandonSpan, abandonGoals*float64(goal), abandonPauses*float64(pauseGoal))
	return missed(span, limit)
}

// states returns the servers that may be chosen. Servers to avoid are left out
// while others are there.
func (b *Scheduler) states(servers []directory.Server, e *directory.Engine, r Request, now oleanderspool.Millis) []state {
	var good, avoided []state
	scale := preferenceCost
	if readMillis(e, r.PromptTokens) >= longRead {
		scale = longPreferenceCost
	}
	for _, s := range servers {
		if slices.Contains(r.Tried, s.Instance) {
			continue
		}
		st := b.state(s, e, now)
		st.preference = scale * b.preferenceOf(s.Instance)
		if b.isAvoided(s.Instance, now) {
			avoided = append(avoided, st)
		} else {
			good = append(good, st)
		}
	}
	if len(good) == 0 {
		return avoided
	}
	return good
}

// candidate is a server with the value that a part of a prompt costs there.
type candidate struct {
	*state
	cost float64
}

// candidates returns the servers, the cheapest first.
func candidates(states []state, harms []float64) []candidate {
	list := make([]candidate, len(states))
	for i := range states {
		list[i] = candidate{&states[i], harms[i] + loadCost*states[i].backlog + states[i].preference}
	}
	slices.SortStableFunc(list, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	return list
}

// chooseParts returns the best placement of a prompt that is read in a number of
// even parts.
func chooseParts(states []state, e *directory.Engine, r Request, parts int, now oleanderspool.Millis) Decision {
	read := readMillis(e, r.PromptTokens) / float64(parts)
	tokens := r.PromptTokens / int64(parts)
	largest := readPerPass(e, tokens, read)
	if parts > 1 {
		largest = min(read, max(largest, float64(e.PrefillChunk*int64(e.StepsPerPass))/float64(max(tokens, 1))*read))
	}
	harms := make([]float64, len(states))
	for i := range states {
		harms[i] = states[i].harm(e, read, largest, parts > 1, now)
	}
	var helpers []candidate
	if parts > 1 {
		helpers = candidates(states, harms)
	}
	best := Decision{Cost: math.Inf(1)}
	for i := range states {
		s := &states[i]
		d, start := s.assemble(helpers, e, r, parts)
		start = max(start, s.slotWait(e))
		if math.IsInf(start, 1) {
			continue
		}
		d.Cost += harms[i] + s.tie(e, r)
		first := start + read + s.passes(start) + answerDelay
		d.TTFT = millis(first)
		d.Cost += r.ownLoss(first)
		if d.Cost < best.Cost {
			best = d
		}
	}
	return best
}

// assemble returns a decision for the server with the cheapest helpers, and the
// time in ms until they begin to read. Its cost is infinite when they lack memory.
func (s *state) assemble(helpers []candidate, e *directory.Engine, r Request, parts int) (Decision, float64) {
	d := Decision{Server: s.server, Backlog: millis(s.backlog), ActiveStreams: len(s.writers)}
	// missing is the memory that the server lacks for the request.
	missing := r.PromptTokens + r.OutputTokens - (e.KVCacheTokens - s.memory)
	start := 0.0
	if parts == 1 {
		start = s.backlog
	}
	for _, h := range helpers {
		if len(d.Helpers) == parts-1 {
			break
		}
		if h.state == s {
			continue
		}
		helper := Helper{Server: h.server}
		if missing > 0 {
			helper.ReservedTokens = max(0, min(missing+reserveMargin, e.KVCacheTokens-h.memory-memoryMargin))
			missing -= helper.ReservedTokens
			d.Cost += reserveCost
		}
		d.Helpers = append(d.Helpers, helper)
		d.Cost += h.cost + helperCost
	}
	switch {
	case missing <= 0:
	case r.PromptTokens+r.OutputTokens > e.KVCacheTokens:
		d.Cost = math.Inf(1)
	default:
		d.Cost += overfullCost
	}
	return d, start
}

// passes returns the time in ms that a new request waits for passes that write.
// A server that reads until start takes it into the next pass.
func (s *state) passes(start float64) float64 {
	if start > 0 {
		return s.pass
	}
	return passWait * s.pass
}

// passWait is the number of passes that a new request takes on a server that
// writes and does not read: half a pass until the next one begins, and that one.
const passWait = 1.5

// ownLoss is the value that the request itself is expected to lose by the time
// to its first token in ms.
func (r Request) ownLoss(first float64) float64 {
	value := r.Value()
	loss := value * (1 - lateShare) * missed(first, float64(r.TTFTGoal))
	limit := abandoned(first, r.TTFTGoal, r.InterTokenGoal)
	if r.CallerTimeout > 0 {
		limit = max(limit, missed(first, float64(r.CallerTimeout)))
	}
	return loss + value*lateShare*limit
}

// harm is the value that other requests on the server are expected to lose by a
// prompt or a part of one.
func (s *state) harm(e *directory.Engine, read, largest float64, part bool, now oleanderspool.Millis) float64 {
	loss := 0.0
	for _, w := range s.writers {
		if w.InterTokenGoal == 0 || w.OutputTokens == 0 {
			continue // it writes for a caller that waits for no events, or for another server
		}
		loss += w.Value * max(0, w.pauseLoss(s.pass+s.reading(e, read, largest))-w.pauseLoss(s.pass+s.reading(e, 0, 0)))
	}
	if !part {
		return loss // all that is being read goes before the new prompt
	}
	for _, w := range s.readers {
		first := float64(now-w.PlacedAt) + w.ends
		loss += w.Value * max(0, w.firstLoss(first+read)-w.firstLoss(first))
	}
	return loss
}

// overfullCost is the value lost when a request has to wait for memory.
const overfullCost = 5

// queueShare is the part of a server's slots of requests that may wait for one.
// A server rejects more at some number that it does not state.
const queueShare = 1.0

// slotWait returns the time in ms that a new request waits for a slot: the usual
// answer keeps one, and they become free in turn.
func (s *state) slotWait(e *directory.Engine) float64 {
	waiting := s.work - e.Slots + 1
	switch {
	case waiting <= 0:
		return 0
	case float64(waiting) > queueShare*float64(e.Slots):
		return math.Inf(1)
	}
	answer := math.Ceil(e.MeanAnswerTokens/float64(e.StepsPerPass)) * s.pass
	return float64(waiting) * answer / float64(e.Slots)
}

// pauseLoss is the part of its value that a stream loses by a pause in ms.
func (w *Task) pauseLoss(pause float64) float64 {
	return (1-lateShare)*missed(pause, float64(w.InterTokenGoal)) + lateShare*abandoned(pause, w.TTFTGoal, w.InterTokenGoal)
}

// firstLoss is the part of its value that a request loses when its first token
// comes after a span in ms.
func (w *Task) firstLoss(first float64) float64 {
	return (1-lateShare)*missed(first, float64(w.TTFTGoal)) + lateShare*abandoned(first, w.TTFTGoal, w.InterTokenGoal)
}

// reading returns the longest time in ms that a pass reads, with another prompt
// on the server.
func (s *state) reading(e *directory.Engine, read, largest float64) float64 {
	perPass := float64(e.PrefillChunk*int64(e.StepsPerPass)) / e.PrefillRate
	return min(s.backlog+read, max(s.largest, largest, perPass))
}

// tie is a small cost that decides between servers that are otherwise alike.
func (s *state) tie(e *directory.Engine, r Request) float64 {
	cost := loadCost*s.backlog + writerCost*packing(s.work, e.Slots) + s.preference
	if s.server.DataCentre != r.DataCentre {
		cost += farCost
	}
	return cost
}

// packedShare is the part of a server's slots up to which streams are packed. The
// rest is left for streams whose placement other entries do not know yet.
const packedShare = 0.75

// packingSlope is the cost of each request beyond the packed ones, relative to the
// gain of each of those.
const packingSlope = 4

// packing makes a server with some requests preferable to an empty one, so that
// servers stay free of streams for long prompts.
func packing(work, slots int) float64 {
	full := packedShare * float64(slots)
	if float64(work) <= full {
		return -float64(work)
	}
	return (float64(work)-full)*packingSlope - full
}

// missed is the probability that a predicted span exceeds a goal: it rises from
// 0 at goalMargin of the goal to 1 at the goal and a fifth.
func missed(span, goal float64) float64 {
	if goal <= 0 {
		return 0
	}
	const full = 1.2
	return min(1, max(0, (span/goal-goalMargin)/(full-goalMargin)))
}

// choosePlain returns the server of a plain service with the fewest requests,
// the nearest among equals.
func (b *Scheduler) choosePlain(servers []directory.Server, r Request, now oleanderspool.Millis) (Decision, bool) {
	best, found := Decision{Cost: math.Inf(1)}, false
	for _, s := range servers {
		if slices.Contains(r.Tried, s.Instance) {
			continue
		}
		count := b.Count(s.Instance)
		cost := float64(count) / float64(max(1, s.Slots))
		if s.DataCentre != r.DataCentre {
			cost += farCost
		}
		if b.isAvoided(s.Instance, now) {
			cost += overfullCost
		}
		if now < s.ColdUntil {
			cost += coldCost
		}
		if cost < best.Cost {
			best, found = Decision{Server: s, Cost: cost, ActiveStreams: count}, true
		}
	}
	return best, found
}

// coldCost is the load that a server counts as more while it is slow after its
// start.
const coldCost = 0.3
