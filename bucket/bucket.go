// Package bucket is the token bucket of the design: a balance that is refilled
// continuously and capped, from which also what others let through is drawn,
// below nought too. It is the kernel that the limiter in service and the
// gateway share: no clock, no I/O. Times are in seconds passed.
package bucket

// Refill returns a balance after some seconds at a rate, capped at the burst.
func Refill(balance, seconds, rate, burst float64) float64 {
	return min(burst, balance+seconds*rate)
}

// Draw returns a balance less what others let through, but no lower than a
// floor, unless it was there already. The floor guards against a word that
// would keep a customer out for long.
func Draw(balance, units, floor float64) float64 {
	return max(balance-units, min(balance, floor))
}

// Wait returns the seconds until a balance that is short holds some units;
// below nought where it holds them already.
func Wait(balance, units, rate float64) float64 { return (units - balance) / rate }
