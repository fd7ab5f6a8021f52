package command

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/measure"
)

// measureCommand measures the policy under load with a virtual clock.
type measureCommand struct {
	Seed        uint64   `long:"seed" default:"20261204" description:"Seed of the traces; equal seeds give equal reports"`
	Deployments []string `long:"deployment" value-name:"NAME" description:"Deployment to measure: estacas or versaria; may be repeated. Without one, all"`
	Traces      []string `long:"trace" value-name:"NAME" description:"Trace to measure: steady, burst, flood, slow, killed or stale; may be repeated. Without one, all"`
	Policies    []string `long:"policy" value-name:"NAME" description:"Policy to measure: round_robin_fcfs, least_requests_fcfs, two_choices_fcfs, oleanderspool or oleanderspool_admission; may be repeated. Without one, all"`
	Servers     int      `long:"servers" default:"20" description:"Model runners"`
	DurationMS  int64    `long:"duration-ms" default:"600000" description:"Span of the arrivals of each trace in milliseconds of virtual time"`
	Parallel    int      `long:"parallel" default:"2" description:"Traces that are run at a time; has no effect on the report"`
}

func (c *measureCommand) run(env environment, _ []string) error {
	deployments, unknownDeployment := pick("deployment", c.Deployments, measure.Deployments(), func(d measure.Deployment) string { return d.Name })
	traces, unknownTrace := pick("trace", c.Traces, measure.Traces, func(t measure.Trace) string { return string(t) })
	policies, unknownPolicy := pick("policy", c.Policies, measure.Policies(), func(p measure.Policy) string { return p.Name })
	err := errors.Join(unknownDeployment, unknownTrace, unknownPolicy)
	if c.Servers <= 0 || c.DurationMS <= 0 || c.Parallel <= 0 {
		err = errors.Join(err, errors.New("servers, duration-ms and parallel must be above 0"))
	}
	if err != nil {
		return withCode(ExitUsage, err)
	}
	report := measure.Run(
		measure.WithSeed(c.Seed),
		measure.WithDeployments(deployments...),
		measure.WithTraces(traces...),
		measure.WithPolicies(policies...),
		measure.WithServers(c.Servers),
		measure.WithDuration(oleanderspool.Millis(c.DurationMS)),
		measure.WithParallel(c.Parallel),
	)
	return report.Write(env.stdout)
}

// pick returns the values with the given names in their own order, or all
// values without names. It returns an error with all unknown names.
func pick[T any](kind string, names []string, all []T, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var picked []T
	var known []string
	for _, v := range all {
		known = append(known, name(v))
		if slices.Contains(names, name(v)) {
			picked = append(picked, v)
		}
	}
	var errs []error
	for _, n := range names {
		if !slices.Contains(known, n) {
			errs = append(errs, fmt.Errorf("unknown %s %q, expected one of %s", kind, n, strings.Join(known, ", ")))
		}
	}
	return picked, errors.Join(errs...)
}
