package memory

import (
	"cmp"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

// GroupRequest is a group's request for memory of one engine, as its member
// receives it.
type GroupRequest struct {
	Group  string
	Try    int64 // from 1; rises with each try of the group
	Tokens int64
	Expiry oleanderspool.Millis // span for which the memory is to be held
	Age    oleanderspool.Millis // span since the first try of the group
}

// GroupReply is a member's answer to a [GroupRequest].
type GroupReply struct {
	Granted bool
	Free    int64 // free memory in tokens
}

// GroupName returns the name on the engine of the memory of one try of a
// group. Each try has its own name, so that a delayed cancel of an earlier try
// does not end a later one.
func GroupName(group string, try int64) string {
	return group + "#" + strconv.FormatInt(try, 10)
}

// endedSpan is how long a member remembers a group after its last message, in
// milliseconds. A request that is delayed for longer is granted by mistake and
// lapses.
const endedSpan = oleanderspool.Minute

// waiter is a group that was refused and will try again.
type waiter struct {
	group  string
	since  oleanderspool.Millis // instant of the group's first try
	tokens int64
	until  oleanderspool.Millis // instant at which the memory is no longer kept
}

// member is what an engine's agent knows about a group.
type member struct {
	since  oleanderspool.Millis // earliest estimate of the first try
	tokens int64
	ended  int64 // last try that must not be granted any more
	held   int64 // try whose memory is held; 0 without one
	forget oleanderspool.Millis
}

// waiting keeps freed memory for the oldest waiting group.
type waiting struct {
	expiry  oleanderspool.Millis
	waiters map[string]*waiter
	members map[string]*member
}

func newWaiting() waiting {
	return waiting{
		expiry:  DefaultWaitExpiry,
		waiters: make(map[string]*waiter),
		members: make(map[string]*member),
	}
}

// older orders groups by their first try and then by name.
func older(a, b *waiter) bool {
	return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.group, b.group)) < 0
}

// oldest returns the oldest group that still waits, or nil.
func (w *waiting) oldest(now oleanderspool.Millis) *waiter {
	var first *waiter
	for _, x := range w.waiters {
		if x.until > now && (first == nil || older(x, first)) {
			first = x
		}
	}
	return first
}

// keptFrom returns the free memory that the given group must leave for an
// older one, in tokens. The empty name stands for owners other than groups.
func (w *waiting) keptFrom(group string, now oleanderspool.Millis) int64 {
	first := w.oldest(now)
	if first == nil || first.group == group {
		return 0
	}
	if m := w.members[group]; m != nil && older(&waiter{group: group, since: m.since}, first) {
		return 0
	}
	return first.tokens
}

func (w *waiting) enrol(r GroupRequest, now oleanderspool.Millis) *member {
	m := w.members[r.Group]
	if m == nil {
		m = &member{since: now - r.Age}
		w.members[r.Group] = m
	}
	// The age is measured when the request is sent, so the smallest delay gives
	// the best estimate of the first try.
	m.since = min(m.since, now-r.Age)
	m.tokens = r.Tokens
	m.forget = now + max(endedSpan, r.Expiry)
	return m
}

func (w *waiting) wait(group string, m *member, now oleanderspool.Millis) {
	w.waiters[group] = &waiter{group: group, since: m.since, tokens: m.tokens, until: now + w.expiry}
}

// expire forgets groups that have been silent for long.
func (w *waiting) expire(now oleanderspool.Millis) {
	for group, x := range w.waiters {
		if x.until <= now {
			delete(w.waiters, group)
		}
	}
	for group, m := range w.members {
		if m.forget <= now {
			delete(w.members, group)
		}
	}
}

// Groups returns the number of groups that the ledger remembers.
func (l *Ledger) Groups() int { return len(l.waiting.members) }

// ReserveGroup handles a group's request. A repeated request of a held try
// extends it. A refused group is remembered, and freed memory is kept for the
// oldest one until the wait expiry.
func (l *Ledger) ReserveGroup(r GroupRequest, now oleanderspool.Millis) GroupReply {
	if r.Group == "" || r.Tokens <= 0 || r.Tokens > l.size || r.Expiry <= 0 {
		return GroupReply{Free: l.free}
	}
	l.waiting.expire(now)
	m := l.waiting.enrol(r, now)
	if r.Try <= m.ended {
		return GroupReply{Free: l.free}
	}
	if m.held == r.Try {
		return l.renewGroup(r, m, now)
	}
	l.endTry(r.Group, m, r.Try-1, now)
	if err := l.reserve(Reservation{
		Name:   GroupName(r.Group, r.Try),
		Owner:  OwnerGroup,
		Tokens: r.Tokens,
		Expiry: now + r.Expiry,
	}, l.waiting.keptFrom(r.Group, now), now); err != nil {
		l.waiting.wait(r.Group, m, now)
		return GroupReply{Free: l.free}
	}
	m.held = r.Try
	delete(l.waiting.waiters, r.Group)
	return GroupReply{Granted: true, Free: l.free}
}

// renewGroup extends a held try. A try that has lapsed is not granted again,
// because its memory may have been used by others in the meantime.
func (l *Ledger) renewGroup(r GroupRequest, m *member, now oleanderspool.Millis) GroupReply {
	e := l.entries[GroupName(r.Group, r.Try)]
	if e == nil || e.Owner == OwnerReclaim || (e.Expiry > 0 && e.Expiry <= now) {
		l.endTry(r.Group, m, r.Try, now)
		return GroupReply{Free: l.free}
	}
	if e.Owner == OwnerGroup {
		l.setExpiry(e, max(e.Expiry, now+r.Expiry))
	}
	return GroupReply{Granted: true, Free: l.free}
}

// ReleaseGroup ends a try of a group. With wait set the group will try again
// and freed memory is kept for it. Late releases of earlier tries only end
// those tries.
func (l *Ledger) ReleaseGroup(group string, try int64, wait bool, now oleanderspool.Millis) {
	l.waiting.expire(now)
	l.Release(GroupName(group, try), now)
	m := l.waiting.members[group]
	if m == nil {
		// Remembered although unknown, so that a request which this release
		// has overtaken is not granted.
		m = &member{since: now}
		l.waiting.members[group] = m
	}
	m.forget = now + endedSpan
	if try < m.ended || (try == m.ended && wait) {
		return
	}
	l.endTry(group, m, try, now)
	if wait && m.tokens > 0 {
		l.waiting.wait(group, m, now)
		return
	}
	if m.held == 0 {
		delete(l.waiting.waiters, group)
	}
}

// endTry releases the memory of all tries up to the given one.
func (l *Ledger) endTry(group string, m *member, try int64, now oleanderspool.Millis) {
	if m.held != 0 && m.held <= try {
		l.Release(GroupName(group, m.held), now)
		m.held = 0
	}
	m.ended = max(m.ended, try)
}
