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
// so the difference is what the system adds.
func BenchmarkFirstToken(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(environment{ctx: ctx, stdout: io.Discard, stderr: io.Discard}, fleetSize{entries: 1, runners: 1, services: 1},
		engine.WithTokenTime(1), engine.WithPrefillRate(10_000))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for _, target := range []struct{ name, address string }{
		{"direct", f.engineAddresses[0]},
		{"through entry and agent", f.entries[0]},
	} {
		b.Run(target.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			spans := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for i := range b.N {
				request := callerRequest{
					entry: target.address, apiKey: fleetKey, model: fleetModel, tokens: 1,
					prompt: fmt.Sprintf("%s %d: how many pegs?", target.name, i),
				}
				started := time.Now()
				result, err := request.send(ctx, client, io.Discard)
				if err != nil || result.refusal != nil {
					b.Fatal(err, result.refusal)
				}
				_ = spans.RecordValue(time.Since(started).Microseconds())
			}
			b.ReportMetric(float64(spans.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(spans.ValueAtQuantile(99)), "p99-µs")
		})
	}
}
