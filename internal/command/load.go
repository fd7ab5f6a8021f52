package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

// loadCommand generates load and reports time to first token.
type loadCommand struct {
	Entries    []string `long:"entry" value-name:"URL" description:"Address of an entry; may be repeated. Without one a fleet is started in this process"`
	APIKey     string   `long:"api-key" env:"OLEANDERSPOOL_API_KEY" default:"demo-key" description:"API key of the client account"`
	Model      string   `long:"model" default:"ledger-model" description:"Model to ask"`
	Rate       float64  `long:"rate" default:"20" description:"Requests per second"`
	DurationMS int64    `long:"duration-ms" default:"5000" description:"Span of each of the two phases in milliseconds"`
	LongShare  float64  `long:"long-share" default:"0.1" description:"Part of the requests of the second phase that have long prompts"`
	MaxTokens  int      `long:"max-tokens" default:"16" description:"Longest answer in tokens"`
	Runners    int      `long:"runners" default:"4" description:"Model runners of a fleet in this process"`
	Seed       uint64   `long:"seed" default:"1" description:"Seed of arrivals and lengths"`
}

// Prompt lengths of the load in tokens. Long prompts are at most a tenth of
// the longest prompts that are served, so that a run stays short.
const (
	shortTokens   = 1_000
	longMinTokens = 20_000
	longMaxTokens = 100_000
	// maxLoadRequests bounds a run that was asked for too much.
	maxLoadRequests = 200_000
)

func (c *loadCommand) run(env environment, _ []string) error {
	if c.Rate <= 0 || c.DurationMS <= 0 || c.LongShare < 0 || c.LongShare > 1 {
		return withCode(ExitUsage, errors.New("rate and duration-ms must be above 0 and long-share between 0 and 1"))
	}
	if len(c.Entries) > 0 {
		return c.generate(env)
	}
	f, err := newFleet(env, fleetSize{entries: 2, runners: c.Runners, services: 1})
	if err == nil {
		c.Entries = f.entries
		err = c.generate(env)
	}
	return errors.Join(err, f.Close())
}

// generate runs a phase without and a phase with long prompts and prints both.
func (c *loadCommand) generate(env environment) error {
	alone := c.phase(env.ctx, 0)
	mixed := c.phase(env.ctx, c.LongShare)
	fmt.Fprintf(env.stdout, "seed %d, %g requests/s, %d ms a phase\n\nshort prompts only\n", c.Seed, c.Rate, c.DurationMS)
	alone.print(env.stdout)
	fmt.Fprintf(env.stdout, "\nwith %g%% long prompts\n", c.LongShare*100)
	mixed.print(env.stdout)
	fmt.Fprintf(env.stdout, "\nslowdown of short requests at p99: %.2f\n", mixed.slowdown(alone))
	return env.ctx.Err()
}

// arrival is one request of a phase.
type arrival struct {
	at     time.Duration
	tokens int
}

// arrivals draws the requests of a phase from the seed.
func (c *loadCommand) arrivals(longShare float64) []arrival {
	source := rand.New(rand.NewPCG(c.Seed, 1))
	var list []arrival
	at := time.Duration(0)
	end := time.Duration(c.DurationMS) * time.Millisecond
	for len(list) < maxLoadRequests {
		at += time.Duration(source.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= end {
			break
		}
		a := arrival{at: at, tokens: shortTokens}
		if source.Float64() < longShare {
			a.tokens = longMinTokens + source.IntN(longMaxTokens-longMinTokens)
		}
		list = append(list, a)
	}
	return list
}

// phase sends the requests of a phase at their instants, whether or not
// earlier ones have been answered.
func (c *loadCommand) phase(ctx context.Context, longShare float64) *loadReport {
	report := &loadReport{classes: make(map[string]*loadClass)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	started := time.Now()
	var group sync.WaitGroup
	for i, a := range c.arrivals(longShare) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(started.Add(a.at))):
		}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			result, err := c.request(i, a).send(ctx, client, io.Discard)
			report.add(a, result, err)
		})
	}
	group.Wait()
	return report
}

// request returns the i-th request. Prompts differ from their first words on,
// so that no prefix cache serves them.
func (c *loadCommand) request(i int, a arrival) callerRequest {
	prompt := fmt.Sprintf("%d %d ", c.Seed, i)
	prompt += strings.Repeat("peg ", max(0, a.tokens-len(prompt)/4))
	return callerRequest{
		entry: c.Entries[i%len(c.Entries)], apiKey: c.APIKey, model: c.Model,
		prompt: prompt, tokens: c.MaxTokens, timeout: oleanderspool.Minute,
	}
}

// loadClass collects the results of one length class.
type loadClass struct {
	firstToken *hdrhistogram.Histogram // milliseconds
	answered   int
	refused    map[oleanderspool.RefusalReason]int
	failed     int
}

// loadReport collects the results of one phase.
type loadReport struct {
	mu      sync.Mutex
	classes map[string]*loadClass
}

// maxFirstToken is the largest time to first token that is recorded, in
// milliseconds.
const maxFirstToken = int64(oleanderspool.Hour)

func (r *loadReport) add(a arrival, result callerResult, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := observe.LengthClass(a.tokens)
	c := r.classes[name]
	if c == nil {
		c = &loadClass{
			firstToken: hdrhistogram.New(1, maxFirstToken, 3),
			refused:    make(map[oleanderspool.RefusalReason]int),
		}
		r.classes[name] = c
	}
	switch {
	case err != nil:
		c.failed++
	case result.refusal != nil:
		c.refused[result.refusal.Reason]++
	default:
		c.answered++
		_ = c.firstToken.RecordValue(int64(result.firstToken))
	}
}

// print writes one line a length class.
func (r *loadReport) print(w io.Writer) {
	names := make([]string, 0, len(r.classes))
	for name := range r.classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c := r.classes[name]
		fmt.Fprintf(w, "  %-9s answered %d, refused %v, failed %d, first token p50 %d ms, p95 %d ms, p99 %d ms\n",
			name, c.answered, c.refused, c.failed,
			c.firstToken.ValueAtQuantile(50), c.firstToken.ValueAtQuantile(95), c.firstToken.ValueAtQuantile(99))
	}
}

// slowdown returns the p99 of short requests over that of another phase, or 0
// when one of them has none.
func (r *loadReport) slowdown(alone *loadReport) float64 {
	name := observe.LengthClass(shortTokens)
	mixed, base := r.classes[name], alone.classes[name]
	if mixed == nil || base == nil || base.firstToken.ValueAtQuantile(99) == 0 {
		return 0
	}
	return float64(mixed.firstToken.ValueAtQuantile(99)) / float64(base.firstToken.ValueAtQuantile(99))
}
