package configuration

import (
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Kind is the kind of an object.
type Kind string

// The kinds of object.
const (
	KindModel         Kind = "model"
	KindVersion       Kind = "version"
	KindAdapter       Kind = "adapter"
	KindClientAccount Kind = "client_account"
	KindPriority      Kind = "priority"
	KindServerSet     Kind = "server_set"
	KindServiceRoute  Kind = "service_route"
)

// Ref identifies an object.
type Ref struct {
	Kind Kind
	ID   string
}

// String returns the reference as "kind id".
func (r Ref) String() string {
	return string(r.Kind) + " " + r.ID
}

// Compare orders references by kind, in the order of the printed format, and
// then by id. It returns a negative number when r comes first.
func (r Ref) Compare(other Ref) int {
	if d := kindIndex(r.Kind) - kindIndex(other.Kind); d != 0 {
		return d
	}
	return strings.Compare(r.ID, other.ID)
}

// Object is an object of a configuration: [Model], [Version], [Adapter],
// [ClientAccount], [Priority], [ServerSet] or [ServiceRoute].
type Object interface {
	// Ref returns the reference that identifies the object.
	Ref() Ref

	value() Object // the object by value, also when called on a pointer
	references() []reference
	check(c *checker)
	write(p *printer)
}

// reference is a field that refers to another object.
type reference struct {
	field  string
	target Ref
}

// Ref returns the reference to the model.
func (m Model) Ref() Ref { return Ref{KindModel, string(m.ID)} }

// Ref returns the reference to the version.
func (v Version) Ref() Ref { return Ref{KindVersion, string(v.ID)} }

// Ref returns the reference to the adapter.
func (a Adapter) Ref() Ref { return Ref{KindAdapter, string(a.ID)} }

// Ref returns the reference to the client account.
func (c ClientAccount) Ref() Ref { return Ref{KindClientAccount, string(c.ID)} }

// Ref returns the reference to the priority.
func (p Priority) Ref() Ref { return Ref{KindPriority, string(p.ID)} }

// Ref returns the reference to the set of backend servers.
func (s ServerSet) Ref() Ref { return Ref{KindServerSet, string(s.ID)} }

// Ref returns the reference to the service route.
func (s ServiceRoute) Ref() Ref { return Ref{KindServiceRoute, string(s.ID)} }

func (m Model) value() Object         { return m }
func (v Version) value() Object       { return v }
func (a Adapter) value() Object       { return a }
func (c ClientAccount) value() Object { return c }
func (p Priority) value() Object      { return p }
func (s ServerSet) value() Object     { return s }
func (s ServiceRoute) value() Object  { return s }

func (m Model) references() []reference {
	return []reference{
		{"version", Ref{KindVersion, string(m.Version)}},
		{"set", Ref{KindServerSet, string(m.Set)}},
	}
}

func (v Version) references() []reference {
	return []reference{{"model", Ref{KindModel, string(v.Model)}}}
}

func (a Adapter) references() []reference {
	return []reference{{"model", Ref{KindModel, string(a.Model)}}}
}

func (c ClientAccount) references() []reference {
	return []reference{{"priority", Ref{KindPriority, string(c.Priority)}}}
}

func (Priority) references() []reference { return nil }

func (ServerSet) references() []reference { return nil }

func (s ServiceRoute) references() []reference {
	return []reference{{"set", Ref{KindServerSet, string(s.Set)}}}
}

// kindSpec provides uniform access to the objects of one kind.
type kindSpec struct {
	kind     Kind
	section  string // key of the kind's array in the printed format
	size     func(c *Configuration) int
	all      func(c *Configuration) []Object // in ascending order of id
	get      func(c *Configuration, id string) (Object, bool)
	revision func(c *Configuration, id string) oleanderspool.Revision
	put      func(c *Configuration, o Object, revision oleanderspool.Revision)
	remove   func(c *Configuration, id string)
	read     func(r *memberReader) Object
}

func newKindSpec[K ~string, T Object](kind Kind, section string, tableOf func(c *Configuration) *table[K, T], read func(r *memberReader) T) kindSpec {
	return kindSpec{
		kind:    kind,
		section: section,
		size:    func(c *Configuration) int { return tableOf(c).entries.size },
		all: func(c *Configuration) []Object {
			values := tableOf(c).sorted()
			objects := make([]Object, len(values))
			for i, v := range values {
				objects[i] = v
			}
			return objects
		},
		get: func(c *Configuration, id string) (Object, bool) {
			value, found := tableOf(c).get(K(id))
			return value, found
		},
		revision: func(c *Configuration, id string) oleanderspool.Revision {
			return tableOf(c).revision(K(id))
		},
		put: func(c *Configuration, o Object, revision oleanderspool.Revision) {
			tableOf(c).put(K(o.Ref().ID), o.(T), revision)
		},
		remove: func(c *Configuration, id string) { tableOf(c).remove(K(id)) },
		read:   func(r *memberReader) Object { return read(r) },
	}
}

type (
	modelTable    = table[oleanderspool.ModelID, Model]
	versionTable  = table[oleanderspool.VersionID, Version]
	adapterTable  = table[oleanderspool.AdapterID, Adapter]
	accountTable  = table[oleanderspool.ClientAccountID, ClientAccount]
	priorityTable = table[oleanderspool.PriorityID, Priority]
	setTable      = table[oleanderspool.ServerSetID, ServerSet]
	routeTable    = table[oleanderspool.RouteID, ServiceRoute]
)

// kindSpecs lists the kinds in the order of the printed format.
var kindSpecs = []kindSpec{
	newKindSpec(KindModel, "models", func(c *Configuration) *modelTable { return &c.models }, readModel),
	newKindSpec(KindVersion, "versions", func(c *Configuration) *versionTable { return &c.versions }, readVersion),
	newKindSpec(KindAdapter, "adapters", func(c *Configuration) *adapterTable { return &c.adapters }, readAdapter),
	newKindSpec(KindClientAccount, "client_accounts", func(c *Configuration) *accountTable { return &c.accounts }, readClientAccount),
	newKindSpec(KindPriority, "priorities", func(c *Configuration) *priorityTable { return &c.priorities }, readPriority),
	newKindSpec(KindServerSet, "server_sets", func(c *Configuration) *setTable { return &c.sets }, readServerSet),
	newKindSpec(KindServiceRoute, "service_routes", func(c *Configuration) *routeTable { return &c.routes }, readServiceRoute),
}

// kindIndex returns the index of a kind in the printed format, or the number of
// kinds for an unknown one.
func kindIndex(kind Kind) int {
	for i := range kindSpecs {
		if kindSpecs[i].kind == kind {
			return i
		}
	}
	return len(kindSpecs)
}

// specOf returns the spec of a kind.
func specOf(kind Kind) (*kindSpec, bool) {
	i := kindIndex(kind)
	if i == len(kindSpecs) {
		return nil, false
	}
	return &kindSpecs[i], true
}
