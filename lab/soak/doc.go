// Package soak draws days on which everything overlaps, for real processes on loopback: signals, restarts and changes
// of the configuration come in series and at the same time, servers are slow, hang or fail, and clients leave, or go on
// with the connections that they have until the process at the other end is gone.
//
// [Day] draws a day by its seed: the same seed is the same day. [Runner] has package emulator play some of them one
// after the other, and package checker judge; it returns what became of each.
package soak
