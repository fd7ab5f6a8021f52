package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// countingState counts the messages with changes that an entry has applied, and
// reports a new one at each call.
type countingState struct {
	entry     uint64
	reported  atomic.Int64
	applied   atomic.Int64
	confirmed atomic.Int64 // AskedAt of the last confirmation
	next      atomic.Int64
	faulty    atomic.Bool // the next message panics
}

func (s *countingState) Report(complete bool) gossip.Message {
	m := gossip.Message{RunID: s.entry, Complete: complete}
	if !complete {
		m.EndedTasks = []placement.TaskID{placement.TaskID(s.reported.Add(1))}
	}
	return m
}

func (s *countingState) Snapshot() []gossip.Message { return nil }

func (s *countingState) Apply(m gossip.Message) {
	if s.faulty.CompareAndSwap(true, false) {
		panic("unexpected message")
	}
	s.applied.Add(int64(len(m.EndedTasks)))
}

func (s *countingState) RemoveEntry(uint64) {}

func (s *countingState) Confirm(c gossip.Confirmation) {
	s.confirmed.Store(int64(c.AskedAt))
	s.next.Store(int64(c.Next))
}

// relayedFleet is a fleet that is large enough for relays.
type relayedFleet struct {
	nodes  []*gossip.Node
	states []*countingState
	stops  []context.CancelFunc
}

func newRelayedFleet(entries, dataCentres int) *relayedFleet {
	f := &relayedFleet{}
	seed := ""
	for i := range entries {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		address := conn.LocalAddr().String()
		if i == 0 {
			seed = address
		}
		s := &countingState{entry: uint64(i + 1)}
		self := gossip.Endpoint{Address: address, DataCentre: oleanderspool.DataCentreID(fmt.Sprint("dc-", i%dataCentres)), Capacity: 144}
		if i < 2*dataCentres {
			self.Capacity = 800
		}
		n := gossip.NewNode(conn, self, []string{seed}, s, clock.NewBoot(), slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(context.Background())
		go n.Run(ctx)
		DeferCleanup(stop)
		f.nodes, f.states, f.stops = append(f.nodes, n), append(f.states, s), append(f.stops, stop)
	}
	for _, n := range f.nodes {
		Eventually(n.LivePeers, "10s", "10ms").Should(Equal(entries - 1))
	}
	Eventually(f.relays, "10s", "10ms").Should(Equal(dataCentres))
	return f
}

// relays returns the number of entries that consider themselves relays.
func (f *relayedFleet) relays() int {
	count := 0
	for _, n := range f.nodes {
		if n.IsRelay() {
			count++
		}
	}
	return count
}

// publish makes an entry send a change and waits until the given entries have
// applied it.
func (f *relayedFleet) publish(from int, to []int, bound time.Duration) {
	GinkgoHelper()
	before := make([]int64, len(f.states))
	for i, s := range f.states {
		before[i] = s.applied.Load()
	}
	f.nodes[from].Wake()
	for _, i := range to {
		if i != from {
			Eventually(f.states[i].applied.Load, bound, time.Millisecond).Should(Equal(before[i]+1), "entry %d", i)
		}
	}
}

func all(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

var _ = Describe("Entries of a large fleet", func() {
	// Guards against changes that do not reach the entries of other data centres, and
	// against changes that are applied more than once.
	It("receive each change once, through the relays", func() {
		f := newRelayedFleet(16, 3)
		time.Sleep(300 * time.Millisecond) // until each entry is a subscriber of its relay
		for from := range 16 {
			f.publish(from, all(16), 2*time.Second)
		}
	})

	// Guards against entries that place requests without the changes of others for as
	// long as a killed relay counts as alive.
	It("receive changes again soon after a relay has been killed", func() {
		f := newRelayedFleet(16, 3)
		time.Sleep(300 * time.Millisecond)
		f.stops[0]()
		rest := all(16)[1:]
		time.Sleep(1500 * time.Millisecond)
		for from := 3; from < 16; from += 4 {
			f.publish(from, rest, 2*time.Second)
		}
	})

	// Guards against one message that ends the process, or leaves a lock behind.
	It("go on after the processing of a message has panicked", func() {
		f := newRelayedFleet(10, 2)
		time.Sleep(300 * time.Millisecond)
		for _, s := range f.states {
			s.faulty.Store(true)
		}
		f.nodes[0].Wake()
		time.Sleep(1200 * time.Millisecond) // a complete message panics where the change did not
		for from := range 10 {
			f.publish(from, all(10), 2*time.Second)
		}
	})

	// Guards against entries that each read the configuration, and against one that
	// takes a confirmation for newer than its question.
	It("receive the confirmation of their last question from their relay", func() {
		f := newRelayedFleet(16, 3)
		now := clock.NewBoot()
		relay := f.nodes[0]
		Eventually(relay.HasSubscribers, "5s").Should(BeTrue())
		Expect(f.nodes[6].IsRelay()).To(BeFalse())
		var readAt oleanderspool.Millis
		Eventually(func() int64 {
			readAt = now.Now()
			relay.ConfirmConfiguration(readAt, 42)
			time.Sleep(20 * time.Millisecond)
			return f.states[6].confirmed.Load()
		}, "5s").Should(BeNumerically(">", 0))
		Expect(f.states[6].next.Load()).To(BeEquivalentTo(42))
		Expect(f.states[6].confirmed.Load()).To(BeNumerically("<=", int64(readAt)))
	})
})
