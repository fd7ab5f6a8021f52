package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/entry"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/standin/platform"
)

// controlBytesPerSecond limits the control traffic of a node.
const controlBytesPerSecond = 6000

// TestReportTraffic guards against defaults with which the reports of the watched
// agents alone exceed the limit for control traffic. Headers are not counted.
func TestReportTraffic(t *testing.T) {
	report := peer.EncodeState(oleanderspool.BackendServer{
		Instance: "runner-05123", DataCentre: "region-1-dc-2", Incarnation: "0123456789abcdef", Revision: 8_500_000, AgentClock: 86_400_000,
		Models: []oleanderspool.ModelID{"model-1"},
		Load:   oleanderspool.Load{QueuedTokens: 1_234_567, RunningTokens: 234_567, Queued: 150, Running: 32, FreeTokens: 345_678, CapacityTokens: 1_400_000, PrefillRate: 10.25},
	})
	perSecond := entry.DefaultWatchLimit * proto.Size(report) * int(oleanderspool.Second) / int(entry.DefaultWatchInterval)
	if perSecond > controlBytesPerSecond {
		t.Errorf("reports take %d B/s, more than %d", perSecond, controlBytesPerSecond)
	}
}

// Sizes expected in two years.
const (
	futureEntries = 830
	futureRunners = 12_000
	// listChangesPerDay counts two changes for each of the 190 failures and 2,900
	// replacements a day.
	listChangesPerDay = 2 * (190 + 2900)
)

func futureList() []oleanderspool.InstanceState {
	list := make([]oleanderspool.InstanceState, futureRunners+futureEntries)
	for i := range list {
		list[i] = oleanderspool.InstanceState{
			Instance: oleanderspool.InstanceID(fmt.Sprintf("runner-%05d", i)), DataCentre: "region-1-dc-2",
			Address: fmt.Sprintf("10.1.%d.%d:7180", i/256, i%256), Role: "model",
		}
		if i >= futureRunners {
			list[i].Role = "entry"
		}
	}
	return list
}

// listReceiver is an entry that receives updates of the list.
type listReceiver struct {
	peerpb.DRPCPeerUnimplementedServer
	list *membership.List
}

// Instances merges an update into the list.
func (r *listReceiver) Instances(_ context.Context, u *peerpb.InstanceUpdate) (*peerpb.InstanceReply, error) {
	reply, _ := r.list.ApplyUpdate(peer.DecodeListUpdate(u), 86_400_000)
	return peer.EncodeListReply(reply, 8_500_000), nil
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// sendUpdate sends an entry's update of its list over a connection, and the changes
// if the receiver asks for them. It returns the bytes counted at the socket.
func sendUpdate(t *testing.T, address string, from *membership.List, to oleanderspool.InstanceID) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	counted := &countedConn{Conn: conn}
	client := drpcconn.New(counted)
	update := from.Update(to)
	for again := true; again; {
		reply, err := peerpb.NewDRPCPeerClient(client).Instances(context.Background(), peer.EncodeListUpdate(update, 8_500_000))
		if err != nil {
			t.Fatal(err)
		}
		update, again = from.ApplyReply(to, peer.DecodeListReply(reply), 86_400_000, 86_400_000)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	return int(counted.bytes.Load())
}

// TestListTraffic guards against an instance list whose traffic exceeds the limit
// at the size expected in two years. It adds the polls of an entry at the interval
// that follows from its defaults, and the calls to and from all other entries, with
// and without a change, as they are on the wire. TCP headers are not counted.
func TestListTraffic(t *testing.T) {
	list := futureList()
	p := platform.New(platform.WithInstanceLag(0))
	p.SetInstances(list)
	recorder := httptest.NewRecorder()
	p.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/instances", http.NoBody))

	sender, receiver := list[futureRunners].Instance, list[futureRunners+1].Instance
	from, to := membership.NewList(sender, 1<<63), membership.NewList(receiver, 1<<63+1)
	const began = oleanderspool.Millis(86_390_000)
	from.ApplyPoll(began, list)
	to.ApplyPoll(began, list)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = peer.Serve(ctx, l, &listReceiver{list: to}, nil) }()
	sendUpdate(t, l.Addr().String(), from, receiver) // learns the clock
	unchanged := sendUpdate(t, l.Addr().String(), from, receiver)
	list[0].Leaving = true
	from.ApplyPoll(began+8000, list)
	changed := sendUpdate(t, l.Addr().String(), from, receiver)
	if a, _ := to.ApplyUpdate(from.Update(receiver), 86_400_000); a.Behind {
		t.Fatal("the receiver lacks a change")
	}

	others := len(from.Recipients(began + 8000))
	if others != futureEntries-1 {
		t.Fatalf("%d entries receive updates", others)
	}
	interval := from.TurnInterval() * futureEntries
	perSecond := func(bytes int) int { return bytes * int(oleanderspool.Second) / int(interval) }
	polls := perSecond(recorder.Body.Len())
	calls := perSecond(2 * others * unchanged)
	changes := 2 * changed * listChangesPerDay * int(oleanderspool.Second) / int(24*oleanderspool.Hour)
	t.Logf("a poll in %d ms: %d B/s; calls of %d B: %d B/s; changes of %d B: %d B/s", interval, polls, unchanged, calls, changed, changes)
	if sum := polls + calls + changes; sum > controlBytesPerSecond {
		t.Errorf("the list takes %d B/s, more than %d", sum, controlBytesPerSecond)
	}
}
