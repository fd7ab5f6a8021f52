// Package soak holds a randomised soak test of the entries on the platform under
// faults. It runs the built program as separate processes on loopback and injects
// faults from outside: relays that delay, cut, black-hole and reset connections,
// processes that are paused, killed, stopped and restarted, and a store and backend
// servers that misbehave. It has tests only; docs/promises.md gives the commands.
package soak
