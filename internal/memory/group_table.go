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
	Round  int64 // from 1; increases with each round of the group
	Tokens int64
	Lease  oleanderspool.Millis // duration for which the memory is to be held
	Age    oleanderspool.Millis // time since the first round of the group
}

// GroupReply is a member's answer to a [GroupRequest].
type GroupReply struct {
	Granted bool
	Free    int64 // free memory in tokens
}

// GroupName returns the name on the engine of the memory of one round of a
// group. Each round has its own name, so that a delayed cancel of an earlier
// round does not release the memory of a later one.
func GroupName(group string, round int64) string {
	return group + "#" + strconv.FormatInt(round, 10)
}

// groupRetention is how long a member remembers a group after its last message,
// in milliseconds. A request that is delayed for longer may be granted although
// its round has ended; the memory is then held until it expires.
const groupRetention = oleanderspool.Minute

// waiter is a group that was refused and is expected to try again.
type waiter struct {
	group        string
	firstRoundAt oleanderspool.Millis // time of the group's first round
	tokens       int64
	heldUntil    oleanderspool.Millis // time until which memory is held back for it
}

// groupRecord is what a member knows about a group.
type groupRecord struct {
	firstRoundAt   oleanderspool.Millis // earliest estimate of the first round
	tokens         int64
	lastEndedRound int64 // up to this number, rounds must not be granted any more
	heldRound      int64 // round whose memory is held; 0 if none
	forgetAt       oleanderspool.Millis
}

// groupTable records the groups that a member knows. It holds back freed memory
// for the oldest waiting group.
type groupTable struct {
	holdBackTimeout oleanderspool.Millis
	waiters         map[string]*waiter
	records         map[string]*groupRecord
}

func newGroupTable() groupTable {
	return groupTable{
		holdBackTimeout: DefaultHoldBackTimeout,
		waiters:         make(map[string]*waiter),
		records:         make(map[string]*groupRecord),
	}
}

// older orders groups by the time of their first round and then by name.
func older(a, b *waiter) bool {
	return cmp.Or(cmp.Compare(a.firstRoundAt, b.firstRoundAt), cmp.Compare(a.group, b.group)) < 0
}

// oldest returns the oldest group that is still waiting, or nil.
func (t *groupTable) oldest(now oleanderspool.Millis) *waiter {
	var first *waiter
	for _, x := range t.waiters {
		if x.heldUntil > now && (first == nil || older(x, first)) {
			first = x
		}
	}
	return first
}

// heldBackFrom returns the free memory that the given group must leave for an
// older one, in tokens. The empty name stands for reservations other than those
// of groups.
func (t *groupTable) heldBackFrom(group string, now oleanderspool.Millis) int64 {
	first := t.oldest(now)
	if first == nil || first.group == group {
		return 0
	}
	if g := t.records[group]; g != nil && older(&waiter{group: group, firstRoundAt: g.firstRoundAt}, first) {
		return 0
	}
	return first.tokens
}

func (t *groupTable) recordRequest(r GroupRequest, now oleanderspool.Millis) *groupRecord {
	g := t.records[r.Group]
	if g == nil {
		g = &groupRecord{firstRoundAt: now - r.Age}
		t.records[r.Group] = g
	}
	// The age is measured when the request is sent, so the smallest delay gives
	// the best estimate of the first round.
	g.firstRoundAt = min(g.firstRoundAt, now-r.Age)
	g.tokens = r.Tokens
	g.forgetAt = now + max(groupRetention, r.Lease)
	return g
}

func (t *groupTable) addWaiter(group string, g *groupRecord, now oleanderspool.Millis) {
	t.waiters[group] = &waiter{group: group, firstRoundAt: g.firstRoundAt, tokens: g.tokens, heldUntil: now + t.holdBackTimeout}
}

// expire removes waiters and records that have expired.
func (t *groupTable) expire(now oleanderspool.Millis) {
	for group, x := range t.waiters {
		if x.heldUntil <= now {
			delete(t.waiters, group)
		}
	}
	for group, g := range t.records {
		if g.forgetAt <= now {
			delete(t.records, group)
		}
	}
}

// Groups returns the number of groups that the ledger remembers.
func (l *Ledger) Groups() int { return len(l.groups.records) }

// ReserveGroup handles a group's request. A repeated request for a round that
// already holds its memory extends the reservation. A refused group becomes a
// waiting group, and freed memory is held back for the oldest of these until
// the hold-back timeout.
func (l *Ledger) ReserveGroup(r GroupRequest, now oleanderspool.Millis) GroupReply {
	if r.Group == "" || r.Tokens <= 0 || r.Tokens > l.size || r.Lease <= 0 {
		return GroupReply{Free: l.free}
	}
	l.groups.expire(now)
	g := l.groups.recordRequest(r, now)
	if r.Round <= g.lastEndedRound {
		return GroupReply{Free: l.free}
	}
	if g.heldRound == r.Round {
		return l.renewGroup(r, g, now)
	}
	l.endRound(r.Group, g, r.Round-1, now)
	if err := l.reserve(Reservation{
		Name:    GroupName(r.Group, r.Round),
		Purpose: PurposeGroup,
		Tokens:  r.Tokens,
		Expiry:  now + r.Lease,
	}, l.groups.heldBackFrom(r.Group, now), now); err != nil {
		l.groups.addWaiter(r.Group, g, now)
		return GroupReply{Free: l.free}
	}
	g.heldRound = r.Round
	delete(l.groups.waiters, r.Group)
	return GroupReply{Granted: true, Free: l.free}
}

// renewGroup extends the reservation of a round. A round whose reservation has
// expired is not granted again, because others may have used its memory in the
// meantime.
func (l *Ledger) renewGroup(r GroupRequest, g *groupRecord, now oleanderspool.Millis) GroupReply {
	a := l.allocations[GroupName(r.Group, r.Round)]
	if a == nil || a.Purpose == PurposeReclaim || (a.Expiry > 0 && a.Expiry <= now) {
		l.endRound(r.Group, g, r.Round, now)
		return GroupReply{Free: l.free}
	}
	if a.Purpose == PurposeGroup {
		l.setExpiry(a, max(a.Expiry, now+r.Lease))
	}
	return GroupReply{Granted: true, Free: l.free}
}

// ReleaseGroup ends a round of a group. If willRetry is set, the group will try
// again and freed memory is held back for it. Late releases of earlier rounds
// only end those rounds.
func (l *Ledger) ReleaseGroup(group string, round int64, willRetry bool, now oleanderspool.Millis) {
	l.groups.expire(now)
	l.Release(GroupName(group, round), now)
	g := l.groups.records[group]
	if g == nil {
		// An unknown group is recorded too, so that its request is not granted
		// when this release has overtaken it on the network.
		g = &groupRecord{firstRoundAt: now}
		l.groups.records[group] = g
	}
	g.forgetAt = now + groupRetention
	if round < g.lastEndedRound || (round == g.lastEndedRound && willRetry) {
		return
	}
	l.endRound(group, g, round, now)
	if willRetry && g.tokens > 0 {
		l.groups.addWaiter(group, g, now)
		return
	}
	if g.heldRound == 0 {
		delete(l.groups.waiters, group)
	}
}

// endRound marks all rounds up to the given one as ended and releases their
// memory.
func (l *Ledger) endRound(group string, g *groupRecord, round int64, now oleanderspool.Millis) {
	if g.heldRound != 0 && g.heldRound <= round {
		l.Release(GroupName(group, g.heldRound), now)
		g.heldRound = 0
	}
	g.lastEndedRound = max(g.lastEndedRound, round)
}
