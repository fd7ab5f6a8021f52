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

// target is what a fault affects.
type target struct {
	kind  string // "entry", "stop", "store", "server", "drain", "evacuation" or "plan"
	index int    // of the entry or server; -1 means all
}

// faultWindow is the time during which a fault was active.
type faultWindow struct {
	target
	name     string
	from, to time.Time
}

// fault is a kind of fault at a target. start begins it and returns the function that
// ends it, or nil if it has no duration.
type fault struct {
	name   string
	target target
	start  func() (end func())
}

// injector injects random faults and records when they were active.
type injector struct {
	fleet   *fleet
	callers *callers
	rng     *rand.Rand
	// allFaults adds servers that send without end or byte by byte, evacuations and
	// servers that become cold. Seeds from before they were added keep their sequences
	// of faults.
	allFaults bool

	mu      sync.Mutex
	windows []faultWindow
	busy    map[target]bool
	running sync.WaitGroup

	revocations    []revocation
	routeAdditions []routeAddition
	drains         []drain
	evacuations    []*span
	coldSpans      []*span
	problems       []string
}

// revocation, routeAddition and drain are planned changes with the time at which the
// store acknowledged them.
type revocation struct {
	key string
	at  time.Time
}

type routeAddition struct {
	route int
	at    time.Time
}

type drain struct {
	server string
	at     time.Time
}

// span is the time for which a data centre was evacuated, from the acknowledgement of the
// order until its withdrawal, or for which a server was cold.
type span struct {
	name     string // of the data centre or server
	from, to time.Time
}

// begin adds a span to a list and returns the function that ends it.
func (in *injector) begin(list *[]*span, name string) (end func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := &span{name: name, from: time.Now()}
	*list = append(*list, s)
	return func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		s.to = time.Now()
	}
}

func (in *injector) addProblem(format string, values ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.problems = append(in.problems, fmt.Sprintf(format, values...))
}

// longOutage exceeds the time for which an entry may accept keys without the store.
const longOutage = 9 * time.Second

// run starts faults at random intervals for the given duration, several of them at a
// time, and waits until all have ended.
func (in *injector) run(length time.Duration) {
	end := time.Now().Add(length)
	if in.allFaults { // so that each run has both
		in.inject(in.evacuation())
		in.inject(in.turnCold())
	}
	for time.Now().Before(end) {
		in.inject(in.randomFault())
		time.Sleep(time.Duration(50+in.rng.IntN(300)) * time.Millisecond)
	}
	in.running.Wait()
}

// inject starts a fault unless its target already has one. Those of kind "plan" may
// overlap.
func (in *injector) inject(f fault) {
	length := time.Duration(200+in.rng.IntN(2500)) * time.Millisecond
	if f.target.kind == "store" && in.rng.IntN(3) == 0 {
		length = longOutage
	}
	switch {
	case f.target.kind == "evacuation":
		length += evacuationLimit + time.Second
	case f.name == turnsCold:
		length += time.Second + 2*linkSettleTime
	}
	in.mu.Lock()
	if f.target.kind != "plan" && in.busy[f.target] {
		in.mu.Unlock()
		return
	}
	in.busy[f.target] = true
	in.windows = append(in.windows, faultWindow{target: f.target, name: f.name, from: time.Now(), to: time.Now().Add(time.Hour)})
	i := len(in.windows) - 1
	in.mu.Unlock()
	end := f.start()
	in.running.Add(1)
	go func() {
		defer in.running.Done()
		if end != nil {
			time.Sleep(length)
			end()
		}
		in.mu.Lock()
		defer in.mu.Unlock()
		in.windows[i].to = time.Now()
		in.busy[f.target] = false
	}()
}

// faultFree reports whether no fault of a target was active between two times.
func (in *injector) faultFree(t target, from, to time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, w := range in.windows {
		same := w.kind == t.kind && (t.index < 0 || w.index < 0 || w.index == t.index)
		if same && w.from.Before(to) && from.Before(w.to) {
			return false
		}
	}
	return true
}

// randomFault picks a random fault.
func (in *injector) randomFault() fault {
	switch n := in.rng.IntN(10); {
	case n < 2:
		return in.entryFault()
	case n < 4:
		return in.storeFault()
	case n < 8:
		return in.serverFault()
	default:
		return in.plannedChange()
	}
}

func (in *injector) entryFault() fault {
	i := in.rng.IntN(len(in.fleet.entries))
	e, t := in.fleet.entries[i], target{"entry", i}
	faults := []fault{
		{"kill", t, func() func() {
			e.signal(syscall.SIGKILL)
			<-e.done()
			return func() { e.start(in.fleet.log) }
		}},
		{"pause", t, func() func() {
			e.signal(syscall.SIGSTOP)
			return func() { e.signal(syscall.SIGCONT) }
		}},
		{"stop", target{"stop", i}, func() func() { return in.stop(i, e) }},
		{"reload", target{"plan", -1}, func() func() {
			e.signal(syscall.SIGHUP)
			return nil
		}},
	}
	f := faults[in.rng.IntN(len(faults))]
	if f.name == "stop" && (in.isBusy(t) || in.isBusy(f.target)) || f.name != "stop" && in.isBusy(target{"stop", i}) {
		return in.plannedChange()
	}
	return f
}

func (in *injector) isBusy(t target) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.busy[t]
}

// signalInterval is the interval of the signals that an entry gets while it stops.
const signalInterval = 200 * time.Millisecond

// stop begins a graceful shutdown of an entry, which gets further reload and stop
// signals until it exits. The returned function waits for that and restarts it.
func (in *injector) stop(i int, e *entry) func() {
	at := time.Now()
	exited := e.done()
	e.signal(syscall.SIGTERM)
	go func() {
		for {
			select {
			case <-exited:
				return
			case <-time.After(signalInterval):
				e.signalProcess(exited, syscall.SIGHUP)
				e.signalProcess(exited, syscall.SIGTERM)
			}
		}
	}()
	return func() {
		select {
		case <-e.done():
			e.mu.Lock()
			err := e.err
			e.mu.Unlock()
			if err != nil && in.faultFree(target{"entry", i}, at, time.Now()) {
				in.addProblem("entry %d exited with %v after SIGTERM", i, err)
			}
		case <-time.After(time.Until(at.Add(stopGrace + time.Second))):
			if in.faultFree(target{"entry", i}, at, time.Now()) {
				in.addProblem("entry %d did not exit within its shutdown grace period", i)
			}
			e.signal(syscall.SIGKILL)
			<-e.done()
		}
		e.start(in.fleet.log)
	}
}

func (in *injector) storeFault() fault {
	s := in.fleet.store
	if in.rng.IntN(2) == 0 {
		t := target{"store", -1}
		outage := []platformtest.Outage{platformtest.Refusing, platformtest.Unresponsive, platformtest.Resetting}[in.rng.IntN(3)]
		faults := []fault{
			{"outage", t, func() func() {
				s.SetOutage(outage)
				return func() { s.SetOutage(platformtest.NoOutage) }
			}},
			{"slow", t, func() func() {
				s.SetDelay(300 * time.Millisecond)
				return func() { s.SetDelay(0) }
			}},
			{"behind", t, func() func() {
				s.SetNewestLag(3)
				s.Compact()
				return func() { s.SetNewestLag(0) }
			}},
		}
		return faults[in.rng.IntN(len(faults))]
	}
	i := in.rng.IntN(len(in.fleet.entries))
	return relayFault(in.rng, target{"store", i}, in.fleet.entries[i].store)
}

// relayFault picks a random fault of the connections through a relay.
func relayFault(rng *rand.Rand, t target, r *link.Relay) fault {
	direction := []link.Direction{link.Forward, link.Backward}[rng.IntN(2)]
	faults := []fault{
		{"black-holed connections", t, func() func() {
			r.BlackHole()
			return func() {}
		}},
		{"reset connections", t, func() func() {
			r.Reset()
			return func() {}
		}},
		{"delay", t, func() func() {
			r.SetDelay(oleanderspool.Millis(20 + rng.IntN(200)))
			return func() { r.SetDelay(0) }
		}},
		{"cut in one direction", t, func() func() {
			r.Cut(direction)
			return r.Heal
		}},
		{"refused connections", t, func() func() {
			r.Refuse()
			r.Reset()
			return func() { _ = r.Accept() } // if it fails, the relay keeps refusing connections
		}},
	}
	return faults[rng.IntN(len(faults))]
}

func (in *injector) serverFault() fault {
	i := in.rng.IntN(len(in.fleet.servers))
	s, t := in.fleet.servers[i], target{"server", i}
	if in.rng.IntN(4) == 0 {
		return relayFault(in.rng, t, s.relay)
	}
	behaviours := []namedBehaviour{
		{"rejects", platformtest.Reject},
		{"fails", platformtest.Fail},
		{"loses answers", platformtest.LoseAnswer},
		{"hangs", platformtest.Hang},
		{"breaks streams", breakMidEvent},
		{"truncates", platformtest.RawAnswer(func(conn net.Conn, id string) {
			platformtest.WriteRaw(conn, id, true, "Content-Length: 100\r\n", "done")
		})},
		{"answers twice", platformtest.RawAnswer(func(conn net.Conn, id string) {
			body := completeAnswer(id)
			platformtest.WriteRaw(conn, id, true, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
			platformtest.WriteRaw(conn, id, true, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
		})},
		{"ends streams in the middle of an event", endMidEvent},
		{"writes noise", platformtest.RawAnswer(func(conn net.Conn, _ string) { _, _ = conn.Write([]byte("\x00\x01\r\n\r\n")) })},
	}
	if in.allFaults {
		behaviours = append(behaviours, endlessBehaviours...)
	}
	b := behaviours[in.rng.IntN(len(behaviours))]
	return fault{b.name, t, func() func() {
		s.SetBehaviour(intermittent(b.Behaviour))
		return func() { s.SetBehaviour(healthyAnswer) }
	}}
}

// namedBehaviour is a behaviour of a server with a fault.
type namedBehaviour struct {
	name string
	platformtest.Behaviour
}

// endlessBehaviours are servers that send until the caller closes the connection.
var endlessBehaviours = []namedBehaviour{
	{"sends a header without end", platformtest.EndlessAnswer(false, "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa")},
	{"sends interim answers without end", platformtest.EndlessAnswer(false, "", "HTTP/1.1 102 Processing\r\n\r\n")},
	{"sends an event without end", platformtest.EndlessAnswer(true, "id: 1\ndata: ", "aaaaaaaaaaaaaaaa")},
	{"sends a byte now and then", platformtest.RawAnswer(func(conn net.Conn, id string) {
		platformtest.WriteRaw(conn, id, true, "", "id: 1\ndata: ")
		for err := error(nil); err == nil; {
			time.Sleep(100 * time.Millisecond)
			_, err = conn.Write([]byte("a"))
		}
	})},
}

// intermittent makes a server misbehave for two requests in three, unless b leaves
// the request to the healthy behaviour.
func intermittent(b platformtest.Behaviour) platformtest.Behaviour {
	return func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
		if rand.IntN(3) == 0 {
			return healthyAnswer(r, w, q)
		}
		return b(r, w, q) || healthyAnswer(r, w, q)
	}
}

// endMidEvent ends a stream without a Content-Length in the middle of an event, as if
// it were complete.
func endMidEvent(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	if a := platformtest.DecodeRequest(q); !a.HasPromptTokens || a.LastEventID != "" {
		return false
	}
	return platformtest.RawAnswer(func(conn net.Conn, id string) {
		platformtest.WriteRaw(conn, id, true, "Connection: close\r\n", "id: 1\ndata: piece 1\n\nid: 2\ndata: pie")
	})(r, w, q)
}

// breakMidEvent breaks a stream off in the middle of an event.
func breakMidEvent(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	if !platformtest.DecodeRequest(q).HasPromptTokens {
		return false
	}
	return platformtest.Stream(20, 1+rand.IntN(19), 20*time.Millisecond)(r, w, q)
}

// plannedChange picks a random planned change.
func (in *injector) plannedChange() fault {
	t := target{"plan", -1}
	i := in.rng.IntN(len(in.fleet.servers))
	changes := []fault{
		{"revoke a key", t, func() func() {
			in.mu.Lock()
			defer in.mu.Unlock()
			in.fleet.revokedRounds++
			in.fleet.configure()
			in.revocations = append(in.revocations, revocation{key(in.fleet.revokedRounds - 1), time.Now()})
			in.callers.setRevokedRounds(in.fleet.revokedRounds)
			return nil
		}},
		{"add a route", t, func() func() {
			in.mu.Lock()
			defer in.mu.Unlock()
			in.fleet.addedRoutes++
			in.fleet.configure()
			in.routeAdditions = append(in.routeAdditions, routeAddition{in.fleet.addedRoutes - 1, time.Now()})
			return nil
		}},
		{"drain a server", target{"drain", i}, func() func() {
			s := in.fleet.servers[i]
			s.Register("draining")
			in.mu.Lock()
			in.drains = append(in.drains, drain{s.ID, time.Now()})
			in.mu.Unlock()
			return func() { s.Register("ready") }
		}},
	}
	if in.allFaults {
		changes = append(changes, in.evacuation(), in.turnCold())
	}
	return changes[in.rng.IntN(len(changes))]
}

// dataCentres are the data centres of the servers. The entries are in the first one.
var dataCentres = []string{"dc-a", "dc-b"}

// evacuation evacuates a data centre, one at a time: with both evacuated all requests
// are refused, and the other checks see nothing.
func (in *injector) evacuation() fault {
	i := in.rng.IntN(len(dataCentres))
	return fault{"evacuate " + dataCentres[i], target{"evacuation", -1}, func() func() {
		in.fleet.store.Evacuate(dataCentres[i])
		end := in.begin(&in.evacuations, dataCentres[i])
		return func() {
			end()
			in.fleet.store.EndEvacuation(dataCentres[i])
		}
	}}
}

const (
	turnsCold = "turns cold"
	// heartbeat is the interval at which servers report that they are cold.
	heartbeat = 1200 * time.Millisecond
	// linkSettleTime is the time after the end of a fault of the connections to a server
	// within which requests that it held back have arrived.
	linkSettleTime = 300 * time.Millisecond
)

// turnCold lets an application server become cold while a crowd of requests arrives. The
// registry says so up to a heartbeat later. The connections to the server have no faults
// meanwhile, since requests that these hold back arrive together.
func (in *injector) turnCold() fault {
	i, lag := in.rng.IntN(apps), time.Duration(in.rng.Int64N(int64(heartbeat)))
	return fault{turnsCold, target{"server", i}, func() func() {
		s := in.fleet.servers[i]
		end := in.begin(&in.coldSpans, s.ID)
		number := len(in.coldSpans)
		report := time.AfterFunc(lag, func() { s.SetColdLeft(3000) })
		in.running.Go(func() {
			time.Sleep(linkSettleTime)
			in.callers.crowd(number)
		})
		return func() {
			end()
			report.Stop()
			s.SetColdLeft(0)
		}
	}}
}
