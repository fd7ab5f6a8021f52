package claim_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

var _ = Describe("Batcher", func() {
	limits := claim.BatchLimits{MaxClaims: 3, MaxBytes: 1000, MaxAge: 5, MinInterval: 20, MaxPending: 8}

	// Guards against one append per claim, batches above the limits, lost claims
	// and two appends in flight.
	It("batches claims within the limits, with one append in flight", func() {
		b := claim.NewBatcher(limits)
		var lines []string
		addLine := func(now oleanderspool.Millis, format string, args ...any) {
			due, ok := b.Due()
			lines = append(lines, fmt.Sprintf("%4d  %s; %d pending, due %d %t", now, fmt.Sprintf(format, args...), b.Pending(), due, ok))
		}
		next := func(now oleanderspool.Millis) {
			r, ok := b.Next(4, now)
			var attempts []oleanderspool.AttemptID
			for _, c := range r.Claims {
				attempts = append(attempts, c.Attempt[:min(len(c.Attempt), 5)])
			}
			addLine(now, "next: %t %v, expired before %d", ok, attempts, r.ExpiredBefore)
		}
		add := func(now oleanderspool.Millis, ids ...string) {
			for _, id := range ids {
				addLine(now, "add %.5s: %v", id, b.Add(newClaim("k"+id, id, ""), now))
			}
		}
		done := func(now oleanderspool.Millis, result claim.AppendResult) {
			s := b.FinishAppend(result, 9)
			addLine(now, "done: %d claims, %T%+v", len(s.Claims), s.Event(), s.Event())
		}
		add(0, "a", "")
		next(4)
		next(5)
		add(6, "b", "c", "d", "e")
		next(30)
		done(31, claim.ResultAppended)
		next(31)
		done(32, claim.ResultUncertain)
		addLine(33, "withdraw e: %t", b.Withdraw("e"))
		addLine(33, "withdraw b: %t", b.Withdraw("b"))
		add(40, "f", "g", "h", "i", "j", "k", "l", "m", "n")
		next(50)
		next(51)
		done(52, claim.ResultFailed)
		for range 2 {
			next(80)
			done(100, claim.ResultAppended)
			next(100)
			done(120, claim.ResultAppended)
		}
		add(200, fmt.Sprintf("%0900d", 1), "o", fmt.Sprintf("%0900d", 2))
		next(200)
		done(201, claim.ResultAppended)
		next(225)
		done(226, claim.ResultAppended)
		next(245)
		expectGolden("batcher", lines)
	})

	// Guards against more appends than the log can take: 50,000 claims/s with a
	// round trip of 4 ms must need no more than 50 appends/s.
	It("batches 50,000 claims/s into at most 50 appends/s", func() {
		b := claim.NewBatcher(claim.DefaultBatchLimits)
		appends, claims, appendEnd := 0, 0, oleanderspool.Millis(-1)
		for now := range oleanderspool.Millis(1000) {
			for i := range 50 {
				Expect(b.Add(newClaim("k", fmt.Sprint(now, "-", i), ""), now)).To(Succeed())
			}
			if appendEnd == now {
				claims += len(b.FinishAppend(claim.ResultAppended, 1).Claims)
			}
			if _, ok := b.Next(0, now); ok {
				appends++
				appendEnd = now + 4
			}
		}
		Expect(appends).To(BeNumerically("<=", 50))
		Expect(claims).To(BeNumerically(">=", 50*960))
	})
})
