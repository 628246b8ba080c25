package scheduler

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential average: long enough to cover a few
// requests of a slow flow, short enough to follow a flood.
const rateTimeConstant = 3 * time.Second

// rate is an exponentially weighted average of an amount per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.perSecond(now) + amount/rateTimeConstant.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(rateTimeConstant))
}
