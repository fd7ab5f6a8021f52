package memory

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Defaults of the group's options, in milliseconds.
const (
	// DefaultReplyTimeout is how long a reply of a member is awaited.
	DefaultReplyTimeout = oleanderspool.Second
	// DefaultRetryDelay is the shortest span between a failed try and the next
	// one; up to as much again is added, so that rivals do not stay in step. It
	// must stay below half of the members' wait expiry.
	DefaultRetryDelay = oleanderspool.Second / 2
	// DefaultGroupExpiry is how long members hold memory without a renewal.
	DefaultGroupExpiry = 10 * oleanderspool.Second
)

// renewals is how often a reservation is renewed within its expiry, so that a
// lost renewal does not end the group.
const renewals = 3

// GroupState is the state of a [Group].
type GroupState int

// The states of a group.
const (
	// GroupWaiting holds nothing and tries again later.
	GroupWaiting GroupState = iota
	// GroupTrying asks its members one after the other.
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

// EndReason tells why a group has ended.
type EndReason int

// The reasons of an end.
const (
	// EndNone is the reason of a group that has not ended.
	EndNone EndReason = iota
	// EndDone says that the owner ended the group.
	EndDone
	// EndMemberLost says that a member died or no longer holds its memory.
	EndMemberLost
	// EndDeadline says that the group's time limit has passed.
	EndDeadline
)

// GroupMember is an engine that a group needs, and its part in tokens.
type GroupMember struct {
	Instance oleanderspool.InstanceID
	Tokens   int64
}

// GroupMessage is a message to a member. Without Release it asks for memory;
// its reply is passed to [Group.Granted] or [Group.Refused] together with the
// message. With Release it gives memory back; its reply is passed to
// [Group.Released].
type GroupMessage struct {
	Instance  oleanderspool.InstanceID
	Release   bool
	WillRetry bool // a release after which the group tries again
	GroupRequest

	sentAt oleanderspool.Millis
}

// part is the state of one member.
type part struct {
	GroupMember
	asked   bool                 // has ever been asked
	granted bool                 // holds the memory of the current try
	waits   bool                 // a request of the current try is unanswered
	askedAt oleanderspool.Millis // instant of the last request
	until   oleanderspool.Millis // instant until which the member surely holds
}

// pendingRelease is a release that no member has confirmed yet.
type pendingRelease struct {
	message GroupMessage
	sentAt  oleanderspool.Millis
	until   oleanderspool.Millis // instant by which the memory has lapsed anyway
}

// Group reserves memory of several engines for one prompt, all or nothing.
// Members are asked in order of instance. A refusal or a missing reply
// releases what was granted, and the group tries again later with the age of
// its first try, so a group never waits while it holds memory. A Group is not
// safe for concurrent use.
type Group struct {
	id       string
	parts    []*part
	state    GroupState
	end      EndReason
	try      int64
	first    oleanderspool.Millis // instant of the first try
	deadline oleanderspool.Millis
	next     int                  // index of the member that is asked
	retryAt  oleanderspool.Millis // instant of the next try
	releases []pendingRelease

	replyBound oleanderspool.Millis
	retrySpan  oleanderspool.Millis
	expiry     oleanderspool.Millis
}

// GroupOption configures a [Group].
type GroupOption func(*Group)

// WithGroupExpiry sets how long members hold memory without a renewal.
func WithGroupExpiry(span oleanderspool.Millis) GroupOption {
	return func(g *Group) { g.expiry = span }
}

// WithFirstTry sets the instant of the first try. It is for a group that
// replaces one whose member was lost, and keeps its age.
func WithFirstTry(at oleanderspool.Millis) GroupOption {
	return func(g *Group) { g.first = at }
}

// NewGroup returns a group that starts its first try with the first
// [Group.Tick]. id must be unique in the fleet; deadline is the instant after
// which the group gives up.
func NewGroup(id string, members []GroupMember, deadline, now oleanderspool.Millis, options ...GroupOption) *Group {
	g := &Group{
		id:         id,
		first:      now,
		retryAt:    now,
		deadline:   deadline,
		replyBound: DefaultReplyTimeout,
		retrySpan:  DefaultRetryDelay,
		expiry:     DefaultGroupExpiry,
	}
	for _, m := range members {
		g.parts = append(g.parts, &part{GroupMember: m})
	}
	slices.SortFunc(g.parts, func(a, b *part) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, o := range options {
		o(g)
	}
	return g
}

// State returns the state of the group.
func (g *Group) State() GroupState { return g.state }

// EndReason returns why the group has ended.
func (g *Group) EndReason() EndReason { return g.end }

// Try returns the number of the current or last try, from 1.
func (g *Group) Try() int64 { return g.try }

// Settled reports whether the group needs no further [Group.Tick]: it has ended
// and every release was confirmed or has lapsed.
func (g *Group) Settled() bool { return g.state == GroupEnded && len(g.releases) == 0 }

// Tick advances the group to the given instant and returns the messages that
// are due. It is to be called after each event and at least every 100 ms.
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
	g.try++
	g.next = 0
	for _, p := range g.parts {
		p.granted, p.waits = false, false
	}
	return g.proceed(now)
}

// proceed asks the next member, or completes the reservation.
func (g *Group) proceed(now oleanderspool.Millis) []GroupMessage {
	for g.next < len(g.parts) && g.parts[g.next].granted {
		g.next++
	}
	if g.next == len(g.parts) {
		g.state = GroupReserved
		return nil
	}
	return []GroupMessage{g.ask(g.parts[g.next], now)}
}

func (g *Group) ask(p *part, now oleanderspool.Millis) GroupMessage {
	p.asked, p.waits = true, true
	p.askedAt = now
	return GroupMessage{Instance: p.Instance, sentAt: now, GroupRequest: GroupRequest{
		Group:  g.id,
		Try:    g.try,
		Tokens: p.Tokens,
		Expiry: g.expiry,
		Age:    now - g.first,
	}}
}

func (g *Group) tickTrying(now oleanderspool.Millis) []GroupMessage {
	p := g.parts[g.next]
	if now-p.askedAt >= g.replyBound || g.lapsed(now) {
		return g.fail(now)
	}
	return g.renew(now)
}

func (g *Group) tickReserved(now oleanderspool.Millis) []GroupMessage {
	if g.lapsed(now) {
		return g.finish(EndMemberLost, now)
	}
	return g.renew(now)
}

// lapsed reports whether a member may no longer hold the memory it granted.
func (g *Group) lapsed(now oleanderspool.Millis) bool {
	return slices.ContainsFunc(g.parts, func(p *part) bool { return p.granted && p.until <= now })
}

func (g *Group) renew(now oleanderspool.Millis) []GroupMessage {
	var messages []GroupMessage
	for _, p := range g.parts {
		if p.granted && now-p.askedAt >= g.expiry/renewals {
			messages = append(messages, g.ask(p, now))
		}
	}
	return messages
}

// Granted handles a member's grant of the memory that m asked for. The grant
// of an earlier try, or one that arrives after the group gave up on it, is
// released again.
func (g *Group) Granted(m GroupMessage, now oleanderspool.Millis) []GroupMessage {
	p := g.part(m.Instance)
	if p == nil {
		return nil
	}
	if m.Try != g.try || (g.state != GroupTrying && g.state != GroupReserved) {
		return g.release(p, m.Try, g.state != GroupEnded, now)
	}
	p.granted, p.waits = true, false
	// Counted from the sending of the request; the member counts from a later
	// instant.
	p.until = max(p.until, m.sentAt+g.expiry)
	if g.state == GroupTrying && g.parts[g.next] == p {
		return g.proceed(now)
	}
	return nil
}

// Refused handles a member's refusal of the memory that m asked for. It ends
// the try, or the whole group when everything was reserved and the member no
// longer holds its part.
func (g *Group) Refused(m GroupMessage, now oleanderspool.Millis) []GroupMessage {
	p := g.part(m.Instance)
	if p == nil || m.Try != g.try {
		return nil
	}
	switch g.state {
	case GroupTrying:
		p.granted, p.waits = false, false
		return g.fail(now)
	case GroupReserved:
		return g.finish(EndMemberLost, now)
	default:
		return nil
	}
}

// Released handles a member's confirmation of the release m.
func (g *Group) Released(m GroupMessage) {
	g.dropRelease(m.Instance, m.Try)
}

func (g *Group) dropRelease(instance oleanderspool.InstanceID, try int64) {
	g.releases = slices.DeleteFunc(g.releases, func(r pendingRelease) bool {
		return r.message.Instance == instance && r.message.Try == try
	})
}

// MemberLost ends the group, because a member's memory is lost.
func (g *Group) MemberLost(instance oleanderspool.InstanceID, now oleanderspool.Millis) []GroupMessage {
	if g.state == GroupEnded || g.part(instance) == nil {
		return nil
	}
	return g.finish(EndMemberLost, now)
}

// End gives all memory back. It is for a group whose work has finished or was
// cancelled.
func (g *Group) End(now oleanderspool.Millis) []GroupMessage {
	if g.state == GroupEnded {
		return nil
	}
	return g.finish(EndDone, now)
}

// fail releases what the try may hold and plans the next try.
func (g *Group) fail(now oleanderspool.Millis) []GroupMessage {
	var messages []GroupMessage
	for _, p := range g.parts {
		if p.granted || p.waits {
			messages = append(messages, g.release(p, g.try, true, now)...)
		}
		p.granted, p.waits = false, false
	}
	g.state = GroupWaiting
	g.retryAt = now + g.retrySpan + g.jitter()
	return messages
}

// jitter returns a span up to the retry span that differs between groups and
// tries, without a source of randomness.
func (g *Group) jitter() oleanderspool.Millis {
	h := fnv.New64a()
	_, _ = h.Write([]byte(GroupName(g.id, g.try)))
	return oleanderspool.Millis(h.Sum64() % uint64(max(1, g.retrySpan)))
}

// finish ends the group at all members that have ever been asked.
func (g *Group) finish(end EndReason, now oleanderspool.Millis) []GroupMessage {
	g.state, g.end = GroupEnded, end
	var messages []GroupMessage
	for _, p := range g.parts {
		if p.asked {
			messages = append(messages, g.release(p, g.try, false, now)...)
		}
		p.granted, p.waits = false, false
	}
	return messages
}

// release returns the release of one try and plans to repeat it.
func (g *Group) release(p *part, try int64, wait bool, now oleanderspool.Millis) []GroupMessage {
	g.dropRelease(p.Instance, try)
	m := GroupMessage{
		Instance:     p.Instance,
		Release:      true,
		WillRetry:    wait,
		GroupRequest: GroupRequest{Group: g.id, Try: try},
		sentAt:       now,
	}
	g.releases = append(g.releases, pendingRelease{m, now, now + g.expiry})
	return []GroupMessage{m}
}

// repeatReleases returns the releases that were not confirmed in time. They
// are dropped once the memory has lapsed on the member's own clock.
func (g *Group) repeatReleases(now oleanderspool.Millis) []GroupMessage {
	g.releases = slices.DeleteFunc(g.releases, func(r pendingRelease) bool { return now >= r.until })
	var messages []GroupMessage
	for i := range g.releases {
		r := &g.releases[i]
		if now-r.sentAt >= g.replyBound {
			r.sentAt = now
			messages = append(messages, r.message)
		}
	}
	return messages
}

func (g *Group) part(instance oleanderspool.InstanceID) *part {
	for _, p := range g.parts {
		if p.Instance == instance {
			return p
		}
	}
	return nil
}
