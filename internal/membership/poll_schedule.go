package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

const (
	// DefaultListBudget is how many bytes per second an entry may spend on the
	// platform's list: on its polls and on the updates that it sends and receives
	// while nothing changes. At 12,830 instances and 830 entries it allows the minimum
	// turn interval, and leaves 4.2 of the 6 KB/s for other control traffic.
	DefaultListBudget = 1800

	// MaxListLag is the time in milliseconds within which a live entry learns of a
	// change of the platform's list, whatever happens to the other entries, if the
	// platform answers within 3 s. It covers the latest poll of an entry that receives
	// no updates (twice listWindow), the answer, and a retry.
	MaxListLag = 25 * oleanderspool.Second

	// listWindow is how long changes are available to other entries. An entry whose
	// list was last confirmed longer ago polls the list itself.
	listWindow = 10 * oleanderspool.Second

	// minTurnInterval and maxTurnInterval bound the time between the polls of two
	// successive entries. At the maximum, two entries still keep each other's list
	// confirmed within listWindow.
	minTurnInterval = oleanderspool.Second
	maxTurnInterval = listWindow

	// instanceBytes is the size of an instance in the platform's answer: 117 bytes on
	// average at 12,830 instances.
	instanceBytes = 117

	// updateBytes is the size of an update without changes and its reply. Counted at
	// the socket, they take 117 bytes (TestListTraffic in internal/entry).
	updateBytes = 120
)

// never is an instant before all others. Subtracting it from an instant does not
// overflow.
const never oleanderspool.Millis = math.MinInt64 / 4

// ringEntry is an entry's place in the order in which entries poll.
type ringEntry struct {
	hash     uint64
	instance oleanderspool.InstanceID
}

// pollRecord is a poll of the list by any entry.
type pollRecord struct {
	poller uint64 // hash of the entry's name
	at     oleanderspool.Millis
}

// entryOrder is the order in which entries poll: listed entries by the hash of their
// names.
type entryOrder struct {
	self ringEntry
	ring []ringEntry // sorted; contains self
}

func newEntryOrder(self oleanderspool.InstanceID) entryOrder {
	own := ringEntry{routing.Hash(self), self}
	return entryOrder{self: own, ring: []ringEntry{own}}
}

func compareRing(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.instance, b.instance))
}

func (o *entryOrder) add(instance oleanderspool.InstanceID) {
	e := ringEntry{routing.Hash(instance), instance}
	if i, found := slices.BinarySearchFunc(o.ring, e, compareRing); !found {
		o.ring = slices.Insert(o.ring, i, e)
	}
}

// remove removes an entry from the order. The own entry stays, since an entry that
// has just started is not listed yet.
func (o *entryOrder) remove(instance oleanderspool.InstanceID) {
	e := ringEntry{routing.Hash(instance), instance}
	if i, found := slices.BinarySearchFunc(o.ring, e, compareRing); found && e != o.self {
		o.ring = slices.Delete(o.ring, i, i+1)
	}
}

// distance returns how many turns after a poller the own entry polls, from 1 to the
// number of entries.
func (o *entryOrder) distance(poller uint64) int {
	own, _ := slices.BinarySearchFunc(o.ring, o.self, compareRing)
	next, _ := slices.BinarySearchFunc(o.ring, poller, func(e ringEntry, hash uint64) int {
		if e.hash <= hash {
			return -1
		}
		return 1
	})
	n := len(o.ring)
	return (own-next+n)%n + 1
}

// successors returns the other entries in the order in which they poll after the own
// entry.
func (o *entryOrder) successors() []oleanderspool.InstanceID {
	own, _ := slices.BinarySearchFunc(o.ring, o.self, compareRing)
	others := make([]oleanderspool.InstanceID, 0, len(o.ring)-1)
	for i := 1; i < len(o.ring); i++ {
		others = append(others, o.ring[(own+i)%len(o.ring)].instance)
	}
	return others
}

// TurnInterval returns the time between the polls of two successive entries. It is
// derived from the size of the list, the number of entries and the budget.
func (l *List) TurnInterval() oleanderspool.Millis {
	bytes := len(l.instances)*instanceBytes/len(l.order.ring) + 2*updateBytes
	interval := oleanderspool.Millis(bytes) * oleanderspool.Second / oleanderspool.Millis(l.budget)
	return min(max(interval, minTurnInterval), maxTurnInterval)
}

// PollsIndependently reports whether the list is so small that each entry polls it at
// the minimum turn interval and sends no updates to the others. For that, a small
// fleet may spend twice the budget.
func (l *List) PollsIndependently() bool {
	return len(l.instances)*instanceBytes <= 2*l.budget
}

// NextPoll returns the instant from which the entry should poll the list. The entries
// take turns in the order of their hashed names, counted from the newest poll that
// this entry knows of. If an entry misses its turn, the next one polls a turn
// interval later. An entry whose list was not confirmed within listWindow polls
// within the next listWindow, after a delay that is derived from the hash of its
// name, so that entries that start or lose their connections together do not poll at
// the same instant.
func (l *List) NextPoll() oleanderspool.Millis {
	due := never
	switch {
	case l.confirmedAt == never:
	case l.PollsIndependently():
		due = l.polledAt + minTurnInterval
	default:
		distance := oleanderspool.Millis(l.order.distance(l.newestPoll.poller))
		jitter := oleanderspool.Millis(l.order.self.hash % uint64(listWindow))
		due = min(l.newestPoll.at+distance*l.TurnInterval(), l.confirmedAt+listWindow+jitter)
	}
	if l.failures > 0 {
		due = max(due, l.retryAt)
	}
	return due
}

// PollFailed records that a poll failed. The delay until the next one doubles up to
// listWindow, so that not every entry polls a slow platform each second.
func (l *List) PollFailed(now oleanderspool.Millis) {
	backoff := listWindow
	if l.failures < 4 {
		backoff = min(backoff, oleanderspool.Second<<l.failures)
	}
	l.failures++
	l.retryAt = now + backoff
}
