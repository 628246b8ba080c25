package placement

import "time"

const (
	// retryLeast and retryMost bound the time after which a rejected caller is told to return.
	retryLeast = 200 * time.Millisecond
	retryMost  = 4 * time.Second
)

// overloaded reports whether so much work goes before a new request that it can't be answered in
// time. It is told so at once, while it can still use the time.
func (c *Core) overloaded(now time.Duration, s *service, e *entry) bool {
	capacity := c.capacity(now, s)
	if capacity == 0 {
		return now+emptyPatience > e.Deadline
	}
	own := c.lateOrder(e)
	var before time.Duration
	for _, other := range s.waiting {
		if c.lateOrder(other) <= own {
			before += c.pace.work(other, places(s))
		}
	}
	wait := time.Duration(float64(before) / capacity / float64(places(s)))
	return now+wait+c.pace.least(e) > e.Deadline
}

// emptyPatience is how long a request may wait for an engine where none is usable: as long as an
// engine rests after a failure.
const emptyPatience = failurePause

// lateStep separates the tiers of late requests; it is longer than any deadline of the users.
const lateStep = 20 * time.Second

// lateOrder is the order in which requests are served when none of them can be on time any more.
func (c *Core) lateOrder(e *entry) time.Duration {
	return time.Duration(e.Tier)*lateStep + e.Arrived/4
}

// capacity is the number of engines of usual speed that the usable engines of a service amount to.
func (c *Core) capacity(now time.Duration, s *service) float64 {
	total := 0.0
	for _, e := range s.engines {
		if c.scope != "" && e.DataCentre != c.scope || e.Leaving {
			continue
		}
		speed := 1 / max(e.slowness, 0.1)
		if now < e.restsUntil {
			speed *= restingSpeed // It will return before most of the work that waits is done.
		}
		total += speed
	}
	return total
}

// restingSpeed is the part of its speed at which an engine counts while it rests.
const restingSpeed = 0.5

// places returns the places of one engine of a service.
func places(s *service) int {
	for _, e := range s.engines {
		return e.Places
	}
	return 1
}

// retryAfter is the time after which the waiting work of a service is done.
func (c *Core) retryAfter(now time.Duration, s *service) time.Duration {
	capacity := c.capacity(now, s)
	if capacity == 0 {
		return retryMost
	}
	var work time.Duration
	for _, e := range s.waiting {
		work += c.pace.work(e, places(s))
	}
	return min(max(time.Duration(float64(work)/capacity/float64(places(s))), retryLeast), retryMost)
}
