package placement

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that is sent with a rejection. Callers wait no
	// longer than a third of their remaining time.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// arrivalWindow is the period over which the load of arriving requests is measured.
	arrivalWindow = 2 * time.Second
	// minSpareCapacity is the fraction of the capacity that is assumed to be available to a request in any
	// case, so that a measured load above the capacity does not yield an infinite wait.
	minSpareCapacity = 0.05
	// suspendedSpeed is the fraction of its speed with which a suspended engine counts towards the
	// capacity.
	suspendedSpeed = 0.5
	// minSlowness bounds the speed of an engine in estimates of the capacity.
	minSlowness = 0.1
	// noCapacityWait is the expected wait when no engine is usable: the time for which an engine is
	// suspended after failures.
	noCapacityWait = failurePause
)

// expectedWait estimates how long a request waits for a slot. It divides the work ahead of the request by
// the capacity that future arrivals leave. If the request would miss its due time, its value drops and
// more work goes ahead of it.
func (c *Core) expectedWait(now time.Duration, s *service, r *trackedRequest) time.Duration {
	if s.shares.divides() {
		return c.waitInShares(now, s, r)
	}
	return c.estimateWait(now, c.slotCapacity(now, s), r, func(density float64) demand {
		d := demand{load: s.recentArrivals.load(now, density)}
		for _, other := range s.waiting {
			if other != r && !s.leavesSlots(now, other) && other.currentDensity(now) >= density {
				d.work += c.latency.slotTime(other, s.slots())
			}
		}
		return d
	})
}

// demand is the work that goes ahead of a request of a given value density.
type demand struct {
	work time.Duration // slot time of the waiting requests
	load float64       // number of slots kept busy by arriving requests
}

// estimateWait estimates the wait for one of a number of slots. demandAhead returns the demand ahead of a
// request of a given density.
func (c *Core) estimateWait(
	now time.Duration, slots float64, r *trackedRequest, demandAhead func(density float64) demand,
) time.Duration {
	if slots == 0 {
		return noCapacityWait
	}
	wait := demandAhead(r.valueDensity).wait(slots)
	if now+wait+c.latency.minTimeToFirstEvent(r) <= r.FirstEventDue {
		return wait
	}
	return demandAhead(lateValue * r.valueDensity).wait(slots)
}

// wait returns the time until the given number of slots has processed the waiting work.
func (d demand) wait(slots float64) time.Duration {
	spare := max(1-d.load/slots, minSpareCapacity)
	return time.Duration(float64(d.work) / (slots * spare))
}

// currentDensity returns the value density of a waiting request, reduced if it is already late.
func (r *trackedRequest) currentDensity(now time.Duration) float64 {
	if now > r.FirstEventDue {
		return lateValue * r.valueDensity
	}
	return r.valueDensity
}

// reviewMargin is the factor by which a new estimate must exceed the caller's remaining time before the
// request is rejected, because estimates vary with the most recent arrivals.
const reviewMargin = 2

// reviewPeriod is the interval between re-estimations of the expected waits. A rejection is delayed by at
// most a fifth of a second. Estimating 300 waiting requests against the 2,600 arrivals of a window takes
// less than 1 ms (BenchmarkReview).
const reviewPeriod = 200 * time.Millisecond

// review rejects waiting requests that are no longer expected to be served in time because engines were
// lost or more valuable requests arrived. Early rejection leaves the caller time to retry.
func (c *Core) review(now time.Duration, s *service) {
	if now < s.reviewAt || len(s.waiting) == 0 {
		return
	}
	s.reviewAt = now + reviewPeriod
	waiting := make([]workItem, 0, len(s.waiting))
	for _, r := range s.waiting {
		item := workItem{r.currentDensity(now), c.latency.slotTime(r, s.slots())}
		if s.leavesSlots(now, r) {
			item.work = 0
		}
		waiting = append(waiting, item)
	}
	queue, arriving := newWorkByDensity(waiting), newWorkByDensity(s.recentArrivals.since(now-arrivalWindow))
	slots := c.slotCapacity(now, s)
	waitOf := func(i int, r *trackedRequest) time.Duration {
		return c.estimateWait(now, slots, r, func(density float64) demand {
			d := demand{work: queue.atLeast(density), load: arriving.atLeast(density).Seconds() / arrivalWindow.Seconds()}
			if waiting[i].density >= density {
				d.work -= waiting[i].work
			}
			return d
		})
	}
	if s.shares.divides() {
		waitOf = c.newShareReview(now, s, slots, waiting).wait
	}
	c.rejectWaiting(now, s, func(i int, r *trackedRequest) (Reason, time.Duration) {
		wait := waitOf(i, r)
		if r.PartlyDelivered ||
			float64(wait) <= reviewMargin*float64(min(r.FirstEventDeadline, r.Deadline)-now-c.latency.minTimeToFirstEvent(r)) {
			return "", 0
		}
		return overloadReason(r), wait
	})
}

// capacity returns the combined speed of the engines of a service, in engines of average speed.
func (c *Core) capacity(now time.Duration, s *service) float64 {
	return c.sumCapacity(now, s, func(e *engine) float64 { return 1 / max(e.slowness, minSlowness) })
}

// slotCapacity returns the combined speed of the slots of a service that rate limits let requests fill, in slots of an
// engine of average speed.
func (c *Core) slotCapacity(now time.Duration, s *service) float64 {
	perRequest := time.Duration(0)
	if len(c.pacers) > 0 {
		perRequest = s.recentArrivals.meanWork()
	}
	return c.sumCapacity(now, s, func(e *engine) float64 { return c.usableSlots(e, perRequest) })
}

// sumCapacity adds up the capacities of the engines of a service.
func (c *Core) sumCapacity(now time.Duration, s *service, capacityOf func(*engine) float64) float64 {
	total := 0.0
	for _, e := range s.engines {
		if c.scope != "" && e.DataCentre != c.scope || e.Leaving {
			continue
		}
		speed := capacityOf(e)
		if now < e.suspendedUntil {
			speed *= suspendedSpeed // The engine resumes before most of the waiting work is done.
		}
		total += speed
	}
	return total
}

// retryAfter returns the retry delay for a rejected caller, given its expected wait.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// arrivals holds the recent arrivals, oldest first.
type arrivals struct {
	list []recentArrival
}

// recentArrival is the slot time and the value density of a request that arrived recently.
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

// meanWork returns the mean slot time of the recent arrivals, 0 if there are none.
func (a *arrivals) meanWork() time.Duration {
	if len(a.list) == 0 {
		return 0
	}
	var work time.Duration
	for i := range a.list {
		work += a.list[i].work
	}
	return work / time.Duration(len(a.list))
}

// load returns the number of slots kept busy by arriving requests of at least the given density.
func (a *arrivals) load(now time.Duration, density float64) float64 {
	var work time.Duration
	list := a.list // the loop takes a tenth of the time of decisions in overload
	for i := len(list) - 1; i >= 0 && now-list[i].at <= arrivalWindow; i-- {
		if list[i].density >= density {
			work += list[i].work
		}
	}
	return float64(work) / float64(arrivalWindow)
}

// since returns the work of the arrivals since a point in time.
func (a *arrivals) since(t time.Duration) []workItem {
	var items []workItem
	for i := len(a.list) - 1; i >= 0 && a.list[i].at >= t; i-- {
		items = append(items, workItem{a.list[i].density, a.list[i].work})
	}
	return items
}
