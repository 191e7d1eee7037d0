package dataplane

import (
	"time"

	"example.org/elmspan/settings"
)

// clock measures the time since the process started, on the monotonic clock: changes of the wall clock have no
// effect.
type clock struct{ start time.Time }

// now returns the time since the start.
func (c clock) now() time.Duration { return time.Since(c.start) }

// nowMs returns the time since the start in milliseconds, the unit of the state machines.
func (c clock) nowMs() float64 { return inMs(c.now()) }

// sinceStartMs returns the time from the start to t in milliseconds.
func (c clock) sinceStartMs(t time.Time) float64 { return inMs(t.Sub(c.start)) }

// inMs returns a duration in milliseconds.
func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// millis returns the duration of ms milliseconds, limited to the range of durations.
func millis(ms float64) time.Duration { return settings.Millis(ms) }
