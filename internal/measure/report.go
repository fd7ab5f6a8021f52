package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Report is the result of [Run].
type Report struct {
	Seed     uint64
	Servers  int
	Duration oleanderspool.Millis
	Rows     []Row
}

// Class summarizes the requests of one range of prompt lengths. Percentiles are
// of the time to first token (TTFT), in milliseconds. A request that failed
// without a first token counts with its timeout; refused requests without a
// first token are left out.
type Class struct {
	Name          string
	Count         int
	Finished      int
	Refused       int
	Failed        int
	P50, P95, P99 float64
	// OthersP99 is the 99th percentile for the accounts other than the flooding
	// account.
	OthersP99 float64
	// IdlePrefillP99 is the 99th percentile of the prefill times that the
	// requests would have on idle engines without cached prefixes. It is a lower
	// bound of the TTFT under any policy, except for the time that cached
	// prefixes save.
	IdlePrefillP99 float64
}

// Row is the result of one policy on one trace.
type Row struct {
	Deployment string
	Trace      Trace
	Policy     string
	Classes    [4]Class
	// ReferenceP99 is the 99th percentile of the TTFT of short requests when the
	// trace is run without its long requests, in milliseconds.
	ReferenceP99 float64
	// ShortSlowdown is the 99th percentile of the TTFT of short requests, divided
	// by ReferenceP99.
	ShortSlowdown float64
	// Utilisation is the prefill work done divided by the fleet's prefill
	// capacity, and Busy is the fraction of time that engines spent in steps.
	// Both cover the time in which requests arrived.
	Utilisation float64
	Busy        float64
	// Fairness is Jain's fairness index over the accounts' mean slowdown of short
	// requests compared with an idle engine; 1 means equal slowdowns.
	Fairness float64
	// FlooderP99 is the 99th percentile of the TTFT of short requests from the
	// flooding account, in milliseconds.
	FlooderP99 float64
}

// classBounds are the inclusive upper bounds of all classes but the last, in
// prompt tokens.
var classBounds = [...]int64{shortTokens, 32_000, longTokens}

var classNames = [...]string{"<=4k", "<=32k", "<=100k", ">100k"}

func lengthClass(tokens int64) int {
	for i, bound := range classBounds {
		if tokens <= bound {
			return i
		}
	}
	return len(classBounds)
}

// timeToFirstToken returns the time to first token of a request, or its timeout
// if it failed without one. It returns false for a request that is left out of
// the percentiles.
func (c *call) timeToFirstToken() (float64, bool) {
	switch {
	case c.firstTokenAt > 0:
		return float64(c.firstTokenAt - c.at), true
	case c.status == statusFailed:
		return float64(c.kind.Timeout), true
	default:
		return 0, false
	}
}

// idlePrefillTime returns the duration of the request's prefill on idle engines,
// in milliseconds.
func (c *call) idlePrefillTime() float64 {
	shards := (c.tokens + maxShardTokens - 1) / maxShardTokens
	return float64(c.tokens/shards) / fullStepRate
}

// row returns the summary of a run, without the values of the reference run.
func (f *fleet) row() Row {
	r := Row{Deployment: f.deployment.Name, Trace: f.trace, Policy: f.policy.Name}
	var times, others, idlePrefillTimes [len(classNames)][]float64
	var flooding []float64
	for _, c := range f.calls {
		class := lengthClass(c.tokens)
		r.Classes[class].count(c.status)
		idlePrefillTimes[class] = append(idlePrefillTimes[class], c.idlePrefillTime())
		t, ok := c.timeToFirstToken()
		if !ok {
			continue
		}
		times[class] = append(times[class], t)
		switch {
		case c.account != floodingAccount:
			others[class] = append(others[class], t)
		case class == 0:
			flooding = append(flooding, t)
		}
	}
	for i := range r.Classes {
		slices.Sort(times[i])
		slices.Sort(others[i])
		slices.Sort(idlePrefillTimes[i])
		r.Classes[i].Name = classNames[i]
		r.Classes[i].P50 = Percentile(times[i], 0.50)
		r.Classes[i].P95 = Percentile(times[i], 0.95)
		r.Classes[i].P99 = Percentile(times[i], 0.99)
		r.Classes[i].OthersP99 = Percentile(others[i], 0.99)
		r.Classes[i].IdlePrefillP99 = Percentile(idlePrefillTimes[i], 0.99)
	}
	slices.Sort(flooding)
	r.FlooderP99 = Percentile(flooding, 0.99)
	r.Fairness = f.fairness()
	duration := float64(f.setup.duration)
	r.Utilisation = f.prefilledTokens / (f.setup.capacity() * duration)
	r.Busy = f.busyMillis / (duration * float64(f.setup.servers))
	return r
}

func (c *Class) count(s status) {
	c.Count++
	switch s {
	case statusFinished:
		c.Finished++
	case statusRefused:
		c.Refused++
	default:
		c.Failed++
	}
}

// Percentile returns the nearest-rank percentile of sorted values.
func Percentile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(len(sorted), max(1, rank))-1]
}

// fairness returns Jain's fairness index over the accounts' mean slowdown of
// short requests.
func (f *fleet) fairness() float64 {
	var sums, counts [accountCount]float64
	for _, c := range f.calls {
		if t, ok := c.timeToFirstToken(); ok && c.tokens <= shortTokens {
			sums[c.account] += t / (float64(c.tokens)/prefillRate + stepOverhead)
			counts[c.account]++
		}
	}
	total, squares, n := 0.0, 0.0, 0.0
	for i, count := range counts {
		if count > 0 {
			mean := sums[i] / count
			total += mean
			squares += mean * mean
			n++
		}
	}
	if squares == 0 {
		return 1
	}
	return total * total / (n * squares)
}

// Write prints the report as tables, one for each deployment and trace. It returns
// the error of w.
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d servers, arrivals for %d s, times in ms\n", r.Seed, r.Servers, r.Duration/oleanderspool.Second)
	previous := ""
	for _, row := range r.Rows {
		if title := row.Deployment + " " + string(row.Trace); title != previous {
			fmt.Fprintf(&b, "\n%s\n", title)
			previous = title
		}
		row.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r Row) write(b *strings.Builder) {
	fmt.Fprintf(b, "  %s: short slowdown %.2f (reference p99 %.0f), utilisation %.3f, busy %.3f, fairness %.3f, flooder p99 %.0f\n",
		r.Policy, r.ShortSlowdown, r.ReferenceP99, r.Utilisation, r.Busy, r.Fairness, r.FlooderP99)
	for _, c := range r.Classes {
		fmt.Fprintf(b, "    %-7s n %5d  p50 %7.0f  p95 %7.0f  p99 %7.0f  others p99 %7.0f  floor %6.0f  finished %5d  refused %4d  failed %4d\n",
			c.Name, c.Count, c.P50, c.P95, c.P99, c.OthersP99, c.IdlePrefillP99, c.Finished, c.Refused, c.Failed)
	}
}
