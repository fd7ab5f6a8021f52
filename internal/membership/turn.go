package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

const (
	// DefaultListBudget is what an entry spends on the platform's list, in
	// bytes per second: its polls and the updates that it sends and receives
	// while nothing changes. At 12,830 instances and 830 entries it allows the
	// shortest turn, and leaves 4.2 of the 6 KB/s for other control traffic.
	DefaultListBudget = 1800

	// MaxListLag is the span in milliseconds after which a live entry knows of a
	// change of the platform's list, whatever happens to the other entries, if
	// the platform answers within 3 s. It is the latest poll of an entry that
	// hears from no other (twice listWindow), the answer, and a retry.
	MaxListLag = 25 * oleanderspool.Second

	// listWindow is the span for which changes are kept for other entries. An
	// entry whose list was not confirmed for longer polls by itself.
	listWindow = 10 * oleanderspool.Second

	// shortestTurn and longestTurn bound the span between the polls of two
	// entries that follow each other. The longest one lets two entries keep to
	// listWindow.
	shortestTurn = oleanderspool.Second
	longestTurn  = listWindow

	// listedBytes is the size of an instance in the platform's answer: 117
	// bytes at 12,830 instances.
	listedBytes = 117

	// updateBytes is the size of a call that carries no change, with its reply:
	// 117 bytes counted at the socket by TestListTraffic (internal/entry).
	updateBytes = 120
)

// never is an instant before all others. It is far enough from the end of the
// range to be subtracted from an instant.
const never oleanderspool.Millis = math.MinInt64 / 4

// ringEntry is an entry of the order in which entries poll.
type ringEntry struct {
	hash     uint64
	instance oleanderspool.InstanceID
}

// turn is the newest poll that is known.
type turn struct {
	poller uint64
	at     oleanderspool.Millis
}

// entryOrder keeps the listed entries ordered by the hash of their names.
type entryOrder struct {
	self ringEntry
	ring []ringEntry // with self
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

// remove takes an entry out. The own one stays, since an entry that has just
// started is not listed yet.
func (o *entryOrder) remove(instance oleanderspool.InstanceID) {
	e := ringEntry{routing.Hash(instance), instance}
	if i, found := slices.BinarySearchFunc(o.ring, e, compareRing); found && e != o.self {
		o.ring = slices.Delete(o.ring, i, i+1)
	}
}

// distance returns after how many turns the own entry follows a poller, from 1
// to the number of entries.
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

// others returns the other entries, those whose turn is next first.
func (o *entryOrder) others() []oleanderspool.InstanceID {
	own, _ := slices.BinarySearchFunc(o.ring, o.self, compareRing)
	others := make([]oleanderspool.InstanceID, 0, len(o.ring)-1)
	for i := 1; i < len(o.ring); i++ {
		others = append(others, o.ring[(own+i)%len(o.ring)].instance)
	}
	return others
}

// TurnInterval returns the span between the polls of two entries that follow each
// other. It follows from the size of the list, the number of entries and the
// budget.
func (l *List) TurnInterval() oleanderspool.Millis {
	bytes := len(l.instances)*listedBytes/len(l.order.ring) + 2*updateBytes
	span := oleanderspool.Millis(bytes) * oleanderspool.Second / oleanderspool.Millis(l.budget)
	return min(max(span, shortestTurn), longestTurn)
}

// PollsIndependently reports whether the list is so small that each entry polls it at the
// shortest interval and tells the others nothing. A small fleet may spend
// twice the budget.
func (l *List) PollsIndependently() bool {
	return len(l.instances)*listedBytes <= 2*l.budget
}

// NextPoll returns the instant from which the entry should poll the list. The
// entries take turns in the order of their hashed names, starting from the
// newest poll that this entry knows of; an entry that misses its turn is
// followed by the next one a turn later. An entry whose list was not confirmed
// within listWindow polls within as much again, at a place of that span that
// follows from its name, so that entries that start or are cut off together do
// not poll at the same instant.
func (l *List) NextPoll() oleanderspool.Millis {
	due := never
	switch {
	case l.confirmed == never:
	case l.PollsIndependently():
		due = l.polledAt + shortestTurn
	default:
		distance := oleanderspool.Millis(l.order.distance(l.turn.poller))
		spread := oleanderspool.Millis(l.order.self.hash % uint64(listWindow))
		due = min(l.turn.at+distance*l.TurnInterval(), l.confirmed+listWindow+spread)
	}
	if l.failures > 0 {
		due = max(due, l.retryAt)
	}
	return due
}

// PollFailed notes that a poll brought no list. The span until the next one
// doubles up to listWindow, so that a slow platform is not asked by every
// entry each second.
func (l *List) PollFailed(now oleanderspool.Millis) {
	span := listWindow
	if l.failures < 4 {
		span = min(span, oleanderspool.Second<<l.failures)
	}
	l.failures++
	l.retryAt = now + span
}
