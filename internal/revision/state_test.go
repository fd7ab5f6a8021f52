package revision

import (
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

func stateAt(ids ...string) *State {
	s := &State{}
	for i, id := range ids {
		change := priorityChange(id)
		change.Puts[0].Revision = s.Revision()
		data, err := change.Print()
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Apply(oleanderspool.Record{Offset: oleanderspool.Offset(i + 1), Data: data})
		Expect(err).NotTo(HaveOccurred())
	}
	return s
}

var _ = Describe("State", func() {
	// Guards against a state that skips records or stops at a malformed one.
	It("reports a gap and ignores records that it has applied", func() {
		s := stateAt("a", "b")
		_, err := s.Apply(oleanderspool.Record{Offset: 4})
		Expect(err).To(Equal(&GapError{Expected: 3, Found: 4}))
		Expect(s.Position()).To(Equal(oleanderspool.Offset(2)))
		d, err := s.Apply(oleanderspool.Record{Offset: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Verdict).To(Equal(Ignored))
		d, err = s.Apply(oleanderspool.Record{Offset: 3, Data: []byte("[")})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Verdict).To(Equal(Rejected))
		Expect(d.Findings).NotTo(BeEmpty())
		Expect(s.Position()).To(Equal(oleanderspool.Offset(3)))
		Expect(s.Revision()).To(Equal(oleanderspool.Revision(2)))
	})

	// Guards against rejected input that stays in memory.
	It("rejects a record that is too large and does not keep it", func() {
		s := stateAt("a")
		d, err := s.Apply(oleanderspool.Record{Offset: 2, Data: make([]byte, maxRecordBytes+1)})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Findings).To(HaveLen(1))
		Expect(s.tail.bytes).To(BeNumerically("<", 1000))
	})

	// Guards against IDs of unlimited length in memory and in snapshots.
	It("does not keep the decision about a change with an invalid ID", func() {
		s := stateAt("a")
		d, err := s.Apply(oleanderspool.Record{Offset: 2, Data: []byte(`{"format":1,"id":"` + strings.Repeat("x", 1000) + `","puts":[],"deletes":[]}`)})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Verdict).To(Equal(Rejected))
		Expect(d.Change).To(BeEmpty())
		Expect(s.decisions.byChange).To(HaveLen(1))
	})

	// Guards against a damaged snapshot that is partly applied, and against an
	// older one that moves the state back.
	It("keeps its state when a snapshot is damaged, older or contradictory", func() {
		body := func(s *State) string {
			_, rest, _ := strings.Cut(string(s.Snapshot().Data), "\n")
			return rest
		}
		newer := body(stateAt("a", "b", "c"))
		cases := []struct {
			name, data string
			valid      bool
		}{
			{"an older snapshot", body(stateAt("a")), true},
			{"the same snapshot", body(stateAt("a", "b")), true},
			{"no header line", "{}", false},
			{"an unknown format", strings.Replace(newer, `"format":1`, `"format":2`, 1), false},
			{"an unknown key", strings.Replace(newer, `"format":1`, `"format":1,"x":1`, 1), false},
			{"a revision after the position", strings.Replace(newer, `"revision":3`, `"revision":9`, 1), false},
			{"a revision older than that of the state", strings.Replace(newer, `"revision":3`, `"revision":1`, 1), false},
			{"a malformed digest", strings.Replace(newer, `"digest":"`, `"digest":"x`, 1), false},
			{"decisions out of order", strings.Replace(newer, `"offset":2`, `"offset":1`, 1), false},
			{"a truncated configuration", newer[:len(newer)-10], false},
			{"an invalid configuration", strings.Replace(newer, `"level":0`, `"level":-1`, 1), false},
		}
		for _, c := range cases {
			s := stateAt("a", "b")
			before := string(s.Snapshot().Data)
			restored, err := s.Restore(Snapshot{Data: prependChecksum([]byte(c.data))})
			Expect(restored).To(BeFalse(), c.name)
			Expect(err == nil).To(Equal(c.valid), "%s: %v", c.name, err)
			Expect(string(s.Snapshot().Data)).To(Equal(before), c.name)
		}
	})

	// Guards against a snapshot that was truncated or corrupted in transit and
	// still counts as written.
	It("detects any damage to a snapshot without restoring it", func() {
		data := stateAt("a", "b").Snapshot().Data
		for i := range data {
			_, err := ParseSnapshot(data[:i])
			Expect(err).To(HaveOccurred())
			changed := slices.Clone(data)
			changed[i] ^= 1
			_, err = ParseSnapshot(changed)
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against a response with only rejected records that the peer already
	// has, after which the peer would request the same again.
	It("advances a peer past many rejected records", func() {
		from, to := stateAt("a"), stateAt("a")
		for offset := oleanderspool.Offset(2); offset < 100; offset++ {
			record := oleanderspool.Record{Offset: offset, Data: []byte(strings.Repeat("x", 100))}
			_, _ = from.Apply(record)
			_, _ = to.Apply(record)
		}
		data, err := priorityChange("b").Print()
		Expect(err).NotTo(HaveOccurred())
		_, err = from.Apply(oleanderspool.Record{Offset: 100, Data: data})
		Expect(err).NotTo(HaveOccurred())
		_, err = to.ApplyCatchUp(from.CatchUp(to.Position(), 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(to.Position()).To(Equal(oleanderspool.Offset(100)))
	})

	// Guards against records that are applied after a gap.
	It("reports a gap in the records that a peer sent", func() {
		s := stateAt("a")
		_, err := s.ApplyCatchUp(CatchUp{Records: []oleanderspool.Record{{Offset: 2}, {Offset: 4}}})
		Expect(err).To(Equal(&GapError{Expected: 3, Found: 4}))
		Expect(s.Position()).To(Equal(oleanderspool.Offset(2)))
	})
})

// Guards against snapshots that are written too late, when records that a
// starting process needs have already expired, and against entries that all
// write one at the same time.
var _ = Describe("SnapshotSchedule", func() {
	const retention = 1000 * oleanderspool.Second
	It("is due between a quarter and half of the retention after the newest snapshot", func() {
		due := map[oleanderspool.Millis]bool{}
		for _, instance := range []oleanderspool.InstanceID{"a", "b", "c", "d"} {
			s := NewSnapshotSchedule(retention, instance, 0)
			s.RecordSnapshot(1, 0)
			at := oleanderspool.Millis(0)
			for !s.Due(1, at) {
				at += oleanderspool.Second
			}
			Expect(at).To(BeNumerically(">=", retention/4))
			Expect(at).To(BeNumerically("<=", retention/2))
			due[at] = true
		}
		Expect(len(due)).To(BeNumerically(">", 1))
	})
	It("is due within a quarter of the retention after the start, and again after a failed attempt", func() {
		s := NewSnapshotSchedule(retention, "a", 0)
		Expect(s.Due(0, retention)).To(BeFalse())
		Expect(s.Due(1, retention/4)).To(BeTrue())
		s.RecordAttempt(retention / 4)
		Expect(s.Due(1, retention/4+1)).To(BeFalse())
		Expect(s.Due(1, retention/4+snapshotRetryDelay)).To(BeTrue())
		s.RecordSnapshot(1, retention/2)
		Expect(s.Due(1, retention/2+snapshotRetryDelay)).To(BeFalse())
	})
	It("is due after many records, regardless of their age", func() {
		s := NewSnapshotSchedule(retention, "a", 0)
		s.RecordSnapshot(1, 0)
		Expect(s.Due(snapshotRecordInterval, 0)).To(BeFalse())
		Expect(s.Due(2*snapshotRecordInterval+1, 0)).To(BeTrue())
	})
})
