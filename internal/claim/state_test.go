package claim_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

// Each session guards against readers that disagree on the current claim of a
// key, or against a key that counts as unclaimed although it may be claimed.
var _ = Describe("State", func() {
	type step struct {
		at     oleanderspool.Millis
		offset oleanderspool.Offset
		before oleanderspool.Offset
		claims []claim.Claim
		data   string // of the record, instead of the claims
		stale  bool   // the claims are based on the state before any record
		head   oleanderspool.Offset
	}
	singleClaim := func(key, attempt, supersedes string) []claim.Claim {
		return []claim.Claim{newClaim(key, attempt, supersedes)}
	}
	sessions := []struct {
		name  string
		steps []step
	}{
		{"first_valid_wins", []step{
			{at: 1, offset: 1, claims: []claim.Claim{newClaim("k", "a", ""), newClaim("k", "b", "")}},
			{at: 2, offset: 2, claims: singleClaim("k", "c", "x")},
			{at: 3, offset: 3, claims: singleClaim("k", "d", "a")},
			{at: 4, offset: 4, claims: singleClaim("k", "e", "a")},
			{at: 5, offset: 4, claims: singleClaim("k", "f", "d")},
			{at: 6, offset: 5, claims: singleClaim("k", "d", "a")},
		}},
		{"expiry", []step{
			{at: 0, offset: 1, claims: singleClaim("k", "a", ""), head: 1},
			{at: 59999, offset: 2, claims: singleClaim("k2", "b", "")},
			{at: 60467, head: 2},
			{at: 60468, head: 2},
			{at: 60470, offset: 3, before: 0, claims: singleClaim("k", "c", "")},
			{at: 60471, offset: 4, before: 2, claims: singleClaim("k", "d", "")},
			{at: 200000, offset: 5, before: 99, claims: singleClaim("k3", "e", "gone")},
		}},
		{"retention", []step{
			{at: 0, offset: 5, claims: singleClaim("k", "a", ""), head: 5},
			{at: 60000, offset: 9, claims: singleClaim("k", "b", ""), head: 9},
		}},
		{"all_records_deleted", []step{
			{at: 0, offset: 5, claims: singleClaim("k", "a", ""), head: 5},
			{at: 60000, head: 9},
			{at: 60001, head: 12},
			{at: 60002, head: 12},
			{at: 60003, offset: 12, claims: singleClaim("k", "b", ""), head: 12},
		}},
		{"claim_from_before_a_gap", []step{
			{at: 0, offset: 5, claims: singleClaim("k", "a", ""), head: 5},
			{at: 60000, offset: 9, claims: singleClaim("k", "b", ""), head: 9, stale: true},
			{at: 60001, offset: 10, claims: singleClaim("k", "c", "b"), head: 10},
		}},
		{"early_gap", []step{
			{at: 0, offset: 1, claims: singleClaim("k", "a", ""), head: 1},
			{at: 59999, offset: 3, claims: singleClaim("k", "b", "a")},
			{at: 119998, offset: 4, claims: singleClaim("k3", "c", "")},
			{at: 119999, offset: 5, claims: singleClaim("k", "d", "")},
		}},
		{"skipped_records", []step{
			{at: 0, offset: 1, data: "garbage"},
			{at: 1, offset: 2, claims: singleClaim("k", "a", "")},
			{at: 2, offset: 3, data: `{"version":2}`},
			{at: 3, offset: 4, claims: singleClaim("k", "b", "a")},
		}},
	}
	for _, c := range sessions {
		It("applies records as recorded in golden file state_"+c.name, func() {
			s := claim.NewState(limits)
			var lines []string
			for _, p := range c.steps {
				line := fmt.Sprintf("%6d", p.at)
				if p.offset > 0 {
					data := []byte(p.data)
					for i := range p.claims {
						if !p.stale {
							p.claims[i].BasedOn = p.offset - 1
						}
					}
					if p.data == "" {
						data = encode(p.before, p.claims...)
					}
					applied := s.Apply(oleanderspool.Record{Offset: p.offset, Data: data}, p.at)
					line += fmt.Sprintf("  offset %d: valid %d, skipped %t", p.offset, applied.Valid, applied.Err != nil)
					if applied.Gap != nil {
						line += fmt.Sprintf(", gap %+v", *applied.Gap)
					}
				}
				if gap := s.FinishRead(min(1, int(p.offset)), max(p.head, p.offset), p.at); gap != nil {
					line += fmt.Sprintf("  end of read: gap %+v", *gap)
				}
				current, ok := s.Current(newClaim("k", "", "").Key, p.at)
				lines = append(lines, line, fmt.Sprintf("        k: %t %q at %d, doubtful %t; expired before %d, incomplete for %d, %d claims",
					ok, current.Claim.Attempt, current.Offset, current.Doubtful, s.ExpiredBefore(p.at), s.IncompleteFor(p.at), s.Claims()))
			}
			expectGolden("state_"+c.name, append(lines, fmt.Sprintf("%+v", s.Counts())))
		})
	}
})
