package placement_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// regionEngine models the engine of the first deployment of contended-load.md.
var regionEngine = &directory.Engine{
	Slots: 12, KVCacheTokens: 344_250, StepMillis: 1.31, SequenceCost: 0.00483, ContextCost: 0.00254,
	PrefillRate: 154, AttentionCost: 0.0917, PrefillChunk: 2048, StepsPerPass: 38, MeanAnswerTokens: 1368, MaxExtraServers: 16,
}

// staleness is the age in ms of what an entry knows of the others.
const staleness = 25

var regionRequest = placement.Request{PromptTokens: 5000, OutputTokens: 1368, TTFTGoal: 250, InterTokenGoal: 250, CallerTimeout: 10_000}

// region plays short requests at the entries of three data centres of equal size. The
// entries learn of each other's placements late; those of one instant decide on the same
// knowledge.
type region struct {
	now      oleanderspool.Millis
	entries  []*placement.Scheduler
	servers  []directory.Server
	events   map[oleanderspool.Millis][]func()
	freeAt   map[oleanderspool.InstanceID]oleanderspool.Millis // end of the prefills
	active   map[oleanderspool.InstanceID]int
	random   *rand.Rand
	id       placement.TaskID
	placed   int
	crossed  int
	late     int
	unplaced int
}

func newRegion(entries, perDataCentre int) *region {
	g := &region{
		servers: servers(3 * perDataCentre), events: map[oleanderspool.Millis][]func(){}, freeAt: map[oleanderspool.InstanceID]oleanderspool.Millis{},
		active: map[oleanderspool.InstanceID]int{}, random: rand.New(rand.NewPCG(3, 5)),
	}
	for i := range g.servers {
		g.servers[i].DataCentre = dataCentreOf(i)
	}
	for i := range entries {
		g.entries = append(g.entries, placement.NewScheduler(placement.WithTieBreakSeed(uint64(i+1))))
	}
	return g
}

func dataCentreOf(i int) oleanderspool.DataCentreID {
	return oleanderspool.DataCentreID("abc"[i%3 : i%3+1])
}

func (g *region) after(delay oleanderspool.Millis, f func()) {
	g.events[g.now+max(1, delay)] = append(g.events[g.now+max(1, delay)], f)
}

// load returns the number of requests in a data centre.
func (g *region) load(in oleanderspool.DataCentreID) int {
	sum := 0
	for _, s := range g.servers {
		if s.DataCentre == in {
			sum += g.active[s.Instance]
		}
	}
	return sum
}

// everywhere applies a change at an entry now and at the others later.
func (g *region) everywhere(entry int, change func(*placement.Scheduler)) {
	change(g.entries[entry])
	g.after(staleness, func() {
		for i, sc := range g.entries {
			if i != entry {
				change(sc)
			}
		}
	})
}

// request places a request at an entry of a data centre and runs it.
func (g *region) request(entry int) {
	r := regionRequest
	r.DataCentre = dataCentreOf(entry)
	d, found := g.entries[entry].Choose(g.servers, regionEngine, r, g.now)
	if !found || d.Refused != "" {
		g.unplaced++
		return
	}
	t := placement.Tasks(d, regionEngine, r, g.now)[0]
	g.id++
	t.ID, t.Entry = g.id, uint64(entry+1)
	g.everywhere(entry, func(sc *placement.Scheduler) { sc.Add(t) })
	g.placed++
	if d.Server.DataCentre != r.DataCentre {
		g.crossed++
	}
	g.active[t.Server]++
	wait := oleanderspool.Millis(max(0, g.active[t.Server]-regionEngine.Slots)) * 160 // until a slot is free
	end := max(g.freeAt[t.Server], g.now+wait) + oleanderspool.Millis(t.PrefillMillis)
	g.freeAt[t.Server] = end
	first := end - g.now + 75 + 20 // one and a half passes, and the delivery
	if first > r.TTFTGoal {
		g.late++
	}
	g.after(first, func() { g.everywhere(entry, func(sc *placement.Scheduler) { sc.MarkDecoding(t.ID) }) })
	g.after(first+1000+oleanderspool.Millis(g.random.IntN(1900)), func() {
		g.active[t.Server]--
		g.everywhere(entry, func(sc *placement.Scheduler) { sc.Remove(t.ID) })
	})
}

// play runs the region with a rate of requests per data centre and second.
func (g *region) play(length oleanderspool.Millis, rates ...float64) {
	for end := g.now + length; g.now < end; g.now++ {
		for _, f := range g.events[g.now] {
			f()
		}
		delete(g.events, g.now)
		for i, rate := range rates {
			for g.random.Float64()*1000 < rate {
				g.request(i + 3*g.random.IntN(len(g.entries)/3))
				rate -= 1000
			}
		}
	}
}

var _ = Describe("Servers in several data centres", func() {
	// Answers a load that the own servers can bear. Guards against packing gains that
	// draw requests to other data centres.
	It("get requests of their own data centre while it is sufficient", func() {
		for _, rate := range []float64{10, 20, 25} {
			g := newRegion(6, 6)
			g.play(12_000, rate, rate, rate)
			GinkgoWriter.Printf("rate %v: %d of %d requests crossed, %d late, %d not placed\n", rate, g.crossed, g.placed, g.late, g.unplaced)
			Expect(float64(g.crossed)).To(BeNumerically("<=", 0.05*float64(g.placed)))
			Expect(g.late).To(BeNumerically("<=", g.placed/100))
		}
	})

	// Answers a load of twice the capacity of one data centre. Guards against requests
	// that are late because they stay, and against servers elsewhere that stay idle.
	It("take over what exceeds the capacity of another data centre", func() {
		near, equal := newRegion(6, 6), newRegion(6, 6)
		for i := range equal.servers {
			equal.servers[i].DataCentre = ""
		}
		for _, g := range []*region{near, equal} {
			g.play(12_000, 64, 5, 5)
			GinkgoWriter.Printf("%d of %d requests crossed, %d late, %d not placed\n", g.crossed, g.placed, g.late, g.unplaced)
		}
		Expect(near.crossed).To(BeNumerically("<", near.placed/2), "more than the surplus")
		Expect(near.late+near.unplaced).To(BeNumerically("<=", equal.late+equal.unplaced+near.placed/100), "late without data centres")
	})

	// Answers a sudden surplus in one data centre that many entries decide about at once.
	// Guards against load that moves to and fro as all of them leave and return together.
	It("keep a steady load while entries decide at once on old knowledge", func() {
		// Each of the eight entries of one data centre decides at the same instant, 192
		// requests a second in all.
		const instants, interval, slots = 9, 72, 18 * 12
		g := newRegion(24, 18)
		var left, load []int
		for range 48 {
			before := g.crossed
			for range instants {
				for entry := 0; entry < len(g.entries); entry += 3 {
					g.request(entry)
				}
				g.play(41, 0)
			}
			left, load = append(left, g.crossed-before), append(load, g.load("a"))
		}
		GinkgoWriter.Printf("requests of each interval that left: %v, load: %v, late: %d of %d\n", left, load, g.late, g.placed)
		for i := 9; i < len(left); i++ {
			Expect(left[i]-left[i-1]).To(BeNumerically("~", 0, interval/3), "%v", left)
			Expect(load[i]-load[i-1]).To(BeNumerically("~", 0, slots/8), "%v", load)
		}
	})

	// Answers a long and a short prompt at equal load. Guards against a price that does not
	// depend on the bytes.
	It("get long prompts of another data centre only at a greater difference of the load", func() {
		stays := func(tokens int64, backlog float64) bool {
			f := newTestFleet(2)
			f.servers[1].DataCentre = "b"
			f.scheduler.Add(placement.Task{ID: 1, Server: "s00", OutputTokens: 1, PrefillMillis: backlog, Value: 1})
			r := withPromptTokens(shortRequest, tokens)
			r.TTFTGoal = 60_000
			e := *engine
			e.MaxExtraServers = 0
			d, found := f.scheduler.Choose(f.servers, &e, r, 0)
			Expect(found).To(BeTrue())
			return d.Server.DataCentre == "a"
		}
		Expect([]bool{stays(5000, 50), stays(5000, 400), stays(260_000, 400), stays(260_000, 1500)}).To(Equal([]bool{true, false, true, false}))
	})

	// Answers loads at which servers anywhere are late. Guards against a preference that
	// makes a request late or refused which another data centre would serve in time.
	It("serve each request in time that one of them can serve in time", func() {
		inTime := 0
		for backlog := range 300 {
			f := newTestFleet(2)
			f.servers[1].DataCentre = "b"
			for i, s := range f.servers {
				f.scheduler.Add(placement.Task{ID: placement.TaskID(i + 1), Server: s.Instance, OutputTokens: 1, PrefillMillis: float64(backlog + 6 - 6*i), Value: 1})
			}
			d, _ := f.scheduler.Choose(f.servers, engine, shortRequest, 0)
			if other, _ := f.scheduler.Choose(f.servers[1:], engine, shortRequest, 0); other.TTFT <= shortRequest.TTFTGoal {
				Expect(d.TTFT).To(BeNumerically("<=", shortRequest.TTFTGoal), "backlog %d", backlog)
				inTime++
			}
		}
		Expect(inTime).To(BeNumerically("~", 200, 99), "the goal lies within the backlogs")
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 3000 {
			near, equal := newTestFleet(6), newTestFleet(6)
			for s := range near.servers {
				near.servers[s].DataCentre = dataCentreOf(s)
				for range random.IntN(4) {
					near.id++
					t := placement.Task{ID: near.id, Server: near.servers[s].Instance, OutputTokens: 1000, ContextTokens: 5000, PrefillMillis: 150 * random.Float64(), Value: 1.5, TTFTGoal: 300, InterTokenGoal: 200}
					near.scheduler.Add(t)
					equal.scheduler.Add(t)
				}
			}
			r := withPromptTokens(shortRequest, 1000+random.Int64N(60_000))
			r.TTFTGoal = 300 + oleanderspool.Millis(random.IntN(300))
			a, _ := near.scheduler.Choose(near.servers, engine, r, 0)
			b, _ := equal.scheduler.Choose(equal.servers, engine, r, 0)
			const roundTrip = 4
			if b.TTFT+roundTrip <= r.TTFTGoal {
				Expect(a.TTFT).To(BeNumerically("<=", r.TTFTGoal), fmt.Sprint(i))
				Expect(a.Refused != "" && b.Refused == "").To(BeFalse())
			}
		}
	})
})
