package membership

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// ListUpdate is what an entry sends to another one after a poll of the list. With the
// digest the receiver checks whether its own list is as new as that poll. All
// instants are on the clock of the receiver.
type ListUpdate struct {
	Poller   uint64 // hash of the sender's name
	Epoch    uint64 // epoch of the receiver that PolledAt refers to; 0 while it is not known
	PolledAt oleanderspool.Millis
	Digest   uint64
	Changes  []ObservedChange
}

// ObservedChange is a change of the list. BeforePoll is the time from the poll that
// observed the change to the poll of the update. It is negative if the change was
// observed by a later poll.
type ObservedChange struct {
	ListChange
	BeforePoll oleanderspool.Millis
}

// ListReply is the reply to a [ListUpdate].
type ListReply struct {
	Epoch   uint64
	Instant oleanderspool.Millis // clock of the receiver at the arrival of the update
	// Behind asks the sender for the changes, because the update did not confirm the
	// receiver's list.
	Behind bool
	Age    oleanderspool.Millis // time since the receiver's list was confirmed, before the update; negative while it has no list
}

// changeOverlap is added to the age in a reply when the changes since the receiver's
// list was confirmed are selected. The receiver may have determined that age up to
// one call before the reply arrives.
const changeOverlap = 2 * oleanderspool.Second

// peerClock converts instants of this entry's clock to the clock of another entry.
type peerClock struct {
	epoch  uint64
	offset oleanderspool.Millis // lower bound of how far the other clock is ahead of this entry's clock
}

// ApplyUpdate merges the update of another entry and returns the reply and the
// changes. The sender's list is at least as new as its poll. If the digests are
// equal, this list is as new, too.
func (l *List) ApplyUpdate(u ListUpdate, now oleanderspool.Millis) (ListReply, []ListChange) {
	r := ListReply{Epoch: l.epoch, Instant: now, Behind: true, Age: -1}
	if !l.Known() {
		return r, nil
	}
	r.Age = max(0, now-l.confirmedAt)
	if u.Epoch != l.epoch || u.PolledAt > now {
		return r, nil
	}
	l.dropOldChanges(now)
	var changes []ListChange
	for _, c := range u.Changes {
		changes = l.observe(c.ListChange, u.PolledAt-c.BeforePoll, changes)
	}
	if u.PolledAt > l.newestPoll.at {
		l.newestPoll = pollRecord{u.Poller, u.PolledAt}
	}
	if u.Digest == l.digest {
		l.confirmedAt = max(l.confirmedAt, u.PolledAt)
	}
	r.Behind = l.confirmedAt < u.PolledAt
	return r, changes
}

// Recipients returns the entries to which an update is sent after the own poll that
// was sent at sentAt, in the order in which they will poll next.
func (l *List) Recipients(sentAt oleanderspool.Millis) []oleanderspool.InstanceID {
	if l.PollsIndependently() || l.polledAt != sentAt {
		return nil
	}
	return l.order.successors()
}

// Update returns the update of the last own poll for another entry. It contains no
// changes; an entry that needs them asks for them in its reply.
func (l *List) Update(to oleanderspool.InstanceID) ListUpdate {
	clock := l.clocks[to]
	return ListUpdate{Poller: l.order.self.hash, Epoch: clock.epoch, PolledAt: l.polledAt + clock.offset, Digest: l.digest}
}

// ApplyReply handles the reply to an update that was sent at sentAt. It returns the
// update with the changes if the other entry asks for them and its list is not too
// old for them. Otherwise it returns false, and the other entry polls the list itself
// if it is behind.
func (l *List) ApplyReply(from oleanderspool.InstanceID, r ListReply, sentAt, now oleanderspool.Millis) (ListUpdate, bool) {
	if _, listed := l.instances[from]; listed {
		l.clocks[from] = peerClock{r.Epoch, r.Instant - now}
	}
	if !r.Behind || r.Age < 0 || r.Age > listWindow {
		return ListUpdate{}, false
	}
	u := l.Update(from)
	for _, o := range l.recent {
		if o.at >= sentAt-r.Age-changeOverlap {
			u.Changes = append(u.Changes, ObservedChange{o.change, l.polledAt - o.at})
		}
	}
	slices.SortFunc(u.Changes, func(a, b ObservedChange) int {
		return cmp.Compare(a.State.Instance, b.State.Instance)
	})
	return u, true
}
