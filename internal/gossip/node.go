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
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

const (
	// batchInterval is how long changes are collected before they are sent in one
	// message.
	batchInterval = 3 * time.Millisecond
	// relayInterval is the smallest time between two datagrams of a relay to the same
	// entry, unless a datagram is full.
	relayInterval = 10 * time.Millisecond
	// repeatInterval is the time between two complete messages.
	repeatInterval = time.Second
	// joinDelay is how long newly discovered entries are collected before they are
	// sent a complete message. It is also the first time between complete messages of
	// an entry that has just started and has not received a message yet; it doubles
	// with each of them.
	joinDelay = 30 * time.Millisecond
	// joinPeriod is how long after its start an entry that has not received a message
	// sends its own at these intervals, since the entries at its seed addresses start
	// at about the same time.
	joinPeriod = 3 * time.Second
	// replyInterval is the smallest time between two replies to an entry.
	replyInterval = 250 * oleanderspool.Millis(1)
	// maxDatagram is the maximum size of a datagram in bytes, so that it is rarely
	// fragmented into more than a few packets.
	maxDatagram = 16 << 10
)

// State is the state of the entry that the node sends and updates.
type State interface {
	// Report returns the changes since the last call, or the whole state if complete
	// is set.
	Report(complete bool) Message
	// Snapshot returns the tasks of each entry, without the other parts of their
	// states.
	Snapshot() []Message
	// Apply merges the message of another entry.
	Apply(m Message)
	// RemoveEntry removes the tasks of an entry that left or is unreachable.
	RemoveEntry(runID uint64)
	// Confirm receives a confirmation of the configuration.
	Confirm(c Confirmation)
}

// Node exchanges messages with the other entries over UDP.
type Node struct {
	conn   *net.UDPConn
	state  State
	clock  oleanderspool.Clock
	logger *slog.Logger
	guard  *observe.Guard
	wake   chan struct{}
	joined chan struct{} // signals a new entry
	relay  chan struct{} // signals messages to pass on

	mu       sync.Mutex
	roster   *roster
	sequence uint64
	// toRelays and toSubscribers hold encoded messages to pass on.
	toRelays, toSubscribers [][]byte
	confirmations           []Confirmation
	confirmedNext           oleanderspool.Offset // not sent yet; 0 for none
	sentAsRelay             bool                 // a datagram was sent on each link since the last check
	announcedHome           uint64               // relay that received the last own message
}

// Option configures a [Node].
type Option func(*Node)

// WithGuard sets the guard of the node's tasks.
func WithGuard(guard *observe.Guard) Option {
	return func(n *Node) { n.guard = guard }
}

// NewNode returns a node on an open socket. self describes this entry; its address
// is the one at which the others reach it. seeds are the addresses that it contacts
// first; some may be stale.
func NewNode(conn *net.UDPConn, self Endpoint, seeds []string, state State, clock oleanderspool.Clock, logger *slog.Logger, options ...Option) *Node {
	address, err := netip.ParseAddrPort(self.Address)
	if err != nil {
		logger.Error("invalid address of this entry", "address", self.Address, "error", err.Error())
	}
	n := &Node{
		conn: conn, state: state, clock: clock, logger: logger, roster: newRoster(self, address),
		guard: observe.NewGuard(logger, observe.NewMetrics()),
		wake:  make(chan struct{}, 1), joined: make(chan struct{}, 1), relay: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(n)
	}
	for _, s := range seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			n.roster.addContact(a, true, clock.Now())
		} else {
			logger.Warn("invalid seed ignored", "seed", s, "error", err.Error())
		}
	}
	return n
}

// Wake makes the node send the changes of the state soon.
func (n *Node) Wake() {
	broadcast.Wake(n.wake)
}

// LivePeers returns the number of other entries that have sent a message recently.
func (n *Node) LivePeers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.roster.members)
}

// Rank returns the number of other live entries that precede this one in an order
// that all entries share.
func (n *Node) Rank() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.rank()
}

// IsRelay reports whether this entry has no relay that could confirm the
// configuration to it.
func (n *Node) IsRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.isRelay()
}

// HasSubscribers reports whether other entries depend on this one as their relay.
func (n *Node) HasSubscribers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.hasSubscribers(n.clock.Now())
}

// ConfirmConfiguration tells the subscribers that the configuration before the
// offset next is confirmed as of an instant.
func (n *Node) ConfirmConfiguration(at oleanderspool.Millis, next oleanderspool.Offset) {
	now := n.clock.Now()
	n.mu.Lock()
	subscribed := n.roster.hasSubscribers(now)
	if subscribed {
		n.confirmations, n.confirmedNext = n.roster.confirmationsFor(at, now), next
	}
	n.mu.Unlock()
	if subscribed {
		broadcast.Wake(n.relay)
	}
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() }) // unblocks receive
	defer stop()
	go n.send(ctx)
	go n.sendRelayed(ctx)
	n.receive(ctx)
}

func (n *Node) send(ctx context.Context) {
	repeat, links := time.NewTicker(repeatInterval), time.NewTicker(linkInterval.Duration())
	defer repeat.Stop()
	defer links.Stop()
	delay := joinDelay
	for start := time.Now(); ctx.Err() == nil; delay *= 2 {
		n.sendOwn(true)
		if n.LivePeers() > 0 || time.Since(start) > joinPeriod {
			break
		}
		time.Sleep(delay)
	}
	for ctx.Err() == nil {
		n.guard.Run("message", func() {
			select {
			case <-ctx.Done():
			case <-n.joined:
				time.Sleep(joinDelay)
				n.sendOwn(true)
			case <-repeat.C:
				n.expire()
				n.sendOwn(true)
				n.sendMembers()
			case <-links.C:
				n.checkLinks()
			case <-n.wake:
				time.Sleep(batchInterval)
				n.sendOwn(false)
			}
		})
	}
}

// sendOwn sends a message of this entry: to its relay, or, if it is a relay itself,
// to the other relays and its subscribers. A complete message is also sent to the
// addresses at which no entry is known to be alive.
func (n *Node) sendOwn(complete bool) {
	m := n.state.Report(complete)
	n.deliver(m)
}

func (n *Node) deliver(m Message) {
	now := n.clock.Now()
	m.SentAt = now
	n.mu.Lock()
	if n.roster.runID != m.RunID {
		n.roster.runID = m.RunID
		n.roster.assignRelays(now)
	}
	homeBefore := n.announcedHome
	n.announcedHome = n.roster.home
	if m.Complete {
		m.Endpoint = n.roster.self
	}
	n.sequence++
	m.Sequence = n.sequence
	data := Encode(m)
	if len(data) > maxDatagram {
		m.Tasks, m.Complete = nil, false // the tasks were already sent as changes
		data = Encode(m)
	}
	home, subscribed := n.roster.homeAddress()
	var vacant []netip.AddrPort
	if (m.Complete || m.Leaving) && !subscribed {
		vacant = n.roster.vacant()
	}
	if !subscribed {
		n.toRelays = append(n.toRelays, data)
		n.toSubscribers = append(n.toSubscribers, data)
	}
	relayed, current, members := n.roster.hasSubscribers(now), n.announcedHome, len(n.roster.members)
	n.mu.Unlock()
	if current != homeBefore {
		n.logger.Info("relay changed", "run", current, "before", homeBefore, "members", members)
	}
	switch {
	case subscribed:
		n.write(packet{sender: m.RunID, kind: kindSubscription, messages: [][]byte{data}}, home)
	case relayed && !m.Leaving:
		broadcast.Wake(n.relay)
	default:
		n.flush()
	}
	n.write(packet{sender: m.RunID, kind: kindHello, messages: [][]byte{data}}, vacant...)
}

// sendMembers tells the entries that depend on this relay, and the other relays,
// which entries it knows.
func (n *Node) sendMembers() {
	now := n.clock.Now()
	n.mu.Lock()
	if !n.roster.isRelay() {
		n.mu.Unlock()
		return
	}
	p := packet{sender: n.roster.runID, kind: kindReply, members: n.roster.listMembers(now)}
	targets := addresses(n.roster.linkedRelays(now), n.roster.subscribers(now))
	n.mu.Unlock()
	n.write(p, targets...)
}

func addresses(lists ...[]*member) []netip.AddrPort {
	var all []netip.AddrPort
	for _, list := range lists {
		for _, e := range list {
			all = append(all, e.address)
		}
	}
	return all
}

// sendRelayed passes messages on, no more often than relayInterval.
func (n *Node) sendRelayed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.relay:
			n.guard.Run("relay", n.flush)
			time.Sleep(relayInterval)
		}
	}
}

// flush sends the messages and confirmations that are to be passed on.
func (n *Node) flush() {
	now := n.clock.Now()
	n.mu.Lock()
	sender := n.roster.runID
	relays, subscribers := addresses(n.roster.linkedRelays(now)), addresses(n.roster.subscribers(now))
	toRelays, toSubscribers := n.toRelays, n.toSubscribers
	confirmations, next := n.confirmations, n.confirmedNext
	n.toRelays, n.toSubscribers, n.confirmations, n.confirmedNext = nil, nil, nil, 0
	n.sentAsRelay = n.sentAsRelay || len(toRelays) > 0
	n.mu.Unlock()
	for _, part := range split(toRelays) {
		n.write(packet{sender: sender, kind: kindRelay, messages: part}, relays...)
	}
	for _, part := range split(toSubscribers) {
		n.write(packet{sender: sender, kind: kindForward, messages: part}, subscribers...)
	}
	if next != 0 {
		n.write(packet{sender: sender, kind: kindForward, confirmations: confirmations, confirmedNext: next}, subscribers...)
	}
}

// split divides messages into parts that fit into a datagram each.
func split(messages [][]byte) [][][]byte {
	var parts [][][]byte
	size := maxDatagram
	for _, m := range messages {
		if size += len(m); size > maxDatagram {
			parts, size = append(parts, nil), len(m)
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], m)
	}
	return parts
}

func (n *Node) write(p packet, targets ...netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	data := encodePacket(p)
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
		// The next complete messages repeat what a datagram contained whose processing
		// panics.
		n.guard.Run("datagram", func() { n.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:size]) })
	}
}

// handle processes a datagram.
func (n *Node) handle(from netip.AddrPort, data []byte) {
	p, err := decodePacket(data)
	if err != nil {
		n.logger.Warn("invalid datagram dropped", "from", from.String(), "error", err.Error())
		return
	}
	for _, data := range p.messages {
		m, err := Decode(data)
		if err != nil || m.RunID == 0 {
			n.logger.Warn("invalid message dropped", "from", from.String())
			continue
		}
		n.handleMessage(from, p, m, data)
	}
	n.handlePacket(from, p)
}

// handlePacket processes the parts of a datagram that are not messages.
func (n *Node) handlePacket(from netip.AddrPort, p packet) {
	r := n.acceptPacket(p)
	if r.announce {
		broadcast.Wake(n.joined)
	}
	if r.reply {
		n.write(packet{sender: r.self, kind: kindReply, members: r.members}, from)
	}
	if r.subscribed {
		n.sendSnapshot(r.self, from)
	}
	if p.confirmedNext == 0 {
		return
	}
	own := Confirmation{Next: p.confirmedNext}
	for _, c := range p.confirmations {
		if c.runID == r.self {
			own = c
		}
	}
	n.state.Confirm(own)
}

// receivedPacket is what a datagram changed and asks for.
type receivedPacket struct {
	self       uint64
	announce   bool
	subscribed bool // the sender is a new subscriber
	reply      bool // the sender is to be told the members
	members    []listedMember
}

// acceptPacket records a datagram in the roster.
func (n *Node) acceptPacket(p packet) receivedPacket {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	r := receivedPacket{self: n.roster.runID}
	added := n.roster.list(p.members, now)
	if e := n.roster.members[p.sender]; e != nil {
		e.heard = true
		switch p.kind {
		case kindRelay:
			e.relayedAt = now
		case kindSubscription:
			r.subscribed = n.roster.subscribe(e, now)
		}
		if r.reply = (r.subscribed || p.kind == kindHello) && now-e.repliedAt >= replyInterval; r.reply {
			e.repliedAt = now
			r.members = n.roster.listMembers(now)
		}
	}
	r.announce = n.announceLocked(added)
	return r
}

// announceLocked reports whether this entry should send a complete message soon:
// when its relay has changed, and in a small fleet for entries that it has just
// discovered. In a larger one a new entry gets the tasks of all from its relay.
func (n *Node) announceLocked(discovered bool) bool {
	return n.roster.home != n.announcedHome || discovered && len(n.roster.members) < meshSize
}

// sendSnapshot sends the tasks of all entries to a new subscriber.
func (n *Node) sendSnapshot(self uint64, to netip.AddrPort) {
	var messages [][]byte
	for _, m := range n.state.Snapshot() {
		messages = append(messages, Encode(m))
	}
	for _, part := range split(messages) {
		n.write(packet{sender: self, kind: kindForward, messages: part}, to)
	}
}

// received is what a message changed.
type received struct {
	fresh    bool // the message is to be applied
	isNew    bool // it is the first one of its entry
	announce bool
	address  netip.AddrPort // of its entry
}

// handleMessage applies a message and queues it for the entries that it is to be
// passed on to.
func (n *Node) handleMessage(from netip.AddrPort, p packet, m Message, data []byte) {
	r := n.accept(from, p, &m, data)
	if !r.fresh {
		return
	}
	if r.announce {
		broadcast.Wake(n.joined)
	}
	if r.isNew && !m.Leaving {
		n.logger.Info("entry discovered", "instance", m.Endpoint.Instance, "address", r.address.String(), "run", m.RunID)
	}
	n.state.Apply(m)
	if m.Leaving {
		n.state.RemoveEntry(m.RunID)
	}
}

// accept records a message in the roster.
func (n *Node) accept(from netip.AddrPort, p packet, m *Message, data []byte) received {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.RunID == n.roster.runID {
		return received{}
	}
	direct := netip.AddrPort{}
	if m.RunID == p.sender {
		direct = from
	}
	e, isNew, fresh := n.observe(*m, direct, now)
	if !fresh {
		return received{}
	}
	latest := true
	if m.Sequence != 0 {
		var repeated bool
		if repeated, latest = e.arrive(m.Sequence); repeated {
			return received{}
		}
		n.addDelay(e, m, now)
		n.queue(p.kind, data, now)
	}
	// Tasks that a later message added are missing from an earlier complete one.
	m.Complete = m.Complete && latest
	if p.kind == kindSubscription && m.RunID == p.sender {
		e.ask(m.SentAt, now)
	}
	if m.Leaving {
		n.roster.remove(m.RunID, now)
	}
	return received{fresh: true, isNew: isNew, announce: n.announceLocked(isNew && !m.Leaving), address: e.address}
}

// observe records a message of an entry. It reports fresh as false for one that
// is not to be applied: the copy of the tasks of an entry that sends its own.
func (n *Node) observe(m Message, direct netip.AddrPort, now oleanderspool.Millis) (e *member, isNew, fresh bool) {
	if m.Sequence == 0 {
		e = n.roster.members[m.RunID]
		return e, false, e != nil && e.sequence == 0
	}
	e, isNew = n.roster.observe(m, direct, now)
	return e, isNew, true
}

// queue queues a message for the entries that it is to be passed on to.
func (n *Node) queue(k kind, data []byte, now oleanderspool.Millis) {
	queued := false
	if n.roster.hasSubscribers(now) {
		n.toSubscribers = append(n.toSubscribers, append([]byte(nil), data...))
		queued = true
	}
	if k == kindHello || k == kindSubscription {
		n.toRelays = append(n.toRelays, append([]byte(nil), data...))
		queued = true
	}
	if queued {
		broadcast.Wake(n.relay)
	}
}

// addDelay adds the delay of a message to its ages, since the message may have
// waited in the socket while this process was paused. The delay of the first
// message of an entry is unknown, so its registry updates are dropped.
func (n *Node) addDelay(e *member, m *Message, now oleanderspool.Millis) {
	delay, known := e.clocks.delay(m.SentAt, now)
	if !known {
		m.RegistryUpdates = nil
		return
	}
	for i := range m.RegistryUpdates {
		m.RegistryUpdates[i].Age += delay
	}
	for i := range m.Tasks {
		m.Tasks[i].Age += delay
	}
}

// expire removes the entries that have sent no message for too long.
func (n *Node) expire() {
	now := n.clock.Now()
	n.mu.Lock()
	unreachable := n.roster.expire(now)
	n.mu.Unlock()
	for _, e := range unreachable {
		n.logger.Warn("entry unreachable", "instance", e.Instance, "address", e.address.String(), "silent_ms", int64(now-e.heardAt))
		n.state.RemoveEntry(e.runID)
	}
}

// checkLinks replaces relays that are silent, and sends an empty datagram on each
// link on which none was sent since the last check.
func (n *Node) checkLinks() {
	now := n.clock.Now()
	n.mu.Lock()
	silent := n.roster.checkLinks(now)
	announce := n.announceLocked(false)
	var targets []netip.AddrPort
	if !n.sentAsRelay && (n.roster.isRelay() || n.roster.hasSubscribers(now)) {
		targets = addresses(n.roster.linkedRelays(now), n.roster.subscribers(now))
	}
	n.sentAsRelay = false
	p := packet{sender: n.roster.runID, kind: kindRelay}
	n.mu.Unlock()
	n.write(p, targets...)
	for _, e := range silent {
		n.logger.Warn("relay silent", "instance", e.Instance, "address", e.address.String(), "missed", maxMissedIntervals, "pause_ms", int64(relayPause))
	}
	if announce {
		n.sendOwn(true)
	}
}

// Leave announces to the other entries that this entry stops.
func (n *Node) Leave() {
	m := n.state.Report(false)
	m.Leaving = true
	n.deliver(m)
}
