package routing

import "github.com/oleanderspool/oleanderspool"

const (
	// prefixTTL is the time in milliseconds for which a server that was sent a prefix is
	// assumed to have it cached. Engines evict prefixes when running requests need the
	// memory.
	prefixTTL = oleanderspool.Minute
	// maxPrefixes bounds the number of tracked prefixes, and maxHolders the servers
	// of each of them, so that the table takes a few megabytes at most.
	maxPrefixes = 4096
	maxHolders  = 32
)

// recentPrefixes records to which servers this entry has recently sent a prefix. It is
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

// add records that a prefix was sent to an instance. If the list is full or its oldest
// holder has expired, the new holder replaces the oldest one.
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
	h := prefixHolder{instance, now}
	switch {
	case len(list) > 0 && (len(list) == maxHolders || list[oldest].at <= now-prefixTTL):
		list[oldest] = h
	default:
		p.holders[key] = append(list, h)
	}
	p.evict(key, now)
}

// evict removes another prefix when there are too many. It samples up to 8 prefixes, in
// the random iteration order of maps, and removes the first that has expired, or else
// the last sample.
func (p recentPrefixes) evict(kept uint64, now oleanderspool.Millis) {
	if len(p.holders) <= maxPrefixes {
		return
	}
	victim, tries := kept, 0
	for key, list := range p.holders {
		if key == kept {
			continue
		}
		victim = key
		if tries++; tries == 8 || list[len(list)-1].at <= now-prefixTTL {
			break
		}
	}
	if victim != kept {
		delete(p.holders, victim)
	}
}

// appendTo appends the instances that were recently sent a prefix to a list.
func (p recentPrefixes) appendTo(list []oleanderspool.InstanceID, key uint64, now oleanderspool.Millis) []oleanderspool.InstanceID {
	for _, h := range p.holders[key] {
		if h.at > now-prefixTTL {
			list = append(list, h.instance)
		}
	}
	return list
}
