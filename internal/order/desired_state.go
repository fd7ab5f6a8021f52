package order

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Artefact is what an engine loads: a version of a model, or an adapter for a
// version of its model.
type Artefact struct {
	Model   oleanderspool.ModelID
	Version oleanderspool.VersionID // empty if unknown
	Adapter oleanderspool.AdapterID // empty for the model itself
}

// base returns the model version that an adapter is for, or a itself for a model.
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

// DesiredState is the state of one engine that a configuration asks for.
type DesiredState struct {
	Role      string              // role to take; empty for none
	Artefacts []Artefact          // in loading order
	Sources   map[Artefact]string // name of each artefact in the weight store
}

// DesiredStateOf derives the desired state of the engine at an instance: the
// versions in service of all models whose server set the instance belongs to, and
// their adapters.
func DesiredStateOf(c configuration.Configuration, instance oleanderspool.InstanceID) DesiredState {
	d := DesiredState{Sources: map[Artefact]string{}}
	for _, id := range c.SetsOf(instance) {
		if set, _ := c.ServerSet(id); set.EngineRole != "" {
			d.Role = set.EngineRole
		}
	}
	versions := map[oleanderspool.ModelID]oleanderspool.VersionID{}
	for _, m := range c.Models() {
		if c.InSet(m.Set, instance) {
			versions[m.ID] = m.Version
			version, _ := c.Version(m.Version)
			d.add(Artefact{Model: m.ID, Version: m.Version}, version.Artefact)
		}
	}
	for _, a := range c.Adapters() {
		if version, served := versions[a.Model]; served {
			d.add(Artefact{Model: a.Model, Version: version, Adapter: a.ID}, a.Artefact)
		}
	}
	slices.SortFunc(d.Artefacts, Artefact.compare)
	return d
}

func (d *DesiredState) add(a Artefact, source string) {
	d.Artefacts = append(d.Artefacts, a)
	d.Sources[a] = source
}

func (d *DesiredState) has(a Artefact) bool {
	_, found := d.Sources[a]
	return found
}

// modelVersion returns the desired version of a model.
func (d *DesiredState) modelVersion(model oleanderspool.ModelID) (Artefact, bool) {
	for _, a := range d.Artefacts {
		if a.Model == model && a.Adapter == "" {
			return a, true
		}
	}
	return Artefact{}, false
}
