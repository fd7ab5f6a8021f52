package placement

import (
	"math"
	"math/rand/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// requestBytesPerToken and answerBytesPerToken estimate the bytes of a request and
	// of its answer, whose events have a frame around the text.
	requestBytesPerToken = 4
	answerBytesPerToken  = 6
	// bytePrice is the cost per MB that crosses between data centres. A prompt of
	// 260,000 tokens costs 0.5, a fiftieth of its value.
	bytePrice = 0.5
	// maxPriceFraction bounds the price of crossing as a fraction of the request's value.
	maxPriceFraction = 0.1
	// priceSpread is the largest increase of the price by chance, as a fraction. The
	// requests of all entries leave at costs that differ by this much, so that the share
	// that leaves rises gradually with the load.
	priceSpread = 0.5
	// loadBound is the load of a data centre, relative to that of another one, up to
	// which it keeps its requests, as a fraction of its capacity.
	loadBound = 0.1
	// leaveRange is the range of the load above packedFraction in which the share of the
	// requests that leave rises to all of them. Above it, the last free slots are taken by
	// several entries at once.
	leaveRange = 0.2
	// leastLoadedPrice is the price of crossing for a service without an engine, as a
	// fraction of a server's slots.
	leastLoadedPrice = 0.25
	// leastLoadedLinkCost is the cost of a link that fails each request, as a multiple of
	// a server's slots.
	leastLoadedLinkCost = 2
	// maxDataCentres bounds the data centres that are distinguished. Further ones count
	// as one.
	maxDataCentres = 64
)

// CrossingReason says why a request stays in the data centre of its entry or leaves it.
type CrossingReason string

// The reasons.
const (
	CrossingNone       CrossingReason = "own"        // the request stays
	CrossingNoServer   CrossingReason = "no_server"  // the own data centre has no server for it
	CrossingLate       CrossingReason = "late"       // it would be late, or nearly so, in the own data centre
	CrossingLoad       CrossingReason = "load"       // it belongs to the share that evens out the load
	CrossingLink       CrossingReason = "link"       // servers of the own data centre fail or answer late
	CrossingCost       CrossingReason = "cost"       // it would cost other requests more in the own data centre
	CrossingFullServer CrossingReason = "no_slot"    // no slot is free in the own data centre (without an engine)
	CrossingLessLoaded CrossingReason = "least_load" // the other server has fewer requests (without an engine)
)

// dataCentre is the state of a data centre: its link, and its load and costs for the
// request that is being placed.
type dataCentre struct {
	name  oleanderspool.DataCentreID
	link  link
	delay float64 // round trip from the entry in ms

	servers, slotsUsed int
	backlog            float64 // sum over the servers, in ms
	minWait            float64 // shortest time to a first token in ms, without prefill and delivery
	price              float64 // cost of crossing to it; 0 for the own data centre
	linkCost           float64 // expected loss by failures of its link
	spare              float64 // capacity that it offers to the own data centre, in servers
	drawn              bool    // the request belongs to the share that it takes over
}

// extra returns what is added to the cost and to the time to first token in ms, for a
// server of the data centre.
func (dc *dataCentre) extra() (cost, delay float64) {
	return dc.price + dc.linkCost, dc.delay
}

// dataCentres decides which requests leave the data centre of the entry. It responds to
// a data centre whose servers are too few for the load, to links that lose packets or
// are cut, and to the traffic that needless crossings cause.
type dataCentres struct {
	list []*dataCentre
	// own and engine are those for which the delays hold.
	own    oleanderspool.DataCentreID
	engine *directory.Engine
	// fullPrice is the cost of a server of the own data centre without a free slot, for a
	// service without an engine.
	fullPrice float64
	changes   []LinkChange
}

// of returns the data centre with a name. known is returned if it is that one, which
// saves the search.
func (ds *dataCentres) of(name oleanderspool.DataCentreID, known *dataCentre) *dataCentre {
	if known != nil && known.name == name {
		return known
	}
	for _, dc := range ds.list {
		if dc.name == name {
			return dc
		}
	}
	if len(ds.list) >= maxDataCentres {
		return ds.list[maxDataCentres-1]
	}
	dc := &dataCentre{name: name, delay: ds.roundTrip(name)}
	ds.list = append(ds.list, dc)
	return dc
}

// roundTrip returns the network delay from the entry to a data centre and back in ms; 0 if
// the data centre of the entry is unknown.
func (ds *dataCentres) roundTrip(to oleanderspool.DataCentreID) float64 {
	if ds.own == "" {
		return 0
	}
	return 2 * ds.engine.Delay(ds.own, to)
}

// begin resets what depends on the request.
func (ds *dataCentres) begin(e *directory.Engine, own oleanderspool.DataCentreID) {
	changed := ds.engine != e || ds.own != own
	ds.engine, ds.own = e, own
	for _, dc := range ds.list {
		if changed {
			dc.delay = ds.roundTrip(dc.name)
		}
		dc.servers, dc.slotsUsed, dc.backlog, dc.minWait = 0, 0, 0, math.Inf(1)
		dc.price, dc.linkCost, dc.drawn = 0, 0, false
	}
}

// price sets the costs of all data centres for a request. Without a server outside of
// the own data centre all are 0.
func (ds *dataCentres) price(loads []*serverLoad, e *directory.Engine, r Request, tieBreak float64, random *rand.Rand, now oleanderspool.Millis) {
	ds.begin(e, r.DataCentre)
	for _, l := range loads {
		dc := l.dataCentre
		dc.servers++
		dc.slotsUsed += min(l.slotsUsed, e.Slots)
		dc.backlog += l.backlog
		start := max(l.backlog, l.slotWait(e))
		dc.minWait = min(dc.minWait, start+l.passDelay(start))
	}
	own := ds.of(r.DataCentre, nil)
	if own.servers == len(loads) {
		return
	}
	ds.setLinkCosts(r.Value()*(1-lateFraction), now)
	// Packing gains up to packedFraction do not pay for the crossing.
	price := packingCost*packedFraction*float64(e.Slots) + tieBreak + bytePrice*r.bytes()/1e6
	price = min(price*(1+priceSpread*random.Float64()), maxPriceFraction*r.Value())
	if own.servers == 0 {
		price = 0
	}
	for _, dc := range ds.list {
		if dc != own {
			dc.price = price + backlogCost*dc.delay
		}
	}
	if own.servers > 0 {
		ds.drawShare(own, price, e, r, random.Float64())
	}
}

// bytes estimates the bytes of the request and of its answer.
func (r Request) bytes() float64 {
	return requestBytesPerToken*float64(r.PromptTokens) + answerBytesPerToken*float64(r.OutputTokens)
}

// load returns the load of the data centre as a fraction of its capacity: its used slots,
// or its mean backlog relative to the longest one at which the request is in time.
func (dc *dataCentre) load(e *directory.Engine, r Request) float64 {
	slots := float64(dc.slotsUsed) / float64(dc.servers*e.Slots)
	if r.TTFTGoal <= 0 {
		return slots
	}
	return max(slots, dc.backlog/float64(dc.servers)/(goalFraction*float64(r.TTFTGoal)))
}

// drawShare draws whether the request belongs to the share that leaves a data centre
// whose load is above packedFraction, and where it goes: there the price applies to all
// other data centres. The share rises with the load and is divided by the free capacity
// of the data centres, so that entries that decide by the same knowledge leave in part.
func (ds *dataCentres) drawShare(own *dataCentre, price float64, e *directory.Engine, r Request, draw float64) {
	ownLoad := own.load(e, r)
	if ownLoad <= packedFraction {
		return
	}
	free := max(0, 1-ownLoad) * float64(own.servers)
	for _, dc := range ds.list {
		dc.spare = 0
		if dc != own && dc.servers > 0 {
			dc.spare = max(0, min(1, ownLoad)-loadBound-dc.load(e, r)) * float64(dc.servers)
		}
		free += dc.spare
	}
	draw *= free / min(1, (ownLoad-packedFraction)/leaveRange)
	for _, dc := range ds.list {
		if draw -= dc.spare; draw < 0 {
			for _, other := range ds.list {
				other.price = price
			}
			dc.price, dc.drawn = 0, true
			return
		}
	}
}

// waive removes all prices. It reports false when that cannot make a request with the
// given shortest prefill time in ms meet its goal.
func (ds *dataCentres) waive(prefill float64, r Request) bool {
	helps := false
	for _, dc := range ds.list {
		helps = helps || dc.price > 0 && dc.minWait+prefill+deliveryDelay+dc.delay <= float64(r.TTFTGoal)
		dc.price = 0
	}
	return helps
}

// choosePriced returns the placement with the lowest cost, including that of leaving the
// data centre. If it is late, the prices must not be the reason: a placement that is in
// time without them replaces it.
func (sc *Scheduler) choosePriced(loads []*serverLoad, e *directory.Engine, r Request, tieBreak float64, spread bool, now oleanderspool.Millis) Decision {
	sc.dataCentres.price(loads, e, r, tieBreak, sc.random, now)
	best := sc.chooseUnpriced(loads, e, r, tieBreak, spread, now)
	sc.dataCentres.settle(&best, r)
	if r.TTFTGoal <= 0 || best.TTFT <= r.TTFTGoal || !sc.dataCentres.waive(prefillMillis(e, r.PromptTokens)/float64(1+e.MaxExtraServers), r) {
		return best
	}
	if d := sc.chooseUnpriced(loads, e, r, tieBreak, spread, now); d.TTFT <= r.TTFTGoal && !math.IsInf(d.Cost, 1) {
		sc.dataCentres.settle(&d, r)
		if d.Crossing == CrossingCost {
			d.Crossing = CrossingLate
		}
		return d
	}
	return best
}

// settle sets the reason of a decision and removes the costs of crossing from its cost,
// so that they do not lead to a refusal.
func (ds *dataCentres) settle(d *Decision, r Request) {
	if math.IsInf(d.Cost, 1) {
		return
	}
	chosen, own := ds.of(d.Server.DataCentre, nil), ds.of(r.DataCentre, nil)
	cost, _ := chosen.extra()
	d.Cost -= cost
	for _, h := range d.Helpers {
		cost, _ := ds.of(h.Server.DataCentre, nil).extra()
		d.Cost -= cost / float64(1+len(d.Helpers))
	}
	d.Delay = chosen.delay / 2
	d.Crossing = ds.reason(chosen, own, r)
}

// commonReason returns the reason of a decision that does not depend on the engine; empty
// if it is another one.
func commonReason(chosen, own *dataCentre) CrossingReason {
	switch {
	case chosen == own:
		return CrossingNone
	case own.servers == 0:
		return CrossingNoServer
	case own.linkCost > chosen.linkCost:
		return CrossingLink
	default:
		return ""
	}
}

func (ds *dataCentres) reason(chosen, own *dataCentre, r Request) CrossingReason {
	common := commonReason(chosen, own)
	switch {
	case common != "":
		return common
	case chosen.drawn:
		return CrossingLoad
	case r.TTFTGoal > 0 && own.minWait+prefillMillis(ds.engine, r.PromptTokens)+deliveryDelay > goalFraction*float64(r.TTFTGoal):
		return CrossingLate
	default:
		return CrossingCost
	}
}

// priceLeastLoaded sets the costs of all data centres for a request of a service without
// an engine, as fractions of a server's slots.
func (ds *dataCentres) priceLeastLoaded(servers []directory.Server, r Request, random *rand.Rand, now oleanderspool.Millis) {
	ds.begin(nil, r.DataCentre)
	for i := range servers {
		dc := ds.of(servers[i].DataCentre, nil)
		dc.servers++
	}
	own := ds.of(r.DataCentre, nil)
	ds.fullPrice = 0
	if own.servers == len(servers) {
		return
	}
	ds.setLinkCosts(leastLoadedLinkCost, now)
	if own.servers == 0 {
		return
	}
	price := leastLoadedPrice * (1 + priceSpread*random.Float64())
	// At equal numbers of requests, the own data centre is still preferred.
	ds.fullPrice = price * 0.999
	for _, dc := range ds.list {
		if dc != own {
			dc.price = price
		}
	}
}

// leastLoadedCost returns the additional cost of a server of a service without an engine.
// A server of the own data centre without a free slot is not preferred.
func (ds *dataCentres) leastLoadedCost(s *directory.Server, requests int) float64 {
	dc := ds.of(s.DataCentre, nil)
	if s.DataCentre == ds.own && requests >= s.Slots {
		return ds.fullPrice + dc.linkCost
	}
	return dc.price + dc.linkCost
}

// leastLoadedReason returns the reason of a decision for a service without an engine.
// ownIsFull says that no server of the own data centre has a free slot.
func (ds *dataCentres) leastLoadedReason(s *directory.Server, ownIsFull bool) CrossingReason {
	common := commonReason(ds.of(s.DataCentre, nil), ds.of(ds.own, nil))
	switch {
	case common != "":
		return common
	case ownIsFull:
		return CrossingFullServer
	default:
		return CrossingLessLoaded
	}
}
