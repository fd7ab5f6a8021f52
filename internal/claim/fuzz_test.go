package claim_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/claim"
	"github.com/oleanderspool/oleanderspool/internal/fuzz"
)

func init() { fuzz.Configure(1000, 400) }

// TestResolversAgainstOracle guards against a key that runs twice within its
// lifetime and against an untrue "not run" (promises P4 and P5). Several
// simulated entries and agents run keyed requests under faults. The simulation
// checks each run: no other attempt of the key ran within the key lifetime, and
// the caller of its submission was not refused with "not run".
func TestResolversAgainstOracle(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(t, outcomes)
		actions := map[string]func(*rapid.T){}
		for name, f := range map[string]func(){
			"submit": sm.submit, "submit_again": sm.submit, "append": sm.beginAppend, "append_ends": sm.endAppend,
			"read": sm.read, "deliver": sm.deliver, "duplicate": sm.duplicate, "deliver_delayed": sm.deliverDelayed, "drop": sm.drop, "not_sent": sm.notSent,
			"stream_timeout": sm.timeOutStreams, "unreachable": sm.unreachable, "work": sm.work, "work_more": sm.work, "gossip": sm.gossip,
			"kill_entry": sm.killEntry, "kill_agent": sm.killAgent, "pause": sm.pause, "outage": sm.toggleOutage,
			"late_append": sm.completeLateAppend, "retention": sm.applyRetention, "advance": sm.advance,
			"progress": sm.progressAndWork, "progress_more": sm.progressAndWork, "progress_again": sm.progress,
		} {
			actions[name] = func(t *rapid.T) { sm.t = t; f() }
		}
		t.Repeat(actions)
		sm.t = t
		sm.endFaults()
	})
	t.Log(outcomes)
	for _, outcome := range []string{"served", "shared_answer", "not_run", "may_have_run", "ran", "superseded", "expired", "gap", "late"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no simulation reached outcome %q", outcome)
		}
	}
}

// submission is one arrival of a keyed request at an entry.
type submission struct {
	number      int
	key         string
	fingerprint int
	entry       *entry
	resolver    *claim.Resolver
	target      claim.Claim // claim named in the last message to an agent
	arrivedAt   oleanderspool.Millis
	refused     bool
	notRun      bool // the caller was refused with "not run"
	closed      bool // the caller has an answer or a refusal, or its entry was paused or killed
}

// message is a request to an agent, or its reply.
type message struct {
	submission *submission
	decision   claim.Decision
	reply      claim.Event
	text       string // of the finished answer
	duplicated bool
}

func (s *submission) String() string {
	return fmt.Sprintf("submission %d of %s", s.number, s.key)
}
