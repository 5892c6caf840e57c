//go:build race

package swrollout

// defaultSeeds is small, as the plays run in one goroutine each, where the race detector finds nothing.
const defaultSeeds = 2
