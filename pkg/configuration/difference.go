package configuration

import (
	"math/bits"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// ClientAccountChanges returns the client accounts that were put or removed
// between an earlier configuration and this one, each in ascending order of
// id. The cost follows the number of changes if this configuration was made
// from the earlier one by change sets.
func (c Configuration) ClientAccountChanges(earlier Configuration) (put []ClientAccount, removed []oleanderspool.ClientAccountID) {
	for _, id := range c.accounts.entries.differing(earlier.accounts.entries) {
		now, found := c.accounts.get(id)
		before, existed := earlier.accounts.get(id)
		switch {
		case !found:
			removed = append(removed, id)
		case !existed || now != before:
			put = append(put, now)
		}
	}
	return put, removed
}

// differing returns, in ascending order, the keys of all entries that two
// tries do not share. Keys of equal entries may be among them.
func (t trie[K, V]) differing(other trie[K, V]) []K {
	var keys []K
	t.root.differing(other.root, func(key K) { keys = append(keys, key) })
	slices.Sort(keys)
	return slices.Compact(keys)
}

func (n *trieNode[K, V]) differing(other *trieNode[K, V], found func(K)) {
	if n == other {
		return
	}
	mine, theirs := n.unshared(other), other.unshared(n)
	// Two children at the same place are compared, all else differs.
	for place, s := range mine {
		o := theirs[place]
		if s.child != nil && o.child != nil {
			s.child.differing(o.child, found)
			delete(theirs, place)
			continue
		}
		s.keys(found)
	}
	for _, s := range theirs {
		s.keys(found)
	}
}

// unshared returns the slots that another node does not have, by place.
func (n *trieNode[K, V]) unshared(other *trieNode[K, V]) map[int]trieSlot[K, V] {
	slots := make(map[int]trieSlot[K, V])
	if n == nil {
		return slots
	}
	for i, s := range n.slots {
		if other == nil || !slices.Contains(other.slots, s) {
			slots[n.place(i)] = s
		}
	}
	return slots
}

// place returns the position of a slot among all that a node can have.
func (n *trieNode[K, V]) place(i int) int {
	bitmap := n.bitmap
	for range i {
		bitmap &= bitmap - 1
	}
	if bitmap == 0 {
		return trieMask + 1 + i // below the last bit of the hash
	}
	return bits.TrailingZeros32(bitmap)
}

// keys passes on the keys of a slot and all below it.
func (s trieSlot[K, V]) keys(found func(K)) {
	if s.entry != nil {
		found(s.entry.key)
	}
	s.child.walk(func(key K, _ V) bool {
		found(key)
		return true
	})
}
