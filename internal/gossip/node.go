package gossip

import (
	"bytes"
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
	// maxQueue is the maximum number of messages that wait to be passed on. A relay of
	// the largest fleet collects some hundred in relayInterval.
	maxQueue = 4096
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

// ConfirmConfiguration confirms to the subscribers the configuration before the offset
// next as of an instant.
func (n *Node) ConfirmConfiguration(at oleanderspool.Millis, next oleanderspool.Offset) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.roster.hasSubscribers(now) {
		n.confirmations, n.confirmedNext = n.roster.confirmationsFor(at, now), next
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
		n.guard.Run("message", func() { n.sendOwn(true) })
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

// sendOwn sends the state of this entry, or its changes.
func (n *Node) sendOwn(complete bool) {
	n.deliver(n.state.Report(complete))
}

// delivery is a message of this entry and its way.
type delivery struct {
	data       []byte         // the encoded message
	subscribed bool           // it goes to home, and otherwise is queued as a relay's own
	home       netip.AddrPort // relay of this entry
	vacant     []netip.AddrPort
	relayed    bool // subscribers are sent to at intervals
}

// deliver sends a message of this entry: to its relay, or, if it is a relay itself, to
// the other relays and its subscribers. A complete message of a relay is also sent to
// the addresses at which no entry is known to be alive.
func (n *Node) deliver(m Message) {
	d := n.prepare(m)
	switch {
	case d.subscribed:
		n.write(packet{sender: m.RunID, kind: kindSubscription, messages: [][]byte{d.data}}, d.home)
	case d.relayed && !m.Leaving:
		broadcast.Wake(n.relay)
	default:
		n.flush()
	}
	n.write(packet{sender: m.RunID, kind: kindHello, messages: [][]byte{d.data}}, d.vacant...)
}

// prepare numbers and encodes a message and decides its way.
func (n *Node) prepare(m Message) delivery {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.roster.runID != m.RunID {
		n.roster.runID = m.RunID
		n.roster.assignRelays(now)
	}
	if n.announcedHome != n.roster.home {
		n.logger.Info("relay changed", "run", n.roster.home, "before", n.announcedHome, "members", len(n.roster.members))
		n.announcedHome = n.roster.home
	}
	n.sequence++
	m.Sequence, m.SentAt = n.sequence, now
	if m.Complete {
		m.Endpoint = n.roster.self
	}
	data := Encode(m)
	if len(data) > maxDatagram {
		m.Tasks, m.Complete = nil, false // the tasks were already sent as changes
		data = Encode(m)
	}
	d := delivery{data: data, relayed: n.roster.hasSubscribers(now)}
	if d.home, d.subscribed = n.roster.homeAddress(); d.subscribed {
		return d
	}
	n.toRelays = enqueue(n.toRelays, data)
	n.toSubscribers = enqueue(n.toSubscribers, data)
	if m.Complete || m.Leaving {
		d.vacant = n.roster.vacant()
	}
	return d
}

// enqueue adds an encoded message to a queue, unless the queue is full: the next
// complete messages repeat what is lost.
func enqueue(queue [][]byte, data []byte) [][]byte {
	if len(queue) >= maxQueue {
		return queue
	}
	return append(queue, data)
}

// sendMembers sends the list of the members that a relay knows to its subscribers and
// to the other relays.
func (n *Node) sendMembers() {
	if p, targets := n.memberList(); len(targets) > 0 {
		n.write(p, targets...)
	}
}

func (n *Node) memberList() (packet, []netip.AddrPort) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.roster.isRelay() {
		return packet{}, nil
	}
	p := packet{sender: n.roster.runID, kind: kindReply, members: n.roster.listMembers(now)}
	return p, addresses(n.roster.linkedRelays(now), n.roster.subscribers(now))
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

// outgoing is what a relay passes on, and to whom.
type outgoing struct {
	sender                  uint64
	relays, subscribers     []netip.AddrPort
	toRelays, toSubscribers [][]byte
	confirmations           []Confirmation
	confirmedNext           oleanderspool.Offset
}

// takeOutgoing empties the queues.
func (n *Node) takeOutgoing() outgoing {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	o := outgoing{
		sender: n.roster.runID, relays: addresses(n.roster.linkedRelays(now)), subscribers: addresses(n.roster.subscribers(now)),
		toRelays: n.toRelays, toSubscribers: n.toSubscribers, confirmations: n.confirmations, confirmedNext: n.confirmedNext,
	}
	n.toRelays, n.toSubscribers, n.confirmations, n.confirmedNext = nil, nil, nil, 0
	n.sentAsRelay = n.sentAsRelay || len(o.toRelays) > 0
	return o
}

// flush sends the messages and confirmations that are to be passed on.
func (n *Node) flush() {
	o := n.takeOutgoing()
	for _, part := range split(o.toRelays) {
		n.write(packet{sender: o.sender, kind: kindRelay, messages: part}, o.relays...)
	}
	for _, part := range split(o.toSubscribers) {
		n.write(packet{sender: o.sender, kind: kindForward, messages: part}, o.subscribers...)
	}
	if o.confirmedNext != 0 {
		n.write(packet{sender: o.sender, kind: kindForward, confirmations: o.confirmations, confirmedNext: o.confirmedNext}, o.subscribers...)
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
	reply      bool // the sender receives the list of the members
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
	forward, relay := n.roster.hasSubscribers(now), k == kindHello || k == kindSubscription
	if !forward && !relay {
		return
	}
	data = bytes.Clone(data) // the queues only read it
	if forward {
		n.toSubscribers = enqueue(n.toSubscribers, data)
	}
	if relay {
		n.toRelays = enqueue(n.toRelays, data)
	}
	broadcast.Wake(n.relay)
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
	for i := range m.Crashes {
		m.Crashes[i].Age += delay
	}
	for i := range m.Answered {
		m.Answered[i].Age += delay
	}
	for i := range m.Quarantined {
		m.Quarantined[i].Age += delay
		m.Quarantined[i].Idle += delay
	}
}

// expire removes the entries that have sent no message for too long.
func (n *Node) expire() {
	now := n.clock.Now()
	for _, e := range n.takeUnreachable(now) {
		n.logger.Warn("entry unreachable", "instance", e.Instance, "address", e.address.String(), "silent_ms", int64(now-e.heardAt))
		n.state.RemoveEntry(e.runID)
	}
}

func (n *Node) takeUnreachable(now oleanderspool.Millis) []*member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.expire(now)
}

// checkLinks replaces relays that are silent, and sends an empty datagram on each
// link on which none was sent since the last check.
func (n *Node) checkLinks() {
	c := n.checkRoster()
	n.write(packet{sender: c.self, kind: kindRelay}, c.idle...)
	for _, e := range c.silent {
		n.logger.Warn("relay silent", "instance", e.Instance, "address", e.address.String(), "missed", maxMissedIntervals, "pause_ms", int64(relayPause))
	}
	if c.announce {
		n.sendOwn(true)
	}
}

// linkCheck is the result of a check of the links.
type linkCheck struct {
	self     uint64
	silent   []*member
	idle     []netip.AddrPort // links without a datagram since the last check
	announce bool             // the relay of this entry has changed
}

func (n *Node) checkRoster() linkCheck {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	c := linkCheck{self: n.roster.runID, silent: n.roster.checkLinks(now)}
	c.announce = n.announceLocked(false)
	if !n.sentAsRelay && (n.roster.isRelay() || n.roster.hasSubscribers(now)) {
		c.idle = addresses(n.roster.linkedRelays(now), n.roster.subscribers(now))
	}
	n.sentAsRelay = false
	return c
}

// Leave announces to the other entries that this entry stops.
func (n *Node) Leave() {
	m := n.state.Report(false)
	m.Leaving = true
	n.deliver(m)
}
