package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
)

const (
	// batchInterval is how long changes are collected before they are sent.
	batchInterval = 3 * time.Millisecond
	// repeatInterval is the span between two complete messages.
	repeatInterval = time.Second
	// joinDelay is the span for which newly heard of entries are collected before
	// they get a complete message, and the span between complete messages of an
	// entry that has just started and has heard of none.
	joinDelay = 30 * time.Millisecond
	// joinSpan is how long after its start an entry that has heard of none repeats
	// its message faster: the entries of its seeds start at about the same time.
	joinSpan = 5 * time.Second
	// aliveLimit is the span without a message after which an entry counts as
	// gone: it missed three complete messages.
	aliveLimit = 3500 * oleanderspool.Millis(1)
	// forgetPeer is the span after which nothing is sent to a silent address.
	forgetPeer = 30 * oleanderspool.Second
	// maxDatagram bounds a datagram in bytes, so that it is rarely fragmented
	// into more than a few packets.
	maxDatagram = 16 << 10
	// maxPeers bounds the addresses that are kept.
	maxPeers = 64
)

// State is the part of the entry that the node reads and writes.
type State interface {
	// Report returns the changes since the last call, or everything.
	Report(complete bool) Message
	// Apply takes the message of another entry.
	Apply(m Message)
	// RemoveEntry ends the work of an entry that is gone.
	RemoveEntry(entry uint64)
}

// peer is another address.
type peer struct {
	entry   uint64
	name    oleanderspool.InstanceID
	heardAt oleanderspool.Millis // 0 when never
	addedAt oleanderspool.Millis
	seed    bool
	// offset is the smallest difference seen between the own clock at the arrival of
	// a message and the sender's clock at its sending. A larger one means a delay.
	offset oleanderspool.Millis
}

// Node exchanges messages with the other entries.
type Node struct {
	conn   *net.UDPConn
	self   netip.AddrPort
	state  State
	clock  oleanderspool.Clock
	logger *slog.Logger
	wake   chan struct{}
	joined chan struct{} // an entry or an address is new

	mu    sync.Mutex
	entry uint64 // of this entry; 0 before its first message
	peers map[netip.AddrPort]*peer
}

// NewNode returns a node on an open socket. self is the address under which
// others reach it; seeds may be stale.
func NewNode(conn *net.UDPConn, self netip.AddrPort, seeds []string, state State, clock oleanderspool.Clock, logger *slog.Logger) *Node {
	n := &Node{
		conn: conn, self: self, state: state, clock: clock, logger: logger,
		wake: make(chan struct{}, 1), joined: make(chan struct{}, 1), peers: make(map[netip.AddrPort]*peer),
	}
	for _, s := range seeds {
		n.add(s, true)
	}
	return n
}

// add reports whether the address is new.
func (n *Node) add(address string, seed bool) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a == n.self || n.peers[a] != nil || len(n.peers) >= maxPeers {
		return false
	}
	n.peers[a] = &peer{addedAt: n.clock.Now(), seed: seed}
	return true
}

// Wake asks for the changes of the state to be sent soon.
func (n *Node) Wake() {
	broadcast.Wake(n.wake)
}

// Alive returns the number of other entries that were heard of lately.
func (n *Node) Alive() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	alive := 0
	for _, p := range n.peers {
		if p.entry != 0 {
			alive++
		}
	}
	return alive
}

// Rank returns the number of other entries, heard of lately, that come before this
// one in an order that all entries share.
func (n *Node) Rank() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := 0
	for _, p := range n.peers {
		if p.entry != 0 && p.entry < n.entry {
			rank++
		}
	}
	return rank
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() }) // ends receive
	defer stop()
	go n.send(ctx)
	n.receive(ctx)
}

func (n *Node) send(ctx context.Context) {
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for start := time.Now(); ctx.Err() == nil; {
		n.tell(n.state.Report(true))
		if n.Alive() > 0 || time.Since(start) > joinSpan {
			break
		}
		time.Sleep(joinDelay)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.joined:
			time.Sleep(joinDelay)
			n.tell(n.state.Report(true))
		case <-ticker.C:
			n.expire()
			n.tell(n.state.Report(true))
		case <-n.wake:
			time.Sleep(batchInterval)
			n.tell(n.state.Report(false))
		}
	}
}

// tell sends a message to every peer. Complete messages name the peers that are
// alive and also go to silent addresses.
func (n *Node) tell(m Message) {
	m.SentAt = n.clock.Now()
	n.mu.Lock()
	n.entry = m.Entry
	var targets []netip.AddrPort
	for a, p := range n.peers {
		if p.entry != 0 {
			m.Peers = append(m.Peers, a.String())
		}
		if p.entry != 0 || m.Complete || m.Leaving {
			targets = append(targets, a)
		}
	}
	n.mu.Unlock()
	if !m.Complete {
		m.Peers = nil
	}
	data := Encode(m)
	if len(data) > maxDatagram {
		m.Tasks, m.Complete = nil, false // the changes were sent before
		data = Encode(m)
	}
	for _, a := range targets {
		// A datagram that cannot be sent is like one that is lost.
		_, _ = n.conn.WriteToUDPAddrPort(data, a)
	}
}

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(batchInterval) // an error of an earlier send
			}
			continue
		}
		m, err := Decode(buffer[:size])
		if err != nil || m.Entry == 0 {
			n.logger.Warn("datagram dropped", "from", from.String())
			continue
		}
		n.hear(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

func (n *Node) hear(from netip.AddrPort, m Message) {
	n.mu.Lock()
	added := n.add(from.String(), false)
	p := n.peers[from]
	if p == nil {
		n.mu.Unlock()
		return
	}
	lost := uint64(0)
	if p.entry != m.Entry && p.entry != 0 {
		lost = p.entry
	}
	isNew := p.entry != m.Entry
	n.age(p, &m, isNew)
	p.entry, p.name, p.heardAt = m.Entry, m.Instance, n.clock.Now()
	for _, a := range m.Peers {
		added = n.add(a, false) || added
	}
	if m.Leaving {
		lost, p.entry, isNew, added = m.Entry, 0, false, false
	}
	n.mu.Unlock()
	if isNew || added {
		broadcast.Wake(n.joined)
	}
	if lost != 0 {
		n.state.RemoveEntry(lost)
	}
	if isNew {
		n.logger.Info("entry found", "instance", m.Instance, "address", from.String())
	}
	n.state.Apply(m)
}

// age adds the delay of a message to the ages that it states. A message may have
// waited in the socket while this process was frozen. The delay of the first
// message of an entry is unknown, so its news is not used.
func (n *Node) age(p *peer, m *Message, isNew bool) {
	offset := n.clock.Now() - m.SentAt
	if isNew {
		p.offset, m.RegistryUpdates = offset, nil
		return
	}
	p.offset = min(p.offset, offset)
	for i := range m.RegistryUpdates {
		m.RegistryUpdates[i].Age += offset - p.offset
	}
}

// expire forgets entries that fell silent.
func (n *Node) expire() {
	now := n.clock.Now()
	var lost []uint64
	n.mu.Lock()
	for a, p := range n.peers {
		if p.entry != 0 && now-p.heardAt > aliveLimit {
			n.logger.Warn("entry lost", "instance", p.name, "address", a.String(), "silent_ms", int64(now-p.heardAt))
			lost = append(lost, p.entry)
			p.entry = 0
		}
		if p.entry == 0 && !p.seed && now-max(p.heardAt, p.addedAt) > forgetPeer {
			delete(n.peers, a)
		}
	}
	n.mu.Unlock()
	for _, entry := range lost {
		n.state.RemoveEntry(entry)
	}
}

// Leave tells the others that the entry stops.
func (n *Node) Leave() {
	m := n.state.Report(false)
	m.Leaving = true
	n.tell(m)
}
