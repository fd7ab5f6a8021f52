//go:build race

package directory_test

// startScale divides the number of entries that start and the limits of the store that
// they share. With 600 goroutines in a bubble the race detector of Go 1.26.0 ends the
// process by a failed check of its own (tsan_rtl.cpp:346).
const startScale = 5
