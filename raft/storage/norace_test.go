//go:build !race

package storage

// seedDivisor reduces the number of seeds under the race detector.
const seedDivisor = 1
