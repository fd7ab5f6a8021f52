package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

var fullMessage = gossip.Message{
	RunID: 7, Sequence: 8, Endpoint: gossip.Endpoint{Instance: "entry-1", Address: "127.0.0.1:9", DataCentre: "a", Capacity: 144}, Complete: true, Leaving: true,
	Tasks: []gossip.Task{{
		Task: placement.Task{ID: 9, Server: "s", ContextTokens: 5, MemoryTokens: 6, OutputTokens: 7, PrefillMillis: 1.5, MaxPassPrefillMillis: 0.5, Value: 2, TTFTGoal: 300, InterTokenGoal: 200, Sharded: true, Decoding: true},
		Age:  40,
	}},
	EndedTasks: []placement.TaskID{1, 2},
	Crashes: []gossip.Crash{{Crash: quarantine.Crash{
		Server: directory.ServerRun{Instance: "s", Address: "10.0.0.1:80", Started: 22}, Subject: quarantine.Subject{Request: 11, Parts: []oleanderspool.Fingerprint{23, 24}}, Beginning: true,
	}, Age: 12}},
	Suspicions:  []gossip.Suspicion{{Server: "s", Remaining: 13}},
	Refused:     []oleanderspool.Fingerprint{14},
	Answered:    []gossip.Answer{{Fingerprint: 15, Age: 25}},
	Quarantined: []oleanderspool.QuarantinedPart{{Fingerprint: 26, Age: 28, Idle: 27}},
	SentAt:      16,
	RegistryUpdates: []directory.RegistryUpdate{{From: 17, Next: 20, Age: 18, Reachable: 30, Changes: []directory.Change{
		{Offset: 17, Instance: "gone", Removed: true},
		{Offset: 19, Instance: "s", Server: &directory.Server{
			Instance: "s", Service: "llm", Address: "10.0.0.1:80", DataCentre: "a", Started: 5, Slots: 16, Draining: true, ColdUntil: 21,
		}},
	}}},
}

var _ = Describe("A message", func() {
	It("is the same after encoding and decoding", func() {
		m, err := gossip.Decode(gossip.Encode(fullMessage))
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(Equal(fullMessage))
	})

	// Guards against malformed datagrams, which any sender can send, that crash the
	// process.
	It("does not crash the decoder when it is truncated or corrupted", func() {
		data := gossip.Encode(fullMessage)
		for i := range data {
			_, _ = gossip.Decode(data[:i])
			corrupted := append([]byte(nil), data...)
			corrupted[i] ^= 0xff
			_, _ = gossip.Decode(corrupted)
		}
	})
})

// recorder is a [gossip.State] that records the messages and the removed entries.
type recorder struct {
	entry    uint64
	mu       sync.Mutex
	received map[uint64]gossip.Message // last message by entry
	removed  []uint64
}

func (r *recorder) Report(complete bool) gossip.Message {
	return gossip.Message{RunID: r.entry, Complete: complete, EndedTasks: []placement.TaskID{placement.TaskID(r.entry)}}
}

func (r *recorder) Snapshot() []gossip.Message { return nil }

func (r *recorder) Confirm(gossip.Confirmation) {}

func (r *recorder) Apply(m gossip.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[m.RunID] = m
}

func (r *recorder) RemoveEntry(entry uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = append(r.removed, entry)
}

// senders returns the number of entries of which a message was received.
func (r *recorder) senders() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.received)
}

// member is a running node and its state.
type member struct {
	*recorder
	node *gossip.Node
	stop context.CancelFunc
}

func join(entry uint64, seeds ...string) (member, string) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	return joinOn(conn, entry, seeds...), conn.LocalAddr().String()
}

func joinAt(address string, entry uint64) member {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	Expect(err).NotTo(HaveOccurred())
	return joinOn(conn, entry)
}

func joinOn(conn *net.UDPConn, entry uint64, seeds ...string) member {
	r := &recorder{entry: entry, received: map[uint64]gossip.Message{}}
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	self := gossip.Endpoint{Instance: oleanderspool.InstanceID(fmt.Sprint("entry-", entry)), Address: address.String(), DataCentre: "a"}
	n := gossip.NewNode(conn, self, seeds, r, clock.NewBoot(), slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	go n.Run(ctx)
	DeferCleanup(stop)
	return member{recorder: r, node: n, stop: stop}
}

var _ = Describe("Entries that exchange messages", func() {
	// Guards against entries that exchange messages only with their seeds.
	It("discover each other through one seed", func() {
		a, seed := join(1)
		b, _ := join(2, seed)
		c, _ := join(3, seed, "127.0.0.1:1", "no address")
		for _, m := range []member{a, b, c} {
			Eventually(m.senders, "10s").Should(Equal(2))
			Eventually(m.node.LivePeers, "10s").Should(Equal(2))
		}
	})

	// Guards against entries that place requests without knowing of each other after a
	// power failure of all: they then load the same backend servers. Waiting for the
	// next complete message would take up to a second.
	It("discover each other within 500 ms when all start at the same time", func() {
		seedConn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		seed := seedConn.LocalAddr().String()
		var members []member
		for i := range uint64(5) {
			m, _ := join(2+i, seed)
			members = append(members, m)
		}
		time.Sleep(100 * time.Millisecond) // the seed starts later than the others
		Expect(seedConn.Close()).To(Succeed())
		members = append(members, joinAt(seed, 1))
		for _, m := range members {
			Eventually(m.node.LivePeers, "500ms", "5ms").Should(Equal(5))
			Eventually(m.senders, "500ms", "5ms").Should(Equal(5))
		}
	})

	// Guards against counting the tasks of an entry that does not run any more.
	It("remove a leaving entry at once and an unreachable one after the timeout", func() {
		a, seed := join(1)
		b, _ := join(2, seed)
		c, _ := join(3, seed)
		Eventually(a.node.LivePeers, "10s").Should(Equal(2))
		c.node.Leave()
		Eventually(func() []uint64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return append([]uint64(nil), a.removed...)
		}, time.Second).Should(ContainElement(uint64(3)))
		b.stop()
		Eventually(func() []uint64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return append([]uint64(nil), a.removed...)
		}, "10s").Should(ContainElement(uint64(2)))
	})

	// Guards against registry updates that count as recent although they waited in the
	// socket, for example while the process was paused.
	It("add the delay of a message to the age of its registry updates", func() {
		a, address := join(1)
		b, err := net.Dial("udp4", address)
		Expect(err).NotTo(HaveOccurred())
		defer b.Close()
		age := func() oleanderspool.Millis {
			a.mu.Lock()
			defer a.mu.Unlock()
			if updates := a.received[2].RegistryUpdates; len(updates) > 0 {
				return updates[0].Age
			}
			return -1
		}
		sequence := uint64(0)
		send := func(sentAt oleanderspool.Millis) {
			sequence++
			_, err := b.Write(gossip.EncodeRelayed(2, gossip.Message{RunID: 2, Sequence: sequence, SentAt: sentAt, RegistryUpdates: []directory.RegistryUpdate{{Next: 1, Age: 5}}}))
			Expect(err).NotTo(HaveOccurred())
		}
		start := time.Now()
		senderClock := func() oleanderspool.Millis { return 10_000 + oleanderspool.Millis(time.Since(start).Milliseconds()) }
		send(senderClock())
		Eventually(a.senders, "5s").Should(Equal(1))
		Expect(age()).To(BeEquivalentTo(-1), "the delay of the first message is unknown")
		send(senderClock())
		Eventually(age, "5s", time.Millisecond).Should(BeNumerically("~", 5, 50))
		send(senderClock() - 3000)
		Eventually(age, "5s", time.Millisecond).Should(BeNumerically(">=", 2900))
	})
})
