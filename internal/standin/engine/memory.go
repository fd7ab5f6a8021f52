package engine

import (
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// memory accounts for the engine's memory by owner, in tokens. The prefix cache
// is accounted separately.
type memory struct {
	size      int64
	allocated map[string]int64
}

func newMemory(size int64) *memory {
	return &memory{size: size, allocated: map[string]int64{}}
}

func (m *memory) free() int64 {
	free := m.size
	for _, tokens := range m.allocated {
		free -= tokens
	}
	return free
}

// reserve raises an owner's allocation to at least the given tokens in total. It
// changes nothing and returns false if there is not enough free memory.
func (m *memory) reserve(owner string, tokens int64) bool {
	held := m.allocated[owner]
	if tokens <= held {
		return true
	}
	if tokens-held > m.free() {
		return false
	}
	m.allocated[owner] = tokens
	return true
}

// allocations lists the allocated memory, sorted by owner.
func (m *memory) allocations() []oleanderspool.MemoryAllocation {
	list := make([]oleanderspool.MemoryAllocation, 0, len(m.allocated))
	for owner, tokens := range m.allocated {
		list = append(list, oleanderspool.MemoryAllocation{Owner: owner, Tokens: tokens})
	}
	slices.SortFunc(list, func(a, b oleanderspool.MemoryAllocation) int {
		return strings.Compare(a.Owner, b.Owner)
	})
	return list
}
