package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

// BenchmarkFirstToken compares the time to first token of an engine that is
// called directly with that of the same engine behind an entry and an agent.
// Prompts differ, so that no cache serves them; the engine has no work besides,
// so the difference is what the system adds. The two calls alternate, so that
// other load on the machine meets both alike. The engine generates at once: at
// a millisecond for each token it, and not the system, sets the pace. The
// variant with pauses finds processors and goroutines asleep, as requests that
// come one by one do.
func BenchmarkFirstToken(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(environment{ctx: ctx, stdout: io.Discard, stderr: io.Discard}, fleetSize{entries: 1, runners: 1, services: 1},
		engine.WithTokenTime(0), engine.WithPrefillRate(1e6))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
		b.Run(fmt.Sprintf("pause=%v", pause), func(b *testing.B) {
			direct := newFirstTokens(f.engineAddresses[0])
			through := newFirstTokens(f.entries[0])
			added := newSpans()
			for i := range b.N {
				time.Sleep(pause)
				alone := direct.measure(ctx, b, i)
				time.Sleep(pause)
				_ = added.RecordValue(max(0, through.measure(ctx, b, i)-alone))
			}
			direct.report(b, "direct")
			through.report(b, "through")
			b.ReportMetric(float64(added.ValueAtQuantile(50)), "added-p50-µs")
			b.ReportMetric(float64(added.ValueAtQuantile(99)), "added-p99-µs")
		})
	}
}

func newSpans() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// firstTokens measures the time to first token of one address.
type firstTokens struct {
	address string
	client  *http.Client
	spans   *hdrhistogram.Histogram
}

func newFirstTokens(address string) *firstTokens {
	return &firstTokens{
		address: address,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		spans:   newSpans(),
	}
}

// measure sends one request and returns the time to its first token in
// microseconds.
func (f *firstTokens) measure(ctx context.Context, b *testing.B, i int) int64 {
	request := callerRequest{
		entry: f.address, apiKey: fleetKey, model: fleetModel, tokens: 1, id: fmt.Sprintf("%s %d", b.Name(), time.Now().UnixNano()),
		prompt: fmt.Sprintf("%s %s %d: how many pegs?", b.Name(), f.address, i),
	}
	first := firstWrite{}
	started := time.Now()
	result, err := request.send(ctx, f.client, &first)
	if err != nil || result.refusal != nil || result.events != 1 {
		b.Fatal("no answer of one token: ", result.status, err, result.refusal)
	}
	span := first.at.Sub(started).Microseconds()
	_ = f.spans.RecordValue(span)
	return span
}

func (f *firstTokens) report(b *testing.B, name string) {
	b.ReportMetric(float64(f.spans.ValueAtQuantile(50)), name+"-p50-µs")
	b.ReportMetric(float64(f.spans.ValueAtQuantile(99)), name+"-p99-µs")
}

// firstWrite notes when it is first written to.
type firstWrite struct {
	at time.Time
}

func (w *firstWrite) Write(p []byte) (int, error) {
	if w.at.IsZero() {
		w.at = time.Now()
	}
	return len(p), nil
}
