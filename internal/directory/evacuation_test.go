package directory_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// orders parses records such as "+b5,-a7": the order for b at offset 5 and the end of the
// evacuation of a at offset 7.
func orders(text string) (records []directory.Change) {
	for f := range strings.FieldsFuncSeq(text, func(r rune) bool { return r == ',' }) {
		c := directory.Change{Evacuation: oleanderspool.DataCentreID(f[1:2]), Removed: f[0] == '-'}
		fmt.Sscan(f[2:], &c.Offset)
		records = append(records, c)
	}
	return records
}

var _ = Describe("The evacuation of data centres", func() {
	// Guards against an evacuation that an older record or list begins or ends, one that
	// goes on because the record of its end was compacted away, and servers that come back.
	cases := []struct {
		name    string
		batches string // a complete list in brackets, followed by its end
		changes int    // that take effect
		left    string // data centres of the servers that are left
	}{
		{"ends by the removal of its record", "+b5 -b6", 2, "[a b c]"},
		{"is not ended by an older removal", "+b5 -b4", 1, "[a c]"},
		{"is not begun again by an older order", "+b5 -b7 +b6", 2, "[a b c]"},
		{"is not begun by an order that comes after its end", "-b7 +b5", 0, "[a b c]"},
		{"changes nothing when its records are repeated", "+b5 +b5,+b6", 1, "[a c]"},
		{"begins again by a newer order", "+b5,-b6 +b7", 3, "[a c]"},
		{"concerns two data centres", "+a5,+b6", 2, "[c]"},
		{"concerns all data centres", "+a5,+b6 +c7", 3, "[]"},
		{"concerns an unknown data centre", "+x5", 1, "[a b c]"},
		{"is not ended by a list that is older than the order", "+b5 []5", 1, "[a c]"},
		{"is ended by a list after the compaction of its removal", "+a4,+b5 [+a4]9", 3, "[b c]"},
		{"is not begun again by a list that is older than its end", "+b5,-b7 [+b5]6", 2, "[a b c]"},
		{"is not begun again by a list that is older than the one that ended it", "+b5 []9 [+b5]7", 2, "[a b c]"},
		{"begins by a record of a list that is newer than the end of the list", "[+b10]9 []8", 1, "[a c]"},
	}
	for _, c := range cases {
		It(c.name, func() {
			v, changes := directory.NewView(), 0
			for _, dc := range []oleanderspool.DataCentreID{"a", "b", "c"} {
				v.Register(directory.Change{Instance: oleanderspool.InstanceID(dc), Server: &directory.Server{Service: "s", DataCentre: dc}})
			}
			for batch := range strings.FieldsSeq(c.batches) {
				if list, end, found := strings.Cut(strings.TrimPrefix(batch, "["), "]"); found {
					changes += len(v.ConfigureFromList(orders(list), orders("+b" + end)[0].Offset))
				} else {
					changes += len(v.Configure(orders(batch)...))
				}
			}
			left := []oleanderspool.DataCentreID{}
			for _, s := range v.Snapshot().Servers("s") {
				left = append(left, s.DataCentre)
			}
			Expect(fmt.Sprint(left)).To(Equal(c.left))
			Expect(changes).To(Equal(c.changes))
			Expect(v.Snapshot().AllEvacuated("s")).To(Equal(c.left == "[]"))
		})
	}

	// Guards against an entry that starts and places a request between its configuration
	// and the evacuations that came with it.
	It("becomes visible together with the configuration of its batch", func() {
		for range 300 {
			v, first := directory.NewView(), make(chan *directory.Snapshot, 1)
			go func() {
				for v.Snapshot().Configuration == nil {
				}
				first <- v.Snapshot()
			}()
			configuration := directory.Change{Configuration: directory.NewConfiguration(1, directory.Limits{}, nil, nil, nil), Offset: 1}
			v.ConfigureFromList(append([]directory.Change{configuration}, orders("+a2,+b3,+c4,+d5,+e6,+f7")...), 30)
			Expect((<-first).Evacuated()).To(HaveLen(6))
		}
	})
})
