package engine

import (
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// memory accounts for the engine's memory by owner. The prefix cache has its own
// memory.
type memory struct {
	size  int64
	owned map[string]int64
}

func newMemory(size int64) *memory {
	return &memory{size: size, owned: map[string]int64{}}
}

func (m *memory) free() int64 {
	free := m.size
	for _, tokens := range m.owned {
		free -= tokens
	}
	return free
}

// grow gives an owner at least the given tokens in total. It changes nothing and
// returns false when there is not enough.
func (m *memory) grow(owner string, tokens int64) bool {
	held := m.owned[owner]
	if tokens <= held {
		return true
	}
	if tokens-held > m.free() {
		return false
	}
	m.owned[owner] = tokens
	return true
}

// entries lists the memory by owner, in order of the owners.
func (m *memory) entries() []oleanderspool.MemoryAllocation {
	list := make([]oleanderspool.MemoryAllocation, 0, len(m.owned))
	for owner, tokens := range m.owned {
		list = append(list, oleanderspool.MemoryAllocation{Owner: owner, Tokens: tokens})
	}
	slices.SortFunc(list, func(a, b oleanderspool.MemoryAllocation) int {
		return strings.Compare(a.Owner, b.Owner)
	})
	return list
}
