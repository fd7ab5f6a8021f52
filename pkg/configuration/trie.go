package configuration

import (
	"hash/maphash"
	"iter"
	"math/bits"
	"slices"
)

const (
	levelBits = 5                // bits of the hash that one level uses
	levelMask = 1<<levelBits - 1 // selects the bits of one level
	hashBits  = 64               // bits of a hash
)

// trieSeed randomizes the hash per process, so that an attacker cannot choose
// keys that collide. The resulting structure of a trie is never visible outside.
var trieSeed = maphash.MakeSeed()

// trie is a persistent hash trie: a change returns a new trie that shares all
// unchanged nodes with the old one. One change among n entries copies O(log n)
// nodes, and readers need no lock. The zero value is empty.
type trie[K ~string, V any] struct {
	root *trieNode[K, V]
	size int
}

// trieNode has one slot for each set bit of the bitmap, in order. Below the
// last level of the hash the bitmap is unused and slots are searched linearly.
type trieNode[K ~string, V any] struct {
	bitmap uint32
	slots  []trieSlot[K, V]
}

// trieSlot holds a child or an entry.
type trieSlot[K ~string, V any] struct {
	child *trieNode[K, V]
	entry *trieEntry[K, V]
}

type trieEntry[K ~string, V any] struct {
	hash  uint64
	key   K
	value V
}

func hashOf[K ~string](key K) uint64 {
	return maphash.String(trieSeed, string(key))
}

// position returns the index of the slot for a hash, and whether the slot
// exists.
func (n *trieNode[K, V]) position(hash uint64, shift uint, key K) (int, bool) {
	if shift >= hashBits {
		i := slices.IndexFunc(n.slots, func(s trieSlot[K, V]) bool { return s.entry.key == key })
		if i < 0 {
			return len(n.slots), false
		}
		return i, true
	}
	bit := bitOf(hash, shift)
	return bits.OnesCount32(n.bitmap & (bit - 1)), n.bitmap&bit != 0
}

func bitOf(hash uint64, shift uint) uint32 {
	return 1 << (hash >> shift & levelMask)
}

// get returns the value of key.
func (t trie[K, V]) get(key K) (V, bool) {
	return t.root.lookup(key, hashOf(key))
}

func (n *trieNode[K, V]) lookup(key K, hash uint64) (V, bool) {
	var zero V
	for shift := uint(0); n != nil; shift += levelBits {
		i, found := n.position(hash, shift, key)
		if !found {
			return zero, false
		}
		s := n.slots[i]
		if s.entry != nil {
			if s.entry.key != key {
				return zero, false
			}
			return s.entry.value, true
		}
		n = s.child
	}
	return zero, false
}

// with returns a trie in which key has the given value.
func (t trie[K, V]) with(key K, value V) trie[K, V] {
	entry := &trieEntry[K, V]{hash: hashOf(key), key: key, value: value}
	root, added := t.root.with(entry, 0)
	if added {
		t.size++
	}
	return trie[K, V]{root: root, size: t.size}
}

func (n *trieNode[K, V]) with(entry *trieEntry[K, V], shift uint) (*trieNode[K, V], bool) {
	if n == nil {
		n = &trieNode[K, V]{}
	}
	i, found := n.position(entry.hash, shift, entry.key)
	if !found {
		return n.inserted(i, entry, shift), true
	}
	s := n.slots[i]
	if s.entry != nil && s.entry.key == entry.key {
		return n.replaced(i, trieSlot[K, V]{entry: entry}), false
	}
	child := s.child
	if s.entry != nil {
		child, _ = child.with(s.entry, shift+levelBits)
	}
	child, added := child.with(entry, shift+levelBits)
	return n.replaced(i, trieSlot[K, V]{child: child}), added
}

func (n *trieNode[K, V]) inserted(i int, entry *trieEntry[K, V], shift uint) *trieNode[K, V] {
	c := &trieNode[K, V]{bitmap: n.bitmap, slots: make([]trieSlot[K, V], len(n.slots)+1)}
	copy(c.slots, n.slots[:i])
	c.slots[i] = trieSlot[K, V]{entry: entry}
	copy(c.slots[i+1:], n.slots[i:])
	if shift < hashBits {
		c.bitmap |= bitOf(entry.hash, shift)
	}
	return c
}

func (n *trieNode[K, V]) replaced(i int, s trieSlot[K, V]) *trieNode[K, V] {
	c := &trieNode[K, V]{bitmap: n.bitmap, slots: slices.Clone(n.slots)}
	c.slots[i] = s
	return c
}

// without returns a trie without key.
func (t trie[K, V]) without(key K) trie[K, V] {
	if _, found := t.get(key); !found {
		return t
	}
	return trie[K, V]{root: t.root.without(key, hashOf(key), 0), size: t.size - 1}
}

// without removes a key that is present. It returns nil when nothing is left.
func (n *trieNode[K, V]) without(key K, hash uint64, shift uint) *trieNode[K, V] {
	i, _ := n.position(hash, shift, key)
	s := n.slots[i]
	if s.entry != nil {
		return n.removed(i, hash, shift)
	}
	child := s.child.without(key, hash, shift+levelBits)
	if child == nil {
		return n.removed(i, hash, shift)
	}
	if len(child.slots) == 1 && child.slots[0].entry != nil {
		return n.replaced(i, child.slots[0])
	}
	return n.replaced(i, trieSlot[K, V]{child: child})
}

func (n *trieNode[K, V]) removed(i int, hash uint64, shift uint) *trieNode[K, V] {
	if len(n.slots) == 1 {
		return nil
	}
	c := &trieNode[K, V]{bitmap: n.bitmap, slots: make([]trieSlot[K, V], 0, len(n.slots)-1)}
	c.slots = append(append(c.slots, n.slots[:i]...), n.slots[i+1:]...)
	if shift < hashBits {
		c.bitmap &^= bitOf(hash, shift)
	}
	return c
}

// all iterates over the entries in no particular order.
func (t trie[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		t.root.walk(yield)
	}
}

func (n *trieNode[K, V]) walk(yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	for _, s := range n.slots {
		if s.entry != nil && !yield(s.entry.key, s.entry.value) {
			return false
		}
		if !s.child.walk(yield) {
			return false
		}
	}
	return true
}

// sorted returns the values in ascending order of their keys.
func (t trie[K, V]) sorted() []V {
	keys := make([]K, 0, t.size)
	for k := range t.all() {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	values := make([]V, len(keys))
	for i, k := range keys {
		values[i], _ = t.get(k)
	}
	return values
}
