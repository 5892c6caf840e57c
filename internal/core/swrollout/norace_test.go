//go:build !race

package swrollout

const defaultSeeds = 20
