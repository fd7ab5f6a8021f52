package order

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Artefact is a version of a model, or an adapter for a version of its model,
// as an engine loads it.
type Artefact struct {
	Model   oleanderspool.ModelID
	Version oleanderspool.VersionID // empty when unknown
	Adapter oleanderspool.AdapterID // empty for the model itself
}

// base returns the model that an adapter is for, or a itself.
func (a Artefact) base() Artefact {
	a.Adapter = ""
	return a
}

// compare orders artefacts: models before adapters, then by name.
func (a Artefact) compare(b Artefact) int {
	return cmp.Or(
		cmp.Compare(min(len(a.Adapter), 1), min(len(b.Adapter), 1)),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Adapter, b.Adapter),
	)
}

// DesiredState is what a configuration wants of one engine.
type DesiredState struct {
	Role      string              // role to take; empty for none
	Artefacts []Artefact          // in the order in which they are loaded
	Sources   map[Artefact]string // name of each artefact in the weight store
}

// DesiredStateOf derives what a configuration wants of the engine at an instance:
// the versions in service of all models whose set the instance belongs to, and
// their adapters.
func DesiredStateOf(c configuration.Configuration, instance oleanderspool.InstanceID) DesiredState {
	w := DesiredState{Sources: map[Artefact]string{}}
	for _, id := range c.SetsOf(instance) {
		if set, _ := c.ServerSet(id); set.EngineRole != "" {
			w.Role = set.EngineRole
		}
	}
	versions := map[oleanderspool.ModelID]oleanderspool.VersionID{}
	for _, m := range c.Models() {
		if c.InSet(m.Set, instance) {
			versions[m.ID] = m.Version
			version, _ := c.Version(m.Version)
			w.add(Artefact{Model: m.ID, Version: m.Version}, version.Artefact)
		}
	}
	for _, a := range c.Adapters() {
		if version, served := versions[a.Model]; served {
			w.add(Artefact{Model: a.Model, Version: version, Adapter: a.ID}, a.Artefact)
		}
	}
	slices.SortFunc(w.Artefacts, Artefact.compare)
	return w
}

func (w *DesiredState) add(a Artefact, source string) {
	w.Artefacts = append(w.Artefacts, a)
	w.Sources[a] = source
}

func (w *DesiredState) has(a Artefact) bool {
	_, found := w.Sources[a]
	return found
}

// version returns the wanted version of a model.
func (w *DesiredState) version(model oleanderspool.ModelID) (Artefact, bool) {
	for _, a := range w.Artefacts {
		if a.Model == model && a.Adapter == "" {
			return a, true
		}
	}
	return Artefact{}, false
}
