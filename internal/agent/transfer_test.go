package agent

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/order"
	"github.com/oleanderspool/oleanderspool/internal/peer"
)

// cacheEngine exports a fixed KV cache and accepts any cache of the same size.
type cacheEngine struct {
	oleanderspool.Engine
	cache []byte
}

func (e *cacheEngine) Export(context.Context, string) ([]byte, error) { return e.cache, nil }

func (e *cacheEngine) Import(_ context.Context, _ string, data []byte) error {
	if len(data) != len(e.cache) {
		return oleanderspool.ErrInvalid.New("%d bytes", len(data))
	}
	return nil
}

func (e *cacheEngine) Reserve(context.Context, string, int64) error { return nil }

// BenchmarkTransfer measures one KV cache transfer between two agents on loopback,
// without the time that engines take, by the size of the cache.
func BenchmarkTransfer(b *testing.B) {
	for _, mib := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint(mib, "MiB"), func(b *testing.B) {
			e := &cacheEngine{cache: make([]byte, mib<<20)}
			source, target := New("i-1", "dc-a", WithEngine(e)), New("i-2", "dc-a", WithEngine(e))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = peer.Serve(b.Context(), l, &handler{Agent: source}, &handler{Agent: source}) }()
			b.SetBytes(int64(mib) << 20)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := oleanderspool.AttemptID(fmt.Sprint("a", i))
				call := source.offerTestStream(id)
				call.Source = l.Addr().String()
				if reason := target.fetchCache(b.Context(), call, "v1"); reason != "" {
					b.Fatal(reason)
				}
				source.mu.Lock()
				source.source.Ended(id)
				source.mu.Unlock()
			}
		})
	}
}

// offerTestStream makes an agent offer the KV cache of a stream.
func (a *Agent) offerTestStream(id oleanderspool.AttemptID) peer.ImportCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	call := peer.RunCall{Attempt: id, Request: oleanderspool.Request{
		Idempotent: true, PromptTokens: 10_000_000, MaxTokens: 1_000_000, Deadline: now + oleanderspool.Hour,
	}}
	a.calls[id] = call
	a.artefacts[id] = order.Artefact{Model: "m", Version: "v1"}
	a.source.Started(streamOf(call, "v1"))
	for i := range 5 {
		a.source.Generated(id, 1, now+oleanderspool.Millis(20*i))
	}
	a.source.Leave()
	a.source.NextOffer(1, now)
	a.source.MarkAnnounced(id)
	return peer.ImportCall{Attempt: id, Model: "m", MemoryTokens: 1, SourceIncarnation: a.incarnation, SourceAttempt: id}
}
