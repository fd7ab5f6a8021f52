package directory_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// order returns the record that evacuates a data centre.
func order(dc oleanderspool.DataCentreID, offset oleanderspool.Offset) directory.Change {
	return directory.Change{Evacuation: dc, Offset: offset}
}

// end returns the record that ends the evacuation of a data centre.
func end(dc oleanderspool.DataCentreID, offset oleanderspool.Offset) directory.Change {
	return directory.Change{Evacuation: dc, Offset: offset, Removed: true}
}

// spread returns a view of a service with one server in each of three data centres.
func spread() *directory.View {
	v := directory.NewView()
	for i, dc := range []oleanderspool.DataCentreID{"a", "b", "c"} {
		id := oleanderspool.InstanceID("in-" + dc)
		v.Register(directory.Change{Instance: id, Offset: oleanderspool.Offset(i), Server: &directory.Server{Instance: id, Service: "s", Address: "10.0.0.1:80", DataCentre: dc}})
	}
	return v
}

var _ = Describe("The evacuation of data centres", func() {
	type names = []oleanderspool.DataCentreID
	type step struct {
		records []directory.Change
		listEnd oleanderspool.Offset // 0 unless the records are a complete list
		changes int                  // that take effect
		then    names                // evacuated afterwards
	}
	read := func(changes int, then names, records ...directory.Change) step {
		return step{records, 0, changes, then}
	}
	list := func(end oleanderspool.Offset, changes int, then names, records ...directory.Change) step {
		return step{records, end, changes, then}
	}
	// Guards against an evacuation that an older record or list begins or ends, and
	// against one that goes on because the record of its end was compacted away.
	cases := []struct {
		name  string
		steps []step
	}{
		{"ends by the removal of its record", []step{read(1, names{"b"}, order("b", 5)), read(1, nil, end("b", 6))}},
		{"is not ended by an older removal", []step{read(1, names{"b"}, order("b", 5)), read(0, names{"b"}, end("b", 4))}},
		{"is not begun again by an older order", []step{read(1, names{"b"}, order("b", 5)), read(1, nil, end("b", 7)), read(0, nil, order("b", 6))}},
		{"is not begun by an order that comes after its end", []step{read(0, nil, end("b", 7)), read(0, nil, order("b", 5))}},
		{"changes nothing when its records are repeated", []step{read(1, names{"b"}, order("b", 5)), read(0, names{"b"}, order("b", 5), order("b", 6)), read(1, nil, end("b", 7)), read(0, nil, end("b", 7), order("b", 6), end("b", 8))}},
		{"begins again by a newer order", []step{read(2, nil, order("b", 5), end("b", 6)), read(1, names{"b"}, order("b", 7))}},
		{"concerns one data centre of several", []step{read(2, names{"a", "b"}, order("b", 5), order("a", 6)), read(1, names{"a"}, end("b", 7))}},
		{"may concern an unknown data centre", []step{read(1, names{"x"}, order("x", 5))}},
		{"is not ended by a list that is older than the order", []step{read(1, names{"b"}, order("b", 5)), list(5, 0, names{"b"})}},
		{"goes on with a list that contains it", []step{read(1, names{"b"}, order("b", 5)), list(9, 0, names{"b"}, order("b", 5))}},
		{"is ended by a list after the compaction of its removal", []step{read(2, names{"a", "b"}, order("a", 4), order("b", 5)), list(9, 1, names{"a"}, order("a", 4))}},
		{"is not begun again by a list that is older than its end", []step{read(2, nil, order("b", 5), end("b", 7)), list(6, 0, nil, order("b", 5))}},
		{"is not begun again by a list that is older than the list that ended it", []step{read(1, names{"b"}, order("b", 5)), list(9, 1, nil), list(7, 0, nil, order("b", 5))}},
		{"begins by a record of a list that is newer than the end of the list", []step{list(9, 1, names{"b"}, order("b", 10)), list(8, 0, names{"b"}), list(12, 1, nil)}},
	}
	for _, c := range cases {
		It(c.name, func() {
			v := spread()
			for i, s := range c.steps {
				var applied []directory.Change
				if s.listEnd > 0 {
					applied = v.ConfigureFromList(s.records, s.listEnd)
				} else {
					applied = v.Configure(s.records...)
				}
				Expect(applied).To(HaveLen(s.changes), "step %d", i)
				Expect(v.Snapshot().Evacuated()).To(Equal(s.then), "step %d", i)
				for _, server := range v.Snapshot().Servers("s") {
					Expect(s.then).NotTo(ContainElement(server.DataCentre), "step %d", i)
				}
			}
		})
	}

	// Guards against servers of an evacuated data centre that come back with a change of
	// the registry or of the configuration, and against a service that has no servers and
	// counts as evacuated.
	It("withholds its servers, also those that register later, until it ends", func() {
		v := spread()
		v.Configure(order("a", 5), order("b", 6))
		Expect(v.Snapshot().Servers("s")).To(HaveLen(1))
		Expect(v.Snapshot().AllEvacuated("s")).To(BeFalse())
		v.Register(directory.Change{Instance: "new", Offset: 9, Server: &directory.Server{Instance: "new", Service: "s", Address: "10.0.0.2:80", DataCentre: "a"}})
		v.Configure(directory.Change{Configuration: directory.NewConfiguration(1, directory.Limits{}, nil, nil, nil), Offset: 7})
		Expect(v.Snapshot().Servers("s")).To(HaveLen(1))
		v.Configure(order("c", 8))
		Expect(v.Snapshot().Servers("s")).To(BeEmpty())
		Expect(v.Snapshot().AllEvacuated("s")).To(BeTrue())
		Expect(v.Snapshot().AllEvacuated("other")).To(BeFalse())
		v.Configure(end("a", 9), end("b", 10), end("c", 11))
		Expect(v.Snapshot().Servers("s")).To(HaveLen(4))
		Expect(v.Snapshot().AllEvacuated("s")).To(BeFalse())
	})

	// Guards against a starting entry that places a request between its configuration and
	// the evacuations that came with it.
	It("becomes visible together with the configuration of its batch", func() {
		for i := range 300 {
			v := spread()
			first := make(chan *directory.Snapshot)
			go func() {
				for {
					if s := v.Snapshot(); s.Configuration != nil {
						first <- s
						return
					}
				}
			}()
			batch := []directory.Change{{Configuration: directory.NewConfiguration(1, directory.Limits{}, nil, nil, nil), Offset: 1}}
			for j := range 20 {
				batch = append(batch, order(oleanderspool.DataCentreID(fmt.Sprint("dc-", j)), oleanderspool.Offset(j+2)))
			}
			v.ConfigureFromList(batch, 30)
			var s *directory.Snapshot
			Eventually(first).Should(Receive(&s))
			Expect(s.Evacuated()).To(HaveLen(20), "view %d", i)
		}
	})
})
