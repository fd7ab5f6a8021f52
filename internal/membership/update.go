package membership

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// ListUpdate tells another entry how new the sender's list is. All instants
// are on the clock of the receiver.
type ListUpdate struct {
	Poller   uint64 // hash of the sender's name
	Epoch    uint64 // run of the receiver that the clock belongs to; 0 while it is not known
	PolledAt oleanderspool.Millis
	Digest   uint64
	Changes  []ObservedChange
}

// ObservedChange is a change and the span from its observation to the poll of
// the update, which is negative when it was learned after that poll.
type ObservedChange struct {
	ListChange
	BeforePoll oleanderspool.Millis
}

// ListReply is the answer to an update.
type ListReply struct {
	Epoch   uint64
	Instant oleanderspool.Millis // clock of the receiver
	// Behind asks for the changes, because the list could not be confirmed.
	Behind bool
	Age    oleanderspool.Millis // of the receiver's list before the update; negative while it has none
}

// repeatedSpan is added to the age of a list when the changes since then are
// sent. The receiver may have taken the age up to one call before it arrives.
const repeatedSpan = 2 * oleanderspool.Second

// peerClock converts instants of this entry to those of another one.
type peerClock struct {
	epoch uint64
	ahead oleanderspool.Millis // of this entry's clock, at least
}

// ApplyUpdate merges what another entry tells and returns the answer and what
// changed. The sender's list is at least as new as its poll, so if the digests
// are equal, so is this one.
func (l *List) ApplyUpdate(u ListUpdate, now oleanderspool.Millis) (ListReply, []ListChange) {
	r := ListReply{Epoch: l.epoch, Instant: now, Behind: true, Age: -1}
	if !l.Known() {
		return r, nil
	}
	r.Age = max(0, now-l.confirmed)
	if u.Epoch != l.epoch || u.PolledAt > now {
		return r, nil
	}
	l.forget(now)
	var changes []ListChange
	for _, c := range u.Changes {
		changes = l.observe(c.ListChange, u.PolledAt-c.BeforePoll, changes)
	}
	if u.PolledAt > l.turn.at {
		l.turn = turn{u.Poller, u.PolledAt}
	}
	if u.Digest == l.digest {
		l.confirmed = max(l.confirmed, u.PolledAt)
	}
	r.Behind = l.confirmed < u.PolledAt
	return r, changes
}

// Recipients returns the entries that are to be told of a poll that was sent at an
// instant, those whose turn is next first.
func (l *List) Recipients(sentAt oleanderspool.Millis) []oleanderspool.InstanceID {
	if l.PollsIndependently() || l.polledAt != sentAt {
		return nil
	}
	return l.order.others()
}

// Update returns what an entry is told of the last poll. The changes are sent
// only to those that ask for them.
func (l *List) Update(to oleanderspool.InstanceID) ListUpdate {
	clock := l.clocks[to]
	return ListUpdate{Poller: l.order.self.hash, Epoch: clock.epoch, PolledAt: l.polledAt + clock.ahead, Digest: l.digest}
}

// ApplyReply takes the answer to an update that was sent at an instant. It
// returns the update with the changes, if the other entry asks for it and its
// list is new enough for it; else the other entry polls by itself.
func (l *List) ApplyReply(from oleanderspool.InstanceID, r ListReply, sentAt, now oleanderspool.Millis) (ListUpdate, bool) {
	if _, listed := l.instances[from]; listed {
		l.clocks[from] = peerClock{r.Epoch, r.Instant - now}
	}
	if !r.Behind || r.Age < 0 || r.Age > listWindow {
		return ListUpdate{}, false
	}
	u := l.Update(from)
	for _, o := range l.recent {
		if o.at >= sentAt-r.Age-repeatedSpan {
			u.Changes = append(u.Changes, ObservedChange{o.change, l.polledAt - o.at})
		}
	}
	slices.SortFunc(u.Changes, func(a, b ObservedChange) int {
		return cmp.Compare(a.State.Instance, b.State.Instance)
	})
	return u, true
}
