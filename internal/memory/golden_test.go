package memory_test

import (
	"fmt"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

// session runs two competing groups against two members and records every
// message and reply.
type session struct {
	text    strings.Builder
	now     oleanderspool.Millis
	members map[oleanderspool.InstanceID]*memory.Ledger
	lost    map[oleanderspool.Millis]bool // times at which replies are lost
}

func (s *session) printf(format string, arguments ...any) {
	fmt.Fprintf(&s.text, "%6d  ", s.now)
	fmt.Fprintf(&s.text, format+"\n", arguments...)
}

// send delivers the messages immediately, and the replies unless they are lost.
func (s *session) send(g *memory.Group, messages []memory.GroupMessage) {
	for _, m := range messages {
		l := s.members[m.Instance]
		if m.Release {
			l.ReleaseGroup(m.Group, m.Round, m.WillRetry, s.now)
			s.printf("%s release %s round %d wait %v, free %d", m.Instance, m.Group, m.Round, m.WillRetry, l.Free())
			g.Released(m)
			continue
		}
		reply := l.ReserveGroup(m.GroupRequest, s.now)
		s.printf("%s reserve %d for %s round %d age %d: granted %v, free %d", m.Instance, m.Tokens, m.Group, m.Round, m.Age, reply.Granted, reply.Free)
		switch {
		case s.lost[s.now]:
			s.printf("reply lost")
		case reply.Granted:
			s.send(g, g.Granted(m, s.now))
		default:
			s.send(g, g.Refused(m, s.now))
		}
	}
}

// step advances to the given time in steps of 100 ms.
func (s *session) step(until oleanderspool.Millis, groups ...*memory.Group) {
	for ; s.now < until; s.now += 100 {
		for _, g := range groups {
			before := g.State()
			s.send(g, g.Tick(s.now))
			if g.State() != before {
				s.printf("group %v", g.State())
			}
		}
		for _, instance := range []oleanderspool.InstanceID{"a", "b"} {
			l := s.members[instance]
			for _, r := range l.Expire(s.now) {
				s.printf("%s expired %s", instance, r.Name)
			}
			for _, c := range l.Cancels(s.now) {
				l.Confirm(c, s.now)
				s.printf("%s cancelled %s, free %d", instance, c.Name, l.Free())
			}
		}
	}
}

// Guards against unintended changes of the messages of competing groups.
var _ = Describe("Golden session of groups", func() {
	It("replays two groups that compete for the same members", func() {
		s := &session{
			members: map[oleanderspool.InstanceID]*memory.Ledger{"a": memory.NewLedger(1000), "b": memory.NewLedger(1000)},
			lost:    map[oleanderspool.Millis]bool{200: true},
		}
		members := []memory.GroupMember{{Instance: "b", Tokens: 700}, {Instance: "a", Tokens: 600}}
		first := memory.NewGroup("first", members, 60_000, s.now)
		s.step(200, first)
		second := memory.NewGroup("second", members, 60_000, s.now)
		s.step(6000, first, second)
		s.send(first, first.End(s.now))
		s.step(9000, first, second)
		s.send(second, second.MemberLost("a", s.now))
		s.step(10_000, first, second)

		golden.Match(filepath.Join("testdata", "competing_groups.golden"), s.text.String())
	})
})
