package engine

import (
	"maps"
	"slices"
)

// loadedVersions holds the loaded versions of models or adapters, by name.
// Requests do not name a version; any loaded version can serve them.
type loadedVersions map[string]map[string]bool

// newLoadedVersions returns a set with the empty version of each name loaded.
func newLoadedVersions(names []string) loadedVersions {
	l := make(loadedVersions)
	for _, name := range names {
		l.load(name, "")
	}
	return l
}

func (l loadedVersions) load(name, version string) {
	if l[name] == nil {
		l[name] = make(map[string]bool)
	}
	l[name][version] = true
}

// unload removes a version of a name, or all its versions if version is empty.
func (l loadedVersions) unload(name, version string) {
	delete(l[name], version)
	if version == "" || len(l[name]) == 0 {
		delete(l, name)
	}
}

func (l loadedVersions) has(name string) bool {
	return len(l[name]) > 0
}

// names lists the names with any loaded version, in ascending order.
func (l loadedVersions) names() []string {
	return slices.Sorted(maps.Keys(l))
}
