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
	return c.waitBy(now, c.capacity(now, s)*float64(s.places()), e, func(density float64) demand {
		d := demand{load: s.recent.load(now, density)}
		for _, other := range s.waiting {
			if other != e && other.worthNow(now) >= density {
				d.work += c.pace.work(other, s.places())
			}
		}
		return d
	})
}

// demand is what goes before a request of some density.
type demand struct {
	work time.Duration // of the waiting requests
	load float64       // places that arriving requests keep busy
}

// waitBy estimates the wait for one of a number of places, given what goes before a density.
func (c *Core) waitBy(now time.Duration, places float64, e *entry, before func(density float64) demand) time.Duration {
	if places == 0 {
		return noCapacityWait
	}
	wait := before(e.density).wait(places)
	if now+wait+c.pace.least(e) <= e.FirstEventDue {
		return wait
	}
	return before(lateValue * e.density).wait(places)
}

func (d demand) wait(places float64) time.Duration {
	left := max(1-d.load/places, leastRoom)
	return time.Duration(float64(d.work) / (places * left))
}

// worthNow is the density of a waiting request, less once it is late.
func (e *entry) worthNow(now time.Duration) float64 {
	if now > e.FirstEventDue {
		return lateValue * e.density
	}
	return e.density
}

// reviewMargin is how many times the time that a caller still has a new estimate must be, since
// estimates of the wait vary with the last few arrivals.
const reviewMargin = 2

// reviewPeriod is how often the expected waits of the waiting requests are estimated again: callers
// hear of it a fifth of a second late at most; the estimates of 300 requests beside 2,600
// arrivals of the window take under 1 ms (BenchmarkReview).
const reviewPeriod = 200 * time.Millisecond

// review rejects the waiting requests that have become hopeless, as engines were lost or more valuable
// requests came: a caller that hears of it early has the time to return.
func (c *Core) review(now time.Duration, s *service) {
	if now < s.reviewAt || len(s.waiting) == 0 {
		return
	}
	s.reviewAt = now + reviewPeriod
	waiting := make([]weighedWork, 0, len(s.waiting))
	for _, e := range s.waiting {
		waiting = append(waiting, weighedWork{e.worthNow(now), c.pace.work(e, s.places())})
	}
	queue, arriving := newRanking(waiting), newRanking(s.recent.since(now-arrivalWindow))
	places := c.capacity(now, s) * float64(s.places())
	c.rejectWaiting(now, s, func(i int, e *entry) (Reason, time.Duration) {
		wait := c.waitBy(now, places, e, func(density float64) demand {
			d := demand{work: queue.before(density), load: arriving.before(density).Seconds() / arrivalWindow.Seconds()}
			if waiting[i].density >= density {
				d.work -= waiting[i].work
			}
			return d
		})
		if e.PartlyDelivered || float64(wait) <= reviewMargin*float64(min(e.FirstEventDeadline, e.Deadline)-now-c.pace.least(e)) {
			return "", 0
		}
		return ReasonOverload, wait
	})
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

// since returns the arrivals after a time.
func (a *arrivals) since(t time.Duration) []weighedWork {
	var works []weighedWork
	for i := len(a.list) - 1; i >= 0 && a.list[i].at >= t; i-- {
		works = append(works, weighedWork{a.list[i].density, a.list[i].work})
	}
	return works
}
