package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// mediumKind and longKind are the longer prompts of the first deployment.
var (
	mediumKind = &requestKind{
		name: "medium", events: 21, perSecond: 7.8, value: 2.4, lateValue: 0.59,
		request: placement.Request{PromptTokens: 45_000, OutputTokens: 21 * 38, TTFTGoal: 1500, InterTokenGoal: 600, CallerTimeout: 10_000, DataCentre: "a"},
	}
	longKind = &requestKind{
		name: "long", events: 18, perSecond: 1.46, value: 12, lateValue: 4.7,
		request: placement.Request{PromptTokens: 260_000, OutputTokens: 18 * 38, TTFTGoal: 8000, InterTokenGoal: 1000, CallerTimeout: 15_000, DataCentre: "a"},
	}
	mixedKinds = []*requestKind{shortKind, mediumKind, longKind}
)

// policy places requests.
type policy struct {
	name  string
	place func(p *play, entry int, r placement.Request, now oleanderspool.Millis) (placement.Decision, bool)
}

// policies are the decision, the decision without its refusals, and two policies that
// refuse only when the queue of the chosen server is full.
var policies = []policy{
	{"decision", func(p *play, entry int, r placement.Request, now oleanderspool.Millis) (placement.Decision, bool) {
		return p.schedulers[entry].Choose(p.list, overloadEngine, r, now)
	}},
	{"no refusals", func(p *play, entry int, r placement.Request, now oleanderspool.Millis) (placement.Decision, bool) {
		d, found := p.schedulers[entry].Choose(p.list, overloadEngine, r, now)
		if d.Server.Instance != "" {
			d.Refused = ""
		}
		return d, found
	}},
	{"least requests", func(p *play, entry int, _ placement.Request, _ oleanderspool.Millis) (placement.Decision, bool) {
		first := p.random.IntN(len(p.list))
		list := slices.Concat(p.list[first:], p.list[:first])
		return p.queued(slices.MinFunc(list, func(x, y directory.Server) int {
			return cmp.Compare(p.schedulers[entry].Count(x.Instance), p.schedulers[entry].Count(y.Instance))
		}))
	}},
	{"round robin", func(p *play, entry int, _ placement.Request, _ oleanderspool.Millis) (placement.Decision, bool) {
		p.turns[entry]++
		return p.queued(p.list[(p.turns[entry]+entry*len(p.list)/overloadEntries)%len(p.list)])
	}},
}

// queued places a request on a server unless its queue is full.
func (p *play) queued(s directory.Server) (placement.Decision, bool) {
	return placement.Decision{Server: s}, len(p.servers[s.Instance].waiting) < overloadEngine.Slots
}

// engineMillis returns the least time of a server that a request takes, in ms: its
// prefill, and for each event its own part of a pass and an equal part of what a pass
// with full slots takes without contexts.
func (k *requestKind) engineMillis() float64 {
	e, tokens := overloadEngine, k.request.PromptTokens
	prefill := placement.Tasks(placement.Decision{}, e, k.request, 0)[0].PrefillMillis
	step := e.StepMillis/float64(e.Slots) + e.SequenceCost + float64(tokens)/1000*e.ContextCost
	return prefill + float64(k.events)*float64(e.StepsPerPass)*step
}

// window counts requests of a kind that arrived within a window by what their callers got
// in the end.
type window struct {
	inTime, late, refused int
}

func (w window) offered() int { return w.inTime + w.late + w.refused }

const windowMillis = 2 * oleanderspool.Second

// windows returns the windows of a kind by the first arrival of the requests. A refused
// request that was served when it came back counts by the time since its first arrival.
func (p *play) windows(k *requestKind, until oleanderspool.Millis) []window {
	list := make([]window, until/windowMillis)
	for _, r := range p.done {
		if r.kind != k || r.made >= until {
			continue
		}
		w := &list[r.made/windowMillis]
		switch {
		case !r.returned && r.refused:
			w.refused++
			continue
		case r.returned:
			w.refused--
		}
		if r.first > 0 && r.first-r.made+networkMillis <= k.request.TTFTGoal && r.pause <= k.request.InterTokenGoal {
			w.inTime++
		} else {
			w.late++
		}
	}
	return list
}

// bounds returns for each kind how many of the offered requests the servers can serve in
// time at most in a window, if they are given the kinds with the largest value for their
// time first.
func bounds(offered map[*requestKind]int) map[*requestKind]float64 {
	left := overloadServers * float64(windowMillis)
	kinds := slices.SortedFunc(slices.Values(mixedKinds), func(x, y *requestKind) int {
		return cmp.Compare(y.value/y.engineMillis(), x.value/x.engineMillis())
	})
	served := make(map[*requestKind]float64)
	for _, k := range kinds {
		served[k] = min(float64(offered[k]), left/k.engineMillis())
		left -= served[k] * k.engineMillis()
	}
	return served
}

// newMixedPlay returns a play of kinds at their rates, and the factor by which these are
// multiplied at the capacity.
func newMixedPlay(kinds []*requestKind, place policy) (*play, float64, float64) {
	p := newPlay()
	p.place = place.place
	perSecond, millis := 0.0, 0.0
	for _, k := range kinds {
		perSecond += k.perSecond
		millis += k.perSecond * k.engineMillis()
	}
	p.kind = func(r *rand.Rand) *requestKind {
		drawn := r.Float64() * perSecond
		for _, k := range kinds {
			if drawn -= k.perSecond; drawn < 0 {
				return k
			}
		}
		return kinds[0]
	}
	return p, perSecond, overloadServers * 1000 / millis
}

// BenchmarkOverloadComparison plays a jump of short prompts to three times the capacity, as
// [TestOverloadKeepsCapacity], and jumps of prompts of all lengths in the proportions of the
// first deployment to 1, 1.5 and 3 times the capacity, under several policies. It prints by
// kind and window of 2 s how many requests their callers got in time, late and refused, and
// an upper bound with full knowledge. The bound divides the time of all servers within the
// window (54 x 2 s) by the least time that a request takes (see engineMillis) and serves the
// kinds in the order of their value for it; other limits, such as memory, goals and slots
// that earlier requests hold, can only lower it. Run it with
//
//	go test ./internal/placement -run '^$' -bench OverloadComparison -benchtime 1x
func BenchmarkOverloadComparison(b *testing.B) {
	loads := []struct {
		name   string
		kinds  []*requestKind
		factor float64
	}{{"short prompts at 3", mixedKinds[:1], 3}, {"mix at 1", mixedKinds, 1}, {"mix at 1.5", mixedKinds, 1.5}, {"mix at 3", mixedKinds, 3}}
	for _, l := range loads {
		for _, c := range policies {
			b.Run(fmt.Sprintf("%s/%s", l.name, c.name), func(b *testing.B) {
				for b.Loop() {
					fmt.Println(b.Name(), comparison(l.kinds, c, l.factor)) // b.Log is cut off after ten lines
				}
			})
		}
	}
}

// comparison plays a load under a policy and returns its table.
func comparison(kinds []*requestKind, c policy, factor float64) string {
	p, perSecond, capacity := newMixedPlay(kinds, c)
	atCapacity := perSecond * capacity
	if len(kinds) == 1 {
		atCapacity = overloadCapacity
	}
	p.run(1, jumpStart, atCapacity/2)
	p.run(jumpStart, jumpEnd, factor*atCapacity)
	p.run(jumpEnd, playEnd, atCapacity/2)
	p.run(playEnd, playEnd+20*oleanderspool.Second, 0)
	byKind := make(map[*requestKind][]window)
	for _, k := range kinds {
		byKind[k] = p.windows(k, playEnd)
	}
	var table strings.Builder
	jump, jumpBound := make(map[*requestKind]window), make(map[*requestKind]float64)
	for i := range int(playEnd / windowMillis) {
		offered := make(map[*requestKind]int)
		for _, k := range kinds {
			offered[k] = byKind[k][i].offered()
		}
		bound := bounds(offered)
		fmt.Fprintf(&table, "\n%2d s", 2*i)
		for _, k := range kinds {
			w := byKind[k][i]
			fmt.Fprintf(&table, " | %s %4d %4d %4d bound %5.0f", k.name, w.inTime, w.late, w.refused, bound[k])
			if at := oleanderspool.Millis(i) * windowMillis; at >= jumpStart && at < jumpEnd {
				sum := jump[k]
				jump[k] = window{sum.inTime + w.inTime, sum.late + w.late, sum.refused + w.refused}
				jumpBound[k] += bound[k]
			}
		}
	}
	value, valueBound := 0.0, 0.0
	fmt.Fprintf(&table, "\njump")
	for _, k := range kinds {
		w := jump[k]
		fmt.Fprintf(&table, " | %s %4d %4d %4d bound %5.0f", k.name, w.inTime, w.late, w.refused, jumpBound[k])
		value += k.value*float64(w.inTime) + k.lateValue*float64(w.late)
		valueBound += k.value * jumpBound[k]
	}
	fmt.Fprintf(&table, " | value %.0f of %.0f\n", value, valueBound)
	return table.String()
}
