package configuration

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a change that loses an entry, keeps a removed one or modifies an
// earlier copy, and against a comparison with an earlier copy that misses a
// change, also when hashes collide in all bits.
func TestTrieMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collide := rapid.Bool().Draw(t, "collide")
		hash := func(key string) uint64 {
			if collide {
				return uint64(len(key)) << 62
			}
			return hashOf(key)
		}
		var root *trieNode[string, int]
		want := map[string]int{}
		copies, copyWants := []*trieNode[string, int]{}, []map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "key"))
				value := rapid.Int().Draw(t, "value")
				root, _ = root.with(&trieEntry[string, int]{hash: hash(key), key: key, value: value}, 0)
				want[key] = value
			},
			"remove": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "key"))
				if _, found := want[key]; found {
					root = root.without(key, hash(key), 0)
					delete(want, key)
				}
			},
			"keep": func(*rapid.T) {
				copies, copyWants = append(copies, root), append(copyWants, maps.Clone(want))
			},
			"": func(t *rapid.T) {
				checkEntries(t, root, want, hash)
				for i := range copies {
					checkEntries(t, copies[i], copyWants[i], hash)
					checkDifferingKeys(t, root, copies[i], want, copyWants[i])
				}
			},
		})
	})
}

func checkEntries(t *rapid.T, root *trieNode[string, int], want map[string]int, hash func(string) uint64) {
	got := map[string]int{}
	root.walk(func(key string, value int) bool {
		got[key] = value
		return true
	})
	if !maps.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for key, value := range want {
		if v, found := root.lookup(key, hash(key)); !found || v != value {
			t.Fatalf("%s: got %d %v, want %d", key, v, found, value)
		}
	}
}

func checkDifferingKeys(t *rapid.T, root, old *trieNode[string, int], want, oldWant map[string]int) {
	got := map[string]bool{}
	root.differing(old, func(key string) { got[key] = true })
	for i := range 100 {
		key := fmt.Sprint(i)
		now, found := want[key]
		before, existed := oldWant[key]
		if (found != existed || now != before) && !got[key] {
			t.Fatalf("key %s differs but is not reported", key)
		}
		if !found && !existed && got[key] {
			t.Fatalf("key %s is reported but is in neither trie", key)
		}
	}
}
