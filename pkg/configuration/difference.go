package configuration

import (
	"math/bits"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// ClientAccountChanges returns the client accounts that were put or removed
// between an earlier configuration and this one, each in ascending order of
// id. The cost is proportional to the number of changes if this configuration
// was derived from the earlier one by change sets.
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
// tries do not share. It may include keys whose values are equal.
func (t trie[K, V]) differing(other trie[K, V]) []K {
	var keys []K
	t.root.differing(other.root, func(key K) { keys = append(keys, key) })
	slices.Sort(keys)
	return slices.Compact(keys)
}

func (n *trieNode[K, V]) differing(other *trieNode[K, V], visit func(K)) {
	if n == other {
		return
	}
	own, others := n.unshared(other), other.unshared(n)
	// Two children at the same branch are compared recursively; all other
	// unshared slots differ.
	for branch, s := range own {
		o := others[branch]
		if s.child != nil && o.child != nil {
			s.child.differing(o.child, visit)
			delete(others, branch)
			continue
		}
		s.visitKeys(visit)
	}
	for _, s := range others {
		s.visitKeys(visit)
	}
}

// unshared returns the slots that another node does not have, by branch index.
func (n *trieNode[K, V]) unshared(other *trieNode[K, V]) map[int]trieSlot[K, V] {
	slots := make(map[int]trieSlot[K, V])
	if n == nil {
		return slots
	}
	for i, s := range n.slots {
		if other == nil || !slices.Contains(other.slots, s) {
			slots[n.branchIndex(i)] = s
		}
	}
	return slots
}

// branchIndex returns the index of a slot among all slots that a node can have.
func (n *trieNode[K, V]) branchIndex(i int) int {
	bitmap := n.bitmap
	for range i {
		bitmap &= bitmap - 1
	}
	if bitmap == 0 {
		return levelMask + 1 + i // below the last level of the hash
	}
	return bits.TrailingZeros32(bitmap)
}

// visitKeys calls visit for the keys of a slot and of all slots below it.
func (s trieSlot[K, V]) visitKeys(visit func(K)) {
	if s.entry != nil {
		visit(s.entry.key)
	}
	s.child.walk(func(key K, _ V) bool {
		visit(key)
		return true
	})
}
