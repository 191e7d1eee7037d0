// Package bucket implements a token bucket as three pure functions. The balance, in units, is
// refilled continuously at a rate and capped at a burst. Units that other limiters have
// admitted are subtracted too and may make it negative. The gateway's limiter and the limiter
// service share this package. It reads no clock and does no I/O; callers pass the elapsed
// seconds.
//
// The caller itself subtracts the units of a request that it admits, when [Wait] is 0 or less.
package bucket

// Refill returns the balance after some seconds at a rate in units per second, capped at the
// burst in units.
func Refill(balance, seconds, rate, burst float64) float64 {
	return min(burst, balance+seconds*rate)
}

// Draw returns the balance less the units that other limiters have admitted, but no lower than
// a floor, unless it was below the floor already. The floor bounds how long a wrong report can
// lock a tenant out.
func Draw(balance, units, floor float64) float64 {
	return max(balance-units, min(balance, floor))
}

// Wait returns the seconds until the balance reaches the given units, at a rate in units per
// second; 0 or less if it has reached them already.
func Wait(balance, units, rate float64) float64 { return (units - balance) / rate }
