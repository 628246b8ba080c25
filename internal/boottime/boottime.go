// Package boottime reads the clock that measures the time since the machine booted, including the time
// during which it was suspended. Leases are measured with this clock, because Go's monotonic clock stops
// while the machine is suspended and the wall clock may be adjusted.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, in nanoseconds since the machine booted.
type Time int64

// Now returns the current time. Every supported kernel provides the clock, so a failure to read it is a
// defect of the environment that the process cannot handle, and Now panics.
func Now() Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not readable: " + err.Error())
	}
	return Time(t.Nano())
}

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }
