package gossip_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// discardState is a [gossip.State] that ignores what it receives.
type discardState struct{}

func (discardState) Report(complete bool) gossip.Message {
	return gossip.Message{RunID: 1, Complete: complete}
}

func (discardState) Snapshot() []gossip.Message { return nil }

func (discardState) Apply(gossip.Message) {}

func (discardState) RemoveEntry(uint64) {}

func (discardState) Confirm(gossip.Confirmation) {}

// BenchmarkHandle measures the reception of a message with one task: 100 datagrams of a
// relay, each with a message of 22 entries. What the state does with it is measured by
// the benchmark Apply of the package forward.
func BenchmarkHandle(b *testing.B) {
	const datagrams, entries = 100, 22
	address := netip.MustParseAddrPort("127.0.0.1:9")
	n := gossip.NewNode(nil, gossip.Endpoint{Instance: "entry-1", Address: "127.0.0.1:8", DataCentre: "a"}, nil, discardState{}, clock.NewBoot(), slog.New(slog.DiscardHandler))
	sequence := uint64(0)
	next := func(m gossip.Message) []byte {
		sequence++
		var messages []gossip.Message
		for i := range entries {
			m.RunID, m.Sequence = uint64(i+2), sequence
			messages = append(messages, m)
		}
		return gossip.EncodeForwarded(2, messages...)
	}
	n.Handle(address, next(gossip.Message{Complete: true, Endpoint: gossip.Endpoint{Instance: "entry", Address: "127.0.0.1:7", DataCentre: "a"}}))
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		var data [][]byte
		for i := range datagrams {
			data = append(data, next(gossip.Message{SentAt: 50000, Tasks: []gossip.Task{{Age: 5, Task: placement.Task{
				ID: placement.TaskID(i), Server: oleanderspool.InstanceID(fmt.Sprintf("i-%08x", i)), ContextTokens: 5000, MemoryTokens: 6000, OutputTokens: 1500,
				PrefillMillis: 20, MaxPassPrefillMillis: 20, Value: 1.5, TTFTGoal: 300, InterTokenGoal: 200,
			}}}}))
		}
		b.StartTimer()
		for _, d := range data {
			n.Handle(address, d)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*datagrams*entries), "ns/message")
}
