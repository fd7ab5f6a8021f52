package memory

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of the group's options, in milliseconds.
const (
	// DefaultReplyTimeout is how long a group waits for a member's reply.
	DefaultReplyTimeout = oleanderspool.Second
	// DefaultRetryDelay is the minimum time between a failed round and the next
	// one. Up to as much again is added as jitter, so that competing groups do
	// not retry in step. It must stay below half of the members' hold-back
	// timeout.
	DefaultRetryDelay = oleanderspool.Second / 2
	// DefaultGroupLease is how long members hold memory without a renewal.
	DefaultGroupLease = 10 * oleanderspool.Second
)

// renewalsPerLease is how often a reservation is renewed within its lease, so
// that one lost renewal does not end the group.
const renewalsPerLease = 3

// GroupState is the state of a [Group].
type GroupState int

// The states of a group.
const (
	// GroupWaiting holds nothing and tries again later.
	GroupWaiting GroupState = iota
	// GroupTrying requests memory from its members one after the other.
	GroupTrying
	// GroupReserved holds the memory of all members.
	GroupReserved
	// GroupEnded holds nothing and does not try again.
	GroupEnded
)

var groupStateNames = [...]string{"waiting", "trying", "reserved", "ended"}

// String returns the name of the state in snake case.
func (s GroupState) String() string {
	if s < 0 || int(s) >= len(groupStateNames) {
		return "unknown"
	}
	return groupStateNames[s]
}

// EndReason is the reason why a group has ended.
type EndReason int

// The reasons why a group ends.
const (
	// EndNone is the reason of a group that has not ended.
	EndNone EndReason = iota
	// EndDone means that the caller ended the group.
	EndDone
	// EndMemberLost means that a member died or no longer holds its memory.
	EndMemberLost
	// EndDeadline means that the group's deadline has passed.
	EndDeadline
)

// GroupMember is an engine that a group needs, and the memory that it needs
// there, in tokens.
type GroupMember struct {
	Instance oleanderspool.InstanceID
	Tokens   int64
}

// GroupMessage is a message to a member. Without Release it requests memory,
// and the caller passes it to [Group.Granted] or [Group.Refused], depending on
// the reply. With Release it gives memory back, and the caller passes it to
// [Group.Released] when the member replies.
type GroupMessage struct {
	Instance  oleanderspool.InstanceID
	Release   bool
	WillRetry bool // a release after which the group tries again
	GroupRequest

	sentAt oleanderspool.Millis
}

// memberState is the state of one member.
type memberState struct {
	GroupMember
	requested    bool                 // was sent a request in any round
	granted      bool                 // holds the memory of the current round
	pending      bool                 // a request of the current round is unanswered
	requestedAt  oleanderspool.Millis // time of the last request
	grantedUntil oleanderspool.Millis // the member holds the memory at least until then
}

// pendingRelease is a release that its member has not confirmed yet.
type pendingRelease struct {
	message   GroupMessage
	sentAt    oleanderspool.Millis
	expiresAt oleanderspool.Millis // time by which the reservation has expired anyway
}

// Group reserves memory of several engines for one prompt, all or nothing.
// Members receive requests in order of instance. After a refusal or a missing
// reply the group releases what was granted and tries again later, with the age
// of its first round, so it never holds memory while it waits for a retry. A
// Group is not safe for concurrent use.
type Group struct {
	id           string
	members      []*memberState
	state        GroupState
	endReason    EndReason
	round        int64
	firstRoundAt oleanderspool.Millis // time of the first round
	deadline     oleanderspool.Millis
	next         int                  // index of the member from which memory is being requested
	retryAt      oleanderspool.Millis // time of the next round
	releases     []pendingRelease

	replyTimeout oleanderspool.Millis
	retryDelay   oleanderspool.Millis
	lease        oleanderspool.Millis
}

// GroupOption configures a [Group].
type GroupOption func(*Group)

// WithGroupLease sets how long members hold memory without a renewal.
func WithGroupLease(lease oleanderspool.Millis) GroupOption {
	return func(g *Group) { g.lease = lease }
}

// WithFirstRound sets the time of the first round. It is for a group that
// replaces one whose member was lost, so that the new group keeps the age of
// the old one.
func WithFirstRound(at oleanderspool.Millis) GroupOption {
	return func(g *Group) { g.firstRoundAt = at }
}

// NewGroup returns a group that starts its first round with the first
// [Group.Tick]. id must be unique in the fleet; deadline is the time at which
// the group gives up.
func NewGroup(id string, members []GroupMember, deadline, now oleanderspool.Millis, options ...GroupOption) *Group {
	g := &Group{
		id:           id,
		firstRoundAt: now,
		retryAt:      now,
		deadline:     deadline,
		replyTimeout: DefaultReplyTimeout,
		retryDelay:   DefaultRetryDelay,
		lease:        DefaultGroupLease,
	}
	for _, m := range members {
		g.members = append(g.members, &memberState{GroupMember: m})
	}
	slices.SortFunc(g.members, func(a, b *memberState) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, o := range options {
		o(g)
	}
	return g
}

// State returns the state of the group.
func (g *Group) State() GroupState { return g.state }

// EndReason returns why the group has ended.
func (g *Group) EndReason() EndReason { return g.endReason }

// Round returns the number of the current or last round, from 1.
func (g *Group) Round() int64 { return g.round }

// Settled reports whether the group needs no further [Group.Tick]: it has ended
// and every release was confirmed or is no longer needed.
func (g *Group) Settled() bool { return g.state == GroupEnded && len(g.releases) == 0 }

// Tick advances the group to the given time and returns the messages that are
// due. The caller must call it after each event and at least every 100 ms.
func (g *Group) Tick(now oleanderspool.Millis) []GroupMessage {
	messages := g.repeatReleases(now)
	if g.state == GroupEnded {
		return messages
	}
	if now >= g.deadline {
		return append(messages, g.finish(EndDeadline, now)...)
	}
	switch g.state {
	case GroupWaiting:
		if now >= g.retryAt {
			messages = append(messages, g.start(now)...)
		}
	case GroupTrying:
		messages = append(messages, g.tickTrying(now)...)
	case GroupReserved:
		messages = append(messages, g.tickReserved(now)...)
	}
	return messages
}

func (g *Group) start(now oleanderspool.Millis) []GroupMessage {
	g.state = GroupTrying
	g.round++
	g.next = 0
	for _, s := range g.members {
		s.granted, s.pending = false, false
	}
	return g.proceed(now)
}

// proceed requests memory from the next member, or completes the reservation
// when all members have granted it.
func (g *Group) proceed(now oleanderspool.Millis) []GroupMessage {
	for g.next < len(g.members) && g.members[g.next].granted {
		g.next++
	}
	if g.next == len(g.members) {
		g.state = GroupReserved
		return nil
	}
	return []GroupMessage{g.request(g.members[g.next], now)}
}

func (g *Group) request(s *memberState, now oleanderspool.Millis) GroupMessage {
	s.requested, s.pending = true, true
	s.requestedAt = now
	return GroupMessage{Instance: s.Instance, sentAt: now, GroupRequest: GroupRequest{
		Group:  g.id,
		Round:  g.round,
		Tokens: s.Tokens,
		Lease:  g.lease,
		Age:    now - g.firstRoundAt,
	}}
}

func (g *Group) tickTrying(now oleanderspool.Millis) []GroupMessage {
	s := g.members[g.next]
	if now-s.requestedAt >= g.replyTimeout || g.grantExpired(now) {
		return g.fail(now)
	}
	return g.renew(now)
}

func (g *Group) tickReserved(now oleanderspool.Millis) []GroupMessage {
	if g.grantExpired(now) {
		return g.finish(EndMemberLost, now)
	}
	return g.renew(now)
}

// grantExpired reports whether the grant of a member may have expired.
func (g *Group) grantExpired(now oleanderspool.Millis) bool {
	return slices.ContainsFunc(g.members, func(s *memberState) bool { return s.granted && s.grantedUntil <= now })
}

func (g *Group) renew(now oleanderspool.Millis) []GroupMessage {
	var messages []GroupMessage
	for _, s := range g.members {
		if s.granted && now-s.requestedAt >= g.lease/renewalsPerLease {
			messages = append(messages, g.request(s, now))
		}
	}
	return messages
}

// Granted handles a member's grant of the memory that m requested. The grant
// of an earlier round, or one that arrives after the group gave up on it, is
// released again.
func (g *Group) Granted(m GroupMessage, now oleanderspool.Millis) []GroupMessage {
	s := g.member(m.Instance)
	if s == nil {
		return nil
	}
	if m.Round != g.round || (g.state != GroupTrying && g.state != GroupReserved) {
		return g.release(s, m.Round, g.state != GroupEnded, now)
	}
	s.granted, s.pending = true, false
	// Counted from the time at which the request was sent. The member counts
	// from its receipt, so it holds the memory for longer.
	s.grantedUntil = max(s.grantedUntil, m.sentAt+g.lease)
	if g.state == GroupTrying && g.members[g.next] == s {
		return g.proceed(now)
	}
	return nil
}

// Refused handles a member's refusal of the memory that m requested. It ends
// the round, or, when all memory was already reserved, the whole group, because
// the member no longer holds its part.
func (g *Group) Refused(m GroupMessage, now oleanderspool.Millis) []GroupMessage {
	s := g.member(m.Instance)
	if s == nil || m.Round != g.round {
		return nil
	}
	switch g.state {
	case GroupTrying:
		s.granted, s.pending = false, false
		return g.fail(now)
	case GroupReserved:
		return g.finish(EndMemberLost, now)
	default:
		return nil
	}
}

// Released handles a member's confirmation of the release m.
func (g *Group) Released(m GroupMessage) {
	g.dropRelease(m.Instance, m.Round)
}

func (g *Group) dropRelease(instance oleanderspool.InstanceID, round int64) {
	g.releases = slices.DeleteFunc(g.releases, func(r pendingRelease) bool {
		return r.message.Instance == instance && r.message.Round == round
	})
}

// MemberLost ends the group because the memory of a member is lost.
func (g *Group) MemberLost(instance oleanderspool.InstanceID, now oleanderspool.Millis) []GroupMessage {
	if g.state == GroupEnded || g.member(instance) == nil {
		return nil
	}
	return g.finish(EndMemberLost, now)
}

// End ends the group and releases all its memory. It is for a group whose work
// has finished or was cancelled.
func (g *Group) End(now oleanderspool.Millis) []GroupMessage {
	if g.state == GroupEnded {
		return nil
	}
	return g.finish(EndDone, now)
}

// fail releases what the round may hold and schedules the next round.
func (g *Group) fail(now oleanderspool.Millis) []GroupMessage {
	var messages []GroupMessage
	for _, s := range g.members {
		if s.granted || s.pending {
			messages = append(messages, g.release(s, g.round, true, now)...)
		}
		s.granted, s.pending = false, false
	}
	g.state = GroupWaiting
	g.retryAt = now + g.retryDelay + g.jitter()
	return messages
}

// jitter returns a duration below the retry delay that differs between groups
// and rounds. It is a hash, so that no source of randomness is needed.
func (g *Group) jitter() oleanderspool.Millis {
	h := fnv.New64a()
	_, _ = h.Write([]byte(GroupName(g.id, g.round)))
	return oleanderspool.Millis(h.Sum64() % uint64(max(1, g.retryDelay)))
}

// finish ends the group and releases its memory at all members that received a
// request in any round.
func (g *Group) finish(reason EndReason, now oleanderspool.Millis) []GroupMessage {
	g.state, g.endReason = GroupEnded, reason
	var messages []GroupMessage
	for _, s := range g.members {
		if s.requested {
			messages = append(messages, g.release(s, g.round, false, now)...)
		}
		s.granted, s.pending = false, false
	}
	return messages
}

// release returns the release of one round and schedules its repetition until
// the member confirms it.
func (g *Group) release(s *memberState, round int64, willRetry bool, now oleanderspool.Millis) []GroupMessage {
	g.dropRelease(s.Instance, round)
	m := GroupMessage{
		Instance:     s.Instance,
		Release:      true,
		WillRetry:    willRetry,
		GroupRequest: GroupRequest{Group: g.id, Round: round},
		sentAt:       now,
	}
	g.releases = append(g.releases, pendingRelease{m, now, now + g.lease})
	return []GroupMessage{m}
}

// repeatReleases returns the releases that were not confirmed within the reply
// timeout. A release is dropped once the reservation has expired on the
// member's own clock.
func (g *Group) repeatReleases(now oleanderspool.Millis) []GroupMessage {
	g.releases = slices.DeleteFunc(g.releases, func(r pendingRelease) bool { return now >= r.expiresAt })
	var messages []GroupMessage
	for i := range g.releases {
		r := &g.releases[i]
		if now-r.sentAt >= g.replyTimeout {
			r.sentAt = now
			messages = append(messages, r.message)
		}
	}
	return messages
}

func (g *Group) member(instance oleanderspool.InstanceID) *memberState {
	for _, s := range g.members {
		if s.Instance == instance {
			return s
		}
	}
	return nil
}
