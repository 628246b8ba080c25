package scenario

import (
	"container/heap"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type timer struct {
	at  time.Time
	seq int
	run func()
}

// clock runs callbacks in virtual time. It implements heap.Interface.
type clock struct {
	now    time.Time
	seq    int
	timers []timer
}

func (c *clock) Len() int      { return len(c.timers) }
func (c *clock) Swap(i, j int) { c.timers[i], c.timers[j] = c.timers[j], c.timers[i] }
func (c *clock) Push(x any)    { c.timers = append(c.timers, x.(timer)) }

func (c *clock) Less(i, j int) bool {
	if c.timers[i].at.Equal(c.timers[j].at) {
		return c.timers[i].seq < c.timers[j].seq
	}
	return c.timers[i].at.Before(c.timers[j].at)
}

func (c *clock) Pop() any {
	last := len(c.timers) - 1
	t := c.timers[last]
	c.timers = c.timers[:last]
	return t
}

func (c *clock) at(t time.Time, run func()) {
	c.seq++
	heap.Push(c, timer{at: t, seq: c.seq, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every runs a callback periodically, first after one period.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		t := heap.Pop(c).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}
