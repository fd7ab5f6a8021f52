package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Configuration is an immutable, valid set of objects. The zero value is the
// empty configuration. Copies are cheap: a changed configuration shares all
// unchanged parts with the one it was derived from. It is safe for concurrent
// use.
type Configuration struct {
	models     modelTable
	versions   versionTable
	adapters   adapterTable
	accounts   accountTable
	priorities priorityTable
	sets       setTable
	routes     routeTable

	accountByKeyHash trie[string, oleanderspool.ClientAccountID]
	setsByInstance   trie[oleanderspool.InstanceID, []oleanderspool.ServerSetID]
	referenceCounts  trie[string, int] // number of references to an object, by referenceKey
}

// HashKey returns the hash under which a client account is found by its API
// key: SHA-256 in lower-case hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Model returns the model with the given id.
func (c Configuration) Model(id oleanderspool.ModelID) (Model, bool) {
	return c.models.get(id)
}

// Version returns the version with the given id.
func (c Configuration) Version(id oleanderspool.VersionID) (Version, bool) {
	return c.versions.get(id)
}

// Adapter returns the adapter with the given id.
func (c Configuration) Adapter(id oleanderspool.AdapterID) (Adapter, bool) {
	return c.adapters.get(id)
}

// ClientAccount returns the client account with the given id.
func (c Configuration) ClientAccount(id oleanderspool.ClientAccountID) (ClientAccount, bool) {
	return c.accounts.get(id)
}

// AccountByKeyHash returns the client account whose API key has the given
// hash, as [HashKey] returns it.
func (c Configuration) AccountByKeyHash(hash string) (ClientAccount, bool) {
	id, found := c.accountByKeyHash.get(hash)
	if !found {
		return ClientAccount{}, false
	}
	return c.accounts.get(id)
}

// AccountByKey returns the client account with the given API key.
func (c Configuration) AccountByKey(key string) (ClientAccount, bool) {
	return c.AccountByKeyHash(HashKey(key))
}

// Priority returns the priority with the given id.
func (c Configuration) Priority(id oleanderspool.PriorityID) (Priority, bool) {
	return c.priorities.get(id)
}

// Level returns the priority level of a client account, or 0 for an unknown
// account.
func (c Configuration) Level(id oleanderspool.ClientAccountID) int {
	account, _ := c.accounts.get(id)
	priority, _ := c.priorities.get(account.Priority)
	return priority.Level
}

// ServerSet returns the set of backend servers with the given id.
func (c Configuration) ServerSet(id oleanderspool.ServerSetID) (ServerSet, bool) {
	return c.sets.get(id)
}

// ServiceRoute returns the service route with the given id.
func (c Configuration) ServiceRoute(id oleanderspool.RouteID) (ServiceRoute, bool) {
	return c.routes.get(id)
}

// SetsOf returns the sets that an instance belongs to, in ascending order. The
// result must not be modified.
func (c Configuration) SetsOf(instance oleanderspool.InstanceID) []oleanderspool.ServerSetID {
	sets, _ := c.setsByInstance.get(instance)
	return sets
}

// InSet reports whether an instance belongs to a set.
func (c Configuration) InSet(set oleanderspool.ServerSetID, instance oleanderspool.InstanceID) bool {
	return slices.Contains(c.SetsOf(instance), set)
}

// Models returns all models in ascending order of id.
func (c Configuration) Models() []Model { return c.models.sorted() }

// Versions returns all versions in ascending order of id.
func (c Configuration) Versions() []Version { return c.versions.sorted() }

// Adapters returns all adapters in ascending order of id.
func (c Configuration) Adapters() []Adapter { return c.adapters.sorted() }

// ClientAccounts returns all client accounts in ascending order of id.
func (c Configuration) ClientAccounts() []ClientAccount { return c.accounts.sorted() }

// Priorities returns all priorities in ascending order of id.
func (c Configuration) Priorities() []Priority { return c.priorities.sorted() }

// ServerSets returns all sets of backend servers in ascending order of id.
func (c Configuration) ServerSets() []ServerSet { return c.sets.sorted() }

// ServiceRoutes returns all service routes in ascending order of id.
func (c Configuration) ServiceRoutes() []ServiceRoute { return c.routes.sorted() }

// Object returns the object that ref identifies.
func (c Configuration) Object(ref Ref) (Object, bool) {
	spec, known := specOf(ref.Kind)
	if !known {
		return nil, false
	}
	return spec.get(&c, ref.ID)
}

// Revision returns the revision at which an object was last changed, or 0 for
// an object that does not exist or was never published.
func (c Configuration) Revision(ref Ref) oleanderspool.Revision {
	spec, known := specOf(ref.Kind)
	if !known {
		return 0
	}
	return spec.revision(&c, ref.ID)
}

// WithRevision returns a configuration in which an existing object has the
// given revision. When the object does not exist, it returns c unchanged.
func (c Configuration) WithRevision(ref Ref, revision oleanderspool.Revision) Configuration {
	object, found := c.Object(ref)
	if !found {
		return c
	}
	spec, _ := specOf(ref.Kind)
	spec.put(&c, object, revision)
	return c
}

// Objects returns all objects in the order of the printed format.
func (c Configuration) Objects() []Object {
	objects := make([]Object, 0, c.Len())
	for i := range kindSpecs {
		objects = append(objects, kindSpecs[i].all(&c)...)
	}
	return objects
}

// Len returns the number of objects.
func (c Configuration) Len() int {
	n := 0
	for i := range kindSpecs {
		n += kindSpecs[i].size(&c)
	}
	return n
}

// referenceKey returns the key of an object in referenceCounts.
func referenceKey(ref Ref) string {
	return string(ref.Kind) + "/" + ref.ID
}

// referenceCount returns the number of references to an object.
func (c *Configuration) referenceCount(ref Ref) int {
	n, _ := c.referenceCounts.get(referenceKey(ref))
	return n
}

// insert adds an object to the tables and indexes. It returns the client account
// that already has the same key hash, if any.
func (c *Configuration) insert(o Object, revision oleanderspool.Revision) (keyOwner oleanderspool.ClientAccountID, duplicate bool) {
	spec, _ := specOf(o.Ref().Kind)
	spec.put(c, o, revision)
	for _, r := range o.references() {
		c.addReferences(r.target, 1)
	}
	switch o := o.(type) {
	case ClientAccount:
		keyOwner, duplicate = c.accountByKeyHash.get(o.KeyHash)
		if !duplicate {
			c.accountByKeyHash = c.accountByKeyHash.with(o.KeyHash, o.ID)
		}
	case ServerSet:
		for _, instance := range o.Instances {
			c.addToSet(instance, o.ID)
		}
	}
	return keyOwner, duplicate
}

// remove removes an object from the tables and indexes.
func (c *Configuration) remove(o Object) {
	spec, _ := specOf(o.Ref().Kind)
	spec.remove(c, o.Ref().ID)
	for _, r := range o.references() {
		c.addReferences(r.target, -1)
	}
	switch o := o.(type) {
	case ClientAccount:
		c.accountByKeyHash = c.accountByKeyHash.without(o.KeyHash)
	case ServerSet:
		for _, instance := range o.Instances {
			c.removeFromSet(instance, o.ID)
		}
	}
}

func (c *Configuration) addReferences(ref Ref, delta int) {
	key := referenceKey(ref)
	if n := c.referenceCount(ref) + delta; n > 0 {
		c.referenceCounts = c.referenceCounts.with(key, n)
		return
	}
	c.referenceCounts = c.referenceCounts.without(key)
}

func (c *Configuration) addToSet(instance oleanderspool.InstanceID, set oleanderspool.ServerSetID) {
	sets := c.SetsOf(instance)
	i, found := slices.BinarySearch(sets, set)
	if !found {
		c.setsByInstance = c.setsByInstance.with(instance, slices.Insert(slices.Clone(sets), i, set))
	}
}

func (c *Configuration) removeFromSet(instance oleanderspool.InstanceID, set oleanderspool.ServerSetID) {
	sets := slices.Clone(c.SetsOf(instance))
	sets = slices.DeleteFunc(sets, func(s oleanderspool.ServerSetID) bool { return s == set })
	if len(sets) == 0 {
		c.setsByInstance = c.setsByInstance.without(instance)
		return
	}
	c.setsByInstance = c.setsByInstance.with(instance, sets)
}
