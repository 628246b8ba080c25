package claims

import "time"

// clock is the wall clock made monotonic: a step backwards during the process is bridged with the monotonic clock,
// and after a restart it continues from the highest time in the journal. Without that, a clock that was once far
// ahead would stand still for the ledger, and nothing would expire until the wall clock had caught up.
type clock struct {
	source func() time.Time
	start  time.Time
	floor  int64 // Unix milliseconds at start
}

func newClock(source func() time.Time, highest time.Time) clock {
	start := source()
	return clock{source: source, start: start, floor: max(start.UnixMilli(), highest.UnixMilli())}
}

func (c clock) now() time.Time {
	wall := c.source()
	bridged := c.floor + wall.Sub(c.start).Milliseconds()
	return time.UnixMilli(max(wall.UnixMilli(), bridged))
}
