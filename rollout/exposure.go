package rollout

import (
	"math"
	"time"
)

const (
	// shareMargin is the part of the allowed share that is used. The rest covers requests that are not seen here, such as
	// retries of entry instances and those of allocators that were cut off.
	shareMargin = 0.85
	// toleranceMargin is the part of the tolerance that is used.
	toleranceMargin = 0.7
	// canaryPart is the part of the usable share that is spent before the version was found good. The rest shows whether
	// it bears the load.
	canaryPart = 0.8
	// futurePart is the part of the requests that are expected until the deadline on whose share the load step draws.
	// Demand may fall to less than half within seconds.
	futurePart = 0.4
	// rateWindow is the time constant with which the rate of requests is learned.
	rateWindow = 2 * time.Second
)

// Exposure counts the requests to a service and those of them that the new version got.
//
// Invariant: as long as only available requests are added to exposed, exposed never exceeds the share of all requests
// until the deadline plus the tolerance, if requests arrive at futurePart of the present rate or more.
type Exposure struct {
	limits   Limits
	requests float64
	exposed  float64
	credit   float64 // part of the tolerance that may be spent here
	rate     float64 // requests a second
	updated  time.Duration
}

// Count adds requests to the service, whatever version they go to.
func (x *Exposure) Count(now time.Duration, requests int) {
	x.decayRate(now)
	x.requests += float64(requests)
	x.rate += float64(requests) / rateWindow.Seconds()
}

func (x *Exposure) decayRate(now time.Duration) {
	if now > x.updated {
		x.rate *= math.Exp(-(now - x.updated).Seconds() / rateWindow.Seconds())
		x.updated = now
	}
}

// Add counts requests to the new version.
func (x *Exposure) Add(requests int) { x.exposed += float64(requests) }

// allowTolerance lets the tolerance be spent. Only one allocator may do so for an order.
func (x *Exposure) allowTolerance() { x.credit = x.limits.Tolerance * toleranceMargin }

// availableAsCanary returns how many requests the new version may get now, before it was found good.
func (x *Exposure) availableAsCanary() float64 {
	return canaryPart*shareMargin*x.limits.Share*x.requests + x.credit - x.exposed
}

// availableUnderLoad returns how many requests the new version may get at once, with the given time until the deadline.
func (x *Exposure) availableUnderLoad(now, left time.Duration) float64 {
	x.decayRate(now)
	expected := x.requests + futurePart*x.rate*max(left, 0).Seconds()
	return shareMargin*x.limits.Share*expected + x.credit - x.exposed
}
