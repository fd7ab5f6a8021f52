package attempt_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

// The cases of ParseID guard against IDs with different spellings of the same
// instant, which would give one attempt two start windows.
var _ = Describe("ParseID and ParseState", func() {
	cases := []struct {
		id     oleanderspool.AttemptID
		class  attempt.Class
		issued oleanderspool.Millis
		ok     bool
	}{
		{attempt.NewID(attempt.ClassKeyed, 12, "e1.7"), attempt.ClassKeyed, 12, true},
		{attempt.NewID(attempt.ClassUnkeyed, 0, "x"), attempt.ClassUnkeyed, 0, true},
		{"k.012.x", 0, 0, false},
		{"k.+12.x", 0, 0, false},
		{"k.-12.x", 0, 0, false},
		{"k.12.", 0, 0, false},
		{"k.12", 0, 0, false},
		{"x.12.y", 0, 0, false},
		{"", 0, 0, false},
	}
	for _, c := range cases {
		It("ParseID returns the parts of a valid ID and rejects others: "+string(c.id), func() {
			class, issued, ok := attempt.ParseID(c.id)
			Expect(ok).To(Equal(c.ok))
			Expect(class).To(Equal(c.class))
			Expect(issued).To(Equal(c.issued))
		})
	}

	It("ParseState returns each state from its wire name", func() {
		for s := attempt.StateForgotten; s <= attempt.StateOtherIncarnation; s++ {
			Expect(attempt.ParseState(s.String())).To(Equal(s))
		}
		Expect(attempt.ParseState("new")).To(Equal(attempt.StateForgotten))
	})
})
