package queue

import "github.com/oleanderspool/oleanderspool"

// waitingItem is an item in the queue.
type waitingItem struct {
	Item
	class     int
	due       oleanderspool.Millis
	arrivedAt oleanderspool.Millis
	sequence  uint64

	blocked   bool // was due first but did not fit into memory
	blockedAt oleanderspool.Millis
}

// before orders items by due time and then by arrival.
func (w *waitingItem) before(x *waitingItem) bool {
	if w.due != x.due {
		return w.due < x.due
	}
	return w.sequence < x.sequence
}

// tree is a treap of waiting items, ordered by due time, that also sums their
// prefill work. All operations take logarithmic expected time.
type tree struct {
	root *node
}

type node struct {
	item        *waitingItem
	priority    uint64 // heap order of the treap
	tokens      int64  // prefill work of the subtree
	left, right *node
}

// treapPriority returns the heap priority of an item. It hashes the sequence
// number with the finalizer of the splitmix64 generator, so that the shape of
// the tree depends only on the sequence numbers and is reproducible.
func treapPriority(sequence uint64) uint64 {
	z := sequence + 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (n *node) sum() int64 {
	if n == nil {
		return 0
	}
	return n.tokens
}

func (n *node) update() *node {
	n.tokens = n.item.PromptTokens + n.left.sum() + n.right.sum()
	return n
}

// split returns the items before x and the others.
func split(n *node, x *waitingItem) (*node, *node) {
	if n == nil {
		return nil, nil
	}
	if n.item.before(x) {
		middle, right := split(n.right, x)
		n.right = middle
		return n.update(), right
	}
	left, middle := split(n.left, x)
	n.left = middle
	return left, n.update()
}

// merge joins two trees of which all items of a come before those of b.
func merge(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = merge(a.right, b)
		return a.update()
	default:
		b.left = merge(a, b.left)
		return b.update()
	}
}

func (t *tree) insert(w *waitingItem) {
	n := &node{item: w, priority: treapPriority(w.sequence)}
	n.update()
	left, right := split(t.root, w)
	t.root = merge(merge(left, n), right)
}

func (t *tree) remove(w *waitingItem) {
	t.root = removeFrom(t.root, w)
}

func removeFrom(n *node, w *waitingItem) *node {
	switch {
	case n == nil:
		return nil
	case n.item == w:
		return merge(n.left, n.right)
	case w.before(n.item):
		n.left = removeFrom(n.left, w)
	default:
		n.right = removeFrom(n.right, w)
	}
	return n.update()
}

// first returns the item that is due first, or nil.
func (t *tree) first() *waitingItem {
	if t.root == nil {
		return nil
	}
	n := t.root
	for n.left != nil {
		n = n.left
	}
	return n.item
}

// sum returns the prefill work of all items, in tokens.
func (t *tree) sum() int64 {
	return t.root.sum()
}

// sumBefore returns the prefill work of the items before x, in tokens.
func (t *tree) sumBefore(x *waitingItem) int64 {
	total := int64(0)
	for n := t.root; n != nil; {
		if n.item.before(x) {
			total += n.item.PromptTokens + n.left.sum()
			n = n.right
		} else {
			n = n.left
		}
	}
	return total
}
