package forward

import (
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

// Guards against crashes that the other entries never receive because too many do not
// fit into one message.
func TestEveryCrashIsReported(t *testing.T) {
	const crashes = 2*maxReportedCrashes + 1
	c := newCrashExchange()
	for i := range crashes {
		c.recordLocal(quarantine.Crash{Server: directory.ServerRun{Started: int64(i)}, Subject: quarantine.Subject{Request: oleanderspool.Fingerprint(i)}, At: 1})
	}
	for _, complete := range []bool{false, true} {
		reported := make(map[oleanderspool.Fingerprint]bool)
		m := gossip.Message{Complete: complete}
		for more := true; more; m.Complete = false {
			m.Crashes = nil
			more = c.takeReport(&m, 2)
			if len(m.Crashes) > maxReportedCrashes {
				t.Fatalf("%d crashes in one message", len(m.Crashes))
			}
			for _, e := range m.Crashes {
				reported[e.Request] = true
			}
		}
		if len(reported) != crashes {
			t.Errorf("%d of %d crashes reported, complete message %v", len(reported), crashes, complete)
		}
	}
}
