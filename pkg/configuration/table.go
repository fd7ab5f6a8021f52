package configuration

import (
	"github.com/oleanderspool/oleanderspool"
)

// storedObject is an object with the revision at which it was last changed.
type storedObject[T Object] struct {
	object   T
	revision oleanderspool.Revision
}

// table holds the objects of one kind. Its methods change only the receiver;
// earlier copies keep their content.
type table[K ~string, T Object] struct {
	entries trie[K, storedObject[T]]
}

func (t *table[K, T]) get(id K) (T, bool) {
	entry, found := t.entries.get(id)
	return entry.object, found
}

func (t *table[K, T]) revision(id K) oleanderspool.Revision {
	entry, _ := t.entries.get(id)
	return entry.revision
}

func (t *table[K, T]) put(id K, object T, revision oleanderspool.Revision) {
	t.entries = t.entries.with(id, storedObject[T]{object: object, revision: revision})
}

func (t *table[K, T]) remove(id K) {
	t.entries = t.entries.without(id)
}

// sorted returns the objects in ascending order of id.
func (t *table[K, T]) sorted() []T {
	entries := t.entries.sorted()
	objects := make([]T, len(entries))
	for i, entry := range entries {
		objects[i] = entry.object
	}
	return objects
}
