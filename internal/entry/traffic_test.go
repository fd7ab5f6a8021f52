package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/entry"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/standin/platform"
)

// controlBytesPerSecond is what a node may spend on control traffic.
const controlBytesPerSecond = 6000

// TestReportTraffic guards against defaults with which the reports of the
// watched agents alone exceed the bound, headers not counted.
func TestReportTraffic(t *testing.T) {
	report := peer.EncodeState(oleanderspool.BackendServer{
		Instance: "runner-05123", DataCentre: "region-1-dc-2", Incarnation: "0123456789abcdef", Revision: 8_500_000, Instant: 86_400_000,
		Models: []oleanderspool.ModelID{"model-1"},
		Load:   oleanderspool.Load{QueuedTokens: 1_234_567, RunningTokens: 234_567, Queued: 150, Running: 32, FreeTokens: 345_678, SizeTokens: 1_400_000, PrefillRate: 10.25},
	})
	perSecond := entry.DefaultWatchLimit * proto.Size(report) * int(oleanderspool.Second) / int(entry.DefaultWatchInterval)
	if perSecond > controlBytesPerSecond {
		t.Errorf("reports take %d B/s, more than %d", perSecond, controlBytesPerSecond)
	}
}

// TestListTraffic guards against polls of the instance list that exceed the
// bound at the size in two years.
func TestListTraffic(t *testing.T) {
	list := make([]oleanderspool.InstanceState, 12_830)
	for i := range list {
		list[i] = oleanderspool.InstanceState{
			Instance: oleanderspool.InstanceID(fmt.Sprintf("runner-%05d", i)), DataCentre: "region-1-dc-2",
			Address: fmt.Sprintf("10.1.%d.%d:7180", i/256, i%256), Role: "model",
		}
	}
	p := platform.New(platform.WithInstanceLag(0))
	p.SetInstances(list)
	recorder := httptest.NewRecorder()
	p.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/instances", http.NoBody))
	perSecond := recorder.Body.Len() * int(oleanderspool.Second) / int(entry.DefaultListInterval)
	if perSecond > controlBytesPerSecond {
		t.Errorf("polls of the list take %d B/s, more than %d", perSecond, controlBytesPerSecond)
	}
}
