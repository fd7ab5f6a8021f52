package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
)

// ListChange is the addition, change or removal of an instance of the list.
type ListChange struct {
	State   oleanderspool.InstanceState // only Instance is set when the instance was removed
	Removed bool
}

// List is an entry's copy of the platform's instance list, built from its own polls
// and from the updates that other entries send after theirs. It decides when to poll
// and what to send to other entries. Its methods must not be called concurrently.
//
// Of two observations of an instance, the one whose poll was sent later is the newer
// one. All instants are on the clock of this entry. Another entry converts the
// instants of its observations to this clock, rounded towards the past, so that
// neither a late message nor a pause makes an old observation look new. Converted
// instants are too early by up to the duration of one call, and two clocks may drift
// apart by some milliseconds between two calls. If an observation is wrongly taken
// for the older one, the digests of the two lists differ, and a list that no digest
// confirms is polled again within MaxListLag.
type List struct {
	order  entryOrder
	epoch  uint64
	budget int

	instances map[oleanderspool.InstanceID]*listedInstance
	digest    uint64
	recent    map[oleanderspool.InstanceID]observation // last changes, to send to other entries

	confirmedAt oleanderspool.Millis // the list is at least as new as a poll sent at this instant
	polledAt    oleanderspool.Millis // when the last successful own poll was sent
	newestPoll  pollRecord
	failures    int                  // failed own polls since the last successful one
	retryAt     oleanderspool.Millis // no poll before this instant after a failed one
	clocks      map[oleanderspool.InstanceID]peerClock
}

// listedInstance is an instance in the list.
type listedInstance struct {
	state oleanderspool.InstanceState
	seen  oleanderspool.Millis // when the last own poll that contained the instance was sent
}

// observation is a change that other entries may not know of yet.
type observation struct {
	change ListChange
	at     oleanderspool.Millis // when the poll that observed it was sent; may be too early, but not too late
}

// ListOption configures the list that [NewList] returns.
type ListOption func(*List)

// WithListBudget sets how many bytes per second an entry may spend on polls and
// updates of the list.
func WithListBudget(bytesPerSecond int) ListOption {
	return func(l *List) { l.budget = bytesPerSecond }
}

// NewList returns the empty list of an entry. epoch must not be 0 and must differ
// from that of each earlier run of the entry.
func NewList(entry oleanderspool.InstanceID, epoch uint64, options ...ListOption) *List {
	l := &List{
		order:       newEntryOrder(entry),
		epoch:       epoch,
		budget:      DefaultListBudget,
		instances:   make(map[oleanderspool.InstanceID]*listedInstance),
		recent:      make(map[oleanderspool.InstanceID]observation),
		confirmedAt: never,
		polledAt:    never,
		clocks:      make(map[oleanderspool.InstanceID]peerClock),
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

// Known reports whether the list was received at least once.
func (l *List) Known() bool {
	return l.confirmedAt != never
}

// ApplyPoll merges the platform's answer to a poll that was sent at sentAt and
// returns the changes. The answer is ignored if the list is already confirmed
// as of sentAt or later.
func (l *List) ApplyPoll(sentAt oleanderspool.Millis, list []oleanderspool.InstanceState) []ListChange {
	l.failures = 0
	if sentAt <= l.confirmedAt {
		return nil
	}
	first := !l.Known()
	l.dropOldChanges(sentAt)
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
		changes = l.removeAbsent(sentAt, changes)
	}
	if first {
		clear(l.recent) // the first list consists of no changes
	}
	l.confirmedAt, l.polledAt = sentAt, sentAt
	l.newestPoll = pollRecord{l.order.self.hash, sentAt}
	return changes
}

// removeAbsent observes the removal of the instances that a poll did not contain.
func (l *List) removeAbsent(sentAt oleanderspool.Millis, changes []ListChange) []ListChange {
	var absent []oleanderspool.InstanceID
	for id, i := range l.instances {
		if i.seen < sentAt {
			absent = append(absent, id)
		}
	}
	slices.Sort(absent)
	for _, id := range absent {
		changes = l.observe(removal(id), sentAt, changes)
	}
	return changes
}

func removal(id oleanderspool.InstanceID) ListChange {
	return ListChange{State: oleanderspool.InstanceState{Instance: id}, Removed: true}
}

// observe applies an observation of an instance unless a newer one is known, and
// appends it to changes if it was applied.
func (l *List) observe(c ListChange, at oleanderspool.Millis, changes []ListChange) []ListChange {
	id := c.State.Instance
	known := l.instances[id]
	if c.Removed && known == nil || !c.Removed && known != nil && known.state == c.State {
		return changes
	}
	if o, found := l.recent[id]; at <= l.confirmedAt || found && at <= o.at {
		return changes
	}
	if known != nil {
		l.digest -= digest(known.state)
		delete(l.instances, id)
		l.order.remove(id)
	}
	if !c.Removed {
		l.digest += digest(c.State)
		l.instances[id] = &listedInstance{c.State, at}
	}
	if !c.Removed && c.State.Role == roleEntry {
		l.order.add(id)
	} else {
		delete(l.clocks, id)
	}
	l.recent[id] = observation{c, at}
	return append(changes, c)
}

// dropOldChanges drops the changes that other entries no longer ask for. They are not
// needed to order observations either, since the confirmed list is as new as they are.
func (l *List) dropOldChanges(now oleanderspool.Millis) {
	for id, o := range l.recent {
		if o.at < now-2*listWindow && o.at <= l.confirmedAt {
			delete(l.recent, id)
		}
	}
}

// digest returns the digest of one instance. The digest of a list is the sum over its
// instances.
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
