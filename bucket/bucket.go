// Package bucket is a token bucket as three pure functions: a balance in units that is
// refilled continuously at a rate, capped at a burst, and from which also what other
// limiters admitted is subtracted, below 0 too. The gateway and the limiter in service
// share it. It reads no clock and does no I/O; callers pass the seconds that have gone by.
//
// An admitted request is its caller's own subtraction: where [Wait] is 0 or less, it takes
// the units off the balance.
package bucket

// Refill returns a balance after some seconds at a rate in units a second, capped at the
// burst in units.
func Refill(balance, seconds, rate, burst float64) float64 {
	return min(burst, balance+seconds*rate)
}

// Draw returns a balance less the units that others admitted, but no lower than a floor,
// unless it was below the floor already. The floor bounds for how long a wrong report can
// keep a tenant out.
func Draw(balance, units, floor float64) float64 {
	return max(balance-units, min(balance, floor))
}

// Wait returns the seconds until a balance that is short holds some units, at a rate in
// units a second; 0 or less where it holds them already.
func Wait(balance, units, rate float64) float64 { return (units - balance) / rate }
