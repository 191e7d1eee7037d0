//go:build !race

package storage

// slowdown divides the numbers of seeds under the race detector.
const slowdown = 1
