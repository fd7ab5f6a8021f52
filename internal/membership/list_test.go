package membership_test

import (
	"fmt"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

const (
	ownEpoch = 7
	// smallBudget is so small that entries take turns even for a list of four
	// instances.
	smallBudget = 150
)

// states converts words of the form name or name@port to instances. Names that begin
// with e are entries.
func states(names ...string) []oleanderspool.InstanceState {
	var list []oleanderspool.InstanceState
	for _, word := range names {
		name, port, _ := strings.Cut(word, "@")
		s := listed(name)
		if name[0] == 'e' {
			s.Role = "entry"
		}
		if port != "" {
			s.Address = "10.0.0.1:" + port
		}
		list = append(list, s)
	}
	return list
}

func digestOf(names ...string) uint64 {
	l := membership.NewList("", 1)
	l.ApplyPoll(0, states(names...))
	return l.Update("").Digest
}

// parseUpdate parses an update: the entry that sends it, the instant of its poll, the
// names in its list, and its changes with their times before the poll.
func parseUpdate(words []string) membership.ListUpdate {
	u := membership.ListUpdate{
		Poller: routing.Hash(words[0]), Epoch: ownEpoch, PolledAt: oleanderspool.Millis(number(words[1])),
		Digest: digestOf(strings.Split(words[2], ",")...),
	}
	for _, w := range words[3:] {
		if epoch, found := strings.CutPrefix(w, "epoch="); found {
			u.Epoch = uint64(number(epoch))
			continue
		}
		name, before, _ := strings.Cut(w[1:], "/")
		c := membership.ObservedChange{BeforePoll: oleanderspool.Millis(number(before))}
		c.State, c.Removed = states(name)[0], w[0] == '-'
		u.Changes = append(u.Changes, c)
	}
	return u
}

func parseReply(words []string) membership.ListReply {
	var r membership.ListReply
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		switch key {
		case "epoch":
			r.Epoch = uint64(number(value))
		case "instant":
			r.Instant = oleanderspool.Millis(number(value))
		case "behind":
			r.Behind = true
		case "age":
			r.Age = oleanderspool.Millis(number(value))
		}
	}
	return r
}

func printChange(c membership.ListChange) string {
	if c.Removed {
		return " -" + string(c.State.Instance)
	}
	return " +" + string(c.State.Instance) + "@" + strings.TrimPrefix(c.State.Address, "10.0.0.1:")
}

// playList executes one line of a session of a list. It returns the line and the
// results.
func playList(l *membership.List, line string) string {
	words := strings.Fields(line)
	now := oleanderspool.Millis(number(words[0]))
	result := line + "\n   "
	var changes []membership.ListChange
	switch words[1] {
	case "poll":
		changes = l.ApplyPoll(oleanderspool.Millis(number(words[2])), states(words[3:]...))
	case "failed":
		l.PollFailed(now)
	case "update":
		var r membership.ListReply
		r, changes = l.ApplyUpdate(parseUpdate(words[2:]), now)
		result += fmt.Sprintf(" behind: %t age: %d", r.Behind, r.Age)
	case "recipients":
		result += fmt.Sprintf(" recipients: %v", l.Recipients(oleanderspool.Millis(number(words[2]))))
	case "reply":
		u, requested := l.ApplyReply(oleanderspool.InstanceID(words[2]), parseReply(words[4:]), oleanderspool.Millis(number(words[3])), now)
		result += fmt.Sprintf(" again: %t epoch: %d polled at: %d", requested, u.Epoch, u.PolledAt)
		for _, c := range u.Changes {
			result += fmt.Sprintf("%s/%d", printChange(c.ListChange), c.BeforePoll)
		}
	default:
		return line + "\n"
	}
	result += " changes:"
	for _, c := range changes {
		result += printChange(c)
	}
	return result + fmt.Sprintf(" next poll: %d\n", l.NextPoll())
}
