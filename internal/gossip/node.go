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
	// batchInterval is how long changes are collected before they are sent in one
	// message.
	batchInterval = 3 * time.Millisecond
	// repeatInterval is the time between two complete messages.
	repeatInterval = time.Second
	// joinDelay is how long newly discovered entries are collected before they are
	// sent a complete message. It is also the time between complete messages of an
	// entry that has just started and has not received a message yet.
	joinDelay = 30 * time.Millisecond
	// joinPeriod is how long after its start an entry that has not received a message
	// sends its own at intervals of joinDelay, since the entries at its seed addresses
	// start at about the same time.
	joinPeriod = 5 * time.Second
	// peerTimeout is the time without a message after which an entry counts as
	// unreachable: it missed three complete messages.
	peerTimeout = 3500 * oleanderspool.Millis(1)
	// addressTimeout is how long messages are still sent to an address from which none
	// arrives. Seeds are never removed.
	addressTimeout = 30 * oleanderspool.Second
	// maxDatagram is the maximum size of a datagram in bytes, so that it is rarely
	// fragmented into more than a few packets.
	maxDatagram = 16 << 10
	// maxPeers is the maximum number of addresses that are kept.
	maxPeers = 64
)

// State is the state of the entry that the node sends and updates.
type State interface {
	// Report returns the changes since the last call, or the whole state if complete
	// is set.
	Report(complete bool) Message
	// Apply merges the message of another entry.
	Apply(m Message)
	// RemoveEntry removes the tasks of an entry that left or is unreachable.
	RemoveEntry(runID uint64)
}

// peer is the address of another entry and what is known of the entry there.
type peer struct {
	runID      uint64 // 0 while no entry is alive there
	instance   oleanderspool.InstanceID
	receivedAt oleanderspool.Millis // arrival of the last message; 0 for none
	addedAt    oleanderspool.Millis
	seed       bool
	// clockOffset is the smallest observed difference between the local clock at the
	// arrival of a message and the sender's clock at its sending. The excess of a
	// larger difference is the delay of that message.
	clockOffset oleanderspool.Millis
}

// Node exchanges messages with the other entries over UDP.
type Node struct {
	conn   *net.UDPConn
	self   netip.AddrPort
	state  State
	clock  oleanderspool.Clock
	logger *slog.Logger
	wake   chan struct{}
	joined chan struct{} // signals a new entry or address

	mu    sync.Mutex
	runID uint64 // of this entry; 0 before its first message
	peers map[netip.AddrPort]*peer
}

// NewNode returns a node on an open socket. self is the address at which the others
// reach it. seeds are the addresses that it contacts first; some may be stale.
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

// add adds an address unless it is invalid, this node's own, already known, or
// maxPeers is reached. It reports whether it added the address.
func (n *Node) add(address string, seed bool) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a == n.self || n.peers[a] != nil || len(n.peers) >= maxPeers {
		return false
	}
	n.peers[a] = &peer{addedAt: n.clock.Now(), seed: seed}
	return true
}

// Wake makes the node send the changes of the state soon.
func (n *Node) Wake() {
	broadcast.Wake(n.wake)
}

// LivePeers returns the number of other entries that have sent a message recently.
func (n *Node) LivePeers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	alive := 0
	for _, p := range n.peers {
		if p.runID != 0 {
			alive++
		}
	}
	return alive
}

// Rank returns the number of other live entries that precede this one in an order
// that all entries share.
func (n *Node) Rank() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := 0
	for _, p := range n.peers {
		if p.runID != 0 && p.runID < n.runID {
			rank++
		}
	}
	return rank
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() }) // unblocks receive
	defer stop()
	go n.send(ctx)
	n.receive(ctx)
}

func (n *Node) send(ctx context.Context) {
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for start := time.Now(); ctx.Err() == nil; {
		n.sendToPeers(n.state.Report(true))
		if n.LivePeers() > 0 || time.Since(start) > joinPeriod {
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
			n.sendToPeers(n.state.Report(true))
		case <-ticker.C:
			n.expire()
			n.sendToPeers(n.state.Report(true))
		case <-n.wake:
			time.Sleep(batchInterval)
			n.sendToPeers(n.state.Report(false))
		}
	}
}

// sendToPeers sends a message to every live peer. A complete message contains the
// addresses of the live peers. It, and the message of an entry that leaves, are also
// sent to the addresses at which no entry is known to be alive.
func (n *Node) sendToPeers(m Message) {
	m.SentAt = n.clock.Now()
	n.mu.Lock()
	n.runID = m.RunID
	var targets []netip.AddrPort
	for a, p := range n.peers {
		if p.runID != 0 {
			m.Peers = append(m.Peers, a.String())
		}
		if p.runID != 0 || m.Complete || m.Leaving {
			targets = append(targets, a)
		}
	}
	n.mu.Unlock()
	if !m.Complete {
		m.Peers = nil
	}
	data := Encode(m)
	if len(data) > maxDatagram {
		m.Tasks, m.Complete = nil, false // the tasks were already sent as changes
		data = Encode(m)
	}
	for _, a := range targets {
		// A failed send is treated like a lost datagram.
		_, _ = n.conn.WriteToUDPAddrPort(data, a)
	}
}

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(batchInterval) // the socket reports the failure of an earlier send
			}
			continue
		}
		m, err := Decode(buffer[:size])
		if err != nil || m.RunID == 0 {
			n.logger.Warn("invalid datagram dropped", "from", from.String())
			continue
		}
		n.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

func (n *Node) handle(from netip.AddrPort, m Message) {
	n.mu.Lock()
	added := n.add(from.String(), false)
	p := n.peers[from]
	if p == nil {
		n.mu.Unlock()
		return
	}
	removed := uint64(0)
	if p.runID != m.RunID && p.runID != 0 {
		removed = p.runID
	}
	isNew := p.runID != m.RunID
	n.addDelay(p, &m, isNew)
	p.runID, p.instance, p.receivedAt = m.RunID, m.Instance, n.clock.Now()
	for _, a := range m.Peers {
		added = n.add(a, false) || added
	}
	if m.Leaving {
		removed, p.runID, isNew, added = m.RunID, 0, false, false
	}
	n.mu.Unlock()
	if isNew || added {
		broadcast.Wake(n.joined)
	}
	if removed != 0 {
		n.state.RemoveEntry(removed)
	}
	if isNew {
		n.logger.Info("entry discovered", "instance", m.Instance, "address", from.String())
	}
	n.state.Apply(m)
}

// addDelay adds the delay of a message to the ages of its registry updates, since
// the message may have waited in the socket while this process was paused. The delay
// of the first message of an entry is unknown, so its updates are dropped.
func (n *Node) addDelay(p *peer, m *Message, isNew bool) {
	offset := n.clock.Now() - m.SentAt
	if isNew {
		p.clockOffset, m.RegistryUpdates = offset, nil
		return
	}
	p.clockOffset = min(p.clockOffset, offset)
	for i := range m.RegistryUpdates {
		m.RegistryUpdates[i].Age += offset - p.clockOffset
	}
}

// expire removes the entries that have sent no message within peerTimeout, and the
// addresses from which none has come within addressTimeout, except the seeds.
func (n *Node) expire() {
	now := n.clock.Now()
	var unreachable []uint64
	n.mu.Lock()
	for a, p := range n.peers {
		if p.runID != 0 && now-p.receivedAt > peerTimeout {
			n.logger.Warn("entry unreachable", "instance", p.instance, "address", a.String(), "silent_ms", int64(now-p.receivedAt))
			unreachable = append(unreachable, p.runID)
			p.runID = 0
		}
		if p.runID == 0 && !p.seed && now-max(p.receivedAt, p.addedAt) > addressTimeout {
			delete(n.peers, a)
		}
	}
	n.mu.Unlock()
	for _, runID := range unreachable {
		n.state.RemoveEntry(runID)
	}
}

// Leave announces to the other entries that this entry stops.
func (n *Node) Leave() {
	m := n.state.Report(false)
	m.Leaving = true
	n.sendToPeers(m)
}
