package clientlimit

import (
	"cmp"
	"container/list"
	"net/netip"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// ID identifies a connection.
type ID uint64

const (
	// unfinishedGrace is the time after which a connection without a whole request is
	// closed before any that has completed one. Headers and ordinary bodies arrive faster.
	unfinishedGrace = oleanderspool.Second
	// sendingGrace is the time after which a caller that reads nothing counts as stalled.
	sendingGrace = oleanderspool.Second
	// blockedGrace is the same when there is no other choice. The buffers in the kernel
	// take an event of an ordinary stream at once.
	blockedGrace = 20 * oleanderspool.Millis(1)
)

// phase is what a connection waits for.
type phase int

const (
	unfinished phase = iota // a whole request
	idle                    // the next request, after a completed one
	sending                 // a caller that reads its answer
	running                 // the answer of a backend server
	phases
)

type connection struct {
	id      ID
	address netip.Addr
	phase   phase
	since   oleanderspool.Millis
	element *list.Element
	// pipelines means that the client has sent bytes of a request before the answer to
	// the one before, which ordinary callers do not.
	pipelines bool
}

// Table holds the open connections and chooses the one that is closed when there are too
// many. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	connections map[ID]*connection
	addresses   map[netip.Addr]int
	order       [phases]*list.List // by time, longest first
}

// NewTable returns a table without connections.
func NewTable(limits Limits) *Table {
	t := &Table{limits: limits, connections: make(map[ID]*connection), addresses: make(map[netip.Addr]int)}
	for p := range t.order {
		t.order[p] = list.New()
	}
	return t
}

// Decision says whether a new connection is accepted, and which one is closed for it.
type Decision struct {
	Accepted bool
	Evicted  ID // connection that is closed for it; 0 for none
	// Limit names the limit that was reached; empty for none.
	Limit string
}

// The limits that [Table.Open] reports.
const (
	LimitConnections = "client_connections"
	LimitAddress     = "client_address_connections"
)

// Open adds a new connection, which waits for its first request, and removes the one
// that is closed for it.
func (t *Table) Open(id ID, address netip.Addr, now oleanderspool.Millis) Decision {
	d := Decision{Accepted: true}
	var victim *connection
	switch {
	case t.addresses[address] >= t.limits.AddressConnections:
		d.Limit = LimitAddress
		victim = t.victim(now, func(c *connection) bool { return c.address == address })
	case len(t.connections) >= t.limits.Connections:
		d.Limit = LimitConnections
		victim = t.victim(now, func(*connection) bool { return true })
	}
	if d.Limit != "" && victim == nil {
		return Decision{Limit: d.Limit}
	}
	if victim != nil {
		d.Evicted = victim.id
		t.Close(victim.id)
	}
	c := &connection{id: id, address: address}
	t.connections[id] = c
	t.addresses[address]++
	t.enter(c, unfinished, now)
	return d
}

// victim returns the connection that has waited longest without completing a request,
// then one that pipelines, the one that has been idle for longest, a stalled reader, and
// one that was just opened, and a reader that is behind; nil for none.
func (t *Table) victim(now oleanderspool.Millis, eligible func(*connection) bool) *connection {
	ranks := []struct {
		phase     phase
		grace     oleanderspool.Millis
		pipelines bool // only connections that pipeline
	}{
		{unfinished, unfinishedGrace, false},
		{sending, 0, true},
		{running, 0, true},
		{idle, 0, false},
		{sending, sendingGrace, false},
		{unfinished, 0, false},
		{sending, blockedGrace, false},
	}
	for _, r := range ranks {
		for e := t.order[r.phase].Front(); e != nil; e = e.Next() {
			c := e.Value.(*connection)
			if now-c.since < r.grace {
				break
			}
			if eligible(c) && (c.pipelines || !r.pipelines) {
				return c
			}
		}
	}
	return nil
}

func (t *Table) enter(c *connection, p phase, now oleanderspool.Millis) {
	if c.element != nil {
		t.order[c.phase].Remove(c.element)
	}
	c.phase, c.since = p, now
	c.element = t.order[p].PushBack(c)
}

func (t *Table) move(id ID, p phase, now oleanderspool.Millis) {
	if c, found := t.connections[id]; found {
		t.enter(c, p, now)
	}
}

// Receive records that a connection has sent a header, or that the answer to its
// request is complete and it is about to be closed.
func (t *Table) Receive(id ID, now oleanderspool.Millis) { t.move(id, unfinished, now) }

// Run records that a whole request has arrived.
func (t *Table) Run(id ID, now oleanderspool.Millis) { t.move(id, running, now) }

// Pipeline records that a client does not wait for its answers.
func (t *Table) Pipeline(id ID, _ oleanderspool.Millis) {
	if c, found := t.connections[id]; found {
		c.pipelines = true
	}
}

// Idle records that a connection waits for its next request.
func (t *Table) Idle(id ID, now oleanderspool.Millis) { t.move(id, idle, now) }

// Send records that a part of an answer is being written to a connection.
func (t *Table) Send(id ID, now oleanderspool.Millis) {
	if c, found := t.connections[id]; found && c.phase == running {
		t.enter(c, sending, now)
	}
}

// Sent records that the part was written.
func (t *Table) Sent(id ID, now oleanderspool.Millis) {
	if c, found := t.connections[id]; found && c.phase == sending {
		t.enter(c, running, now)
	}
}

// Close removes a connection. It may be unknown.
func (t *Table) Close(id ID) {
	c, found := t.connections[id]
	if !found {
		return
	}
	t.order[c.phase].Remove(c.element)
	delete(t.connections, id)
	if t.addresses[c.address]--; t.addresses[c.address] == 0 {
		delete(t.addresses, c.address)
	}
}

// Busy returns the connections that are not idle: only these can have unread bytes.
func (t *Table) Busy() []ID {
	var ids []ID
	for p, l := range t.order {
		if phase(p) == idle {
			continue
		}
		for e := l.Front(); e != nil; e = e.Next() {
			ids = append(ids, e.Value.(*connection).id)
		}
	}
	return ids
}

// Holding is what a connection holds, in bytes.
type Holding struct {
	ID    ID
	Bytes int
}

// Excess returns the connections to close so that the rest together stays within a
// limit, those that hold most first.
func Excess(holdings []Holding, limit int64) []ID {
	sum := int64(0)
	for _, h := range holdings {
		sum += int64(h.Bytes)
	}
	if sum <= limit {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(holdings), func(a, b Holding) int { return cmp.Compare(b.Bytes, a.Bytes) })
	var ids []ID
	for _, h := range sorted {
		if sum <= limit {
			break
		}
		sum -= int64(h.Bytes)
		ids = append(ids, h.ID)
	}
	return ids
}
