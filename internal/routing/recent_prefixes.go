package routing

import "github.com/oleanderspool/oleanderspool"

const (
	// prefixSpan is the time in milliseconds for which a server that was sent a
	// prefix is assumed to have it cached. Engines evict prefixes when running
	// requests need the memory.
	prefixSpan = oleanderspool.Minute
	// maxPrefixes bounds the prefixes that are remembered, and maxHolders the
	// servers of each of them, so that the table takes a few megabytes at most.
	maxPrefixes = 4096
	maxHolders  = 32
)

// recentPrefixes remembers to which servers this entry has sent a prefix. It is
// not safe for concurrent use.
type recentPrefixes struct {
	holders map[uint64][]prefixHolder
}

type prefixHolder struct {
	instance oleanderspool.InstanceID
	at       oleanderspool.Millis
}

func newRecentPrefixes() recentPrefixes {
	return recentPrefixes{holders: make(map[uint64][]prefixHolder)}
}

// add notes that a prefix was sent to an instance. The holder that was used
// least recently makes room for a new one.
func (p recentPrefixes) add(key uint64, instance oleanderspool.InstanceID, now oleanderspool.Millis) {
	list := p.holders[key]
	oldest := 0
	for i := range list {
		if list[i].instance == instance {
			list[i].at = now
			return
		}
		if list[i].at < list[oldest].at {
			oldest = i
		}
	}
	n := prefixHolder{instance, now}
	switch {
	case len(list) > 0 && (len(list) == maxHolders || list[oldest].at <= now-prefixSpan):
		list[oldest] = n
	default:
		p.holders[key] = append(list, n)
	}
	p.limit(key, now)
}

// limit removes another prefix when there are too many: one that was not sent
// lately if a few samples show one. Maps are iterated from a random place.
func (p recentPrefixes) limit(kept uint64, now oleanderspool.Millis) {
	if len(p.holders) <= maxPrefixes {
		return
	}
	victim, tries := kept, 0
	for key, list := range p.holders {
		if key == kept {
			continue
		}
		victim = key
		if tries++; tries == 8 || list[len(list)-1].at <= now-prefixSpan {
			break
		}
	}
	if victim != kept {
		delete(p.holders, victim)
	}
}

// appendTo appends the instances that were sent a prefix lately to a list.
func (p recentPrefixes) appendTo(list []oleanderspool.InstanceID, key uint64, now oleanderspool.Millis) []oleanderspool.InstanceID {
	for _, h := range p.holders[key] {
		if h.at > now-prefixSpan {
			list = append(list, h.instance)
		}
	}
	return list
}
