package claims

import "time"

// clock is a wall clock that never goes back. When the wall clock is set back while the process runs, clock
// continues with the monotonic clock; after a restart it continues from the highest time in the journal.
// Otherwise, after the wall clock had been far ahead, the ledger's time would not advance and nothing would
// expire until the wall clock reached that time again.
type clock struct {
	source func() time.Time
	start  time.Time
	base   int64 // lower bound of the time at start, in Unix milliseconds
}

// newClock returns a clock whose time is at least highest.
func newClock(source func() time.Time, highest time.Time) clock {
	start := source()
	return clock{source: source, start: start, base: max(start.UnixMilli(), highest.UnixMilli())}
}

func (c clock) now() time.Time {
	wall := c.source()
	monotonic := c.base + wall.Sub(c.start).Milliseconds()
	return time.UnixMilli(max(wall.UnixMilli(), monotonic))
}
