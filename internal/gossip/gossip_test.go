package gossip_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

var whole = gossip.Message{
	Entry: 7, Name: "entry-1", Complete: true, Leaving: true,
	Works: []gossip.Work{{
		Work:      placement.Work{ID: 9, Server: "s", Tokens: 5, Memory: 6, Answer: 7, Read: 1.5, Largest: 0.5, Value: 2, Goal: 300, PauseGoal: 200, Part: true, Writing: true},
		PlacedAgo: 40,
	}},
	Ended:    []placement.WorkID{1, 2},
	Crashes:  []gossip.Crash{{Fingerprint: 11, Server: "s", Ago: 12}},
	Troubles: []gossip.Trouble{{Server: "s", For: 13}},
	Refused:  []oleanderspool.Fingerprint{14},
	Answered: []oleanderspool.Fingerprint{15},
	Peers:    []string{"127.0.0.1:9"},
}

var _ = Describe("A message", func() {
	It("survives its encoding", func() {
		m, err := gossip.Decode(gossip.Encode(whole))
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(Equal(whole))
	})

	// Guards against datagrams of other senders that bring a process down.
	It("that is cut or spoilt does no harm", func() {
		data := gossip.Encode(whole)
		for i := range data {
			_, _ = gossip.Decode(data[:i])
			spoilt := append([]byte(nil), data...)
			spoilt[i] ^= 0xff
			_, _ = gossip.Decode(spoilt)
		}
	})
})

// recorder is the state of an entry in a test.
type recorder struct {
	entry uint64
	mu    sync.Mutex
	heard map[uint64]gossip.Message
	lost  []uint64
}

func (r *recorder) Report(complete bool) gossip.Message {
	return gossip.Message{Entry: r.entry, Complete: complete, Ended: []placement.WorkID{placement.WorkID(r.entry)}}
}

func (r *recorder) Learn(m gossip.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[m.Entry] = m
}

func (r *recorder) Lose(entry uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, entry)
}

func (r *recorder) knows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.heard)
}

type member struct {
	*recorder
	node *gossip.Node
	stop context.CancelFunc
}

func join(entry uint64, seeds ...string) (member, string) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	r := &recorder{entry: entry, heard: map[uint64]gossip.Message{}}
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	n := gossip.NewNode(conn, address, seeds, r, clock.NewBoot(), slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	go n.Run(ctx)
	DeferCleanup(stop)
	return member{recorder: r, node: n, stop: stop}, address.String()
}

var _ = Describe("Entries", func() {
	// Guards against entries that know only their seeds.
	It("find each other through one seed", func() {
		a, seed := join(1)
		b, _ := join(2, seed)
		c, _ := join(3, seed, "127.0.0.1:1", "no address")
		for _, m := range []member{a, b, c} {
			Eventually(m.knows, "10s").Should(Equal(2))
			Eventually(m.node.Alive, "10s").Should(Equal(2))
		}
	})

	// Guards against work of an entry that is gone and still counts.
	It("lose one that falls silent, and one that leaves at once", func() {
		a, seed := join(1)
		b, _ := join(2, seed)
		c, _ := join(3, seed)
		Eventually(a.node.Alive, "10s").Should(Equal(2))
		c.node.Leave()
		Eventually(func() []uint64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return append([]uint64(nil), a.lost...)
		}, time.Second).Should(ContainElement(uint64(3)))
		b.stop()
		Eventually(func() []uint64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return append([]uint64(nil), a.lost...)
		}, "10s").Should(ContainElement(uint64(2)))
	})
})
