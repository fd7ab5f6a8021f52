package memory_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

// fakeEngine holds memory and records its lists, so that an outdated one can be
// returned.
type fakeEngine struct {
	run     int
	held    map[string]int64
	history []memory.List // recorded lists, newest last
}

func (e *fakeEngine) runID() string { return fmt.Sprint("run", e.run) }

func (e *fakeEngine) snapshot(now oleanderspool.Millis) {
	l := memory.List{RequestedAt: now, RunID: e.runID()}
	for name, tokens := range e.held {
		l.Allocations = append(l.Allocations, oleanderspool.MemoryAllocation{Owner: name, Tokens: tokens})
	}
	e.history = append(e.history, l)
}

// ledgerMachine drives a ledger and an engine over a connection that loses
// messages.
type ledgerMachine struct {
	engine            fakeEngine
	ledger            *memory.Ledger
	now               oleanderspool.Millis
	serial            int
	needed            map[string]bool                 // names that the agent still needs
	reservedAt        map[string]oleanderspool.Millis // times of the reservations
	receivedAt        map[string]oleanderspool.Millis // times at which the engine received them
	lateConfirmations []memory.Cancel                 // confirmations that have not arrived yet
	undelivered       []string                        // reservations that the engine has not received
}

// The list lag and the missing timeout of the ledger, in milliseconds.
const (
	fuzzLag     = 200
	fuzzMissing = 400
)

func newLedgerMachine() *ledgerMachine {
	m := &ledgerMachine{
		engine:     fakeEngine{held: map[string]int64{}},
		needed:     map[string]bool{},
		reservedAt: map[string]oleanderspool.Millis{},
		receivedAt: map[string]oleanderspool.Millis{},
	}
	m.newLedger()
	return m
}

func (m *ledgerMachine) newLedger() {
	m.ledger = memory.NewLedger(1000, memory.WithListLag(fuzzLag), memory.WithMissingTimeout(fuzzMissing), memory.WithCancelInterval(100))
	m.ledger.ObserveRun(1000, m.engine.runID(), m.now)
}

func (m *ledgerMachine) advance(duration oleanderspool.Millis) {
	for range duration / 50 {
		m.now += 50
		m.engine.snapshot(m.now)
		for _, r := range m.ledger.Expire(m.now) {
			delete(m.needed, r.Name)
		}
	}
	m.engine.history = m.engine.history[max(0, len(m.engine.history)-8):]
}

func (m *ledgerMachine) dropLost(lost []memory.Reservation) {
	for _, r := range lost {
		delete(m.needed, r.Name)
	}
}

// reconcile uses a list that is older than its request by up to the list lag.
func (m *ledgerMachine) reconcile(t *rapid.T, age int) {
	if len(m.engine.history) == 0 {
		return
	}
	l := m.engine.history[max(0, len(m.engine.history)-1-age)]
	if l.RunID != m.engine.runID() {
		return
	}
	l.RequestedAt = m.now
	lost := m.ledger.Reconcile(l, m.now)
	for _, r := range lost {
		if m.engine.held[r.Name] > 0 && m.receivedAt[r.Name]-m.reservedAt[r.Name] < fuzzMissing {
			t.Fatalf("reservation %q was released although the engine holds it", r.Name)
		}
	}
	m.dropLost(lost)
}

func (m *ledgerMachine) cancel(arrives, confirmed bool) {
	for _, c := range m.ledger.Cancels(m.now) {
		if !arrives {
			continue
		}
		delete(m.engine.held, c.Name)
		if confirmed {
			m.ledger.Confirm(c, m.now)
		} else {
			m.lateConfirmations = append(m.lateConfirmations, c)
		}
	}
}

func (m *ledgerMachine) deliver(t *rapid.T) {
	if len(m.undelivered) == 0 {
		return
	}
	name := m.undelivered[0]
	m.undelivered = m.undelivered[1:]
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	var tokens int64 = 1
	if r, ok := m.ledger.Reservation(name); ok {
		tokens = r.Tokens
	}
	m.engine.held[name] = tokens
	m.receivedAt[name] = m.now
}

func (m *ledgerMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"reserve": func(t *rapid.T) {
			m.serial++
			r := memory.Reservation{
				Name:    fmt.Sprint("n", m.serial),
				Purpose: memory.Purpose(rapid.IntRange(0, 3).Draw(t, "purpose")),
				Tokens:  rapid.Int64Range(1, 600).Draw(t, "tokens"),
			}
			if r.Purpose != memory.PurposeAttempt {
				r.Expiry = m.now + oleanderspool.Millis(rapid.IntRange(1, 2000).Draw(t, "expiry"))
			}
			free := m.ledger.Free()
			err := m.ledger.Reserve(r, m.now)
			if (err == nil) != (r.Tokens <= free) {
				t.Fatalf("reserve %+v with %d free: %v", r, free, err)
			}
			if err != nil {
				return
			}
			m.needed[r.Name] = true
			m.reservedAt[r.Name] = m.now
			m.undelivered = append(m.undelivered, r.Name)
		},
		"deliver": m.deliver,
		"transfer": func(t *rapid.T) {
			if name, ok := m.pick(t); ok {
				_ = m.ledger.Transfer(name, memory.Purpose(rapid.IntRange(0, 3).Draw(t, "to")), m.now+500)
			}
		},
		"release": func(t *rapid.T) {
			if name, ok := m.pick(t); ok {
				m.ledger.Release(name, m.now)
				delete(m.needed, name)
			}
		},
		"finish": func(t *rapid.T) {
			if name, ok := m.pick(t); ok && m.engine.held[name] > 0 {
				delete(m.engine.held, name)
				m.ledger.Finished(name, m.now)
				delete(m.needed, name)
			}
		},
		"cancel": func(t *rapid.T) {
			m.cancel(rapid.Bool().Draw(t, "arrives"), rapid.Bool().Draw(t, "confirmed"))
		},
		"late confirmation": func(*rapid.T) {
			for _, c := range m.lateConfirmations {
				m.ledger.Confirm(c, m.now)
			}
			m.lateConfirmations = nil
		},
		"reconcile": func(t *rapid.T) { m.reconcile(t, rapid.IntRange(0, 3).Draw(t, "age")) },
		"time":      func(t *rapid.T) { m.advance(oleanderspool.Millis(rapid.IntRange(1, 20).Draw(t, "steps") * 50)) },
		"engine restarts": func(*rapid.T) {
			m.engine.run++
			clear(m.engine.held)
			m.undelivered = nil
			m.dropLost(m.ledger.ObserveRun(1000, m.engine.runID(), m.now))
		},
		"agent restarts": func(t *rapid.T) {
			clear(m.needed)
			m.lateConfirmations = nil
			m.newLedger()
			m.engine.snapshot(m.now)
			age := rapid.IntRange(0, 3).Draw(t, "age")
			list := m.engine.history[max(0, len(m.engine.history)-1-age)]
			if list.RunID == m.engine.runID() {
				m.ledger.Rebuild(1000, list, m.now)
			}
		},
		"": func(t *rapid.T) { m.check(t) },
	}
}

func (m *ledgerMachine) pick(t *rapid.T) (string, bool) {
	names := make([]string, 0, len(m.needed))
	for name := range m.needed {
		names = append(names, name)
	}
	if len(names) == 0 {
		return "", false
	}
	slices.Sort(names)
	return rapid.SampledFrom(names).Draw(t, "name"), true
}

// check is run after every step: the ledger balances, and no memory that the
// agent needs is being cancelled.
func (m *ledgerMachine) check(t *rapid.T) {
	if err := m.ledger.Check(); err != nil {
		t.Fatal(err)
	}
	for name := range m.needed {
		r, ok := m.ledger.Reservation(name)
		if !ok || r.Purpose == memory.PurposeReclaim {
			t.Fatalf("the agent needs %q but its reservation is %+v", name, r)
		}
	}
}

// settle delivers all messages and runs without faults long enough for the
// ledger and the engine to agree.
func (m *ledgerMachine) settle(t *rapid.T) {
	for len(m.undelivered) > 0 {
		m.deliver(t)
	}
	for range 100 {
		m.advance(100)
		m.reconcile(t, 0)
		m.cancel(true, true)
	}
}

// Guards against memory that stays held although it is no longer needed, after
// lost cancels, restarts, expired exports and imports, and outdated lists.
func TestFuzzLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerMachine()
		t.Repeat(m.actions())
		m.settle(t)
		m.check(t)
		if held := m.ledger.ReservedFor(memory.PurposeReclaim); held != 0 {
			t.Fatalf("%d tokens are still being reclaimed", held)
		}
		for name := range m.engine.held {
			if !m.needed[name] {
				t.Fatalf("the engine holds %q, which is no longer needed", name)
			}
		}
		for name := range m.needed {
			if m.engine.held[name] == 0 {
				t.Fatalf("%q is needed but is not held by the engine", name)
			}
		}
	})
}
