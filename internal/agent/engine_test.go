package agent

import (
	"bytes"
	"context"
	"log/slog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// idleEngine answers report requests and holds no memory.
type idleEngine struct{ oleanderspool.Engine }

func (idleEngine) Report(context.Context) (oleanderspool.EngineReport, error) {
	return oleanderspool.EngineReport{RunID: "once", CapacityTokens: 1 << 20}, nil
}

func (idleEngine) Allocations(context.Context) ([]oleanderspool.MemoryAllocation, error) {
	return nil, nil
}

var _ = Describe("An engine that makes no progress", func() {
	// Guards against an engine that answers report requests but makes no progress
	// without a log line, and against one log line per report.
	It("is logged once as slow and once when it makes progress again", func() {
		var log bytes.Buffer
		manual := clock.NewManual(0)
		a := New("i-1", "dc-a", WithEngine(idleEngine{}), WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
		a.clock = manual
		Expect(a.queue.Push(queue.Item{Attempt: "x", Account: "a", PromptTokens: 1000, MemoryTokens: 1000}, 0)).To(Succeed())
		Expect(a.queue.Next(1<<20, 0).Dispatches).To(HaveLen(1))
		for range 3 {
			manual.Advance(20 * oleanderspool.Second)
			a.observeEngine(context.Background())
		}
		Expect(bytes.Count(log.Bytes(), []byte("engine slow"))).To(Equal(1))
		a.queue.FirstToken("x", manual.Now())
		for range 2 {
			a.observeEngine(context.Background())
		}
		Expect(bytes.Count(log.Bytes(), []byte("engine at its usual speed"))).To(Equal(1))
		Expect(log.String()).To(ContainSubstring("running=1"))
	})
})
