package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Deployment is the shape of one user's work.
type Deployment struct {
	Name  string
	Kinds []Kind
	// ShortRequestWeight is the user's setting of the queue.
	ShortRequestWeight float64
}

// Kind is a kind of request, with lengths in tokens. The number of requests
// above a length falls with the inverse of the length.
type Kind struct {
	Name      string
	Part      float64 // of all requests
	Shortest  float64
	Longest   float64
	OutputMin int64
	OutputMax int64
	Limit     oleanderspool.Millis
	// Prefix is the length of the text that requests of an account share.
	Prefix int64
}

// Deployments returns the two users' deployments. One request in fifty has
// more than 100,000 tokens.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:               "estacas",
			ShortRequestWeight: 1,
			Kinds: []Kind{
				{"question", 0.78, 1000, 4000, 30, 120, 30 * oleanderspool.Second, 800},
				{"manifest", 0.20, 8000, 100_000, 150, 400, 2 * oleanderspool.Minute, 2000},
				{"ledger", 0.02, 100_001, 1_000_000, 200, 600, 15 * oleanderspool.Minute, 0},
			},
		},
		{
			Name:               "versaria",
			ShortRequestWeight: 0.25,
			Kinds: []Kind{
				{"quatrain", 0.68, 1000, 3000, 40, 80, 30 * oleanderspool.Second, 600},
				{"verses", 0.30, 4000, 40_000, 150, 400, 2 * oleanderspool.Minute, 1500},
				{"booklet", 0.02, 100_001, 1_000_000, 400, 800, 15 * oleanderspool.Minute, 0},
			},
		},
	}
}

// Trace names a trace.
type Trace string

// The traces.
const (
	TraceSteady Trace = "steady" // 80% utilisation
	TraceBurst  Trace = "burst"  // twice the arrivals for 30 s
	TraceFlood  Trace = "flood"  // one account sends four times the fleet's arrivals of short requests for 60 s
	TraceSlow   Trace = "slow"   // one server at a third of its speed
	TraceKilled Trace = "killed" // one server dies and does not return
	TraceStale  Trace = "stale"  // reports are 3 s old instead of 200 ms
)

// Traces lists all traces.
var Traces = []Trace{TraceSteady, TraceBurst, TraceFlood, TraceSlow, TraceKilled, TraceStale}

const (
	accountCount = 10
	// flooder is the account that floods.
	flooder = 0
	// prefixVariants is the number of shared prefixes of an account and kind.
	prefixVariants = 3
	// utilisation is the offered part of the fleet's prefill capacity.
	utilisation = 0.8
	// outputCost is the capacity that a generated token takes, as prefill
	// tokens: one of the step's budget, and its own cost at the engine's rate.
	// It is used only to set the rate of arrivals.
	outputCost = 2
)

// arrival is one request of a trace.
type arrival struct {
	at      oleanderspool.Millis
	account int
	kind    Kind
	tokens  int64
	output  int64
	prefix  uint64 // 0 without a shared prefix
}

// shortTokens and longTokens bound the short and the long requests.
const (
	shortTokens = 4096
	longTokens  = 100_000
)

// generate returns the arrivals of a trace, in order of time.
func generate(d Deployment, t Trace, s setup) []arrival {
	random := rand.New(rand.NewPCG(s.seed, 1))
	perMilli := utilisation * s.capacity() / meanCost(d)
	var list []arrival
	for at := 0.0; ; {
		factor := 1.0
		if t == TraceBurst && at >= float64(s.duration)/3 && at < float64(s.duration)/3+30_000 {
			factor = 2
		}
		at += random.ExpFloat64() / (perMilli * factor)
		if at >= float64(s.duration) {
			break
		}
		list = append(list, draw(d, random, oleanderspool.Millis(at)))
	}
	if t == TraceFlood {
		list = append(list, flood(d, s, perMilli)...)
		slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	}
	return list
}

// withoutLong removes the long requests.
func withoutLong(list []arrival) []arrival {
	return slices.DeleteFunc(list, func(a arrival) bool { return a.tokens > longTokens })
}

// draw draws a request. A few accounts are large: the weight of an account
// halves about every third one.
func draw(d Deployment, random *rand.Rand, at oleanderspool.Millis) arrival {
	account := int(-3 * math.Log2(1-random.Float64()*(1-math.Exp2(-accountCount/3.0))))
	kind := d.Kinds[len(d.Kinds)-1]
	for u, i := random.Float64(), 0; i < len(d.Kinds); i++ {
		if u -= d.Kinds[i].Part; u < 0 {
			kind = d.Kinds[i]
			break
		}
	}
	tokens := kind.Shortest / (1 - random.Float64()*(1-kind.Shortest/kind.Longest))
	a := arrival{
		at:      at,
		account: min(account, accountCount-1),
		kind:    kind,
		tokens:  int64(tokens),
		output:  kind.OutputMin + random.Int64N(kind.OutputMax-kind.OutputMin+1),
	}
	variant := random.IntN(prefixVariants)
	if kind.Prefix > 0 {
		a.prefix = fingerprint(fmt.Sprint(kind.Name, a.account, variant))
	}
	return a
}

// flood returns the additional requests of the flooding account.
func flood(d Deployment, s setup, perMilli float64) []arrival {
	random := rand.New(rand.NewPCG(s.seed, 2))
	var list []arrival
	start := float64(s.duration) / 3
	for at := start; ; {
		at += random.ExpFloat64() / (4 * perMilli)
		if at >= start+60_000 {
			return list
		}
		a := draw(Deployment{Kinds: []Kind{d.Kinds[0]}}, random, oleanderspool.Millis(at))
		a.account = flooder
		list = append(list, a)
	}
}

// meanCost returns the mean work of a request as prefill tokens. Shared
// prefixes count as cached.
func meanCost(d Deployment) float64 {
	total := 0.0
	for _, k := range d.Kinds {
		length := math.Log(k.Longest/k.Shortest) / (1/k.Shortest - 1/k.Longest)
		output := float64(k.OutputMin+k.OutputMax) / 2
		total += k.Part * (length - float64(k.Prefix) + outputCost*output)
	}
	return total
}
