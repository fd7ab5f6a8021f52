package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
)

// ListChange is an instance that appeared, changed or left the list.
type ListChange struct {
	State oleanderspool.InstanceState // only the name when the instance is gone
	Gone  bool
}

// List is the platform's instance list as one entry knows it: from its own
// polls and from what other entries tell of theirs. It decides when to poll
// and what to tell. Its methods must not be called concurrently.
//
// Of two observations of an instance the one whose poll was sent later is the
// newer one. All instants are on the clock of this entry: another entry states
// its observations on this clock, at the earliest, so neither a message that
// is late nor a pause makes an old observation look new. The instants of
// another entry are too early by up to the time of one call, and two clocks
// may drift by some milliseconds between two calls. An observation that is
// wrongly taken for the older one leaves digests that differ, and a list that
// no digest confirms is polled again within MaxListLag.
type List struct {
	order  entryOrder
	epoch  uint64
	budget int

	instances map[oleanderspool.InstanceID]*listedInstance
	digest    uint64
	recent    map[oleanderspool.InstanceID]observation

	confirmed oleanderspool.Millis // the list is at least as new as a poll of this instant
	polledAt  oleanderspool.Millis // last own poll that brought a list
	turn      turn
	failures  int // failed polls since then
	retryAt   oleanderspool.Millis
	clocks    map[oleanderspool.InstanceID]peerClock
}

// listedInstance is an instance of the list.
type listedInstance struct {
	state oleanderspool.InstanceState
	seen  oleanderspool.Millis // last own poll that had the instance
}

// observation is a change that other entries may lack.
type observation struct {
	change ListChange
	at     oleanderspool.Millis // instant of the poll that saw it, at the earliest
}

// ListOption configures the list that [NewList] returns.
type ListOption func(*List)

// WithListBudget sets what an entry spends on the list, in bytes per second.
func WithListBudget(bytesPerSecond int) ListOption {
	return func(l *List) { l.budget = bytesPerSecond }
}

// NewList returns the empty list of an entry. epoch is not 0 and differs from
// that of each earlier run of the entry.
func NewList(entry oleanderspool.InstanceID, epoch uint64, options ...ListOption) *List {
	l := &List{
		order:     newEntryOrder(entry),
		epoch:     epoch,
		budget:    DefaultListBudget,
		instances: make(map[oleanderspool.InstanceID]*listedInstance),
		recent:    make(map[oleanderspool.InstanceID]observation),
		confirmed: never,
		polledAt:  never,
		clocks:    make(map[oleanderspool.InstanceID]peerClock),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Address returns the address of a listed instance.
func (l *List) Address(instance oleanderspool.InstanceID) (string, bool) {
	i := l.instances[instance]
	if i == nil {
		return "", false
	}
	return i.state.Address, true
}

// Known reports whether a list was received.
func (l *List) Known() bool {
	return l.confirmed != never
}

// ApplyPoll merges the platform's answer to a poll that was sent at an instant
// and returns what changed. The answer is ignored when the list is known to be
// as new as that.
func (l *List) ApplyPoll(sentAt oleanderspool.Millis, list []oleanderspool.InstanceState) []ListChange {
	l.failures = 0
	if sentAt <= l.confirmed {
		return nil
	}
	first := !l.Known()
	l.forget(sentAt)
	var changes []ListChange
	present := 0
	for _, s := range list {
		i := l.instances[s.Instance]
		counted := i != nil && i.seen == sentAt
		changes = l.observe(ListChange{State: s}, sentAt, changes)
		if i = l.instances[s.Instance]; i != nil && !counted {
			i.seen = sentAt
			present++
		}
	}
	if present < len(l.instances) {
		changes = l.dropAbsent(sentAt, changes)
	}
	if first {
		clear(l.recent) // no change, but the start
	}
	l.confirmed, l.polledAt = sentAt, sentAt
	l.turn = turn{l.order.self.hash, sentAt}
	return changes
}

// dropAbsent observes that the instances that a poll did not have are gone.
func (l *List) dropAbsent(sentAt oleanderspool.Millis, changes []ListChange) []ListChange {
	var absent []oleanderspool.InstanceID
	for id, i := range l.instances {
		if i.seen < sentAt {
			absent = append(absent, id)
		}
	}
	slices.Sort(absent)
	for _, id := range absent {
		changes = l.observe(gone(id), sentAt, changes)
	}
	return changes
}

func gone(id oleanderspool.InstanceID) ListChange {
	return ListChange{State: oleanderspool.InstanceState{Instance: id}, Gone: true}
}

// observe takes an observation of an instance unless a newer one is known.
func (l *List) observe(c ListChange, at oleanderspool.Millis, changes []ListChange) []ListChange {
	id := c.State.Instance
	known := l.instances[id]
	if c.Gone && known == nil || !c.Gone && known != nil && known.state == c.State {
		return changes
	}
	if o, found := l.recent[id]; at <= l.confirmed || found && at <= o.at {
		return changes
	}
	if known != nil {
		l.digest -= digest(known.state)
		delete(l.instances, id)
		l.order.remove(id)
	}
	if !c.Gone {
		l.digest += digest(c.State)
		l.instances[id] = &listedInstance{c.State, at}
	}
	if !c.Gone && c.State.Role == listedEntry {
		l.order.add(id)
	} else {
		delete(l.clocks, id)
	}
	l.recent[id] = observation{c, at}
	return append(changes, c)
}

// forget drops the changes that other entries do not ask for any more. What is
// known of these instances is as new as the confirmed list.
func (l *List) forget(now oleanderspool.Millis) {
	for id, o := range l.recent {
		if o.at < now-2*listWindow && o.at <= l.confirmed {
			delete(l.recent, id)
		}
	}
}

// digest returns the summand of an instance in the digest of a list.
func digest(s oleanderspool.InstanceState) uint64 {
	var b [256]byte
	data := b[:0]
	for _, field := range []string{string(s.Instance), string(s.DataCentre), s.Address, s.Role} {
		data = append(data, field...)
		data = append(data, 0)
	}
	if s.Leaving {
		data = append(data, 1)
	}
	return xxhash.Sum64(data)
}
