package directory_test

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A view", func() {
	version := func(n int64) *directory.Configuration {
		return directory.NewConfiguration(n, directory.Limits{}, nil, nil, nil)
	}
	server := func(id string) *directory.Server {
		return &directory.Server{Instance: oleanderspool.InstanceID(id), Service: "s", Address: "10.0.0.1:80", Started: 1}
	}

	// Guards against a read of old records that replaces the current configuration by
	// an older one.
	It("never replaces a configuration by an older one", func() {
		steps := []struct {
			version int64
			offset  oleanderspool.Offset
			applied bool
		}{
			{5, 10, true}, {4, 9, false}, {5, 10, false}, {4, 11, false}, {6, 8, false}, {7, 12, true}, {6, 11, false},
		}
		v := directory.NewView()
		for _, s := range steps {
			Expect(v.Configure(version(s.version), s.offset)).To(Equal(s.applied), "%+v", s)
		}
		Expect(v.Snapshot().Configuration.Version).To(Equal(int64(7)))
	})

	// Guards against an old record that brings a removed server back.
	It("does not use a removed server again because of an older record", func() {
		v := directory.NewView()
		v.Register("a", server("a"), 3)
		v.Register("a", nil, 5)
		v.Register("a", server("a"), 4)
		Expect(v.Snapshot().Servers("s")).To(BeEmpty())
		v.Register("a", server("a"), 6)
		Expect(v.Snapshot().Servers("s")).To(HaveLen(1))
	})

	// Guards against removing a server that registered after a list was made, and
	// against keeping one whose record was compacted away.
	It("removes the servers that a complete list lacks, except those registered after it", func() {
		v := directory.NewView()
		v.Register("old", server("old"), 3)
		v.Register("new", server("new"), 8)
		Expect(v.RemoveUnlisted(map[oleanderspool.InstanceID]bool{}, 6)).To(Equal([]oleanderspool.InstanceID{"old"}))
		Expect(v.Snapshot().Servers("s")).To(HaveLen(1))
	})

	It("keeps the latest instant of confirmation", func() {
		v := directory.NewView()
		v.Confirm(7)
		v.Confirm(5)
		Expect(v.ConfirmedAt()).To(Equal(oleanderspool.Millis(7)))
	})
})

var _ = Describe("The age of the confirmation", func() {
	// Guards against a process that accepts keys in its first seconds although it has
	// not confirmed them: its clock starts near 0, so the age would be small.
	It("exceeds every limit before the first confirmation", func() {
		v := directory.NewView()
		Expect(v.ConfirmationAge(1000)).To(BeNumerically(">", oleanderspool.Hour))
		v.Confirm(900)
		Expect(v.ConfirmationAge(1000)).To(BeEquivalentTo(100))
		v.Confirm(800)
		Expect(v.ConfirmationAge(1000)).To(BeEquivalentTo(100))
	})
})
