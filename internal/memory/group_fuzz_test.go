package memory_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

// memberHost is an agent with its ledger, whose engine confirms cancels.
type memberHost struct {
	ledger *memory.Ledger
	serial int
	held   []string // attempts that compete with the groups
}

// competitor is a group that competes with others for memory, as its entry sees
// it. A group that loses a member is replaced by a new one of the same age.
type competitor struct {
	group    *memory.Group
	members  []memory.GroupMember
	id       string
	first    oleanderspool.Millis
	since    oleanderspool.Millis // time at which the reservation was complete; 0 before
	served   bool
	dead     bool // its entry has died
	replaced int
}

type packet struct {
	at         oleanderspool.Millis
	message    memory.GroupMessage
	to         *memberHost
	competitor *competitor
	group      *memory.Group
	reply      func()
}

// groupMachine drives competing groups over a network that delays and loses
// messages and replies.
type groupMachine struct {
	now         oleanderspool.Millis
	random      *rand.Rand
	loss        float64
	delay       int64
	lease       oleanderspool.Millis
	work        oleanderspool.Millis // how long a group works with a complete reservation
	hosts       []*memberHost
	competitors []*competitor
	packets     []packet
	t           *rapid.T
}

const hostSize = 1000

func newHost() *memberHost {
	return &memberHost{ledger: memory.NewLedger(hostSize)}
}

func (m *groupMachine) send(messages []memory.GroupMessage, c *competitor) {
	m.sendFrom(c.group, messages, c)
}

func (m *groupMachine) sendFrom(g *memory.Group, messages []memory.GroupMessage, c *competitor) {
	if c.dead {
		return
	}
	for _, x := range messages {
		if m.random.Float64() < m.loss {
			continue
		}
		host := m.hosts[int(x.Instance[0]-'a')]
		m.packets = append(m.packets, packet{at: m.arrival(), message: x, to: host, competitor: c, group: g})
	}
}

func (m *groupMachine) arrival() oleanderspool.Millis {
	return m.now + oleanderspool.Millis(m.random.Int64N(m.delay)+1)
}

func (m *groupMachine) deliver() {
	due := m.packets
	m.packets = nil
	for _, p := range due {
		if p.at > m.now {
			m.packets = append(m.packets, p)
			continue
		}
		if p.reply != nil {
			p.reply()
			continue
		}
		m.receive(p)
	}
}

// receive handles a message at the member and sends the reply.
func (m *groupMachine) receive(p packet) {
	x := p.message
	var reply func()
	if x.Release {
		p.to.ledger.ReleaseGroup(x.Group, x.Round, x.WillRetry, m.now)
		reply = func() { p.group.Released(x) }
	} else {
		granted := p.to.ledger.ReserveGroup(x.GroupRequest, m.now).Granted
		reply = func() {
			if granted {
				m.sendFrom(p.group, p.group.Granted(x, m.now), p.competitor)
			} else {
				m.sendFrom(p.group, p.group.Refused(x, m.now), p.competitor)
			}
		}
	}
	if m.random.Float64() >= m.loss {
		m.packets = append(m.packets, packet{at: m.arrival(), reply: reply})
	}
}

// step advances the simulation by 20 ms.
func (m *groupMachine) step() {
	m.now += 20
	m.deliver()
	for _, h := range m.hosts {
		h.ledger.Expire(m.now)
		for _, c := range h.ledger.Cancels(m.now) {
			if m.random.Float64() >= m.loss {
				h.ledger.Confirm(c, m.now)
			}
		}
		if err := h.ledger.Check(); err != nil {
			m.t.Fatal(err)
		}
	}
	for _, c := range m.competitors {
		if !c.dead {
			m.send(c.group.Tick(m.now), c)
			m.follow(c)
		}
	}
}

// follow ends a group with a complete reservation after its work, and replaces
// a group that lost a member by one of the same age.
func (m *groupMachine) follow(c *competitor) {
	switch c.group.State() {
	case memory.GroupReserved:
		m.checkHeld(c)
		if c.since == 0 {
			c.since = m.now
		}
		if m.now-c.since >= m.work {
			c.served = true
			m.send(c.group.End(m.now), c)
		}
	case memory.GroupEnded:
		if !c.served && c.group.EndReason() == memory.EndMemberLost {
			c.replaced++
			c.since = 0
			m.open(c)
		}
	}
}

func (m *groupMachine) open(c *competitor) {
	id := fmt.Sprint(c.id, ".", c.replaced)
	c.group = memory.NewGroup(id, c.members, 1<<40, m.now, memory.WithFirstRound(c.first), memory.WithGroupLease(m.lease))
}

// checkHeld checks that each member holds the memory of a complete reservation.
func (m *groupMachine) checkHeld(c *competitor) {
	for _, x := range c.members {
		h := m.hosts[int(x.Instance[0]-'a')]
		name := memory.GroupName(fmt.Sprint(c.id, ".", c.replaced), c.group.Round())
		if got, ok := h.ledger.Reservation(name); !ok || got.Purpose != memory.PurposeGroup {
			m.t.Fatalf("group memory %s is reserved but %s holds %+v", name, x.Instance, got)
		}
	}
}

// compete lets attempts reserve and release memory at every host.
func (m *groupMachine) compete() {
	for _, h := range m.hosts {
		if len(h.held) > 0 && m.random.Float64() < 0.1 {
			h.ledger.Release(h.held[0], m.now)
			h.held = h.held[1:]
		}
		h.serial++
		r := memory.Reservation{
			Name:    fmt.Sprint("attempt", h.serial),
			Purpose: memory.PurposeAttempt,
			Tokens:  m.random.Int64N(400) + 1,
		}
		if h.ledger.Reserve(r, m.now) == nil {
			h.held = append(h.held, r.Name)
		}
	}
}

func (m *groupMachine) memberDies(i int) {
	m.hosts[i].ledger = memory.NewLedger(hostSize)
	m.hosts[i].held = nil
	instance := oleanderspool.InstanceID(string(rune('a' + i)))
	for _, c := range m.competitors {
		if !c.dead {
			m.send(c.group.MemberLost(instance, m.now), c)
			m.follow(c)
		}
	}
}

func (m *groupMachine) addCompetitor(t *rapid.T) {
	c := &competitor{id: fmt.Sprint("g", len(m.competitors)), first: m.now}
	for i := range m.hosts {
		if rapid.Bool().Draw(t, "member") {
			instance := oleanderspool.InstanceID(string(rune('a' + i)))
			tokens := rapid.Int64Range(300, hostSize).Draw(t, "tokens")
			c.members = append(c.members, memory.GroupMember{Instance: instance, Tokens: tokens})
		}
	}
	if len(c.members) == 0 {
		return
	}
	m.open(c)
	m.competitors = append(m.competitors, c)
}

// served reports whether every group whose entry is alive was served and has
// settled.
func (m *groupMachine) served() bool {
	return !slices.ContainsFunc(m.competitors, func(c *competitor) bool {
		return !c.dead && (!c.served || !c.group.Settled())
	})
}

// Guards against deadlock and starvation among groups, and against memory that
// stays reserved after the entry of a group has died or a reply was lost.
func TestFuzzGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &groupMachine{
			t:      t,
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 1)),
			loss:   rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5}).Draw(t, "loss"),
			delay:  rapid.Int64Range(1, 1500).Draw(t, "delay"),
			lease:  oleanderspool.Millis(rapid.IntRange(1500, 10_000).Draw(t, "expiry")),
			work:   oleanderspool.Millis(rapid.IntRange(100, 5000).Draw(t, "work")),
		}
		for range rapid.IntRange(2, 4).Draw(t, "hosts") {
			m.hosts = append(m.hosts, newHost())
		}
		t.Repeat(map[string]func(*rapid.T){
			"group": m.addCompetitor,
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "steps") {
					m.step()
					m.compete()
				}
			},
			"member dies": func(t *rapid.T) { m.memberDies(rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")) },
			"entry dies": func(t *rapid.T) {
				if len(m.competitors) > 0 {
					m.competitors[rapid.IntRange(0, len(m.competitors)-1).Draw(t, "competitor")].dead = true
				}
			},
		})
		m.finish()
	})
}

// finish stops the faults but not the competing attempts. It then expects every
// group whose entry is alive to be served, and all memory of groups to be free.
func (m *groupMachine) finish() {
	m.loss, m.delay, m.work = 0, 50, 300
	bound := m.now + oleanderspool.Minute + oleanderspool.Millis(len(m.competitors))*30*oleanderspool.Second
	for !m.served() {
		if m.now > bound {
			m.t.Fatalf("not served after %d ms: %s", m.now, m.describe())
		}
		m.step()
		m.compete()
	}
	// Grants for groups of dead entries expire on the members' clocks.
	for end := m.now + memory.DefaultGroupLease + 4000; m.now < end; {
		m.step()
	}
	for i, h := range m.hosts {
		if held := h.ledger.ReservedFor(memory.PurposeGroup); held != 0 {
			m.t.Fatalf("host %d still holds %d tokens for groups", i, held)
		}
		if h.ledger.Available(m.now) != h.ledger.Free() {
			m.t.Fatalf("host %d still holds memory back for a group", i)
		}
	}
}

func (m *groupMachine) describe() string {
	text := ""
	for _, c := range m.competitors {
		text += fmt.Sprintf("%s dead=%v served=%v %v round %d %v; ", c.id, c.dead, c.served, c.group.State(), c.group.Round(), c.members)
	}
	return text
}
