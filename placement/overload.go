package placement

import "time"

const (
	// retryLeast and retryMost bound the time after which a rejected caller is told to return. Callers
	// wait no longer than a third of their time.
	retryLeast = 200 * time.Millisecond
	retryMost  = 4 * time.Second
	// arrivalWindow is the time over which the load of arriving requests is measured.
	arrivalWindow = 2 * time.Second
	// leastRoom is the part of the capacity that is always counted as left for a request, so that a
	// measured load above the capacity does not stand for an endless wait.
	leastRoom = 0.05
	// restingSpeed is the part of its speed at which an engine counts while it rests.
	restingSpeed = 0.5
	// noCapacityWait is expected where no engine is usable: as long as an engine rests after a failure.
	noCapacityWait = failurePause
)

// expectedWait estimates how long a request waits for a place: the work that goes before it, over the
// capacity that the requests still to come leave. A request that would wait beyond its objective is
// worth less from then on, so that more goes before it.
func (c *Core) expectedWait(now time.Duration, s *service, e *entry) time.Duration {
	capacity := c.capacity(now, s) * float64(s.places())
	if capacity == 0 {
		return noCapacityWait
	}
	wait := c.waitBehind(now, s, e, e.density, capacity)
	if now+wait+c.pace.least(e) <= e.Objective {
		return wait
	}
	return c.waitBehind(now, s, e, lateValue*e.density, capacity)
}

func (c *Core) waitBehind(now time.Duration, s *service, e *entry, density, capacity float64) time.Duration {
	var before time.Duration
	for _, other := range s.waiting {
		worth := other.density
		if now > other.Objective {
			worth *= lateValue
		}
		if other != e && worth >= density {
			before += c.pace.work(other, s.places())
		}
	}
	left := max(1-s.recent.load(now, density)/capacity, leastRoom)
	return time.Duration(float64(before) / (capacity * left))
}

// capacity is the number of engines of usual speed that the engines of a service amount to.
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

// retryTime is when a rejected caller should return, given the wait that it would have had.
func retryTime(wait time.Duration) time.Duration { return min(max(wait, retryLeast), retryMost) }

// arrivals holds the requests that arrived lately, oldest first.
type arrivals struct {
	list []recentArrival
}

type recentArrival struct {
	at      time.Duration
	density float64
	work    time.Duration
}

func (a *arrivals) add(now time.Duration, density float64, work time.Duration) {
	a.list = append(a.list, recentArrival{now, density, work})
	old := 0
	for old < len(a.list) && now-a.list[old].at > arrivalWindow {
		old++
	}
	if old > len(a.list)/2 {
		a.list = append(a.list[:0], a.list[old:]...)
	}
}

// load is the number of places that arriving requests of this density or a higher one keep busy.
func (a *arrivals) load(now time.Duration, density float64) float64 {
	var work time.Duration
	for i := len(a.list) - 1; i >= 0 && now-a.list[i].at <= arrivalWindow; i-- {
		if a.list[i].density >= density {
			work += a.list[i].work
		}
	}
	return float64(work) / float64(arrivalWindow)
}
