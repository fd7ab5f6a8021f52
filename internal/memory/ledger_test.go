package memory_test

import (
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

func attempt(name string, tokens int64) memory.Reservation {
	return memory.Reservation{Name: name, Purpose: memory.PurposeAttempt, Tokens: tokens}
}

func listAt(requested oleanderspool.Millis, allocations ...oleanderspool.MemoryAllocation) memory.List {
	return memory.List{Allocations: allocations, RequestedAt: requested, RunID: "run1"}
}

func newLedger() *memory.Ledger {
	l := memory.NewLedger(1000, memory.WithListLag(100), memory.WithMissingTimeout(500), memory.WithCancelInterval(50))
	l.ObserveRun(1000, "run1", 0)
	return l
}

// Guards against memory that is reserved twice, beyond the size, or without a
// valid purpose.
var _ = Describe("Ledger.Reserve", func() {
	cases := []struct {
		name        string
		reservation memory.Reservation
		want        *errorx.Type
	}{
		{"a reservation that fits", attempt("b", 600), nil},
		{"a reservation of more than is free", attempt("b", 601), memory.ErrNoMemory},
		{"a reservation of more than the engine has", attempt("b", 1001), memory.ErrTooLarge},
		{"a reservation under a name in use", attempt("a", 1), memory.ErrNameInUse},
		{"a reservation of no tokens", attempt("b", 0), memory.ErrInvalid},
		{"a reservation without a name", attempt("", 1), memory.ErrInvalid},
		{"a reservation for the purpose reclaim", memory.Reservation{Name: "b", Purpose: memory.PurposeReclaim, Tokens: 1}, memory.ErrInvalid},
	}
	for _, c := range cases {
		It("checks "+c.name, func() {
			l := newLedger()
			Expect(l.Reserve(attempt("a", 400), 0)).To(Succeed())
			err := l.Reserve(c.reservation, 0)
			Expect(l.Check()).To(Succeed())
			if c.want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(errorx.IsOfType(err, c.want)).To(BeTrue(), "%v", err)
		})
	}
})

var _ = Describe("Ledger", func() {
	// Guards against memory that is reserved again before the engine has freed
	// it.
	It("does not free released memory until the cancel is confirmed", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 1000), 0)).To(Succeed())
		l.Release("a", 10)
		Expect(l.Free()).To(BeZero())
		cancels := l.Cancels(10)
		Expect(cancels).To(HaveLen(1))
		Expect(l.Cancels(59)).To(BeEmpty())
		Expect(l.Cancels(60)).To(HaveLen(1), "lost cancels are repeated")
		l.Confirm(cancels[0], 70)
		Expect(l.Free()).To(Equal(int64(1000)))
	})

	// Guards against a late confirmation that frees a newer reservation.
	It("ignores the confirmation of an earlier reservation of the name", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 0)).To(Succeed())
		l.Release("a", 0)
		old := l.Cancels(0)[0]
		l.Confirm(old, 1)
		Expect(l.Reserve(attempt("a", 20), 2)).To(Succeed())
		l.Release("a", 3)
		l.Confirm(old, 4)
		Expect(l.ReservedFor(memory.PurposeReclaim)).To(Equal(int64(20)))
	})

	// Guards against an unfinished import that holds memory forever.
	It("releases reservations that have expired, unless they were extended or transferred", func() {
		l := newLedger()
		for _, name := range []string{"a", "b", "c"} {
			r := memory.Reservation{Name: name, Purpose: memory.PurposeImport, Tokens: 10, Expiry: 100}
			Expect(l.Reserve(r, 0)).To(Succeed())
		}
		Expect(l.Extend("b", 200)).To(Succeed())
		Expect(l.Transfer("c", memory.PurposeAttempt, 0)).To(Succeed())
		Expect(l.Expire(99)).To(BeEmpty())
		expired := l.Expire(100)
		Expect(expired).To(HaveLen(1))
		Expect(expired[0].Name).To(Equal("a"))
		Expect(l.Expire(1000)).To(HaveLen(1))
		Expect(l.ReservedFor(memory.PurposeAttempt)).To(Equal(int64(10)))
	})

	It("is rebuilt from the engine's list and cancels all memory on it", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 0)).To(Succeed())
		l.Rebuild(500, listAt(0, oleanderspool.MemoryAllocation{Owner: "x", Tokens: 400}), 0)
		Expect(l.Check()).To(Succeed())
		Expect(l.Free()).To(Equal(int64(100)))
		Expect(l.Cancels(0)).To(HaveLen(1))
	})

	// Guards against memory that stays accounted for after the engine lost it.
	It("is emptied when the engine restarts", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 0)).To(Succeed())
		Expect(l.ObserveRun(900, "run2", 5)).To(HaveLen(1))
		Expect(l.Free()).To(Equal(int64(900)))
		stale := listAt(4, oleanderspool.MemoryAllocation{Owner: "a", Tokens: 10})
		Expect(l.Reconcile(stale, 6)).To(BeEmpty())
		Expect(l.Free()).To(Equal(int64(900)))
	})
})

// Guards against cancelling new reservations and against keeping memory that
// has no reservation.
var _ = Describe("Ledger.Reconcile", func() {
	It("cancels memory without a reservation and repeats the cancel until it is confirmed", func() {
		l := newLedger()
		l.Reconcile(listAt(200, oleanderspool.MemoryAllocation{Owner: "x", Tokens: 300}), 210)
		Expect(l.Free()).To(Equal(int64(700)))
		Expect(l.Cancels(210)).To(HaveLen(1))
		Expect(l.Cancels(260)).To(HaveLen(1))
	})

	It("does not release reservations that are newer than the list", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 150)).To(Succeed())
		l.Reconcile(listAt(200), 210)
		Expect(l.Reconcile(listAt(240), 5000)).To(BeEmpty())
	})

	It("releases reservations that stay absent from the list for the missing timeout", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 0)).To(Succeed())
		Expect(l.Reconcile(listAt(200), 200)).To(BeEmpty())
		Expect(l.Reconcile(listAt(600), 600)).To(BeEmpty())
		Expect(l.Reconcile(listAt(700), 700)).To(HaveLen(1))
		Expect(l.ReservedFor(memory.PurposeReclaim)).To(Equal(int64(10)))
	})

	It("resets the missing timeout once a reservation is listed again", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 0)).To(Succeed())
		l.Reconcile(listAt(200), 200)
		l.Reconcile(listAt(400, oleanderspool.MemoryAllocation{Owner: "a", Tokens: 10}), 400)
		Expect(l.Reconcile(listAt(800), 800)).To(BeEmpty())
	})

	It("does not bring back memory that was freed after the list was taken", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 0)).To(Succeed())
		l.Finished("a", 150)
		l.Reconcile(listAt(200, oleanderspool.MemoryAllocation{Owner: "a", Tokens: 10}), 210)
		Expect(l.Free()).To(Equal(int64(1000)))
	})

	It("treats a later list without the name as the confirmation of its cancel", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 10), 0)).To(Succeed())
		l.Release("a", 10)
		l.Cancels(10)
		l.Reconcile(listAt(100), 100)
		Expect(l.Free()).To(Equal(int64(990)), "the list may be older than the cancel")
		l.Reconcile(listAt(110), 110)
		Expect(l.Free()).To(Equal(int64(1000)))
	})

	It("accounts for memory beyond the size and has nothing available until it is freed", func() {
		l := newLedger()
		Expect(l.Reserve(attempt("a", 900), 0)).To(Succeed())
		l.Reconcile(listAt(200, oleanderspool.MemoryAllocation{Owner: "x", Tokens: 300}), 210)
		Expect(l.Free()).To(Equal(int64(-200)))
		Expect(l.Available(210)).To(BeZero())
		Expect(l.Check()).To(Succeed())
	})
})
