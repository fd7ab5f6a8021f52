package clientlimit_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clientlimit"
)

func TestClientLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clientlimit")
}

var (
	crowded = netip.MustParseAddr("127.0.0.1")
	other   = netip.MustParseAddr("127.0.0.2")
)

var _ = Describe("Table", func() {
	// Guards against silent connections that keep ordinary callers out, and against the
	// end of a running request in favour of a new connection.
	cases := []struct {
		name    string
		states  []func(*clientlimit.Table, clientlimit.ID, oleanderspool.Millis) // of 1, 2, ...; nil for new
		now     oleanderspool.Millis
		evicted clientlimit.ID // 0: the new connection is refused
	}{
		{"the longest without a request", []func(*clientlimit.Table, clientlimit.ID, oleanderspool.Millis){(*clientlimit.Table).Idle, nil, nil}, 2000, 2},
		{"an idle one before a new one", []func(*clientlimit.Table, clientlimit.ID, oleanderspool.Millis){nil, (*clientlimit.Table).Idle, nil}, 500, 2},
		{"a new one before running ones", []func(*clientlimit.Table, clientlimit.ID, oleanderspool.Millis){(*clientlimit.Table).Run, nil, (*clientlimit.Table).Run}, 500, 2},
		{"none of running ones", []func(*clientlimit.Table, clientlimit.ID, oleanderspool.Millis){(*clientlimit.Table).Run, (*clientlimit.Table).Run, (*clientlimit.Table).Run}, 9000, 0},
	}
	for _, c := range cases {
		It("closes "+c.name, func() {
			t := clientlimit.NewTable(clientlimit.Limits{Connections: 3, AddressConnections: 3})
			for i, state := range c.states {
				id := clientlimit.ID(i + 1)
				Expect(t.Open(id, crowded, 0).Accepted).To(BeTrue())
				if state != nil {
					state(t, id, 0)
				}
			}
			d := t.Open(9, other, c.now)
			Expect(d).To(Equal(clientlimit.Decision{Accepted: c.evicted != 0, Evicted: c.evicted, Limit: clientlimit.LimitConnections}))
		})
	}

	// Guards against one address that takes the connections of all others, and against
	// callers whose stalled or pipelined answers are never closed.
	It("closes connections of an address over its part, pipelining and stalled ones", func() {
		t := clientlimit.NewTable(clientlimit.Limits{Connections: 4, AddressConnections: 2})
		t.Open(1, other, 0)
		t.Open(2, crowded, 0)
		t.Open(3, crowded, 0)
		Expect(t.Open(4, crowded, 2000)).To(Equal(clientlimit.Decision{Accepted: true, Evicted: 2, Limit: clientlimit.LimitAddress}))
		for _, id := range []clientlimit.ID{3, 4} {
			t.Run(id, 2000)
		}
		Expect(t.Open(5, crowded, 4000).Accepted).To(BeFalse())
		t.Send(3, 3990)
		Expect(t.Open(5, crowded, 4000).Accepted).To(BeFalse(), "a write that has just begun")
		t.Sent(3, 4000)
		t.Send(3, 4000)
		t.Sent(3, 4500)
		t.Send(4, 4000)
		t.Pipeline(3, 4500)
		Expect(t.Open(7, crowded, 4600).Evicted).To(Equal(clientlimit.ID(3)), "one that pipelines")
		t.Run(7, 4600)
		Expect(t.Open(6, crowded, 6000).Evicted).To(Equal(clientlimit.ID(4)))
	})
})

var _ = Describe("Uploads", func() {
	// Guards against stalled bodies that keep moving ones out, and against more refusals
	// than the memory that is needed.
	It("refuses the body that makes the least progress, once", func() {
		u := clientlimit.NewUploads()
		for id := clientlimit.ID(1); id <= 3; id++ {
			u.Start(id, 0)
			u.Hold(id, 1000)
		}
		u.Receive(1, 1_000_000, 0)
		u.Receive(2, 1000, 9000)
		Expect(u.Refuse(500, 2, 100)).To(BeZero(), "new bodies")
		Expect(u.Refuse(500, 3, 9000)).To(BeZero(), "the slowest one needs the memory")
		Expect(u.Refuse(500, 2, 9000)).To(Equal(clientlimit.ID(3)))
		Expect(u.Refuse(500, 2, 9000)).To(BeZero(), "memory is about to be returned")
		Expect(u.Finish(3)).To(BeTrue())
		u.Return(3)
		Expect(u.Refuse(500, 2, 9000)).To(Equal(clientlimit.ID(1)))
		Expect(u.Finish(2)).To(BeFalse())
	})
})

var _ = Describe("Excess", func() {
	// Guards against unread bytes beyond the limit, and against closing more than needed.
	It("names the largest holdings until the rest fits", func() {
		h := []clientlimit.Holding{{ID: 1, Bytes: 10}, {ID: 2, Bytes: 50}, {ID: 3, Bytes: 30}}
		Expect(clientlimit.Excess(h, 90)).To(BeEmpty())
		Expect(clientlimit.Excess(h, 45)).To(Equal([]clientlimit.ID{2}))
		Expect(clientlimit.Excess(h, 39)).To(Equal([]clientlimit.ID{2, 3}))
		Expect(clientlimit.Excess(h, 5)).To(Equal([]clientlimit.ID{2, 3, 1}))
	})
})

var _ = Describe("Limits", func() {
	// Guards against limits that leave no descriptors for backend servers, or no memory
	// for one body of the largest size.
	It("fit into the smallest and the largest entry", func() {
		for _, i := range []struct{ memory, descriptors int64 }{{72 << 20, 500}, {136 << 20, 2870}, {536 << 20, 8192}} {
			l := clientlimit.ForInstance(i.memory, i.descriptors)
			Expect(l.Connections).To(BeNumerically(">", 100))
			Expect(l.AddressConnections).To(BeNumerically("<", l.Connections))
			Expect(int64(l.Connections + l.BackendConnections)).To(BeNumerically("<=", i.descriptors-200-64))
			Expect(l.BackendConnections).To(BeNumerically(">=", l.Connections))
			Expect(l.BodyMemory).To(BeNumerically(">", 6<<20))
			GinkgoWriter.Printf("%+v\n", l)
		}
	})
})
