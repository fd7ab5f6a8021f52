package engine

import (
	"maps"
	"slices"
)

// loaded holds the versions of what is loaded, by name. Requests name no
// version; any that is loaded serves them.
type loaded map[string]map[string]bool

// newLoaded returns names that are loaded in an unnamed version.
func newLoaded(names []string) loaded {
	l := make(loaded)
	for _, name := range names {
		l.load(name, "")
	}
	return l
}

func (l loaded) load(name, version string) {
	if l[name] == nil {
		l[name] = make(map[string]bool)
	}
	l[name][version] = true
}

// unload removes a version, or all of them if it is empty.
func (l loaded) unload(name, version string) {
	delete(l[name], version)
	if version == "" || len(l[name]) == 0 {
		delete(l, name)
	}
}

func (l loaded) has(name string) bool {
	return len(l[name]) > 0
}

// names lists what is loaded in any version, in ascending order.
func (l loaded) names() []string {
	return slices.Sorted(maps.Keys(l))
}
