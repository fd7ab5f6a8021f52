// Package fuzz makes the stateful fuzz tests of a package repeatable.
package fuzz

import (
	"flag"
	"strconv"

	_ "pgregory.net/rapid" // defines the flags
)

// seed is the seed of every fuzz test unless -rapid.seed is given.
const seed = "20261204"

// Configure sets the seed, the number of checks and the number of steps of a
// check for the fuzz tests of a package; 0 leaves a number as it is. Call it from
// init, so that the flags -rapid.seed, -rapid.checks and -rapid.steps on the
// command line override it. It panics if a flag is not defined.
func Configure(checks, steps int) {
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true") // the seed that a failure prints is enough
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
	if steps > 0 {
		set("rapid.steps", strconv.Itoa(steps))
	}
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
