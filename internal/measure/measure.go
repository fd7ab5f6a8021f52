// Package measure compares policies of routing and queueing on seeded traces
// with a virtual clock. The queues and the router are the code that the
// processes use; the engine is a small fake. A run is exactly repeatable by
// its seed.
//
// Simplifications: prefill costs the same for every token; there is no jitter
// in the network or the engine; three entries watch all agents at fixed phases
// of the interval; accounts have neither rates nor shares, and callers do not
// resend. A prompt that exceeds one engine is split evenly; its parts are routed
// and queued independently instead of being reserved together, and the parts
// beyond the first free their memory at the end of their prefill. A retried
// attempt starts again from the prompt. Agents know their engine's prefix cache
// exactly when an attempt arrives.
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
	// DefaultServers is the number of model runners.
	DefaultServers = 20
	// DefaultDuration is the span of arrivals of each trace, in milliseconds.
	DefaultDuration = 10 * oleanderspool.Minute
	// DefaultParallel is the number of runs at a time.
	DefaultParallel = 2
)

// setup holds the options of a measurement.
type setup struct {
	seed        uint64
	servers     int
	duration    oleanderspool.Millis
	parallel    int
	deployments []Deployment
	traces      []Trace
	policies    []Policy
}

// capacity returns the prefill capacity of the fleet in tokens per millisecond.
func (s setup) capacity() float64 {
	return float64(s.servers) * fullRate
}

// Option configures [Run].
type Option func(*setup)

// WithSeed sets the seed of the traces.
func WithSeed(seed uint64) Option { return func(s *setup) { s.seed = seed } }

// WithServers sets the number of model runners.
func WithServers(servers int) Option { return func(s *setup) { s.servers = servers } }

// WithDuration sets the span of arrivals of each trace, in milliseconds.
func WithDuration(span oleanderspool.Millis) Option { return func(s *setup) { s.duration = span } }

// WithParallel sets the number of runs at a time. It has no effect on results.
func WithParallel(runs int) Option { return func(s *setup) { s.parallel = max(1, runs) } }

// WithDeployments sets the deployments to measure.
func WithDeployments(deployments ...Deployment) Option {
	return func(s *setup) { s.deployments = deployments }
}

// WithTraces sets the traces to measure.
func WithTraces(traces ...Trace) Option { return func(s *setup) { s.traces = traces } }

// WithPolicies sets the policies to compare.
func WithPolicies(policies ...Policy) Option { return func(s *setup) { s.policies = policies } }

// Run measures every policy on every trace of every deployment.
func Run(options ...Option) Report {
	s := setup{
		seed:        DefaultSeed,
		servers:     DefaultServers,
		duration:    DefaultDuration,
		parallel:    DefaultParallel,
		deployments: Deployments(),
		traces:      Traces,
		policies:    Policies(),
	}
	for _, o := range options {
		o(&s)
	}
	report := Report{Seed: s.seed, Servers: s.servers, Duration: s.duration}
	group, _ := errgroup.WithContext(context.Background())
	group.SetLimit(s.parallel)
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

// measure runs one trace twice: as it is, and without its long requests as
// the reference of the slowdown.
func (s setup) measure(d Deployment, t Trace, p Policy) Row {
	f := newFleet(s, d, t, p)
	f.run(generate(d, t, s))
	row := f.row()
	reference := newFleet(s, d, t, p)
	reference.run(withoutLong(generate(d, t, s)))
	row.ReferenceP99 = reference.row().Classes[0].P99
	if row.ReferenceP99 > 0 {
		row.ShortSlowdown = row.Classes[0].P99 / row.ReferenceP99
	}
	return row
}
