package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
	"github.com/oleanderspool/oleanderspool/internal/memory"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

const (
	groupTick = 100 * oleanderspool.Millis(1)
	// groupQuietBound bounds how long a finished group repeats its releases.
	// Members release lapsed reservations by their own clocks anyway.
	groupQuietBound = 15 * oleanderspool.Second
)

// reservation carries the messages of a group of engines that serve one
// prompt.
type reservation struct {
	entry   *Entry
	id      string
	servers map[oleanderspool.InstanceID]oleanderspool.BackendServer
	changed chan struct{} // receives after each reply

	mu    sync.Mutex
	group *memory.Group
}

// newReservation returns the reservation of a request on the given members.
func newReservation(e *Entry, r oleanderspool.Request, members []oleanderspool.BackendServer, firstTry oleanderspool.Millis) *reservation {
	v := &reservation{
		entry:   e,
		id:      "g-" + unique(),
		servers: make(map[oleanderspool.InstanceID]oleanderspool.BackendServer, len(members)),
		changed: make(chan struct{}, 1),
	}
	size := int64(len(members))
	part := (routing.RequiredMemory(r) + size - 1) / size
	parts := make([]memory.GroupMember, len(members))
	for i, b := range members {
		v.servers[b.Instance] = b
		parts[i] = memory.GroupMember{Instance: b.Instance, Tokens: part}
	}
	v.group = memory.NewGroup(v.id, parts, r.Deadline, e.clock.Now(), memory.WithFirstTry(firstTry))
	return v
}

// await drives the group until it has reserved or ended. It ends when a member
// may no longer be chosen, since other engines may be free.
func (v *reservation) await(ctx context.Context) memory.GroupState {
	for {
		v.noticeLosses(ctx, v.unusable)
		if state := v.step(ctx); state == memory.GroupReserved || state == memory.GroupEnded {
			return state
		}
		if ctx.Err() != nil {
			return memory.GroupEnded
		}
		v.pause(ctx)
	}
}

// hold renews the reservation until ctx ends, and calls lost when a member is
// lost.
func (v *reservation) hold(ctx context.Context, lost func()) {
	for ctx.Err() == nil {
		v.noticeLosses(ctx, v.replaced)
		if v.step(ctx) == memory.GroupEnded {
			lost()
			return
		}
		v.pause(ctx)
	}
}

// end gives all memory back and repeats the releases until they are confirmed.
func (v *reservation) end() {
	ctx, cancel := context.WithTimeout(context.Background(), groupQuietBound.Duration())
	defer cancel()
	v.mu.Lock()
	messages := v.group.End(v.entry.clock.Now())
	v.mu.Unlock()
	v.deliver(ctx, messages)
	for ctx.Err() == nil {
		v.mu.Lock()
		quiet := v.group.Settled()
		v.mu.Unlock()
		if quiet {
			return
		}
		v.pause(ctx)
		v.step(ctx)
	}
}

// step sends the messages that are due and returns the state.
func (v *reservation) step(ctx context.Context) memory.GroupState {
	v.mu.Lock()
	messages := v.group.Tick(v.entry.clock.Now())
	state := v.group.State()
	v.mu.Unlock()
	v.deliver(ctx, messages)
	return state
}

func (v *reservation) pause(ctx context.Context) {
	t := time.NewTimer(groupTick.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-v.changed:
	case <-t.C:
	}
}

// noticeLosses tells the group which members are lost.
func (v *reservation) noticeLosses(ctx context.Context, lost func(oleanderspool.BackendServer) bool) {
	for id, b := range v.servers {
		if !lost(b) {
			continue
		}
		v.mu.Lock()
		messages := v.group.MemberLost(id, v.entry.clock.Now())
		v.mu.Unlock()
		v.deliver(ctx, messages)
	}
}

// replaced reports whether a member no longer holds what it granted.
func (v *reservation) replaced(b oleanderspool.BackendServer) bool {
	known, listed := v.entry.members.find(b.Instance)
	return !listed || (known.Incarnation != "" && known.Incarnation != b.Incarnation)
}

// unusable reports whether a member leaves, is silent or was replaced.
func (v *reservation) unusable(b oleanderspool.BackendServer) bool {
	usable := v.entry.members.table.Snapshot()
	i, found := slices.BinarySearchFunc(usable, b.Instance, func(s oleanderspool.BackendServer, id oleanderspool.InstanceID) int {
		return cmp.Compare(s.Instance, id)
	})
	return !found || usable[i].Incarnation != b.Incarnation
}

// memberLost reports whether the group ended because a member was lost.
func (v *reservation) memberLost() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.group.EndReason() == memory.EndMemberLost
}

// deliver sends messages, each on its own, and handles the replies.
func (v *reservation) deliver(ctx context.Context, messages []memory.GroupMessage) {
	for _, m := range messages {
		go v.send(ctx, m)
	}
}

// send sends one message. A missing reply is noticed by the group itself.
func (v *reservation) send(ctx context.Context, m memory.GroupMessage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shortCallBound.Duration())
	defer cancel()
	server := v.servers[m.Instance]
	agent := v.entry.peers.Agent(server.Address)
	revision := int64(v.entry.configuration.Revision())
	if m.Release {
		_, err := agent.Release(ctx, &peerpb.ReleaseRequest{Revision: revision, Group: m.Group, Try: m.Try, Wait: m.WillRetry})
		if err == nil {
			v.mu.Lock()
			v.group.Released(m)
			v.mu.Unlock()
		}
		return
	}
	reply, err := agent.Reserve(ctx, &peerpb.ReserveRequest{
		Revision:    revision,
		Incarnation: string(server.Incarnation),
		Group:       m.Group,
		Try:         m.Try,
		Tokens:      m.Tokens,
		ExpiryMs:    int64(m.Expiry),
		AgeMs:       int64(m.Age),
	})
	if err != nil {
		return
	}
	v.mu.Lock()
	now := v.entry.clock.Now()
	handle := v.group.Refused
	if reply.GetGranted() {
		handle = v.group.Granted
	}
	messages := handle(m, now)
	v.mu.Unlock()
	v.deliver(ctx, messages)
	broadcast.Wake(v.changed)
}

// name returns the name of the memory on each engine.
func (v *reservation) name() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return memory.GroupName(v.id, v.group.Try())
}

// members lists the instances in order.
func (v *reservation) members() []oleanderspool.InstanceID {
	return slices.Sorted(maps.Keys(v.servers))
}

// runTogether runs a prompt that no single engine holds on several of them.
// Other returns are those of runOn.
func (x *exchange) runTogether(ctx context.Context, members []oleanderspool.BackendServer) (done bool, refusal *oleanderspool.Refusal) {
	v := newReservation(x.entry, x.request, members, x.arrived)
	defer func() { go v.end() }()
	x.grouped = true
	if v.await(ctx) != memory.GroupReserved {
		if v.memberLost() {
			x.entry.metrics.Retried(oleanderspool.RetryAgentDied)
			return false, nil
		}
		return true, x.refuse(oleanderspool.RefusalOverloaded, "the engines that the prompt needs did not become free in time").
			WithRetryAfter(groupRetryAfter)
	}
	leader := members[0]
	id := attempt.NewID(attempt.ClassUnkeyed, leader.AgentClock, unique())
	if err := x.begin(id); err != nil {
		return true, x.refuse(oleanderspool.RefusalBackendServerFailed, err.Error())
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	go v.hold(running, stop)
	x.group = v
	defer func() { x.group = nil }()
	done, refusal = x.runOn(running, leader, id)
	if done && refusal == nil {
		return true, nil
	}
	if running.Err() != nil && ctx.Err() == nil {
		x.entry.metrics.Retried(oleanderspool.RetryAgentDied) // a member was lost
		return false, nil
	}
	return done, refusal
}

// groupRetryAfter is the span in which a long prompt frees its engines.
const groupRetryAfter = 30 * oleanderspool.Second
