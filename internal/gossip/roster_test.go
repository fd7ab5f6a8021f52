package gossip

import (
	"fmt"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

// testRoster returns the roster of the entry with the given run ID in a fleet with
// entries numbered from 1, which are distributed over three data centres. One entry
// of each data centre has more capacity.
func testRoster(self, entries int) *roster {
	r := newRoster(testEntry(self), testAddress(self))
	r.runID = uint64(self)
	r.assignRelays(0)
	for i := 1; i <= entries; i++ {
		if i != self {
			r.observe(Message{RunID: uint64(i), Endpoint: testEntry(i)}, netip.AddrPort{}, 0)
		}
	}
	return r
}

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func testEntry(i int) Endpoint {
	e := Endpoint{Address: testAddress(i).String(), DataCentre: oleanderspool.DataCentreID(fmt.Sprint("dc-", i%3)), Capacity: 144}
	if i >= 7 && i <= 9 {
		e.Capacity = 800
	}
	return e
}

func hear(r *roster, runIDs ...uint64) {
	for _, id := range runIDs {
		r.members[id].heard = true
	}
}

func runIDs(list []*member) []uint64 {
	ids := []uint64{}
	for _, e := range list {
		ids = append(ids, e.runID)
	}
	return ids
}

var _ = Describe("The relays of a fleet", func() {
	// Guards against small fleets that wait for relays, and against relays that have
	// less processor time than other entries.
	It("are all entries of a small fleet, and else the largest one of each data centre", func() {
		Expect(testRoster(1, 4).linkedRelays(0)).To(HaveLen(3))
		r := testRoster(1, 30)
		Expect(runIDs(r.linkedRelays(0))).To(ConsistOf(uint64(7), uint64(8), uint64(9)))
		Expect(r.home).To(Equal(uint64(7)))
		Expect(testRoster(8, 30).isRelay()).To(BeTrue())
	})

	// Guards against datagrams of a relay that grow with the number of entries.
	It("grow in number with the entries of a data centre", func() {
		r := testRoster(100, 200)
		Expect(len(r.relays["dc-1"])).To(Equal(3))
		Expect(r.linkedRelays(0)).To(HaveLen(9))
	})

	// Guards against entries that hear nothing for as long as a killed or frozen relay
	// counts as alive, and against a relay that is replaced after one lost datagram.
	It("are replaced when they are silent, and return", func() {
		r := testRoster(22, 30)
		for now := oleanderspool.Millis(200); now <= 1000; now += 200 {
			hear(r, 7)
			Expect(r.checkLinks(now)).To(BeEmpty())
		}
		Expect(r.checkLinks(1200)).To(BeEmpty())
		Expect(r.checkLinks(1400)).To(BeEmpty())
		Expect(runIDs(r.checkLinks(1600))).To(Equal([]uint64{7}))
		Expect(r.home).NotTo(Or(Equal(uint64(7)), BeZero()))
		hear(r, r.home)
		Expect(r.checkLinks(1600 + relayPause)).To(BeEmpty())
		Expect(r.home).To(Equal(uint64(7)))
	})

	// Guards against a relay whose own processes cannot be reached: it must not lose
	// the relays that still send to it.
	It("answer an entry that acts as a relay although they expect another one", func() {
		r := testRoster(8, 30)
		Expect(runIDs(r.linkedRelays(100))).To(ConsistOf(uint64(7), uint64(9)))
		r.members[11].relayedAt = 100
		Expect(runIDs(r.linkedRelays(200))).To(ConsistOf(uint64(7), uint64(9), uint64(11)))
		Expect(runIDs(r.linkedRelays(100 + subscriptionTimeout))).To(ConsistOf(uint64(7), uint64(9)))
	})

	// Guards against an entry that others keep alive for each other after it has left.
	It("do not bring back an entry that left", func() {
		r := testRoster(1, 30)
		r.remove(7, 100)
		Expect(r.list([]listedMember{{runID: 7, Endpoint: testEntry(7), silence: 10}}, 200)).To(BeFalse())
		Expect(r.members).NotTo(HaveKey(uint64(7)))
		Expect(r.list([]listedMember{{runID: 70, Endpoint: testEntry(70), silence: 10}}, 200)).To(BeTrue())
		Expect(r.expire(200 + peerTimeout)).NotTo(BeEmpty())
		Expect(r.members).NotTo(HaveKey(uint64(70)))
	})
})

var _ = Describe("A message that arrives on several ways", func() {
	// Guards against messages that circulate between relays, and against an earlier
	// complete message that removes the tasks of a later one.
	It("counts once, and only the latest one as latest", func() {
		m := &member{}
		for _, c := range []struct {
			sequence         uint64
			repeated, latest bool
		}{
			{1, false, true},
			{1, true, false},
			{4, false, true},
			{3, false, false},
			{3, true, false},
			{4, true, false},
			{100, false, true},
			{4, true, false},
			{99, false, false},
			{99, true, false},
			{100 + sequenceWindow, false, true},
			{100, true, false},
		} {
			repeated, latest := m.arrive(c.sequence)
			Expect([]bool{repeated, latest}).To(Equal([]bool{c.repeated, c.latest}), "%d", c.sequence)
		}
	})
})

var _ = Describe("The confirmation of the configuration by a relay", func() {
	// Guards against a key that is accepted although it was revoked before the
	// confirmed instant: a read confirms only questions that arrived before it was sent.
	It("answers the latest question that arrived before the read", func() {
		r := testRoster(7, 30)
		e := r.members[1]
		r.subscribe(e, 100)
		Expect(r.confirmationsFor(99, 1000)).To(BeEmpty())
		e.ask(5000, 100)
		e.ask(5150, 250) // too soon after the one before
		e.ask(5400, 500)
		e.ask(5800, 900)
		Expect(r.confirmationsFor(600, 1000)).To(Equal([]Confirmation{{runID: 1, AskedAt: 5400}}))
		Expect(r.confirmationsFor(600, 1000)).To(BeEmpty(), "each question is answered once")
		Expect(r.confirmationsFor(900, 1000)).To(Equal([]Confirmation{{runID: 1, AskedAt: 5800}}))
	})
})

var _ = Describe("The delay of a message", func() {
	// Guards against messages that count as delayed for good once two clocks have
	// drifted apart.
	It("is the excess over the smallest difference of the clocks, which may drift", func() {
		c := &clockOffset{}
		_, known := c.delay(1000, 5000)
		Expect(known).To(BeFalse())
		for _, step := range []struct{ sentAt, now, delay oleanderspool.Millis }{
			{1010, 5010, 0},
			{1020, 5050, 30},
			{1030, 5028, 0},
			{1040, 5040, 2},
			{101_030, 105_038, 0}, // drifted by 10 ms in 100 s
		} {
			delay, known := c.delay(step.sentAt, step.now)
			Expect(known).To(BeTrue())
			Expect(delay).To(Equal(step.delay), "sent at %d", step.sentAt)
		}
	})
})
