package scheduler

import (
	"math"
	"time"
)

// rateMemory is the time over which a rate is averaged: long enough for a few requests of a slow
// flow, short enough to follow a flood.
const rateMemory = 3 * time.Second

// rate is an exponentially weighted amount per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.perSecond(now) + amount/rateMemory.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(rateMemory))
}
