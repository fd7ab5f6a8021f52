// Package configuration builds, checks, prints and parses the configuration
// of oleanderspool. Operators use it to create models, versions, adapters,
// client accounts, priorities, sets of backend servers and service routes.
package configuration

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Model is a model under the name that callers use.
type Model struct {
	ID              oleanderspool.ModelID
	Version         oleanderspool.VersionID   // version that is served
	Set             oleanderspool.ServerSetID // backend servers that serve the model
	MaxPromptTokens int                       // longest accepted prompt, in tokens
}

// WithVersion returns a copy that serves the given version.
func (m Model) WithVersion(version oleanderspool.VersionID) Model {
	m.Version = version
	return m
}

// WithSet returns a copy that is served by the given set.
func (m Model) WithSet(set oleanderspool.ServerSetID) Model {
	m.Set = set
	return m
}

// WithMaxPromptTokens returns a copy with the given prompt limit in tokens.
func (m Model) WithMaxPromptTokens(tokens int) Model {
	m.MaxPromptTokens = tokens
	return m
}

// Version is a version of a model's weights.
type Version struct {
	ID       oleanderspool.VersionID
	Model    oleanderspool.ModelID
	Artefact string // name in the weight store
}

// Adapter is an adapter of a model.
type Adapter struct {
	ID       oleanderspool.AdapterID
	Model    oleanderspool.ModelID
	Artefact string // name in the weight store
}

// ClientAccount is a client account and its limits.
type ClientAccount struct {
	ID              oleanderspool.ClientAccountID
	KeyHash         string // SHA-256 of the account's API key, in hexadecimal
	Priority        oleanderspool.PriorityID
	RequestsPerSec  float64 // sustained rate across the fleet; 0 means no limit
	BurstRequests   int     // requests that may exceed the rate in a burst
	ShareOfCapacity float64 // largest share of prefill capacity under contention, in (0, 1]
}

// WithPriority returns a copy with the given priority.
func (c ClientAccount) WithPriority(priority oleanderspool.PriorityID) ClientAccount {
	c.Priority = priority
	return c
}

// WithRate returns a copy with the given sustained rate in requests per
// second and burst in requests.
func (c ClientAccount) WithRate(perSec float64, burst int) ClientAccount {
	c.RequestsPerSec = perSec
	c.BurstRequests = burst
	return c
}

// WithShare returns a copy with the given share of prefill capacity, in (0, 1].
func (c ClientAccount) WithShare(share float64) ClientAccount {
	c.ShareOfCapacity = share
	return c
}

// Priority is a priority class.
type Priority struct {
	ID    oleanderspool.PriorityID
	Level int // higher levels are served first
}

// ServerSet is a set of backend servers. Instances are kept in ascending
// order.
type ServerSet struct {
	ID         oleanderspool.ServerSetID
	Instances  []oleanderspool.InstanceID // not to be modified
	EngineRole string                     // role that the engines of the set are ordered to take; empty for no order
}

// WithEngineRole returns a copy whose engines are ordered to take the given
// role. An empty role means that they receive no such order.
func (s ServerSet) WithEngineRole(role string) ServerSet {
	s.EngineRole = role
	return s
}

// WithInstances returns a copy with the given instances, in ascending order.
func (s ServerSet) WithInstances(instances ...oleanderspool.InstanceID) ServerSet {
	s.Instances = slices.Clone(instances)
	slices.Sort(s.Instances)
	return s
}

// ServiceRoute is a route to a plain service.
type ServiceRoute struct {
	ID         oleanderspool.RouteID
	Set        oleanderspool.ServerSetID
	Idempotent bool // whether a call may be retried
}

// WithSet returns a copy that is served by the given set.
func (s ServiceRoute) WithSet(set oleanderspool.ServerSetID) ServiceRoute {
	s.Set = set
	return s
}

// WithIdempotent returns a copy whose calls may be retried or not.
func (s ServiceRoute) WithIdempotent(idempotent bool) ServiceRoute {
	s.Idempotent = idempotent
	return s
}

// WithArtefact returns a copy with the given name in the weight store.
func (v Version) WithArtefact(artefact string) Version {
	v.Artefact = artefact
	return v
}

// WithArtefact returns a copy with the given name in the weight store.
func (a Adapter) WithArtefact(artefact string) Adapter {
	a.Artefact = artefact
	return a
}

// WithLevel returns a copy with the given level.
func (p Priority) WithLevel(level int) Priority {
	p.Level = level
	return p
}

// WithKeyHash returns a copy with the given hash of the account's API key,
// as [HashKey] returns it.
func (c ClientAccount) WithKeyHash(hash string) ClientAccount {
	c.KeyHash = hash
	return c
}
