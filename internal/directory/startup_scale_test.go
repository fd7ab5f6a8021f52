//go:build !race

package directory_test

// startScale divides the number of entries that start and the limits of the store that
// they share.
const startScale = 1
