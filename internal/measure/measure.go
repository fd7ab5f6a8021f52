// Package measure simulates the serving layer on a virtual clock and compares
// routing and queueing policies on seeded traces. It runs the queue and router
// code of the real processes against a small simulated engine. Equal seeds and
// options give identical results.
//
// The simulation makes these simplifications:
//   - Prefill costs the same for every token.
//   - Network and engine have no jitter.
//   - Three entries receive reports from all agents, at fixed phases of the
//     report interval.
//   - Client accounts have neither rate limits nor capacity shares, and clients
//     do not retry.
//   - A prompt that exceeds one engine is split evenly into shards. They are
//     routed and queued independently instead of being reserved together, and
//     all but the first free their memory at the end of their prefill.
//   - A retry starts again from the prompt.
//   - Agents know the exact content of their engine's prefix cache when an
//     attempt arrives.
package measure

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of the options.
const (
	// DefaultSeed is the seed of the traces.
	DefaultSeed = 20261204
	// DefaultServers is the number of backend servers.
	DefaultServers = 20
	// DefaultDuration is the time during which requests of a trace arrive, in
	// milliseconds.
	DefaultDuration = 10 * oleanderspool.Minute
	// DefaultParallel is the number of concurrent simulation runs.
	DefaultParallel = 2
)

// setup holds the options of [Run].
type setup struct {
	seed        uint64
	servers     int
	duration    oleanderspool.Millis
	parallelism int
	deployments []Deployment
	traces      []Trace
	policies    []Policy
}

// capacity returns the prefill capacity of the fleet in tokens per millisecond.
func (s setup) capacity() float64 {
	return float64(s.servers) * fullStepRate
}

// Option configures [Run].
type Option func(*setup)

// WithSeed sets the seed of the traces.
func WithSeed(seed uint64) Option { return func(s *setup) { s.seed = seed } }

// WithServers sets the number of backend servers.
func WithServers(servers int) Option { return func(s *setup) { s.servers = servers } }

// WithDuration sets the time during which requests of a trace arrive, in
// milliseconds.
func WithDuration(d oleanderspool.Millis) Option { return func(s *setup) { s.duration = d } }

// WithParallel sets the number of concurrent simulation runs, at least 1. It does
// not affect the results.
func WithParallel(runs int) Option { return func(s *setup) { s.parallelism = max(1, runs) } }

// WithDeployments sets the deployments to simulate.
func WithDeployments(deployments ...Deployment) Option {
	return func(s *setup) { s.deployments = deployments }
}

// WithTraces sets the traces to simulate.
func WithTraces(traces ...Trace) Option { return func(s *setup) { s.traces = traces } }

// WithPolicies sets the policies to compare.
func WithPolicies(policies ...Policy) Option { return func(s *setup) { s.policies = policies } }

// Run simulates every policy on every trace of every deployment.
func Run(options ...Option) Report {
	s := setup{
		seed:        DefaultSeed,
		servers:     DefaultServers,
		duration:    DefaultDuration,
		parallelism: DefaultParallel,
		deployments: Deployments(),
		traces:      Traces,
		policies:    Policies(),
	}
	for _, o := range options {
		o(&s)
	}
	report := Report{Seed: s.seed, Servers: s.servers, Duration: s.duration}
	group, _ := errgroup.WithContext(context.Background())
	group.SetLimit(s.parallelism)
	report.Rows = make([]Row, len(s.deployments)*len(s.traces)*len(s.policies))
	i := 0
	for _, d := range s.deployments {
		for _, t := range s.traces {
			for _, p := range s.policies {
				row := &report.Rows[i]
				i++
				group.Go(func() error {
					*row = s.measure(d, t, p)
					return nil
				})
			}
		}
	}
	_ = group.Wait() // the runs return no errors
	return report
}

// measure runs one trace twice: in full, and without its long requests as the
// reference for the slowdown of short requests.
func (s setup) measure(d Deployment, t Trace, p Policy) Row {
	f := newFleet(s, d, t, p)
	f.run(generate(d, t, s))
	row := f.row()
	reference := newFleet(s, d, t, p)
	reference.run(withoutLongRequests(generate(d, t, s)))
	row.ReferenceP99 = reference.row().Classes[0].P99
	if row.ReferenceP99 > 0 {
		row.ShortSlowdown = row.Classes[0].P99 / row.ReferenceP99
	}
	return row
}
