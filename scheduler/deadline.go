package scheduler

import (
	"container/heap"
	"time"
)

// setTimes computes the deadline and the time by which the request is to be dispatched.
func (s *Scheduler) setTimes(e *entry) {
	tier := s.policy.Tiers[e.tier]
	e.deadline = e.request.Deadline
	if e.deadline.IsZero() && tier.Deadline > 0 {
		e.deadline = e.arrived.Add(tier.Deadline)
	}
	e.startBy = time.Time{}
	if tier.FirstToken > 0 && !e.service.plain() {
		e.startBy = e.arrived.Add(tier.FirstToken - e.service.firstTokenMargin(tier.FirstToken))
	}
}

// lastStart returns the time after which even the fastest engine would miss the deadline; zero
// when there is no deadline.
func (e *entry) lastStart() time.Time {
	if e.deadline.IsZero() {
		return time.Time{}
	}
	return e.deadline.Add(-e.service.fastest(e.output))
}

// missesDeadline reports whether a waiting request would miss its deadline even if nothing else arrived.
func (s *Scheduler) missesDeadline(now time.Time, e *entry) bool {
	last := e.lastStart()
	if last.IsZero() {
		return false
	}
	slack := last.Sub(now)
	if slack < 0 {
		return true
	}
	return expectedWait(e) > slack.Seconds()
}

// expectedWait estimates the seconds until a waiting request is dispatched: the work of higher
// tiers and, of its own tier, what fair queueing serves before it.
func expectedWait(e *entry) float64 {
	sv := e.service
	if len(sv.open) > 0 {
		return 0
	}
	ahead := 0.0
	if e.tier > 0 {
		ahead = sv.work(e.tier - 1)
	}
	own := e.flow.excess()
	for _, f := range sv.groups[e.tier].active {
		ahead += min(f.work, own*f.weight)
	}
	return sv.drain(ahead - e.cost)
}

// expire moves requests that miss their objective to the late list and gives up on those that can
// no longer meet their deadline.
func (s *Scheduler) expire(now time.Time) {
	for len(s.dues) > 0 && !s.dues[0].due.After(now) {
		e := s.dues[0]
		last := e.lastStart()
		if !last.IsZero() && !last.After(now) {
			s.reject(e, RejectDeadline)
			continue
		}
		if e.list == &e.flow.onTime && !e.startBy.IsZero() && !e.startBy.After(now) {
			s.turnLate(now, e)
			continue
		}
		// The estimate of the fastest answer has changed since the entry was pushed.
		e.due = last
		heap.Fix(&s.dues, 0)
	}
}

// turnLate makes a request wait behind those that can meet their objective, or gives up on it when
// these leave no engine time before its deadline.
func (s *Scheduler) turnLate(now time.Time, e *entry) {
	if e.cannotStartInTime(now) {
		s.reject(e, RejectDeadline)
		return
	}
	s.dequeue(e)
	s.wait(e, &e.flow.late)
}

// smallBacklog is the part of the remaining time that the waiting work must exceed before the rate of
// arrivals counts: after a pause of an engine a handful of requests looks like an overload.
const smallBacklog = 0.125

// cannotStartInTime reports whether a late request cannot be expected to start in time: it is served
// with what the arriving work of its own and higher tiers leaves over.
func (e *entry) cannotStartInTime(now time.Time) bool {
	last, sv := e.lastStart(), e.service
	if last.IsZero() || sv.places == 0 {
		return false
	}
	backlog, remaining := sv.drain(sv.work(e.tier)), last.Sub(now).Seconds()
	if backlog < remaining*smallBacklog {
		return false
	}
	arriving := 0.0
	for _, g := range sv.groups[:e.tier+1] {
		arriving += g.arriving.perSecond(now)
	}
	left := 1 - sv.drain(arriving)
	if left <= 0 {
		return true
	}
	return backlog/left > remaining
}
