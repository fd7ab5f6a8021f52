package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// part is what a fault disturbs.
type part struct {
	kind  string // "entry", "store", "server" or "plan"
	index int    // of the entry or server; -1 for all
}

// span is a fault with its time.
type span struct {
	part
	name     string
	from, to time.Time
}

// fault is drawn with its place; start returns what ends it.
type fault struct {
	name  string
	part  part
	start func() (end func())
}

// chaos draws faults and remembers when they were in force.
type chaos struct {
	fleet   *fleet
	callers *callers
	rng     *rand.Rand

	mu      sync.Mutex
	spans   []span
	busy    map[part]bool
	running sync.WaitGroup

	revocations []revocation
	additions   []addition
	drains      []drain
	problems    []string
}

// revocation, addition and drain are planned changes with the instant at which
// the store acknowledged them.
type revocation struct {
	key string
	at  time.Time
}

type addition struct {
	route int
	at    time.Time
}

type drain struct {
	server string
	at     time.Time
}

func (c *chaos) complain(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, values...))
}

// longOutage exceeds the span for which keys may be honoured.
const longOutage = 9 * time.Second

// run starts faults at drawn instants until the end of the span, several at a
// time, and waits until all have ended.
func (c *chaos) run(length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		c.begin(c.draw())
		time.Sleep(time.Duration(50+c.rng.IntN(300)) * time.Millisecond)
	}
	c.running.Wait()
}

// begin starts a fault unless its place is disturbed already.
func (c *chaos) begin(f fault) {
	length := time.Duration(200+c.rng.IntN(2500)) * time.Millisecond
	if f.part.kind == "store" && c.rng.IntN(3) == 0 {
		length = longOutage
	}
	c.mu.Lock()
	if f.part.kind != "plan" && c.busy[f.part] {
		c.mu.Unlock()
		return
	}
	c.busy[f.part] = true
	c.spans = append(c.spans, span{part: f.part, name: f.name, from: time.Now(), to: time.Now().Add(time.Hour)})
	i := len(c.spans) - 1
	c.mu.Unlock()
	end := f.start()
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		if end != nil {
			time.Sleep(length)
			end()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.spans[i].to = time.Now()
		c.busy[f.part] = false
	}()
}

// calm reports whether no fault of a place was in force in a span of time.
func (c *chaos) calm(p part, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans {
		same := s.kind == p.kind && (p.index < 0 || s.index < 0 || s.index == p.index)
		if same && s.from.Before(to) && from.Before(s.to) {
			return false
		}
	}
	return true
}

// draw draws a fault.
func (c *chaos) draw() fault {
	switch n := c.rng.IntN(10); {
	case n < 2:
		return c.entryFault()
	case n < 4:
		return c.storeFault()
	case n < 8:
		return c.serverFault()
	default:
		return c.plan()
	}
}

func (c *chaos) entryFault() fault {
	i := c.rng.IntN(len(c.fleet.entries))
	e, p := c.fleet.entries[i], part{"entry", i}
	faults := []fault{
		{"kill", p, func() func() {
			e.signal(syscall.SIGKILL)
			<-e.done()
			return func() { e.start(c.fleet.log) }
		}},
		{"pause", p, func() func() {
			e.signal(syscall.SIGSTOP)
			return func() { e.signal(syscall.SIGCONT) }
		}},
		{"stop", part{"stop", i}, func() func() { return c.stop(i, e) }},
		{"reload", part{"plan", -1}, func() func() {
			e.signal(syscall.SIGHUP)
			return nil
		}},
	}
	f := faults[c.rng.IntN(len(faults))]
	if f.name == "stop" && (c.busyAt(p) || c.busyAt(f.part)) || f.name != "stop" && c.busyAt(part{"stop", i}) {
		return c.plan()
	}
	return f
}

func (c *chaos) busyAt(p part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy[p]
}

// stop stops an entry in order and starts it again when it has ended.
func (c *chaos) stop(i int, e *entry) func() {
	at := time.Now()
	e.signal(syscall.SIGTERM)
	return func() {
		select {
		case <-e.done():
			e.mu.Lock()
			err := e.err
			e.mu.Unlock()
			if err != nil && c.calm(part{"entry", i}, at, time.Now()) {
				c.complain("entry %d ended with %v after a request to stop", i, err)
			}
		case <-time.After(time.Until(at.Add(stopGrace + time.Second))):
			if c.calm(part{"entry", i}, at, time.Now()) {
				c.complain("entry %d did not stop within its grace", i)
			}
			e.signal(syscall.SIGKILL)
			<-e.done()
		}
		e.start(c.fleet.log)
	}
}

func (c *chaos) storeFault() fault {
	s := c.fleet.store
	if c.rng.IntN(2) == 0 {
		p := part{"store", -1}
		outage := []platformtest.Outage{platformtest.Refusing, platformtest.Unresponsive, platformtest.Resetting}[c.rng.IntN(3)]
		faults := []fault{
			{"outage", p, func() func() {
				s.SetOutage(outage)
				return func() { s.SetOutage(platformtest.NoOutage) }
			}},
			{"slow", p, func() func() {
				s.SetDelay(300 * time.Millisecond)
				return func() { s.SetDelay(0) }
			}},
			{"behind", p, func() func() {
				s.SetNewestLag(3)
				s.Compact()
				return func() { s.SetNewestLag(0) }
			}},
		}
		return faults[c.rng.IntN(len(faults))]
	}
	i := c.rng.IntN(len(c.fleet.entries))
	return relayFault(c.rng, part{"store", i}, c.fleet.entries[i].store)
}

// relayFault draws a fault of the connections through a relay.
func relayFault(rng *rand.Rand, p part, r *link.Relay) fault {
	direction := []link.Direction{link.Forward, link.Backward}[rng.IntN(2)]
	faults := []fault{
		{"silent connections", p, func() func() {
			r.BlackHole()
			return func() {}
		}},
		{"reset connections", p, func() func() {
			r.Reset()
			return func() {}
		}},
		{"delay", p, func() func() {
			r.SetDelay(oleanderspool.Millis(20 + rng.IntN(200)))
			return func() { r.SetDelay(0) }
		}},
		{"cut one way", p, func() func() {
			r.Cut(direction)
			return r.Heal
		}},
		{"refused connections", p, func() func() {
			r.Refuse()
			r.Reset()
			return func() { _ = r.Accept() } // the fault goes on without it
		}},
	}
	return faults[rng.IntN(len(faults))]
}

func (c *chaos) serverFault() fault {
	i := c.rng.IntN(len(c.fleet.servers))
	s, p := c.fleet.servers[i], part{"server", i}
	if c.rng.IntN(4) == 0 {
		return relayFault(c.rng, p, s.relay)
	}
	behaviours := []struct {
		name string
		platformtest.Behaviour
	}{
		{"rejects", platformtest.Reject},
		{"fails", platformtest.Fail},
		{"loses answers", platformtest.LoseAnswer},
		{"hangs", platformtest.Hang},
		{"breaks streams", breakOff},
		{"truncates", platformtest.RawAnswer(func(conn net.Conn, id string) {
			platformtest.WriteRaw(conn, id, true, "Content-Length: 100\r\n", "done")
		})},
		{"answers twice", platformtest.RawAnswer(func(conn net.Conn, id string) {
			body := wholeAnswer(id)
			platformtest.WriteRaw(conn, id, true, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
			platformtest.WriteRaw(conn, id, true, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
		})},
		{"ends streams within an event", endWithin},
		{"writes noise", platformtest.RawAnswer(func(conn net.Conn, _ string) { _, _ = conn.Write([]byte("\x00\x01\r\n\r\n")) })},
	}
	b := behaviours[c.rng.IntN(len(behaviours))]
	return fault{b.name, p, func() func() {
		s.SetBehaviour(some(b.Behaviour))
		return func() { s.SetBehaviour(answer) }
	}}
}

// some lets a server misbehave for two requests of three. Plain misbehaviour is
// for plain requests only.
func some(b platformtest.Behaviour) platformtest.Behaviour {
	return func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
		if rand.IntN(3) == 0 {
			return answer(r, w, q)
		}
		return b(r, w, q) || answer(r, w, q)
	}
}

// endWithin ends a stream without a length in the middle of an event, as if it were
// complete.
func endWithin(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	if a := platformtest.DecodeRequest(q); !a.HasPromptTokens || a.LastEventID != "" {
		return false
	}
	return platformtest.RawAnswer(func(conn net.Conn, id string) {
		platformtest.WriteRaw(conn, id, true, "Connection: close\r\n", "id: 1\ndata: piece 1\n\nid: 2\ndata: pie")
	})(r, w, q)
}

// breakOff breaks a stream off in the middle of an event.
func breakOff(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	if !platformtest.DecodeRequest(q).HasPromptTokens {
		return false
	}
	return platformtest.Stream(20, 1+rand.IntN(19), 20*time.Millisecond)(r, w, q)
}

// plan draws a planned change.
func (c *chaos) plan() fault {
	p := part{"plan", -1}
	i := c.rng.IntN(len(c.fleet.servers))
	plans := []fault{
		{"revoke a key", p, func() func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.fleet.revoked++
			c.fleet.configure()
			c.revocations = append(c.revocations, revocation{key(c.fleet.revoked - 1), time.Now()})
			c.callers.setRevoked(c.fleet.revoked)
			return nil
		}},
		{"add a route", p, func() func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.fleet.extra++
			c.fleet.configure()
			c.additions = append(c.additions, addition{c.fleet.extra - 1, time.Now()})
			return nil
		}},
		{"drain a server", part{"drain", i}, func() func() {
			s := c.fleet.servers[i]
			s.Register("draining")
			c.mu.Lock()
			c.drains = append(c.drains, drain{s.ID, time.Now()})
			c.mu.Unlock()
			return func() { s.Register("ready") }
		}},
	}
	return plans[c.rng.IntN(len(plans))]
}
