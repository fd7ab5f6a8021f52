package forward_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// freezableClock stands in for a process that may be frozen: while it is locked, all
// that needs the time waits.
type freezableClock struct {
	*clock.Boot
	mu sync.RWMutex
}

func (c *freezableClock) Now() oleanderspool.Millis {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.Boot.Now()
}

// relayEntry is an entry of a fleet with relays, without callers.
type relayEntry struct {
	view                     *directory.View
	node                     *gossip.Node
	clock                    *freezableClock
	store                    *link.Relay
	stopFollowing, stopPeers context.CancelFunc
	faulty                   bool
}

// evacuateMs is the time within which an evacuation, or its end, is in force.
const evacuateMs = 5000 * oleanderspool.Millis(1)

// startRelayEntry starts an entry in one of two data centres that knows the first entry,
// or the first entry if its address is empty. It returns the address.
func startRelayEntry(store *platformtest.Store, i int, seed string) (*relayEntry, string) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	e := &relayEntry{view: directory.NewView(), clock: &freezableClock{Boot: clock.NewBoot()}}
	e.store, err = link.New(store.Address())
	Expect(err).NotTo(HaveOccurred())
	budget, err := directory.NewBudget(evacuateMs, 3*oleanderspool.Second)
	Expect(err).NotTo(HaveOccurred())
	logger := slog.New(slog.DiscardHandler)
	client := platform.NewStoreClient(e.store.Address(), platform.WithCallTimeout(budget.CallTimeout))
	gateway := forward.New(e.view, platform.Headers{}, e.clock, forward.WithMaxKeyAge(5*oleanderspool.Second))
	follower := directory.NewFollower(e.view, platform.NewConfigurationFeed(client), platform.NewServerFeed(client, e.clock), e.clock, logger,
		directory.WithBudget(budget), directory.WithConfirmationTTL(gateway.EffectiveMaxKeyAge()), directory.WithCoordinator(gateway.Coordinator()))
	self := gossip.Endpoint{Address: conn.LocalAddr().String(), DataCentre: oleanderspool.DataCentreID(fmt.Sprint("dc-", i%2)), Capacity: 144}
	if i < 4 {
		self.Capacity = 800
	}
	e.node = gossip.NewNode(conn, self, []string{seed}, gateway.State(), e.clock, logger)
	gateway.SetPeers(e.node, follower.Receive, follower.ReceiveConfirmation)
	following, stopFollowing := context.WithCancel(context.Background())
	peers, stopPeers := context.WithCancel(context.Background())
	e.stopFollowing, e.stopPeers = stopFollowing, stopPeers
	go follower.RunConfigurations(following)
	go follower.RunServers(following)
	go e.node.Run(peers)
	DeferCleanup(func() {
		stopFollowing()
		stopPeers()
		e.store.Close()
	})
	return e, self.Address
}

var _ = Describe("An order to evacuate, or its end,", func() {
	const (
		entries   = 12
		evacuated = "dc-z"
	)
	// Guards against entries that wait for their relay while it can no longer inform them
	// of a record, and against relays that do not notice that they are cut off.
	for _, c := range []struct {
		name  string
		fault func(e *relayEntry) (end func()) // nil if it does not end
	}{
		{"dies", func(e *relayEntry) func() {
			e.stopFollowing()
			e.stopPeers()
			return nil
		}},
		{"is frozen", func(e *relayEntry) func() {
			e.clock.mu.Lock()
			return e.clock.mu.Unlock
		}},
		{"is cut off from the store", func(e *relayEntry) func() {
			e.store.Cut(link.Forward)
			e.store.Cut(link.Backward)
			return e.store.Heal
		}},
		{"is cut off from the other entries", func(e *relayEntry) func() {
			e.stopPeers()
			return nil
		}},
	} {
		It("is followed within its bound by all other entries when a relay "+c.name, func() {
			store := platformtest.NewStore(10)
			DeferCleanup(store.Close)
			store.Configure(platformtest.Configuration{Services: []string{"app"}})
			var fleet []*relayEntry
			seed := ""
			for i := range entries {
				e, address := startRelayEntry(store, i, seed)
				if fleet = append(fleet, e); i == 0 {
					seed = address
				}
			}
			relays := func() (list []*relayEntry) {
				for _, e := range fleet {
					if !e.faulty && e.node.IsRelay() && e.node.HasSubscribers() {
						list = append(list, e)
					}
				}
				return list
			}
			Eventually(relays, "10s", "10ms").Should(HaveLen(2), "one in each data centre")
			// The fault comes before the order, while the relay reads it, or while the
			// subscribers do.
			for i, faultAfter := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
				Eventually(relays, "10s", "10ms").ShouldNot(BeEmpty())
				relay := relays()[0]
				relay.faulty = true
				var endFault func()
				if faultAfter == 0 {
					endFault = c.fault(relay)
				}
				order := i%2 == 0
				if order {
					store.Evacuate(evacuated)
				} else {
					store.EndEvacuation(evacuated)
				}
				ordered := time.Now()
				if faultAfter > 0 {
					time.Sleep(faultAfter)
					endFault = c.fault(relay)
				}
				follows := func(e *relayEntry) func() bool {
					return func() bool { return e.view.Snapshot().IsEvacuated(evacuated) == order }
				}
				for j, e := range fleet {
					if !e.faulty {
						Eventually(follows(e), max(0, time.Until(ordered.Add(evacuateMs.Duration()))), 5*time.Millisecond).Should(BeTrue(), "entry %d, fault after %s", j, faultAfter)
					}
				}
				GinkgoWriter.Printf("fault after %s: followed after %s\n", faultAfter, time.Since(ordered))
				if endFault != nil {
					endFault()
					Eventually(follows(relay), evacuateMs.Duration(), 5*time.Millisecond).Should(BeTrue(), "the relay after its fault")
					relay.faulty = false
				}
			}
		})
	}
})
