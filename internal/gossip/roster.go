package gossip

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// peerTimeout is the time without a message after which an entry counts as
	// unreachable: it missed three complete messages.
	peerTimeout = 3500 * oleanderspool.Millis(1)
	// addressTimeout is how long an address is kept at which no entry is alive. Seeds
	// are never removed.
	addressTimeout = 30 * oleanderspool.Second
	// maxContacts is the maximum number of such addresses.
	maxContacts = 256
	// meshSize is the number of entries up to which all of them are relays.
	meshSize = 8
	// relaySubscribers is the number of entries of a data centre per relay.
	relaySubscribers = 24
	// subscriptionTimeout is how long a relay sends to an entry after its last
	// datagram: it missed two complete messages.
	subscriptionTimeout = 2500 * oleanderspool.Millis(1)
	// linkInterval is the time between two checks of the links to relays. A relay
	// sends at least one datagram in it on each link.
	linkInterval = 200 * oleanderspool.Millis(1)
	// maxMissedIntervals is the number of checks without a datagram from a relay after
	// which another one takes its place.
	maxMissedIntervals = 3
	// relayPause is how long a relay that missed them is not used.
	relayPause = 2 * oleanderspool.Second
	// driftAllowance bounds the difference in rate between two clocks: one ms for so
	// many.
	driftAllowance = 5000
	// sequenceWindow is the number of messages of an entry, before its latest, whose
	// arrival is remembered.
	sequenceWindow = 64
)

// member is another entry.
type member struct {
	runID uint64
	Endpoint
	address   netip.AddrPort // invalid until it is known
	heardAt   oleanderspool.Millis
	clocks    clockOffset
	sequence  uint64 // highest number of a received message
	arrived   uint64 // bit i: the message with number sequence-i has arrived
	missed    int    // checks of the link without a datagram directly from it
	heard     bool   // a datagram came directly from it since the last check
	pausedTo  oleanderspool.Millis
	relayedAt oleanderspool.Millis // last datagram that it sent as a relay to this entry as a relay; 0 for none
	// subscribedAt is the arrival of its last datagram as a subscriber; 0 for none.
	subscribedAt oleanderspool.Millis
	questions    []question // not confirmed yet, oldest first
	repliedAt    oleanderspool.Millis
}

// question is the arrival of a message of a subscriber, which asks by it whether
// its configuration is current.
type question struct {
	askedAt   oleanderspool.Millis // on the clock of the subscriber
	arrivedAt oleanderspool.Millis
}

const (
	// questionInterval is the smallest time between two questions that are kept.
	questionInterval = 200 * oleanderspool.Millis(1)
	// maxQuestions is the maximum number of kept questions.
	maxQuestions = 16
)

// ask records that a message of a subscriber has arrived.
func (m *member) ask(askedAt, now oleanderspool.Millis) {
	if last := len(m.questions) - 1; last >= 0 && now-m.questions[last].arrivedAt < questionInterval {
		return
	}
	if len(m.questions) == maxQuestions {
		m.questions = m.questions[1:]
	}
	m.questions = append(m.questions, question{askedAt: askedAt, arrivedAt: now})
}

// takeQuestion returns the latest question that arrived no later than an instant,
// and drops it and those before it.
func (m *member) takeQuestion(until oleanderspool.Millis) (question, bool) {
	for i := len(m.questions) - 1; i >= 0; i-- {
		if q := m.questions[i]; q.arrivedAt <= until {
			m.questions = m.questions[i+1:]
			return q, true
		}
	}
	return question{}, false
}

// clockOffset estimates the delay of the messages of an entry. It tracks the
// smallest difference between the local clock at the arrival of a message and the
// sender's clock at its sending; the excess of a larger one is the delay.
type clockOffset struct {
	known  bool
	offset oleanderspool.Millis
	at     oleanderspool.Millis
}

// delay returns the delay of a message. That of the first message is unknown.
func (c *clockOffset) delay(sentAt, now oleanderspool.Millis) (delay oleanderspool.Millis, known bool) {
	offset := now - sentAt
	if !c.known {
		*c = clockOffset{known: true, offset: offset, at: now}
		return 0, false
	}
	// The smallest difference may be outdated when the clocks drift apart.
	if drift := (now - c.at) / driftAllowance; drift > 0 {
		c.offset += drift
		c.at += drift * driftAllowance
	}
	c.offset = min(c.offset, offset)
	return offset - c.offset, true
}

// arrive records the arrival of a message and reports whether it has arrived before,
// and whether it is the latest one of its sender.
func (m *member) arrive(sequence uint64) (repeated, latest bool) {
	switch {
	case sequence > m.sequence:
		if shift := sequence - m.sequence; shift < sequenceWindow {
			m.arrived = m.arrived<<shift | 1
		} else {
			m.arrived = 1
		}
		m.sequence = sequence
		return false, true
	case m.sequence-sequence >= sequenceWindow:
		return true, false
	}
	bit := uint64(1) << (m.sequence - sequence)
	repeated = m.arrived&bit != 0
	m.arrived |= bit
	return repeated, false
}

// contact is an address at which no entry is known to be alive.
type contact struct {
	since oleanderspool.Millis
	seed  bool
}

// roster is what an entry knows of the others, and decides which of them are
// relays. It does no I/O and is not safe for concurrent use.
type roster struct {
	self     Endpoint
	address  netip.AddrPort
	runID    uint64 // 0 before the first message of this entry
	members  map[uint64]*member
	contacts map[netip.AddrPort]contact
	left     map[uint64]oleanderspool.Millis         // run IDs of entries that left or were unreachable, and since when
	relays   map[oleanderspool.DataCentreID][]uint64 // run IDs, the best first
	home     uint64                                  // relay of this entry; 0 while it is one itself
	// lastSubscription is the arrival of the last datagram of any subscriber; 0 for none.
	lastSubscription oleanderspool.Millis
}

func newRoster(self Endpoint, address netip.AddrPort) *roster {
	return &roster{
		self: self, address: address, members: make(map[uint64]*member), contacts: make(map[netip.AddrPort]contact),
		left: make(map[uint64]oleanderspool.Millis), relays: make(map[oleanderspool.DataCentreID][]uint64),
	}
}

// addContact adds an address unless it is invalid, this entry's own or already known.
func (r *roster) addContact(address netip.AddrPort, seed bool, now oleanderspool.Millis) {
	if !address.IsValid() || address == r.address || len(r.contacts) >= maxContacts {
		return
	}
	if _, found := r.contacts[address]; !found {
		r.contacts[address] = contact{since: now, seed: seed}
	}
}

// observe records a message of an entry and reports whether the entry is new. from
// is valid if the message came directly from it.
func (r *roster) observe(m Message, from netip.AddrPort, now oleanderspool.Millis) (e *member, isNew bool) {
	e = r.members[m.RunID]
	if isNew = e == nil; isNew {
		e = &member{runID: m.RunID}
		r.members[m.RunID] = e
	}
	e.heardAt = now
	described := m.Endpoint != (Endpoint{}) && m.Endpoint != e.Endpoint
	if described {
		e.Endpoint = m.Endpoint
	}
	located := r.locate(e, from)
	if described || located || isNew {
		r.assignRelays(now)
	}
	return e, isNew
}

// locate sets the address of an entry: the one that a datagram came from, or else
// the one that it states.
func (r *roster) locate(e *member, from netip.AddrPort) bool {
	if !from.IsValid() {
		if e.address.IsValid() {
			return false
		}
		stated, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			return false
		}
		from = stated
	}
	if e.address == from {
		return false
	}
	e.address = from
	return true
}

// list merges the members that another entry knows. An entry that is only listed
// stays alive no longer than the one that hears it.
func (r *roster) list(listed []listedMember, now oleanderspool.Millis) (added bool) {
	for _, l := range listed {
		if _, left := r.left[l.runID]; left || l.runID == 0 || l.runID == r.runID || l.silence > peerTimeout {
			continue
		}
		e := r.members[l.runID]
		if e == nil {
			e = &member{runID: l.runID, Endpoint: l.Endpoint}
			r.members[l.runID] = e
			added = true
		}
		if e.Endpoint == (Endpoint{}) {
			e.Endpoint = l.Endpoint
		}
		e.heardAt = max(e.heardAt, now-l.silence)
		r.locate(e, netip.AddrPort{})
	}
	if added {
		r.assignRelays(now)
	}
	return added
}

// listMembers returns the members for another entry.
func (r *roster) listMembers(now oleanderspool.Millis) []listedMember {
	list := make([]listedMember, 0, len(r.members))
	for _, e := range r.members {
		if e.address.IsValid() {
			described := e.Endpoint
			described.Address = e.address.String()
			list = append(list, listedMember{runID: e.runID, Endpoint: described, silence: max(0, now-e.heardAt)})
		}
	}
	return list
}

// remove removes an entry and keeps its address as a contact.
func (r *roster) remove(runID uint64, now oleanderspool.Millis) {
	if e := r.members[runID]; e != nil {
		delete(r.members, runID)
		r.left[runID] = now
		r.addContact(e.address, false, now)
		r.assignRelays(now)
	}
}

// expire removes the entries of which no message came within peerTimeout and
// returns them. It also removes old contacts.
func (r *roster) expire(now oleanderspool.Millis) []*member {
	var unreachable []*member
	for runID, e := range r.members {
		if now-e.heardAt > peerTimeout {
			unreachable = append(unreachable, e)
			r.remove(runID, now)
		}
	}
	for runID, at := range r.left {
		if now-at > addressTimeout {
			delete(r.left, runID)
		}
	}
	for a, c := range r.contacts {
		if !c.seed && now-c.since > addressTimeout {
			delete(r.contacts, a)
		}
	}
	return unreachable
}

// vacant returns the contacts at which no member is.
func (r *roster) vacant() []netip.AddrPort {
	taken := make(map[netip.AddrPort]bool, len(r.members))
	for _, e := range r.members {
		taken[e.address] = true
	}
	var list []netip.AddrPort
	for a := range r.contacts {
		if !taken[a] {
			list = append(list, a)
		}
	}
	return list
}

// candidate is an entry that may be a relay.
type candidate struct {
	runID    uint64
	capacity int64
}

// precedes orders entries by their capacity, largest first.
func (c candidate) precedes(other candidate) int {
	return cmp.Or(cmp.Compare(other.capacity, c.capacity), cmp.Compare(c.runID, other.runID))
}

// assignRelays determines the relays of each data centre and that of this entry.
func (r *roster) assignRelays(now oleanderspool.Millis) {
	byDataCentre := map[oleanderspool.DataCentreID][]candidate{r.self.DataCentre: {{r.runID, r.self.Capacity}}}
	for _, e := range r.members {
		if e.address.IsValid() && e.Endpoint != (Endpoint{}) && now >= e.pausedTo {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], candidate{e.runID, e.Capacity})
		}
	}
	clear(r.relays)
	for dc, list := range byDataCentre {
		slices.SortFunc(list, candidate.precedes)
		count := len(list)
		if len(r.members) >= meshSize {
			count = (len(list) + relaySubscribers - 1) / relaySubscribers
		}
		for _, c := range list[:count] {
			r.relays[dc] = append(r.relays[dc], c.runID)
		}
	}
	own := r.relays[r.self.DataCentre]
	previous := r.home
	r.home = own[int(r.runID%uint64(len(own)))]
	if slices.Contains(own, r.runID) {
		r.home = 0
	}
	if e := r.members[r.home]; e != nil && r.home != previous {
		e.missed, e.heard = 0, true
	}
}

// isRelay reports whether this entry is a relay.
func (r *roster) isRelay() bool {
	return r.home == 0
}

// homeAddress returns the address of the relay of this entry.
func (r *roster) homeAddress() (netip.AddrPort, bool) {
	if e := r.members[r.home]; e != nil {
		return e.address, true
	}
	return netip.AddrPort{}, false
}

// linkedRelays returns the other relays: those of this entry's view, and the entries
// that act as relays towards it.
func (r *roster) linkedRelays(now oleanderspool.Millis) []*member {
	var list []*member
	linked := make(map[uint64]bool)
	for _, relays := range r.relays {
		for _, runID := range relays {
			if e := r.members[runID]; e != nil {
				list = append(list, e)
				linked[runID] = true
			}
		}
	}
	for _, e := range r.members {
		if !linked[e.runID] && e.relayedAt != 0 && now-e.relayedAt < subscriptionTimeout && e.address.IsValid() {
			list = append(list, e)
		}
	}
	return list
}

// subscribe records a datagram of a subscriber and reports whether it is a new one.
func (r *roster) subscribe(e *member, now oleanderspool.Millis) (isNew bool) {
	isNew = e.subscribedAt == 0 || now-e.subscribedAt >= subscriptionTimeout
	e.subscribedAt, r.lastSubscription = now, now
	return isNew
}

// hasSubscribers reports whether other entries depend on this one as their relay.
func (r *roster) hasSubscribers(now oleanderspool.Millis) bool {
	return r.lastSubscription != 0 && now-r.lastSubscription < subscriptionTimeout
}

// subscribers returns the entries that this one passes messages on to.
func (r *roster) subscribers(now oleanderspool.Millis) []*member {
	var list []*member
	for _, e := range r.members {
		if e.subscribedAt != 0 && now-e.subscribedAt < subscriptionTimeout && e.address.IsValid() {
			list = append(list, e)
		}
	}
	return list
}

// checkLinks pauses the relays that this entry depends on and that sent nothing
// since the last checks. It returns them.
func (r *roster) checkLinks(now oleanderspool.Millis) []*member {
	var silent []*member
	check := func(e *member) {
		if e.heard {
			e.missed = 0
		} else if e.missed++; e.missed >= maxMissedIntervals {
			e.missed, e.pausedTo = 0, now+relayPause
			silent = append(silent, e)
		}
	}
	if e := r.members[r.home]; e != nil {
		check(e)
	} else {
		for _, relays := range r.relays {
			for _, runID := range relays {
				if e := r.members[runID]; e != nil {
					check(e)
				}
			}
		}
	}
	ended := false
	for _, e := range r.members {
		e.heard = false
		if e.pausedTo != 0 && now >= e.pausedTo {
			e.pausedTo, ended = 0, true
		}
	}
	if len(silent) > 0 || ended {
		r.assignRelays(now)
	}
	return silent
}

// rank returns the number of other entries that precede this one in an order that
// all entries share.
func (r *roster) rank() int {
	self := candidate{r.runID, r.self.Capacity}
	rank := 0
	for _, e := range r.members {
		if (candidate{e.runID, e.Capacity}).precedes(self) < 0 {
			rank++
		}
	}
	return rank
}

// confirmationsFor returns the confirmations for the subscribers that asked before
// the given instant.
func (r *roster) confirmationsFor(until, now oleanderspool.Millis) []Confirmation {
	var list []Confirmation
	for _, e := range r.subscribers(now) {
		if q, found := e.takeQuestion(until); found {
			list = append(list, Confirmation{runID: e.runID, AskedAt: q.askedAt})
		}
	}
	return list
}
