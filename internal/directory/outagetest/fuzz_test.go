package outagetest_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/fuzz"
)

func init() { fuzz.Configure(1000, 0) }

// Guards against orders of cuts and outages in which a server that left stays in use, or
// in which running servers are dropped since they could not renew their registrations.
func TestOutagesAndCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, low, high int) oleanderspool.Millis {
			return oleanderspool.Millis(rapid.IntRange(low, high).Draw(t, name))
		}
		spanOf := func(name string, longest int) span {
			from := draw(name+" from", 9000, 14_000)
			return span{from, from + draw(name+" for", 0, longest)}
		}
		r := &simulatedRegistry{refuses: rapid.Bool().Draw(t, "refuses"), end: 30_000}
		hasOutage := rapid.Bool().Draw(t, "outage")
		if hasOutage {
			r.outage = spanOf("outage", 8000)
			from := r.outage.to + draw("pause", 50, 2000)
			r.again = span{from, from + draw("again", 0, 1000)}
		} else {
			r.leftAt = draw("left", 8000, 24_000)
		}
		r.cut = spanOf("cut", 9000)
		r.follow()
		// The last call before the end of the cut times out, and then two reads follow.
		const maxDelay = 1200
		for _, u := range r.usable[1:] {
			switch {
			case hasOutage && u.servers < simulatedServers:
				t.Fatalf("%d servers are usable at %d", u.servers, u.at)
			case !hasOutage && u.left && u.at > max(r.leftAt, r.cut.to)+maxDelay:
				t.Fatalf("a server that left at %d is usable at %d", r.leftAt, u.at)
			case !hasOutage && u.servers < simulatedServers-1:
				t.Fatalf("%d servers are usable at %d", u.servers, u.at)
			}
		}
	})
}
