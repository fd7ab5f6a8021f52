// Package oleanderspool defines the domain types and the interfaces of a
// serving layer for prompts of very unlike lengths on a few shared model
// backend servers.
//
// The package holds no I/O. [New] builds a [Router] from prioritized filters
// and scorers; implementations of the interfaces live in the packages below
// internal/.
package oleanderspool
