// Package fuzz makes the stateful fuzz tests of a package reproducible.
package fuzz

import (
	"flag"
	"strconv"

	_ "pgregory.net/rapid" // defines the flags
)

// seed is the seed of every fuzz test unless -rapid.seed is given.
const seed = "20261204"

// Configure sets the seed, the number of checks and the number of steps per
// check for the fuzz tests of a package; 0 leaves the flag unchanged. Call it
// from init, so that the flags -rapid.seed, -rapid.checks and -rapid.steps on the
// command line override it. It panics if a flag is not defined.
func Configure(checks, steps int) {
	setFlag("rapid.seed", seed)
	setFlag("rapid.nofailfile", "true") // the seed that a failure prints is enough to reproduce it
	if checks > 0 {
		setFlag("rapid.checks", strconv.Itoa(checks))
	}
	if steps > 0 {
		setFlag("rapid.steps", strconv.Itoa(steps))
	}
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
