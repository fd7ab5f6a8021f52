package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// lateFraction is the fraction of its value that a late answer still has.
	lateFraction = 0.25
	// baseValue and valuePerToken give the value of a request by its prompt
	// length: the answer to a long prompt costs more work and is harder to repeat.
	baseValue     = 1.0
	valuePerToken = 1e-4
	// goalFraction is the fraction of a goal up to which a prediction counts as
	// met. The rest covers the network and prediction errors.
	goalFraction = 0.65
	// deliveryDelay is added to the engine's time to first token, in ms, for the
	// network round trip and the processing at both ends until the entry receives the
	// token.
	deliveryDelay = 50
	// minShardTokens is the smallest prompt shard, in tokens, that is worth a helper.
	minShardTokens = 8000
	// helperCost is the cost of a helper in addition to its prefill.
	helperCost = 0.02
	// reservationCost is the cost of the calls that reserve memory on a helper.
	reservationCost = 0.3
	// reservationMargin is added to each reservation, in tokens: memory is allocated
	// in blocks, and the length of an answer is an estimate.
	reservationMargin = 2000
	// helperMemoryMargin is left free on a helper, in tokens, for the streams that
	// it accepts while the reservation lasts.
	helperMemoryMargin = 60_000
	// backlogCost is the cost per ms of a server's prefill backlog. It breaks ties
	// and keeps servers free for later requests.
	backlogCost = 1e-3
	// packingCost is the value of one request in the result of [packing]. It breaks
	// ties.
	packingCost = 5e-3
	// tieBreakCost bounds the pseudo-random cost that makes entries choose different
	// servers among otherwise equal ones. It equals packingCost, the cost of one
	// request on a server. For long prompts, which delay each other by seconds on
	// the same server, the bound is longTieBreakCost.
	tieBreakCost     = 5e-3
	longTieBreakCost = 0.05
	// longPrefill is the prefill time in ms from which a prompt is long. A shorter
	// prompt is not refused because of prefills: it delays others little, and a late
	// answer still comes before the caller would have resubmitted it.
	longPrefill = 500
)

// Request is a request to place.
type Request struct {
	PromptTokens   int64
	OutputTokens   int64                // expected tokens of the answer
	TTFTGoal       oleanderspool.Millis // see [Task]
	InterTokenGoal oleanderspool.Millis // see [Task]
	// CallerTimeout is the time until the caller gives up; 0 if unknown.
	CallerTimeout oleanderspool.Millis
	DataCentre    oleanderspool.DataCentreID // of the entry
	Tried         []oleanderspool.InstanceID // not to be chosen again
	// Resubmitted says that the request was refused earlier and that its caller
	// sent it again after the delay given in the refusal.
	Resubmitted bool
	// Overdue says that its TTFT goal has passed since that refusal.
	Overdue bool
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank    int
	Account string // client account; empty if unknown
	// Started says that a server may have started the request. It is no longer
	// refused, because its caller may have received a part of the answer.
	Started bool
}

// Value returns the value that is lost when the request fails.
func (r Request) Value() float64 {
	return baseValue + valuePerToken*float64(r.PromptTokens)
}

// Helper is a backend server that prefills a prompt shard for another server.
type Helper struct {
	Server directory.Server
	// ReservedTokens is the KV cache reserved on it for the prompt, in tokens; 0 for
	// none.
	ReservedTokens int64
}

// Decision is the placement that [Scheduler.Choose] returns.
type Decision struct {
	Server  directory.Server
	Helpers []Helper
	TTFT    oleanderspool.Millis // predicted time to the first token
	Cost    float64              // expected loss of value, of this request and others
	Losses  Losses               // main parts of Cost; zero for a prompt that is not long
	Backlog oleanderspool.Millis // prefill backlog of the server
	// Refused says why the request is to be refused; empty if it is not.
	Refused RefusalCause
	// Wait is the predicted time until the server begins with the request.
	Wait oleanderspool.Millis
	// ReturnDelay is the time after which the servers are expected to have room for a
	// refused request; 0 if unknown.
	ReturnDelay oleanderspool.Millis
	Contention  Contention
	// MeanBacklog is the mean prefill backlog of the eligible servers.
	MeanBacklog   oleanderspool.Millis
	ActiveStreams int // decoding requests on the server; for a service without an engine, all its requests
	// Crossing says why the server is in the data centre of the entry or in another one,
	// and Delay is the one-way network delay between them in ms.
	Crossing CrossingReason
	Delay    float64
}

// Choose returns the placement with the lowest cost. It reports false when no
// server can run the request. Without an engine model (e is nil) it picks the
// least loaded server.
func (sc *Scheduler) Choose(servers []directory.Server, e *directory.Engine, r Request, now oleanderspool.Millis) (Decision, bool) {
	if e == nil {
		return sc.chooseLeastLoaded(servers, r, now)
	}
	loads := sc.eligible(servers, e, r, now)
	if len(loads) == 0 {
		return Decision{}, false
	}
	tieBreak := tieBreakCost
	if prefillMillis(e, r.PromptTokens) >= longPrefill {
		tieBreak = longTieBreakCost
	}
	sc.unknown.decay(now)
	c, slots := sc.contentionOf(loads[0].server.Service), sc.slotUseOf(loads, e, r.TTFTGoal)
	changed := false
	if len(r.Tried) == 0 && !r.Started { // others do not compare all servers
		changed = c.observe(slots, r.TTFTGoal, now)
	}
	best := sc.choosePriced(loads, e, r, tieBreak, c.lasts(r.TTFTGoal), now)
	switch {
	case !math.IsInf(best.Cost, 1):
		sc.refuseByCost(&best, loads, e, r, now)
	case r.Started || !queuesFull(loads, e):
		return Decision{}, false
	default:
		best = Decision{Refused: RefusedLate}
	}
	best.Contention = Contention{Changed: changed, Lasts: c.lasts(r.TTFTGoal), Slots: slots.slots, Free: slots.free}
	c.decide(&best, r, slots, now)
	return best, true
}

// refuseByCost adds the cost of the prefill to a decision, and refuses a long prompt that
// would lose more than it is worth.
func (sc *Scheduler) refuseByCost(d *Decision, loads []*serverLoad, e *directory.Engine, r Request, now oleanderspool.Millis) {
	meanBacklog := 0.0
	for _, l := range loads {
		meanBacklog += l.backlog / float64(len(loads))
	}
	d.MeanBacklog = millis(meanBacklog)
	prefill := prefillMillis(e, r.PromptTokens)
	excess := sc.means.excess(e, r, prefill)
	prefillCost := r.prefillCost(prefill/excess, meanBacklog)
	d.Cost += prefillCost
	if prefill < longPrefill {
		return
	}
	d.Losses = lossesOf(d, loads, e, r, now)
	d.Losses.Prefill = prefillCost
	if !r.Started && d.Cost > r.refusalLimit(d, excess) {
		d.Refused = RefusedCost
	}
}

// queuesFull reports whether no server has room in its queue.
func queuesFull(loads []*serverLoad, e *directory.Engine) bool {
	for _, l := range loads {
		if !math.IsInf(l.slotWait(e), 1) {
			return false
		}
	}
	return true
}

// chooseUnpriced returns the better placement of the prompt as a whole and in shards, by
// the costs of the data centres as they are.
func (sc *Scheduler) chooseUnpriced(loads []*serverLoad, e *directory.Engine, r Request, tieBreak float64, spread bool, now oleanderspool.Millis) Decision {
	best := sc.chooseWhole(loads, e, r, tieBreak, spread, now)
	maxShards := 1 + min(e.MaxExtraServers, int(r.PromptTokens/minShardTokens)-1)
	if maxShards = min(maxShards, len(loads)); maxShards > 1 {
		if d := sc.chooseSharded(loads, e, r, maxShards, tieBreak, now); d.Cost < best.Cost {
			best = d
		}
	}
	return best
}

const (
	// busyPrefillCost is the cost per ms of prefill while the servers are busy, when
	// other requests would have used the time.
	busyPrefillCost = 8e-3
	// resubmittedFraction bounds the prefill cost of a resubmitted request, as a
	// fraction of its value, so that it is refused again only when it would be late
	// or delay others.
	resubmittedFraction = 0.6
	// busyBacklog is the mean backlog in ms from which the servers count as fully
	// busy. For a request with a longer TTFT goal it is busyGoalFraction of the goal:
	// such a request can wait until servers become free.
	busyBacklog      = 1000
	busyGoalFraction = 1.0 / 3
	// refusalFraction is the fraction of a request's value that a refusal loses. It
	// is below 1 because the caller may resubmit when the servers are less busy. See
	// [Request.refusalLimit].
	refusalFraction = 0.9
	// The caller of a stream is expected to give up after the longest of
	// minAbandonTimeout in ms, abandonTTFTGoals times the TTFT goal and
	// abandonInterTokenGoals times the inter-token goal.
	minAbandonTimeout      = 2000
	abandonTTFTGoals       = 4
	abandonInterTokenGoals = 8
)

// prefillCost returns the cost of the prefill time that the request takes from other
// requests. It grows with the mean backlog of the servers. Both arguments are in ms.
func (r Request) prefillCost(prefill, meanBacklog float64) float64 {
	cost := prefill * busyPrefillCost * min(1, meanBacklog/max(busyBacklog, busyGoalFraction*float64(r.TTFTGoal)))
	if r.Resubmitted {
		return min(cost, r.Value()*resubmittedFraction)
	}
	return cost
}

// abandonProbability returns the probability that a caller gives up when no token
// arrives for a duration in ms.
func abandonProbability(duration float64, ttftGoal, interTokenGoal oleanderspool.Millis) float64 {
	timeout := max(minAbandonTimeout, abandonTTFTGoals*float64(ttftGoal), abandonInterTokenGoals*float64(interTokenGoal))
	return missProbability(duration, timeout)
}

// eligible returns the loads of the servers that may be chosen, or of a sample of
// them. Avoided servers are used only when there are no others.
func (sc *Scheduler) eligible(servers []directory.Server, e *directory.Engine, r Request, now oleanderspool.Millis) []*serverLoad {
	sc.candidates, sc.avoidedCandidates = sc.candidates[:0], sc.avoidedCandidates[:0]
	count := min(len(servers), sc.maxCandidates)
	first := 0
	if count < len(servers) {
		first = sc.random.IntN(len(servers))
	}
	for i := range len(servers) {
		if len(sc.candidates) >= count {
			break
		}
		s := &servers[(first+i)%len(servers)]
		switch {
		case slices.Contains(r.Tried, s.Instance):
		case sc.isAvoided(s.Instance, now):
			sc.avoidedCandidates = append(sc.avoidedCandidates, sc.load(s, e, now))
		default:
			sc.candidates = append(sc.candidates, sc.load(s, e, now))
		}
	}
	if len(sc.candidates) == 0 {
		return sc.avoidedCandidates
	}
	return sc.candidates
}

// chooseWhole returns a placement of a prompt that one server prefills: the best one,
// or for a short prompt one of several that are nearly as good. With spread, more of them
// count as such.
func (sc *Scheduler) chooseWhole(loads []*serverLoad, e *directory.Engine, r Request, tieBreak float64, spread bool, now oleanderspool.Millis) Decision {
	prefill := prefillMillis(e, r.PromptTokens)
	maxPass := maxPassPrefillMillis(e, r.PromptTokens, prefill)
	count, margin := 1, 0.0
	if prefill < longPrefill {
		count = sc.alternatives(now)
	}
	switch {
	case count > 1 && spread:
		count, margin = maxAlternatives, contendedMargin
	case count > 1:
		margin = alternativeMargin
	}
	sc.wholeCandidates = sc.wholeCandidates[:0]
	bestCost := math.Inf(1)
	for _, s := range loads {
		start := max(s.backlog, s.slotWait(e))
		cost := s.memoryCost(e, r, s.missingTokens(e, r))
		if math.IsInf(start+cost, 1) {
			continue
		}
		crossing, delay := s.dataCentre.extra()
		ttft := start + prefill + s.passDelay(start) + deliveryDelay + delay
		cost += s.secondaryCost(e, tieBreak) + crossing + r.ttftLoss(ttft)
		if cost >= bestCost+margin {
			continue // the cost to others is not negative
		}
		cost += s.costToOthers(e, prefill, maxPass, false, now)
		bestCost = min(bestCost, cost)
		if cost <= bestCost+margin {
			sc.wholeCandidates = append(sc.wholeCandidates, wholeCandidate{serverLoad: s, cost: cost, ttft: ttft})
		}
	}
	if len(sc.wholeCandidates) == 0 {
		return Decision{Cost: bestCost}
	}
	c := sc.draw(sc.wholeCandidates, e, count, margin)
	d := c.decision(c.cost, c.ttft)
	d.Wait = millis(max(c.backlog, c.slotWait(e)))
	return d
}

// decision returns a decision for the server without helpers.
func (s *serverLoad) decision(cost, ttft float64) Decision {
	return Decision{Server: *s.server, Cost: cost, TTFT: millis(ttft), Backlog: millis(s.backlog), ActiveStreams: s.decoding}
}

// shardCounts are the numbers of shards that are compared. The more there are, the
// less one more changes.
var shardCounts = [...]int{2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 17}

// helperCandidate is a possible helper with the cost of prefilling a shard on it.
type helperCandidate struct {
	*serverLoad
	cost float64
}

// chooseSharded returns the best placement of a prompt that is split into several
// equal shards.
func (sc *Scheduler) chooseSharded(loads []*serverLoad, e *directory.Engine, r Request, maxShards int, tieBreak float64, now oleanderspool.Millis) Decision {
	candidates := make([]helperCandidate, len(loads))
	for i, s := range loads {
		candidates[i] = helperCandidate{serverLoad: s}
	}
	if len(candidates) > sc.maxHelperCandidates {
		sortCandidates(candidates, e, r, maxShards, tieBreak, now)
		candidates = candidates[:sc.maxHelperCandidates]
	}
	best := Decision{Cost: math.Inf(1)}
	for _, shards := range shardCounts {
		if shards > maxShards {
			break
		}
		if d := chooseShards(candidates, e, r, shards, tieBreak, now); d.Cost < best.Cost {
			best = d
		}
	}
	return best
}

// shardPrefill returns the prefill time of one of several equal shards of a prompt,
// and its longest part within one pass, in ms.
func shardPrefill(e *directory.Engine, r Request, shards int) (prefill, maxPass float64) {
	prefill = prefillMillis(e, r.PromptTokens) / float64(shards)
	tokens := r.PromptTokens / int64(shards)
	maxPass = maxPassPrefillMillis(e, tokens, prefill)
	// A pass prefills up to PrefillChunk tokens in each of its steps. The prefill time
	// of a shard is assumed to be proportional to its tokens.
	return prefill, min(prefill, max(maxPass, float64(e.PrefillChunk*int64(e.StepsPerPass))/float64(max(tokens, 1))*prefill))
}

// sortCandidates calculates the cost of a shard on each server, including those of
// the backlog and of the tie-break, and sorts the servers by it.
func sortCandidates(candidates []helperCandidate, e *directory.Engine, r Request, shards int, tieBreak float64, now oleanderspool.Millis) {
	prefill, maxPass := shardPrefill(e, r, shards)
	for i := range candidates {
		c := &candidates[i]
		crossing, _ := c.dataCentre.extra()
		c.cost = c.costToOthers(e, prefill, maxPass, true, now) + backlogCost*c.backlog + tieBreak*c.tieBreak + crossing/float64(shards)
	}
	slices.SortStableFunc(candidates, func(x, y helperCandidate) int { return cmp.Compare(x.cost, y.cost) })
}

// chooseShards returns the best placement of a prompt that is split into the given
// number of equal shards. It changes the order of the candidates.
func chooseShards(candidates []helperCandidate, e *directory.Engine, r Request, shards int, tieBreak float64, now oleanderspool.Millis) Decision {
	prefill, _ := shardPrefill(e, r, shards)
	sortCandidates(candidates, e, r, shards, tieBreak, now)
	var best *helperCandidate
	bestCost, bestTTFT := math.Inf(1), 0.0
	for i := range candidates {
		c := &candidates[i]
		helperCost, missing := c.helperCost(candidates, e, r, shards, nil)
		cost := helperCost + c.memoryCost(e, r, missing)
		start := c.slotWait(e)
		if math.IsInf(start+cost, 1) {
			continue
		}
		crossing, delay := c.dataCentre.extra()
		ttft := start + prefill + c.passDelay(start) + deliveryDelay + delay
		// The cost of the candidate contains its backlog and its tie-break, which
		// secondaryCost contains too, and the crossing of one shard.
		cost += c.cost - backlogCost*c.backlog - tieBreak*c.tieBreak + c.secondaryCost(e, tieBreak) + crossing*float64(shards-1)/float64(shards) + r.ttftLoss(ttft)
		if cost < bestCost {
			best, bestCost, bestTTFT = c, cost, ttft
		}
	}
	if best == nil {
		return Decision{Cost: bestCost}
	}
	d := best.decision(bestCost, bestTTFT)
	d.Wait = millis(best.slotWait(e))
	best.helperCost(candidates, e, r, shards, &d.Helpers)
	return d
}

// helperCost returns the cost of the cheapest helpers for a prompt on the candidate's
// server, and the memory in tokens that the server and the helpers lack. It appends
// the helpers to list unless that is nil.
func (c *helperCandidate) helperCost(candidates []helperCandidate, e *directory.Engine, r Request, shards int, list *[]Helper) (cost float64, missing int64) {
	missing = c.missingTokens(e, r)
	for i, count := 0, 0; i < len(candidates) && count < shards-1; i++ {
		h := &candidates[i]
		if h.serverLoad == c.serverLoad {
			continue
		}
		count++
		helper := Helper{Server: *h.server}
		if missing > 0 {
			helper.ReservedTokens = max(0, min(missing+reservationMargin, e.KVCacheTokens-h.memoryTokens-helperMemoryMargin))
			missing -= helper.ReservedTokens
			cost += reservationCost
		}
		cost += h.cost + helperCost
		if list != nil {
			*list = append(*list, helper)
		}
	}
	return cost, missing
}

// missingTokens returns the memory in tokens that the server lacks for a request; it
// is negative when some would remain.
func (s *serverLoad) missingTokens(e *directory.Engine, r Request) int64 {
	return r.PromptTokens + r.OutputTokens - (e.KVCacheTokens - s.memoryTokens)
}

// memoryCost returns the cost of memory that the chosen servers lack: infinite when
// the request exceeds the KV cache of one server.
func (s *serverLoad) memoryCost(e *directory.Engine, r Request, missing int64) float64 {
	switch {
	case missing <= 0:
		return 0
	case r.PromptTokens+r.OutputTokens > e.KVCacheTokens:
		return math.Inf(1)
	}
	return lastResortCost
}

// passDelay returns the time in ms that decoding adds to the first token of a new
// request whose prefill starts after the given time in ms. A server that prefills
// until then includes the request in the next pass.
func (s *serverLoad) passDelay(start float64) float64 {
	if start > 0 {
		return s.passDuration
	}
	return decodeOnlyPasses * s.passDuration
}

// decodeOnlyPasses is the number of passes that a new request takes on a server
// that only decodes: half a pass on average until the next one starts, and that one.
const decodeOnlyPasses = 1.5

// ttftLoss returns the value that the request is expected to lose with the given
// time to the first token in ms.
func (r Request) ttftLoss(ttft float64) float64 {
	value := r.Value()
	loss := value * (1 - lateFraction) * missProbability(ttft, float64(r.TTFTGoal))
	abandoned := abandonProbability(ttft, r.TTFTGoal, r.InterTokenGoal)
	if r.CallerTimeout > 0 {
		abandoned = max(abandoned, missProbability(ttft, float64(r.CallerTimeout)))
	}
	return loss + value*lateFraction*abandoned
}

// costToOthers returns the value that other requests on the server are expected to
// lose when it prefills a prompt or, if sharded is set, a shard. prefill is the total
// prefill time and maxPass the longest within one pass, in ms.
func (s *serverLoad) costToOthers(e *directory.Engine, prefill, maxPass float64, sharded bool, now oleanderspool.Millis) float64 {
	loss := s.streamLoss(e, prefill, maxPass)
	if sharded { // whole prompts queue behind all pending prefills and delay none
		loss += s.delayLoss(prefill, now)
	}
	return loss
}

// streamLoss returns the value that the streams on the server are expected to lose by
// longer pauses between events when it prefills a prompt or a shard.
func (s *serverLoad) streamLoss(e *directory.Engine, prefill, maxPass float64) float64 {
	loss, latency := 0.0, s.passDuration+s.passPrefill(e, prefill, maxPass)
	for i := range s.streams {
		g := &s.streams[i]
		loss += g.value * max(0, g.interTokenLoss(latency)-g.baseLoss)
	}
	return loss
}

// delayLoss returns the value that the pending prompts of the server are expected to lose
// when a shard with the given prefill time in ms goes first.
func (s *serverLoad) delayLoss(prefill float64, now oleanderspool.Millis) float64 {
	loss := 0.0
	for _, t := range s.prefills {
		ttft := float64(now-t.PlacedAt) + t.finishesIn
		loss += t.Value * max(0, t.goals().ttftLoss(ttft+prefill)-t.goals().ttftLoss(ttft))
	}
	return loss
}

// lastResortCost is the cost of a placement that is taken only when there is no
// other: the request has to wait for memory, or the server is avoided.
const lastResortCost = 5

// queueFraction bounds the requests that wait for a slot of a server, as a fraction
// of its slots. A server rejects requests above a limit that it does not report.
const queueFraction = 1.0

// slotWait returns the time in ms that a new request waits for a slot. It assumes
// that each request holds its slot for an answer of mean length and that slots
// become free at even intervals. The time is infinite when the queue is full.
func (s *serverLoad) slotWait(e *directory.Engine) float64 {
	waiting := s.slotsUsed - e.Slots + 1
	switch {
	case waiting <= 0:
		return 0
	case float64(waiting) > queueFraction*float64(e.Slots):
		return math.Inf(1)
	}
	pass := s.passDuration
	if pass == 0 { // all requests are still prefilled
		pass = passMillis(e, e.Slots, 0)
	}
	answer := math.Ceil(e.MeanAnswerTokens/float64(e.StepsPerPass)) * pass
	return float64(waiting) * answer / float64(e.Slots)
}

// goals are the latencies up to which a request loses no value.
type goals struct {
	ttft, interToken oleanderspool.Millis
}

func (t *Task) goals() goals {
	return goals{ttft: t.TTFTGoal, interToken: t.InterTokenGoal}
}

// interTokenLoss returns the fraction of its value that a stream loses with the
// given inter-token latency in ms.
func (g goals) interTokenLoss(latency float64) float64 {
	return (1-lateFraction)*missProbability(latency, float64(g.interToken)) + lateFraction*abandonProbability(latency, g.ttft, g.interToken)
}

// ttftLoss returns the fraction of its value that a request loses with the given
// time to the first token in ms.
func (g goals) ttftLoss(ttft float64) float64 {
	return (1-lateFraction)*missProbability(ttft, float64(g.ttft)) + lateFraction*abandonProbability(ttft, g.ttft, g.interToken)
}

// passPrefill returns the longest prefill time in ms within one pass when another
// prompt is added to the server.
func (s *serverLoad) passPrefill(e *directory.Engine, prefill, maxPass float64) float64 {
	perPass := float64(e.PrefillChunk*int64(e.StepsPerPass)) / e.PrefillRate
	return min(s.backlog+prefill, max(s.maxPassPrefill, maxPass, perPass))
}

// secondaryCost returns a small cost that decides between otherwise equal servers.
func (s *serverLoad) secondaryCost(e *directory.Engine, tieBreak float64) float64 {
	return backlogCost*s.backlog + packingCost*packing(s.slotsUsed, e.Slots) + tieBreak*s.tieBreak
}

// packedFraction is the fraction of a server's slots up to which streams are packed
// onto it. The rest is left for placements of other entries that this entry has not
// received yet.
const packedFraction = 0.75

// packingPenalty is the cost of each request above packedFraction, relative to the
// gain of each request below it.
const packingPenalty = 4

// packing returns a cost, in requests, that makes a server with some requests
// preferable to an empty one, so that other servers stay free for long prompts.
func packing(used, slots int) float64 {
	packed := packedFraction * float64(slots)
	if float64(used) <= packed {
		return -float64(used)
	}
	return (float64(used)-packed)*packingPenalty - packed
}

// missProbability returns the probability that the actual duration exceeds a goal,
// given the predicted one. It rises linearly from 0 at goalFraction of the goal to 1
// at 1.2 times the goal.
func missProbability(duration, goal float64) float64 {
	if goal <= 0 {
		return 0
	}
	const certainMissFraction = 1.2
	return min(1, max(0, (duration/goal-goalFraction)/(certainMissFraction-goalFraction)))
}

// chooseLeastLoaded returns the server with the fewest requests per slot, for a
// service without an engine model. Servers of the own data centre are preferred up to a
// bound. The cost is the number of requests per slot, to which the costs of the data
// centre, lastResortCost and warmUpCost are added as fractions of the slots.
func (sc *Scheduler) chooseLeastLoaded(servers []directory.Server, r Request, now oleanderspool.Millis) (Decision, bool) {
	best, found, ownIsFull := Decision{Cost: math.Inf(1)}, false, true
	sc.dataCentres.priceLeastLoaded(servers, r, sc.random, now)
	for _, s := range servers {
		if slices.Contains(r.Tried, s.Instance) {
			continue
		}
		count := sc.Count(s.Instance)
		cost := float64(count) / float64(max(1, s.Slots))
		cost += sc.dataCentres.leastLoadedCost(&s, count)
		ownIsFull = ownIsFull && (s.DataCentre != r.DataCentre || count >= s.Slots)
		if sc.isAvoided(s.Instance, now) {
			cost += lastResortCost
		}
		if now < s.ColdUntil {
			cost += warmUpCost
		}
		if cost < best.Cost {
			best, found = Decision{Server: s, Cost: cost, ActiveStreams: count}, true
		}
	}
	if found {
		best.Crossing = sc.dataCentres.leastLoadedReason(&best.Server, ownIsFull)
	}
	return best, found
}

// warmUpCost is added to the load of a server while it is slow after its start, as
// a fraction of its slots.
const warmUpCost = 0.3
