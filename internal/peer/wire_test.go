package peer_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// counter counts the bytes of the connections that a listener accepts.
type counter struct {
	net.Listener
	in, out atomic.Int64
}

func (c *counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(int64(n))
	return n, err
}

// responder is an agent that sends the messages that a benchmark sets.
type responder struct {
	peerpb.DRPCAgentUnimplementedServer
	peerpb.DRPCPeerUnimplementedServer
	state  *peerpb.AgentState
	events []*peerpb.Event
}

// reports is the number of reports per stream. With endless streams, the result
// varied between 124 and 222 bytes per report, because the bytes of the sender and
// the reports of the receiver were counted at different points of the stream.
const reports = 1000

// Watch sends a fixed number of reports.
func (r *responder) Watch(_ *peerpb.WatchRequest, s peerpb.DRPCAgent_WatchStream) error {
	for range reports {
		if err := s.Send(r.state); err != nil {
			return err
		}
	}
	return nil
}

// Run sends the pieces of an attempt.
func (r *responder) Run(_ *peerpb.RunRequest, s peerpb.DRPCAgent_RunStream) error {
	for _, e := range r.events {
		if err := s.Send(e); err != nil {
			return err
		}
	}
	return nil
}

// Offer accepts an offer of configuration records.
func (r *responder) Offer(context.Context, *peerpb.ConfigurationReply) (*peerpb.OfferReply, error) {
	return &peerpb.OfferReply{Revision: 8500, Position: 8500}, nil
}

// Instances replies to an update of the instance list.
func (r *responder) Instances(context.Context, *peerpb.InstanceUpdate) (*peerpb.InstanceReply, error) {
	return peer.EncodeListReply(membership.ListReply{Epoch: 1 << 63, Instant: 86_400_000, Age: 1000}, 8_500_000), nil
}

// serve serves r on loopback and returns its address and the bytes counted.
func serve(b *testing.B, r *responder) (string, *counter) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := &counter{Listener: l}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = peer.Serve(ctx, c, r, r)
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	return l.Addr().String(), c
}

// BenchmarkReport measures the bytes and the time of one report of an agent, by
// the number of models that its engine has loaded.
func BenchmarkReport(b *testing.B) {
	for _, models := range []int{1, 2, 10} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			state := oleanderspool.BackendServer{
				Instance: "runner-05123", DataCentre: "region-1-dc-2", Incarnation: "0123456789abcdef", Revision: 8_500_000, AgentClock: 86_400_000,
				Load: oleanderspool.Load{QueuedTokens: 1_234_567, RunningTokens: 234_567, Queued: 150, Running: 32, FreeTokens: 345_678, CapacityTokens: 1_400_000, PrefillRate: 10.25},
			}
			for i := range models {
				state.Models = append(state.Models, oleanderspool.ModelID(fmt.Sprintf("model-%d", i)))
			}
			message := peer.EncodeState(state)
			message.Position = 8_500_000
			address, counted := serve(b, &responder{state: message})
			client := peer.NewClient()
			defer client.Close()
			b.ReportAllocs()
			streams := 0
			for b.Loop() {
				watch(b, client, address)
				streams++
			}
			b.ReportMetric(float64(counted.out.Load())/float64(streams*reports), "wire-B/report")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(streams*reports), "ns/report")
		})
	}
}

// watch receives all reports of one watch stream.
func watch(b *testing.B, client *peer.Client, address string) {
	stream, err := client.Agent(address).Watch(context.Background(), &peerpb.WatchRequest{IntervalMs: 1000})
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	for n := 0; ; n++ {
		m, err := stream.Recv()
		if err != nil && n == reports {
			return
		}
		if err != nil {
			b.Fatal(err)
		}
		peer.DecodeState(m, address, 0)
	}
}

// BenchmarkOffer measures the bytes on the wire for the offer of one configuration
// record to an agent, by the size of the record.
func BenchmarkOffer(b *testing.B) {
	for _, size := range []int{250, 20_000} {
		b.Run(fmt.Sprintf("record=%d", size), func(b *testing.B) {
			address, counted := serve(b, &responder{})
			client := peer.NewClient()
			defer client.Close()
			record := &peerpb.LogRecord{Offset: 8500, Data: []byte(strings.Repeat("x", size))}
			b.ReportAllocs()
			offers := 0
			for b.Loop() {
				if _, err := client.Process(address).Offer(context.Background(), &peerpb.ConfigurationReply{Revision: 8500, Records: []*peerpb.LogRecord{record}}); err != nil {
					b.Fatal(err)
				}
				offers++
			}
			b.ReportMetric(float64(counted.in.Load()+counted.out.Load())/float64(offers), "wire-B/offer")
		})
	}
}

// BenchmarkListUpdate measures the bytes on the wire for one update of the instance
// list on its own connection, by the number of changes: none, one runner, a rack, a
// data centre.
func BenchmarkListUpdate(b *testing.B) {
	for _, changes := range []int{0, 1, 40, 1426} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			address, counted := serve(b, &responder{})
			client := peer.NewClient()
			defer client.Close()
			update := membership.ListUpdate{Poller: 1 << 63, Epoch: 1 << 63, PolledAt: 86_400_000, Digest: 1 << 63}
			for i := range changes {
				update.Changes = append(update.Changes, membership.ObservedChange{ListChange: membership.ListChange{State: oleanderspool.InstanceState{
					Instance: oleanderspool.InstanceID(fmt.Sprintf("runner-%05d", i)), DataCentre: "region-1-dc-2", Address: "10.1.200.200:7180", Role: "model",
				}}, BeforePoll: 500})
			}
			b.ReportAllocs()
			calls := 0
			for b.Loop() {
				process, disconnect, err := client.DialProcess(context.Background(), address)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := process.Instances(context.Background(), peer.EncodeListUpdate(update, 8_500_000)); err != nil {
					b.Fatal(err)
				}
				disconnect()
				calls++
			}
			b.ReportMetric(float64(counted.in.Load()+counted.out.Load())/float64(calls), "wire-B/call")
		})
	}
}

// BenchmarkRun measures the bytes on the wire for the call and the pieces of one
// attempt, by the length of the prompt and of the answer.
func BenchmarkRun(b *testing.B) {
	for _, c := range []struct{ promptBytes, pieces int }{{4000, 1}, {4000, 100}, {4000, 1000}, {400_000, 1}, {4_000_000, 1}} {
		b.Run(fmt.Sprintf("prompt=%d/pieces=%d", c.promptBytes, c.pieces), func(b *testing.B) {
			r := &responder{}
			for i := range c.pieces {
				p := oleanderspool.Piece{
					Request: "r-0123456789abcdef01", Attempt: "u.5265c00.0123456789abcdef01", Sequence: int64(i + 1), Text: "tok ", Tokens: 1, Final: i == c.pieces-1,
				}
				r.events = append(r.events, peer.EncodeEvent(peer.Event{Piece: &p}, 8_500_000))
			}
			address, counted := serve(b, r)
			client := peer.NewClient()
			defer client.Close()
			call := peer.RunCall{Revision: 8_500_000, Incarnation: "0123456789abcdef", Attempt: "u.5265c00.0123456789abcdef01", Request: oleanderspool.Request{
				ID: "r-0123456789abcdef01", Account: "account-00001", Model: "model-1", Prompt: strings.Repeat("x", c.promptBytes), PromptTokens: c.promptBytes / 4, MaxTokens: 1000, Deadline: 60_000, Fingerprint: 1 << 60,
			}}
			b.ReportAllocs()
			calls := 0
			for b.Loop() {
				runAttempt(b, client, address, call)
				calls++
			}
			b.ReportMetric(float64(counted.in.Load())/float64(calls), "wire-in-B/call")
			b.ReportMetric(float64(counted.out.Load())/float64(calls*c.pieces), "wire-out-B/piece")
		})
	}
}

// runAttempt runs one attempt and receives its pieces up to the final one.
func runAttempt(b *testing.B, client *peer.Client, address string, call peer.RunCall) {
	stream, err := client.Agent(address).Run(context.Background(), peer.EncodeRun(call, 0))
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	for {
		m, err := stream.Recv()
		if err != nil {
			b.Fatal(err)
		}
		if peer.DecodeEvent(m).Piece.Final {
			return
		}
	}
}
