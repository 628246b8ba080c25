// Package boottime reads the clock that counts time since the machine booted, including the time
// that it was suspended. Leases are measured with it: the monotonic clock of Go stands still during
// a suspension, and the time of day may be set.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point on the clock, in nanoseconds since boot.
type Time int64

// Now returns the present time. The clock is part of every supported kernel, so a failure to read it
// is a defect of the environment that the process can't work around.
func Now() Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not readable: " + err.Error())
	}
	return Time(t.Nano())
}

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }
