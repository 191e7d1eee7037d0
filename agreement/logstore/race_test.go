//go:build race

package logstore

// slowdown divides the numbers of seeds under the race detector.
const slowdown = 5
