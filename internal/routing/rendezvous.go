package routing

import "github.com/cespare/xxhash/v2"

// Weight returns the rendezvous weight of a key and a node, both given as
// hashes. The node with the highest weight owns the key. Removing a node moves
// only the keys that it owned.
func Weight(key, node uint64) uint64 {
	// The finalizer of splitmix64. Both inputs are hashes already, so one round
	// is enough to make the weights of one key independent of each other.
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Hash returns the hash of a name for use with [Weight].
func Hash[T ~string](name T) uint64 {
	return xxhash.Sum64String(string(name))
}
