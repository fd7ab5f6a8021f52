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

// TestResolversAgainstOracle guards P4 and P5: several entries and agents run
// keyed requests under faults, and the world compares what they do with the
// set of keys that have run and the submissions that were told "not run".
func TestResolversAgainstOracle(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, seen)
		actions := map[string]func(*rapid.T){}
		for name, f := range map[string]func(){
			"submit": w.submit, "submit_again": w.submit, "append": w.beginAppend, "append_ends": w.endAppend,
			"read": w.read, "deliver": w.deliver, "duplicate": w.duplicate, "deliver_delayed": w.deliverDelayed, "drop": w.drop, "not_sent": w.notSent,
			"silent": w.silent, "unreachable": w.unreachable, "work": w.work, "work_more": w.work, "gossip": w.gossip,
			"kill_entry": w.killEntry, "kill_agent": w.killAgent, "pause": w.pause, "outage": w.toggleOutage,
			"late_append": w.landLate, "retention": w.retain, "advance": w.advance,
			"progress": w.progressAndWork, "progress_more": w.progressAndWork, "progress_again": w.progress,
		} {
			actions[name] = func(t *rapid.T) { w.t = t; f() }
		}
		t.Repeat(actions)
		w.t = t
		w.heal()
	})
	t.Log(seen)
	for _, outcome := range []string{"served", "replayed", "not_run", "may_have_run", "ran", "superseded", "expired", "retained", "late"} {
		if seen[outcome] == 0 {
			t.Errorf("no run came to %q", outcome)
		}
	}
}

// submission is one arrival of a keyed request at an entry.
type submission struct {
	number   int
	key      string
	print    int
	entry    *entry
	resolver *claim.Resolver
	asked    claim.Claim // claim that the last message to an agent was about
	at       oleanderspool.Millis
	refused  bool
	notRun   bool // the caller was told "not run"
	closed   bool // the caller has an answer, or the entry was killed
}

// message is a request to an agent, or its reply.
type message struct {
	to         *submission
	ask        claim.Decision
	reply      claim.Event
	text       string // of a finished answer
	duplicated bool
}

func (s *submission) String() string {
	return fmt.Sprintf("submission %d of %s", s.number, s.key)
}
