// Package soak holds the randomised fault soak of the entries on the platform.
// It runs the built program as separate processes on loopback, with faults from
// outside: relays that delay, cut, silence and reset connections, processes that
// are paused, killed, stopped and started again, a store and backend servers that
// misbehave. It has tests only; docs/promises.md gives the commands.
package soak
