package claim_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

// recordRead is a [claim.LogRead] event before which the resolver's state
// applies a record with the claims. Without claims the record follows a gap.
type recordRead struct {
	claim.LogRead
	claims []claim.Claim
}

// Each session guards against a second run, an untrue "not run", or a refusal of
// a request that could be served.
var _ = Describe("Resolver", func() {
	type step struct {
		at    oleanderspool.Millis
		event claim.Event
	}
	chosen := func(id string) claim.Event {
		return claim.ServerChosen{Attempt: oleanderspool.AttemptID(id), Instance: "i2", Incarnation: "n2"}
	}
	replied := func(id string, s attempt.State) claim.Event {
		return claim.Replied{Attempt: oleanderspool.AttemptID(id), State: s}
	}
	record := func(key, id, supersedes string) claim.Event {
		return recordRead{claims: []claim.Claim{newClaim(key, id, supersedes)}}
	}
	otherFingerprint := func(id string) claim.Event {
		c := newClaim("k", id, "")
		c.Fingerprint = 1
		return recordRead{claims: []claim.Claim{c}}
	}
	failed := func(id string, e oleanderspool.Execution) claim.Event {
		refusal := oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "engine").WithExecution(e)
		return claim.Replied{Attempt: oleanderspool.AttemptID(id), State: attempt.StateFailed, Refusal: refusal}
	}
	noServer := claim.NoServerChosen{Refusal: oleanderspool.Refuse(oleanderspool.RefusalNoBackendServer, "none").WithRetryAfter(700)}
	// own ends with the resolver's own claim of attempt a as the current one.
	own := []step{{1, claim.Arrived{}}, {2, chosen("a")}, {3, claim.Appended{Offset: 1}}, {4, record("k", "a", "")}}
	// foreign starts with a current claim of attempt f by another process.
	foreign := []step{{1, record("k", "f", "")}, {2, claim.Arrived{}}}
	sessions := []struct {
		name                  string
		before                []step
		earlierOutcomeUnknown bool
		steps                 []step
	}{
		{"own_claim_wins", own, false, []step{{5, replied("a", attempt.StateRunning)}, {6, claim.StreamTimedOut{Attempt: "a"}}, {7, replied("a", attempt.StateFinished)}}},
		{"foreign_claim_wins", nil, false, []step{{1, claim.Arrived{}}, {2, chosen("a")}, {3, claim.Appended{Offset: 2}}, {4, record("k", "f", "")}, {5, record("k", "a", "")}, {6, replied("f", attempt.StateRunning)}, {7, replied("a", attempt.StateBarred)}, {9000, claim.DeadlinePassed{}}}},
		{"foreign_never_started", foreign, false, []step{{3, replied("f", attempt.StateNotStarted)}, {4, replied("f", attempt.StateBarred)}, {5, chosen("a")}, {6, claim.Appended{Offset: 2}}, {7, record("k", "a", "f")}}},
		{"foreign_starts_before_bar", foreign, false, []step{{3, replied("f", attempt.StateNotStarted)}, {4, replied("f", attempt.StateRunning)}, {5, replied("f", attempt.StateEvicted)}}},
		{"foreign_superseded_meanwhile", foreign, false, []step{{3, replied("f", attempt.StateBarred)}, {4, chosen("a")}, {5, claim.Appended{Offset: 3}}, {6, record("k", "g", "f")}, {7, record("k", "a", "f")}, {8, replied("g", attempt.StateForgotten)}}},
		{"foreign_unreachable", foreign, false, []step{{3, claim.Unreachable{Attempt: "f"}}, {4, replied("f", attempt.StateBarred)}}},
		{"foreign_incarnation_ended", foreign, false, []step{{3, claim.IncarnationChanged{Instance: "i1", Incarnation: "n1"}}, {4, claim.IncarnationChanged{Instance: "i1", Incarnation: "n9"}}}},
		{"instance_removed_after_send", own, false, []step{{5, claim.InstanceRemoved{Instance: "i1"}}, {6, claim.InstanceRemoved{Instance: "i2"}}}},
		{"incarnation_ended_before_send", own[:3], false, []step{{4, claim.IncarnationChanged{Instance: "i2", Incarnation: "n9"}}, {5, record("k", "a", "")}, {6, chosen("b")}, {7, claim.AppendFailed{}}}},
		{"not_sent", own, false, []step{{5, claim.NotSent{Attempt: "a"}}, {6, noServer}}},
		{"foreign_not_reached", foreign, false, []step{{5, claim.NotSent{Attempt: "f"}}}},
		{"agent_refuses", own, false, []step{{5, failed("a", oleanderspool.NotRun)}, {6, chosen("b")}}},
		{"agent_fails", own, false, []step{{5, failed("a", oleanderspool.MayHaveRun)}}},
		{"key_reused", nil, false, []step{{1, otherFingerprint("f")}, {2, claim.Arrived{}}}},
		{"outage_new_key", nil, false, []step{{1, claim.Arrived{LogOutage: true}}, {2, claim.LogOutage{}}, {3, chosen("a")}}},
		{"outage_earlier_outcome_unknown", nil, true, []step{{1, claim.Arrived{LogOutage: true}}}},
		{"outage_known_key", nil, false, []step{{1, record("k", "f", "")}, {2, claim.Arrived{LogOutage: true}}, {3, replied("f", attempt.StateFinished)}}},
		{"outage_while_choosing", own[:1], false, []step{{2, claim.LogOutage{Active: true}}}},
		{"append_failed", own[:2], false, []step{{3, claim.AppendFailed{}}, {4, claim.Appended{Offset: 1}}, {5, record("k", "a", "")}}},
		{"uncertain_appended", own[:2], false, []step{{3, claim.AppendUncertain{}}, {4, claim.LogOutage{Active: true}}, {5, record("k2", "x", "")}, {6, record("k", "a", "")}}},
		{"uncertain_repeated", own[:2], false, []step{{3, claim.AppendUncertain{}}, {1002, claim.LogRead{}}, {1003, claim.LogRead{}}, {1004, claim.AppendFailed{}}, {1005, record("k", "a", "")}}},
		{"uncertain_failed_copy_appended", own[:2], false, []step{{3, claim.AppendUncertain{}}, {1003, claim.LogRead{}}, {1004, record("k", "a", "")}, {1005, claim.AppendFailed{}}}},
		{"own_claim_after_gap", own[:3], false, []step{{4, recordRead{}}, {5, record("k", "a", "")}}},
		{"uncertain_lost", own[:2], false, []step{{3, claim.AppendUncertain{}}, {4, record("k", "f", "")}}},
		{"uncertain_past_deadline", own[:2], false, []step{{3, claim.AppendUncertain{}}, {9000, claim.LogRead{}}, {9001, record("k", "a", "")}}},
		{"paused_past_deadline", own[:3], false, []step{{9000, record("k", "a", "")}, {9001, claim.LogRead{}}}},
		{"catches_up_first", nil, false, []step{{31000, claim.Arrived{}}, {31001, claim.LogRead{}}, {31002, record("k2", "x", "")}}},
		{"gap", nil, false, []step{{1, recordRead{}}, {2, claim.Arrived{}}}},
	}
	for _, c := range sessions {
		It("decides as recorded in golden file resolver_"+c.name, func() {
			state := claim.NewState(limits)
			state.FinishRead(0, 0, 0)
			submission := claim.Submission{Key: newClaim("k", "", "").Key, Fingerprint: newClaim("k", "", "").Fingerprint, Request: "r", Deadline: 9000, EarlierOutcomeUnknown: c.earlierOutcomeUnknown}
			if c.name == "catches_up_first" {
				submission.Deadline = 40000
			}
			r := claim.NewResolver(submission, state, claim.DefaultDelays)
			var lines []string
			for _, p := range append(c.before[:len(c.before):len(c.before)], c.steps...) {
				event := p.event
				if l, ok := event.(recordRead); ok {
					offset := state.Position() + 1
					if l.claims == nil {
						offset++ // retention has deleted the record before
					}
					state.Apply(oleanderspool.Record{Offset: offset, Data: encode(0, l.claims...)}, p.at)
					state.FinishRead(1, offset, p.at)
					lines = append(lines, fmt.Sprintf("%5d  log: %d %v", p.at, offset, l.claims))
					event = l.LogRead
				}
				lines = append(lines, fmt.Sprintf("%5d  %T%+v", p.at, event, event), fmt.Sprintf("         -> %s", r.Handle(event, p.at)))
			}
			expectGolden("resolver_"+c.name, append(lines, fmt.Sprintf("done %t", r.Done())))
		})
	}
})
