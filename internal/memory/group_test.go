package memory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/memory"
)

func newGroup(options ...memory.GroupOption) *memory.Group {
	members := []memory.GroupMember{{Instance: "b", Tokens: 500}, {Instance: "a", Tokens: 500}}
	return memory.NewGroup("g", members, 100_000, 0, options...)
}

var _ = Describe("Group", func() {
	It("requests memory from the members of a group in order of instance, and reserves all or nothing", func() {
		g := newGroup()
		first := g.Tick(0)
		Expect(first).To(HaveLen(1))
		Expect(string(first[0].Instance)).To(Equal("a"))
		second := g.Granted(first[0], 10)
		Expect(string(second[0].Instance)).To(Equal("b"))
		released := g.Refused(second[0], 20)
		Expect(released).To(HaveLen(1))
		Expect(released[0].Release && released[0].WillRetry).To(BeTrue())
		Expect(g.State()).To(Equal(memory.GroupWaiting))
		again := g.Tick(1100)
		Expect(again[len(again)-1].Round).To(Equal(int64(2)))
		Expect(again[len(again)-1].Age).To(BeEquivalentTo(1100))
	})

	// Guards against memory that stays reserved after a late grant.
	It("releases the memory that a late reply grants to an earlier round", func() {
		g := newGroup()
		request := g.Tick(0)[0]
		Expect(g.Tick(1000)).To(HaveLen(1), "the reply is overdue")
		late := g.Granted(request, 1100)
		Expect(late).To(HaveLen(1))
		Expect(late[0].Release).To(BeTrue())
		Expect(g.State()).To(Equal(memory.GroupWaiting))
	})

	// Guards against work that starts on memory whose reservation has expired.
	It("ends a group when a grant is not renewed before it expires at the member", func() {
		g := newGroup(memory.WithGroupLease(3000))
		b := g.Granted(g.Tick(0)[0], 900)
		g.Granted(b[0], 950)
		Expect(g.State()).To(Equal(memory.GroupReserved))
		Expect(g.Tick(1000)).To(HaveLen(1), "renewal of a")
		g.Tick(2999)
		Expect(g.State()).To(Equal(memory.GroupReserved))
		released := g.Tick(3000)
		Expect(g.EndReason()).To(Equal(memory.EndMemberLost))
		Expect(released).NotTo(BeEmpty())
	})

	It("releases the memory of all members when one dies, and repeats lost releases", func() {
		g := newGroup()
		b := g.Granted(g.Tick(0)[0], 1)
		g.Granted(b[0], 2)
		released := g.MemberLost("a", 3)
		Expect(released).To(HaveLen(2))
		Expect(g.Tick(500)).To(BeEmpty())
		g.Released(released[0])
		Expect(g.Tick(1003)).To(HaveLen(1))
		Expect(g.Settled()).To(BeFalse())
		g.Tick(20_000)
		Expect(g.Settled()).To(BeTrue(), "the reservation has expired by then")
	})

	It("ends a group at its deadline", func() {
		g := newGroup()
		g.Tick(0)
		g.Tick(100_000)
		Expect(g.EndReason()).To(Equal(memory.EndDeadline))
	})
})

// Guards against starvation of the oldest group, and against groups that block
// others although their entry has died.
var _ = Describe("Ledger.ReserveGroup", func() {
	ask := func(group string, round int64, tokens int64) memory.GroupRequest {
		return memory.GroupRequest{Group: group, Round: round, Tokens: tokens, Lease: 1000}
	}
	var l *memory.Ledger
	BeforeEach(func() {
		l = memory.NewLedger(1000, memory.WithHoldBackTimeout(3000))
		Expect(l.Reserve(attempt("busy", 800), 0)).To(Succeed())
		Expect(l.ReserveGroup(ask("old", 1, 900), 0).Granted).To(BeFalse())
	})

	It("holds back freed memory for the oldest waiting group until that group has not tried again for too long", func() {
		Expect(l.Reserve(attempt("new", 100), 1)).NotTo(Succeed())
		Expect(l.ReserveGroup(ask("young", 1, 100), 1).Granted).To(BeFalse())
		Expect(l.Available(2999)).To(BeZero())
		Expect(l.Available(3000)).To(Equal(int64(100)), "the young group is now the oldest")
		Expect(l.Available(3001)).To(Equal(int64(200)))
	})

	It("grants memory to the oldest waiting group first and then to the next", func() {
		l.Finished("busy", 10)
		Expect(l.ReserveGroup(ask("young", 1, 500), 20).Granted).To(BeFalse())
		Expect(l.ReserveGroup(ask("old", 2, 900), 30).Granted).To(BeTrue())
		l.ReleaseGroup("old", 2, false, 40)
		l.Confirm(l.Cancels(40)[0], 50)
		Expect(l.ReserveGroup(ask("young", 2, 500), 60).Granted).To(BeTrue())
	})

	It("grants memory to a group that is older than the waiting one", func() {
		r := ask("older", 1, 200)
		r.Age = 500
		Expect(l.ReserveGroup(r, 1).Granted).To(BeTrue())
	})

	It("does not grant a round whose release arrived before its request", func() {
		l.ReleaseGroup("late", 3, false, 5000)
		Expect(l.ReserveGroup(ask("late", 3, 10), 5001).Granted).To(BeFalse())
		Expect(l.ReserveGroup(ask("late", 4, 10), 5002).Granted).To(BeTrue())
	})

	It("extends the reservation of a round but does not renew one that has expired", func() {
		Expect(l.ReserveGroup(ask("g", 1, 100), 5000).Granted).To(BeTrue())
		Expect(l.ReserveGroup(ask("g", 1, 100), 5900).Granted).To(BeTrue())
		Expect(l.Expire(6899)).To(BeEmpty())
		Expect(l.Expire(6900)).To(HaveLen(1))
		Expect(l.ReserveGroup(ask("g", 1, 100), 6901).Granted).To(BeFalse())
	})

	// Guards against a table that grows with each group whose entry has died.
	It("forgets a group that held memory and sent no further message", func() {
		Expect(l.ReserveGroup(ask("dead", 1, 100), 5000).Granted).To(BeTrue())
		Expect(l.Expire(6000)).To(HaveLen(1))
		l.ReserveGroup(ask("other", 1, 1), 70_000)
		Expect(l.Groups()).To(Equal(1))
	})

	It("releases the memory of a group that it has forgotten", func() {
		Expect(l.ReserveGroup(ask("forgotten", 1, 100), 5000).Granted).To(BeTrue())
		Expect(l.Transfer("forgotten#1", memory.PurposeAttempt, 0)).To(Succeed())
		l.ReserveGroup(ask("other", 1, 1), 70_000)
		l.ReleaseGroup("forgotten", 1, false, 70_001)
		Expect(l.ReservedFor(memory.PurposeReclaim)).To(Equal(int64(100)))
	})
})
