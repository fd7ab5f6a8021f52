package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Deployment describes the workload of one user of the serving layer.
type Deployment struct {
	Name  string
	Kinds []Kind
	// ShortRequestWeight is the value of the queue setting of the same name.
	ShortRequestWeight float64
}

// Kind is a kind of request, with lengths in tokens. Prompt lengths follow a
// bounded Pareto distribution with exponent 1: the number of requests above a
// length is inversely proportional to the length.
type Kind struct {
	Name      string
	Fraction  float64 // share of all requests, from 0 to 1
	Shortest  float64
	Longest   float64
	OutputMin int64
	OutputMax int64
	Timeout   oleanderspool.Millis
	// Prefix is the length of the prompt prefix that requests of an account share.
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

// Trace names a simulated arrival pattern or fault.
type Trace string

// The traces.
const (
	TraceSteady Trace = "steady" // 80% of the prefill capacity
	TraceBurst  Trace = "burst"  // twice the arrival rate for 30 s
	TraceFlood  Trace = "flood"  // one account sends short requests at four times the fleet's arrival rate for 60 s
	TraceSlow   Trace = "slow"   // one server at a third of its speed
	TraceKilled Trace = "killed" // one server crashes and does not restart
	TraceStale  Trace = "stale"  // load reports are 3 s old instead of 200 ms
)

// Traces lists all traces.
var Traces = []Trace{TraceSteady, TraceBurst, TraceFlood, TraceSlow, TraceKilled, TraceStale}

const (
	accountCount = 10
	// floodingAccount is the account that sends the additional requests of
	// [TraceFlood].
	floodingAccount = 0
	// prefixVariants is the number of different shared prefixes per account and
	// kind.
	prefixVariants = 3
	// offeredLoad is the offered load as a fraction of the prefill capacity.
	offeredLoad = 0.8
	// outputCost is the cost of a generated token in prefill tokens: one token
	// of the step's budget, plus decodeCost at prefillRate. It is used only to
	// set the arrival rate.
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

// Short requests have at most shortTokens prompt tokens, long requests have more
// than longTokens.
const (
	shortTokens = 4096
	longTokens  = 100_000
)

// generate returns the arrivals of a trace, ordered by time.
func generate(d Deployment, t Trace, s setup) []arrival {
	random := rand.New(rand.NewPCG(s.seed, 1))
	arrivalsPerMilli := offeredLoad * s.capacity() / meanCost(d)
	var list []arrival
	for at := 0.0; ; {
		factor := 1.0
		if t == TraceBurst && at >= float64(s.duration)/3 && at < float64(s.duration)/3+30_000 {
			factor = 2
		}
		at += random.ExpFloat64() / (arrivalsPerMilli * factor)
		if at >= float64(s.duration) {
			break
		}
		list = append(list, drawArrival(d, random, oleanderspool.Millis(at)))
	}
	if t == TraceFlood {
		list = append(list, floodArrivals(d, s, arrivalsPerMilli)...)
		slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	}
	return list
}

// withoutLongRequests removes the long requests from a list in place.
func withoutLongRequests(list []arrival) []arrival {
	return slices.DeleteFunc(list, func(a arrival) bool { return a.tokens > longTokens })
}

// drawArrival draws a random request. A few accounts send most requests: the
// frequency of an account halves with every third account number.
func drawArrival(d Deployment, random *rand.Rand, at oleanderspool.Millis) arrival {
	account := int(-3 * math.Log2(1-random.Float64()*(1-math.Exp2(-accountCount/3.0))))
	kind := d.Kinds[len(d.Kinds)-1]
	for u, i := random.Float64(), 0; i < len(d.Kinds); i++ {
		if u -= d.Kinds[i].Fraction; u < 0 {
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

// floodArrivals returns the additional requests of the flooding account.
func floodArrivals(d Deployment, s setup, arrivalsPerMilli float64) []arrival {
	random := rand.New(rand.NewPCG(s.seed, 2))
	var list []arrival
	start := float64(s.duration) / 3
	for at := start; ; {
		at += random.ExpFloat64() / (4 * arrivalsPerMilli)
		if at >= start+60_000 {
			return list
		}
		a := drawArrival(Deployment{Kinds: []Kind{d.Kinds[0]}}, random, oleanderspool.Millis(at))
		a.account = floodingAccount
		list = append(list, a)
	}
}

// meanCost returns the mean cost of a request in prefill tokens. Shared prefixes
// are taken as cached.
func meanCost(d Deployment) float64 {
	total := 0.0
	for _, k := range d.Kinds {
		length := math.Log(k.Longest/k.Shortest) / (1/k.Shortest - 1/k.Longest)
		output := float64(k.OutputMin+k.OutputMax) / 2
		total += k.Fraction * (length - float64(k.Prefix) + outputCost*output)
	}
	return total
}
