package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// overloadEngine and overloadRequest are those of the first deployment of
// docs/design/contended-load.md.
var (
	overloadEngine = &directory.Engine{
		Slots: 12, KVCacheTokens: 344_250, StepMillis: 1.31, SequenceCost: 0.000917, ContextCost: 0.00213,
		PrefillRate: 154, AttentionCost: 0.162, PrefillChunk: 2048, StepsPerPass: 38, MeanAnswerTokens: 1285, MaxExtraServers: 16,
	}
	overloadRequest = placement.Request{PromptTokens: 5000, OutputTokens: 36 * 38, TTFTGoal: 250, InterTokenGoal: 250, CallerTimeout: 10_000, DataCentre: "a"}
)

const (
	overloadServers = 54
	overloadEntries = 8
	overloadDelay   = 5  // ms until an entry learns of a placement of another one
	overloadEvents  = 36 // mean of an answer
	// promptMillis and passMillis are the prefill time of the prompt and the duration of
	// a pass with all slots taken.
	promptMillis = 38
	passMillis   = 55
	// networkMillis is the part of the TTFT that is spent between caller and server.
	networkMillis = 15
)

// overloadCapacity is the number of requests that the servers complete in a second with
// all slots taken: each answer takes its events, each of which takes a pass and the
// prefills of the requests that begin in it.
const overloadCapacity = overloadServers * 12 * 1000.0 / (overloadEvents * (passMillis + 12.0*promptMillis/overloadEvents))

// requestKind is a kind of request of the first deployment.
type requestKind struct {
	name             string
	request          placement.Request
	events           int // mean of an answer
	perSecond        float64
	value, lateValue float64
}

var shortKind = &requestKind{name: "short", request: overloadRequest, events: overloadEvents, perSecond: 64, value: 1.8, lateValue: 0.19}

// play is a load of prompts on simulated servers that batch as the engine does.
type play struct {
	random     *rand.Rand
	schedulers []*placement.Scheduler
	list       []directory.Server
	servers    map[oleanderspool.InstanceID]*batchServer
	deliveries []delivery
	returns    []playedRequest
	done       []playedRequest
	lastID     placement.TaskID
	contended  bool                 // a request found a contention
	turns      [overloadEntries]int // for round robin
	// kind, account, rank, rankOf and goal describe the requests.
	kind    func(*rand.Rand) *requestKind
	account func(*rand.Rand) string
	rank    func(*rand.Rand) int
	rankOf  func(account string) int // nil for none
	goal    func(k *requestKind, rank int) oleanderspool.Millis
	// place decides on a request.
	place func(p *play, entry int, r placement.Request, now oleanderspool.Millis) (placement.Decision, bool)
}

// playedRequest is a request and what its caller saw.
type playedRequest struct {
	kind              *requestKind
	account           string
	rank              int
	made, at, first   oleanderspool.Millis // first arrival, last one and first event
	lastEvent, pause  oleanderspool.Millis // the pause is the longest one
	left              int                  // events until the end of the answer
	prefills          int                  // that have not ended
	returned, refused bool
	tasks             []placement.Task
}

func (r playedRequest) inTime() bool {
	return r.first > 0 && !r.returned && r.first-r.at+networkMillis <= r.kind.request.TTFTGoal
}

// batchServer runs passes: each prefills up to the engine's chunks and decodes the
// requests whose prefills have ended.
type batchServer struct {
	waiting, admitted []*playedRequest
	prefills, ending  []*prefill
	memory            int64 // in tokens, of the admitted requests and of reservations
	passEnd           oleanderspool.Millis
}

// prefill is a prompt, or a shard of one, that a server prefills.
type prefill struct {
	request     *playedRequest
	sharded     bool
	chunks      int // left
	chunkMillis float64
}

func newPlay() *play {
	p := &play{
		random: rand.New(rand.NewPCG(7, 7)), list: servers(overloadServers), servers: make(map[oleanderspool.InstanceID]*batchServer),
		account: func(*rand.Rand) string { return "" }, rank: func(*rand.Rand) int { return 0 },
		kind: func(*rand.Rand) *requestKind { return shortKind },
		goal: func(k *requestKind, _ int) oleanderspool.Millis { return k.request.TTFTGoal },
		place: func(p *play, entry int, r placement.Request, now oleanderspool.Millis) (placement.Decision, bool) {
			return p.schedulers[entry].Choose(p.list, overloadEngine, r, now)
		},
	}
	for i := range p.list {
		p.list[i].Slots, p.list[i].Service = overloadEngine.Slots, "llm"
		p.servers[p.list[i].Instance] = &batchServer{}
	}
	for i := range overloadEntries {
		p.schedulers = append(p.schedulers, placement.NewScheduler(placement.WithTieBreakSeed(uint64(i+1))))
	}
	return p
}

// run plays a number of requests per second until an instant.
func (p *play) run(from, until oleanderspool.Millis, perSecond float64) {
	for now := from; now < until; now++ {
		p.deliver(now)
		for _, s := range p.list {
			p.advance(p.servers[s.Instance], now)
		}
		for len(p.returns) > 0 && p.returns[0].at <= now {
			r := p.returns[0]
			p.returns = p.returns[1:]
			p.arrive(r, now)
		}
		if p.random.Float64()*1000 < perSecond {
			p.arrive(playedRequest{kind: p.kind(p.random), made: now, at: now, account: p.account(p.random), rank: p.rank(p.random)}, now)
		}
	}
}

// deliver applies the placements of other entries that have arrived.
func (p *play) deliver(now oleanderspool.Millis) {
	for len(p.deliveries) > 0 && p.deliveries[0].at <= now {
		for i, sc := range p.schedulers {
			if uint64(i+1) != p.deliveries[0].task.Entry {
				sc.Add(p.deliveries[0].task)
				sc.ObserveDelay(overloadDelay, now)
			}
		}
		p.deliveries = p.deliveries[1:]
	}
}

func (p *play) arrive(r playedRequest, now oleanderspool.Millis) {
	entry := p.random.IntN(overloadEntries)
	request := r.kind.request
	if p.rankOf != nil {
		r.rank = p.rankOf(r.account)
	}
	request.Account, request.Rank, request.TTFTGoal = r.account, r.rank, p.goal(r.kind, r.rank)
	request.Resubmitted, request.Overdue = r.returned, r.returned && now-r.made > r.kind.request.TTFTGoal
	d, found := p.place(p, entry, request, now)
	p.contended = p.contended || d.Contention.Lasts
	if !found || d.Refused != "" {
		p.refuse(r, d, now)
		return
	}
	r.tasks = placement.Tasks(d, overloadEngine, request, now)
	r.left, r.prefills = r.kind.events/3+p.random.IntN(r.kind.events*4/3+1), len(r.tasks)
	for i := range r.tasks {
		t := &r.tasks[i]
		p.lastID++
		t.ID, t.Entry = p.lastID, uint64(entry+1)
		p.schedulers[entry].Add(*t)
		p.deliveries = append(p.deliveries, delivery{now + overloadDelay, *t})
		if i > 0 {
			p.servers[t.Server].begin(&r, i)
		}
	}
	s := p.servers[r.tasks[0].Server]
	s.waiting = append(s.waiting, &r)
}

// refuse records a refusal. Its caller comes back once, after the delay of the refusal.
func (p *play) refuse(r playedRequest, d placement.Decision, now oleanderspool.Millis) {
	if r.returned {
		return
	}
	r.refused = true
	p.done = append(p.done, r)
	r.returned, r.at = true, now+max(400, min(max(d.MeanBacklog, d.ReturnDelay), r.kind.request.CallerTimeout/4))
	p.returns = append(p.returns, r)
	slices.SortStableFunc(p.returns, func(x, y playedRequest) int { return int(x.at - y.at) })
}

// begin starts the prefill of a task of a request.
func (s *batchServer) begin(r *playedRequest, task int) {
	t := &r.tasks[task]
	chunks := 1 + int(r.kind.request.PromptTokens/overloadEngine.PrefillChunk)/len(r.tasks)
	s.prefills = append(s.prefills, &prefill{request: r, sharded: t.Sharded, chunks: chunks, chunkMillis: math.Floor(t.PrefillMillis) / float64(chunks)})
	s.memory += t.MemoryTokens
}

// advance ends the pass of a server and begins the next one.
func (p *play) advance(s *batchServer, now oleanderspool.Millis) {
	if now < s.passEnd {
		return
	}
	for _, f := range s.ending {
		f.request.prefills--
	}
	s.ending = s.ending[:0]
	s.admitted = slices.DeleteFunc(s.admitted, func(r *playedRequest) bool { return p.endsWith(r, now) })
	s.admit(p, now)
	s.passEnd = now + oleanderspool.Millis(math.Round(s.prefillPass()+s.decodePass()))
}

// endsWith gives a request the event of a pass, and reports whether it was the last one.
func (p *play) endsWith(r *playedRequest, now oleanderspool.Millis) bool {
	if r.prefills > 0 {
		return false
	}
	if r.first == 0 {
		r.first, r.lastEvent = now, now
		for _, t := range r.tasks {
			p.all(func(sc *placement.Scheduler) { sc.MarkDecoding(t.ID) })
		}
	}
	r.pause, r.lastEvent = max(r.pause, now-r.lastEvent), now
	if r.left--; r.left > 0 {
		return false
	}
	p.servers[r.tasks[0].Server].memory -= r.tasks[0].MemoryTokens
	p.end(r)
	return true
}

// end removes a request and the shards of its helpers.
func (p *play) end(r *playedRequest) {
	for i, t := range r.tasks {
		if i > 0 {
			p.servers[t.Server].memory -= t.MemoryTokens
		}
		p.all(func(sc *placement.Scheduler) { sc.Remove(t.ID) })
	}
	p.done = append(p.done, *r)
}

// admit gives slots and memory to the requests that wait, in their order, unless their
// callers have given up.
func (s *batchServer) admit(p *play, now oleanderspool.Millis) {
	for len(s.waiting) > 0 && len(s.admitted) < overloadEngine.Slots {
		r := s.waiting[0]
		if now-r.made > r.kind.request.CallerTimeout {
			s.waiting = s.waiting[1:]
			p.end(r)
			continue
		}
		if s.memory+r.tasks[0].MemoryTokens > overloadEngine.KVCacheTokens {
			return
		}
		s.waiting = s.waiting[1:]
		s.admitted = append(s.admitted, r)
		s.begin(r, 0)
	}
}

// prefillPass prefills what fits into a pass, and returns the time that it takes in ms.
// Shards precede whole prompts, and the newest shard comes first.
func (s *batchServer) prefillPass() float64 {
	duration, budget := 0.0, overloadEngine.StepsPerPass
	run := func(f *prefill) {
		n := min(budget, f.chunks)
		budget, f.chunks, duration = budget-n, f.chunks-n, duration+float64(n)*f.chunkMillis
		if n > 0 && f.chunks == 0 {
			s.ending = append(s.ending, f)
		}
	}
	for _, f := range slices.Backward(s.prefills) {
		if f.sharded {
			run(f)
		}
	}
	for _, f := range s.prefills {
		if !f.sharded {
			run(f)
		}
	}
	s.prefills = slices.DeleteFunc(s.prefills, func(f *prefill) bool { return f.chunks == 0 })
	return duration
}

// decodePass returns the time that a pass takes for the requests that decode, in ms: that of full
// slots of short prompts at least.
func (s *batchServer) decodePass() float64 {
	decoding, tokens := 0, int64(0)
	for _, r := range s.admitted {
		if r.prefills == 0 {
			decoding, tokens = decoding+1, tokens+r.kind.request.PromptTokens
		}
	}
	if decoding == 0 {
		return 0
	}
	e := overloadEngine
	return max(passMillis, float64(e.StepsPerPass)*(e.StepMillis+float64(decoding)*e.SequenceCost+float64(tokens)/1000*e.ContextCost))
}

func (p *play) all(f func(*placement.Scheduler)) {
	for _, sc := range p.schedulers {
		f(sc)
	}
}

// count returns how many of the requests that arrived between two instants meet a
// condition.
func (p *play) count(from, until oleanderspool.Millis, condition func(playedRequest) bool) float64 {
	n := 0
	for _, r := range p.done {
		if r.at >= from && r.at < until && condition(r) {
			n++
		}
	}
	return float64(n)
}

// The load: half of the capacity, then three times the capacity for the jump, then half
// of it again.
const (
	calmStart = 2 * oleanderspool.Second // the servers have filled up to the usual
	jumpStart = 4 * oleanderspool.Second
	jumpEnd   = 16 * oleanderspool.Second
	playEnd   = 24 * oleanderspool.Second
)

func (p *play) runJump() {
	p.run(1, jumpStart, overloadCapacity/2)
	p.run(jumpStart, jumpEnd, 3*overloadCapacity)
	p.run(jumpEnd, playEnd, overloadCapacity/2)
}

// TestOverloadKeepsCapacity guards against an overload of short prompts in which each
// request that waits for a slot makes the next one late, until all are late although the
// servers work at capacity. It answers the load of a jump to three times the capacity.
func TestOverloadKeepsCapacity(t *testing.T) {
	p := newPlay()
	p.runJump()
	capacity := overloadCapacity * float64(jumpEnd-jumpStart) / 1000
	if got := p.count(jumpStart, jumpEnd, playedRequest.inTime); got < 0.9*capacity {
		t.Errorf("%.0f requests in time during the jump, want nine tenths of the capacity of %.0f", got, capacity)
	}
	late := p.count(jumpStart, jumpEnd, func(r playedRequest) bool { return !r.refused && !r.returned && !r.inTime() })
	if late > 0.1*capacity {
		t.Errorf("%.0f requests late during the jump, want the rest refused at once", late)
	}
	from, until := jumpEnd+2*oleanderspool.Second, playEnd-3*oleanderspool.Second
	first := func(r playedRequest) bool { return !r.returned }
	before := p.count(calmStart, jumpStart, playedRequest.inTime) / p.count(calmStart, jumpStart, first)
	if after := p.count(from, until, playedRequest.inTime) / p.count(from, until, first); after < before {
		t.Errorf("%.3f of the requests in time from 2 s after the jump on, %.3f before it", after, before)
	}
}

// TestShortOverloadRefusesNothing guards against a refusal of requests that could have
// been served in time: a jump from three quarters of the capacity to twice the capacity
// that lasts a quarter of a second and takes nearly all slots.
func TestShortOverloadRefusesNothing(t *testing.T) {
	p := newPlay()
	p.run(1, 6000, overloadCapacity*3/4)
	p.run(6000, 6250, 2*overloadCapacity)
	contended := p.contended
	p.run(6250, 9000, overloadCapacity*3/4)
	if refused := p.count(0, 9000, func(r playedRequest) bool { return r.refused }); refused > 0 || !contended {
		t.Errorf("%.0f requests refused, want none in a contention (%t)", refused, contended)
	}
}

// TestOverloadSharesFairly guards against a client account that sends most requests of an
// overload and takes the slots of the accounts that send little.
func TestOverloadSharesFairly(t *testing.T) {
	p := newPlay()
	if got, all := p.runFlood(); got < 0.8*all {
		t.Errorf("%.0f of %.0f requests of small accounts in time", got, all)
	}
}

// runFlood plays the jump with an account that sends nine tenths of the requests, and
// returns how many of those of the other accounts are in time, and all of them, from 2 s
// after the start of the jump on.
func (p *play) runFlood() (inTime, all float64) {
	p.account = func(r *rand.Rand) string {
		if r.Float64() < 0.9 {
			return "large"
		}
		return fmt.Sprintf("small-%d", r.IntN(6))
	}
	p.runJump()
	from, until := jumpStart+2*oleanderspool.Second, jumpEnd
	small := func(r playedRequest) bool { return r.account != "large" && !r.returned }
	return p.count(from, until, func(r playedRequest) bool { return small(r) && r.inTime() }), p.count(from, until, small)
}

// TestOverloadKeepsRanks guards against requests of a less urgent rank that are served
// because their goal is longer, while those of a more urgent one are refused, and against
// a rank that is never served.
func TestOverloadKeepsRanks(t *testing.T) {
	p := newPlay()
	p.rank = func(r *rand.Rand) int { return r.IntN(2) }
	p.goal = func(_ *requestKind, rank int) oleanderspool.Millis {
		return overloadRequest.TTFTGoal * oleanderspool.Millis(1+11*rank)
	}
	p.runJump()
	from, until := jumpStart+2*oleanderspool.Second, jumpEnd
	served := make([]float64, 2)
	for rank := range served {
		own := func(r playedRequest) bool { return r.rank == rank && !r.returned }
		served[rank] = p.count(from, until, func(r playedRequest) bool { return own(r) && r.first > 0 }) / p.count(from, until, own)
	}
	if served[1] > served[0]+0.1 || served[1] < served[0]/4 {
		t.Errorf("served by rank, most urgent first: %.3f", served)
	}
}

// TestOverloadSharesDoNotBlockRanks guards against an account that floods with urgent
// requests and, since these are refused, shuts out the less urgent requests of others.
func TestOverloadSharesDoNotBlockRanks(t *testing.T) {
	p := newPlay()
	p.rankOf = func(account string) int {
		if account == "large" {
			return 0
		}
		return 1
	}
	if got, all := p.runFlood(); got < 0.8*all {
		t.Errorf("%.0f of %.0f less urgent requests of small accounts in time", got, all)
	}
}

// TestOverloadServesShortGoals guards against medium prompts, whose goal lets them wait for
// servers that are busy with prefills, that keep these busy and so shut out the short ones:
// the prompts of all lengths in the proportions of the first deployment at three times the
// capacity.
func TestOverloadServesShortGoals(t *testing.T) {
	p, perSecond, capacity := newMixedPlay(mixedKinds, policies[0])
	p.run(1, jumpStart, perSecond*capacity/2)
	p.run(jumpStart, jumpEnd, 3*perSecond*capacity)
	from, until := jumpStart, jumpEnd-5*oleanderspool.Second // answers have ended
	inTime := func(k *requestKind) float64 {
		own := func(r playedRequest) bool { return r.kind == k && !r.returned }
		return p.count(from, until, func(r playedRequest) bool { return own(r) && r.inTime() }) / p.count(from, until, own)
	}
	if short, medium := inTime(shortKind), inTime(mediumKind); short < medium/2 {
		t.Errorf("%.3f of the short prompts in time, %.3f of the medium ones", short, medium)
	}
}

// TestReturningCallersArePreferred guards against callers that come back after their Retry-After, soon
// enough for their goal, and are refused as often as new ones.
func TestReturningCallersArePreferred(t *testing.T) {
	var offered, refused [2]float64 // new requests and those that come back
	p, perSecond, capacity := newMixedPlay(mixedKinds, policies[0])
	decide := p.place
	p.place = func(p *play, entry int, r placement.Request, now oleanderspool.Millis) (placement.Decision, bool) {
		d, found := decide(p, entry, r, now)
		if i := 0; r.TTFTGoal == mediumKind.request.TTFTGoal && !r.Overdue {
			if r.Resubmitted {
				i = 1
			}
			offered[i]++
			if d.Refused != "" && d.Refused != placement.RefusedLate {
				refused[i]++
			}
		}
		return d, found
	}
	p.run(1, jumpStart, perSecond*capacity/2)
	p.run(jumpStart, jumpEnd, 3*perSecond*capacity)
	if offered[1] < 10 || refused[0] == 0 || refused[1] > 0 {
		t.Errorf("%.0f of %.0f new requests refused that would not be late, %.0f of %.0f of those that came back, want none", refused[0], offered[0], refused[1], offered[1])
	}
}

// TestContentionSettles guards against a contention that ends with the first few free slots
// and begins anew with the next requests: until a quarter is free, requests that arrive
// before their entry knows of the latest placements take them.
func TestContentionSettles(t *testing.T) {
	sc, list := placement.NewScheduler(), servers(10)
	slots := len(list) * overloadEngine.Slots
	for i := range slots {
		sc.Add(placement.Task{ID: placement.TaskID(i + 1), Server: list[i%len(list)].Instance, OutputTokens: 1, Decoding: true})
	}
	for free, last := 0, false; free <= slots/2; free++ {
		d, found := sc.Choose(list, overloadEngine, overloadRequest, 1)
		if want := free < slots/4; !found || d.Contention.Lasts != want || d.Contention.Changed != (want != last) {
			t.Fatalf("contention %+v with %d of %d slots free, want it to last: %t", d.Contention, free, slots, want)
		}
		last = d.Contention.Lasts
		sc.Remove(placement.TaskID(free + 1))
	}
}

// TestContentionIsForgotten guards against contentions that stay when the goals in the
// configuration change, until no contention for another goal is noticed.
func TestContentionIsForgotten(t *testing.T) {
	sc, list := placement.NewScheduler(), servers(1)
	for i := range oleanderspool.Millis(200) {
		now := i * oleanderspool.Minute
		for slot := range overloadEngine.Slots {
			sc.Add(placement.Task{ID: placement.TaskID(slot + 1), Server: list[0].Instance, OutputTokens: 1, Decoding: true, PlacedAt: now})
		}
		r := overloadRequest
		r.TTFTGoal += i
		d, found := sc.Choose(list, overloadEngine, r, now)
		if !found || !d.Contention.Changed || !d.Contention.Lasts {
			t.Fatalf("no contention for the goal of %d ms", r.TTFTGoal)
		}
		sc.Expire(now + oleanderspool.Minute)
	}
}
