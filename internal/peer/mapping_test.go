package peer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

var _ = Describe("EncodeState", func() {
	cases := []struct {
		ahead oleanderspool.TokensAhead
		bytes int // size of the encoded field
	}{
		{oleanderspool.TokensAhead{}, 0},
		{oleanderspool.TokensAhead{5000, 5000, 5000}, 5},
		{oleanderspool.TokensAhead{0, 5000, 5000}, 6},
		{oleanderspool.TokensAhead{0, 0, 90_000}, 8},
		{oleanderspool.TokensAhead{9000, 70_000, 250_000}, 11},
	}
	for _, c := range cases {
		// Guards against work ahead that changes its class in transmission, and
		// against reports that exceed the budget of control traffic.
		It("encodes the work ahead in few bytes and without loss", func() {
			b := oleanderspool.BackendServer{Instance: "runner-07", Models: []oleanderspool.ModelID{}, Routes: []oleanderspool.RouteID{}}
			without := proto.Size(peer.EncodeState(b))
			b.Load.TokensAhead = c.ahead
			m := peer.EncodeState(b)
			Expect(proto.Size(m) - without).To(Equal(c.bytes))
			Expect(peer.DecodeState(m, "", 0)).To(Equal(b))
		})
	}

	// Guards against a report that exceeds its share of an entry's control traffic,
	// with the values of a busy backend server. The report takes about 130 bytes.
	It("encodes the state of a busy backend server in at most 140 bytes", func() {
		b := oleanderspool.BackendServer{
			Instance: "model-runner-0007", DataCentre: "data-centre-a", Incarnation: "0123456789abcdef",
			Models: []oleanderspool.ModelID{"ledger-model"}, Revision: 9000, AgentClock: 86_400_000,
			Load: oleanderspool.Load{
				QueuedTokens: 900_000, RunningTokens: 20_000, Queued: 90, Running: 30,
				FreeTokens: 100_000, CapacityTokens: 480_000, PrefillRate: 17.9,
			},
		}
		encode := func() *peerpb.AgentState {
			m := peer.EncodeState(b)
			m.Position = 9000
			return m
		}
		without := proto.Size(encode())
		b.Load.TokensAhead = oleanderspool.TokensAhead{9000, 70_000, 250_000}
		m := encode()
		GinkgoWriter.Printf("%d bytes, %d of them the work ahead\n", proto.Size(m), proto.Size(m)-without)
		Expect(proto.Size(m)).To(BeNumerically("<=", 140))
	})
})
