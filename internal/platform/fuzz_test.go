package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	platformstandin "github.com/oleanderspool/oleanderspool/internal/standin/platform"
)

// lateDelay is the delay of late appends in the property test, in milliseconds.
const lateDelay = 20

// Guards, for any order of faults, against an append that is repeated, an append
// that was reported as without effect but is in the log, and an append that was
// reported with an offset other than its own.
func TestAppendsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := platformstandin.New(platformstandin.WithAppendRate(10000))
		server := httptest.NewServer(p)
		defer server.Close()
		defer p.ClearFaults()
		c := clock.NewManual(0)
		client := platform.NewClient(server.Listener.Addr().String(), platform.WithClock(c), platform.WithTimeout(40))
		offsets := map[string]oleanderspool.Offset{}
		excluded := map[string]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "appends") {
			drawFault(t, p)
			text := fmt.Sprintf("record %d", i)
			offset, err := client.Append(context.Background(), stream, [][]byte{[]byte(text)})
			switch {
			case err == nil:
				offsets[text] = offset
			case errorx.IsOfType(err, oleanderspool.ErrUnavailable):
				excluded[text] = true
			case !errorx.IsOfType(err, oleanderspool.ErrUncertain):
				t.Fatalf("error %v", err)
			}
			c.Advance(oleanderspool.Millis(rapid.IntRange(0, 500).Draw(t, "pause")))
		}
		time.Sleep(2 * lateDelay * time.Millisecond)
		checkRecords(t, p.Records(stream), offsets, excluded)
	})
}

func drawFault(t *rapid.T, p *platformstandin.Platform) {
	kinds := append([]standin.FaultKind{"", ""}, standin.FaultKinds...)
	kind := rapid.SampledFrom(kinds).Draw(t, "fault")
	p.ClearFaults()
	if kind != "" {
		p.AddFault(standin.Fault{Kind: kind, Delay: lateDelay, Bytes: 3, Count: 1})
	}
}

func checkRecords(t *rapid.T, records []oleanderspool.Record, offsets map[string]oleanderspool.Offset, excluded map[string]bool) {
	seen := map[string]bool{}
	for _, r := range records {
		text := string(r.Data)
		if seen[text] {
			t.Fatalf("%s was appended twice", text)
		}
		seen[text] = true
		if excluded[text] {
			t.Fatalf("%s was reported as without effect and is at %d", text, r.Offset)
		}
		if offset, ok := offsets[text]; ok && offset != r.Offset {
			t.Fatalf("%s was reported at %d and is at %d", text, offset, r.Offset)
		}
	}
	for text := range offsets {
		if !seen[text] {
			t.Fatalf("%s is not in the log", text)
		}
	}
}
