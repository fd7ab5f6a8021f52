// Package oleanderspool defines the domain types and the interfaces of a
// serving layer that routes prompts of widely varying lengths to a few shared
// model backend servers.
//
// The package does no I/O. [New] builds a [Router] from prioritized filters
// and scorers; the interfaces are implemented in the packages below internal/.
package oleanderspool
