package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Report is the result of a measurement.
type Report struct {
	Seed     uint64
	Servers  int
	Duration oleanderspool.Millis
	Rows     []Row
}

// Class describes the requests of one range of lengths. Times to first token
// are in milliseconds. A request that failed without a first token counts with
// its time limit; refused requests do not count.
type Class struct {
	Name          string
	Count         int
	Finished      int
	Refused       int
	Failed        int
	P50, P95, P99 float64
	// OthersP99 is the 99th percentile of the accounts other than the one that
	// floods.
	OthersP99 float64
	// Floor99 is the 99th percentile of the requests' own prefill work on idle
	// engines without cached prefixes, which no policy can undercut by more
	// than the prefixes.
	Floor99 float64
}

// Row is the result of one policy on one trace.
type Row struct {
	Deployment string
	Trace      Trace
	Policy     string
	Classes    [4]Class
	// ReferenceP99 is the 99th percentile of the time to first token of short
	// requests without the long ones, in milliseconds.
	ReferenceP99 float64
	// ShortSlowdown is the 99th percentile of short requests over ReferenceP99.
	ShortSlowdown float64
	// Utilisation is the prefill work done over the fleet's capacity, and Busy
	// the part of the time that engines spent in steps, while requests arrived.
	Utilisation float64
	Busy        float64
	// Fairness is Jain's index of the accounts' mean slowdown of short
	// requests against an idle engine; 1 means that all are treated alike.
	Fairness float64
	// FlooderP99 is the 99th percentile of short requests of the account that
	// floods.
	FlooderP99 float64
}

// classBounds are the upper bounds of the classes but the last, in tokens.
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

// timeToFirst returns the time to first token of a request, and false for one
// that does not count.
func (c *call) timeToFirst() (float64, bool) {
	switch {
	case c.firstAt > 0:
		return float64(c.firstAt - c.at), true
	case c.status == statusFailed:
		return float64(c.kind.Limit), true
	default:
		return 0, false
	}
}

// floor returns the span of the request's own prefill on idle engines.
func (c *call) floor() float64 {
	parts := (c.tokens + partTokens - 1) / partTokens
	return float64(c.tokens/parts) / fullRate
}

// row summarizes a run.
func (f *fleet) row() Row {
	r := Row{Deployment: f.deployment.Name, Trace: f.trace, Policy: f.policy.Name}
	var times, others, floors [len(classNames)][]float64
	var flooding []float64
	for _, c := range f.calls {
		class := lengthClass(c.tokens)
		r.Classes[class].count(c.status)
		floors[class] = append(floors[class], c.floor())
		t, ok := c.timeToFirst()
		if !ok {
			continue
		}
		times[class] = append(times[class], t)
		switch {
		case c.account != flooder:
			others[class] = append(others[class], t)
		case class == 0:
			flooding = append(flooding, t)
		}
	}
	for i := range r.Classes {
		slices.Sort(times[i])
		slices.Sort(others[i])
		slices.Sort(floors[i])
		r.Classes[i].Name = classNames[i]
		r.Classes[i].P50 = Percentile(times[i], 0.50)
		r.Classes[i].P95 = Percentile(times[i], 0.95)
		r.Classes[i].P99 = Percentile(times[i], 0.99)
		r.Classes[i].OthersP99 = Percentile(others[i], 0.99)
		r.Classes[i].Floor99 = Percentile(floors[i], 0.99)
	}
	slices.Sort(flooding)
	r.FlooderP99 = Percentile(flooding, 0.99)
	r.Fairness = f.fairness()
	span := float64(f.setup.duration)
	r.Utilisation = f.work / (f.setup.capacity() * span)
	r.Busy = f.busy / (span * float64(f.setup.servers))
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

// fairness returns Jain's index of the accounts' mean slowdown.
func (f *fleet) fairness() float64 {
	var sums, counts [accountCount]float64
	for _, c := range f.calls {
		if t, ok := c.timeToFirst(); ok && c.tokens <= shortTokens {
			sums[c.account] += t / (float64(c.tokens)/engineRate + stepOverhead)
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

// Write prints the report as tables, one for each deployment and trace.
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
			c.Name, c.Count, c.P50, c.P95, c.P99, c.OthersP99, c.Floor99, c.Finished, c.Refused, c.Failed)
	}
}
