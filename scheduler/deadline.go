package scheduler

import (
	"container/heap"
	"time"
)

// setTimes computes the deadline of a request and the time by which it has to be dispatched to meet
// its objective for the first token.
func (s *Scheduler) setTimes(e *entry) {
	tier := s.policy.Tiers[e.tier]
	e.deadline = e.request.Deadline
	if e.deadline.IsZero() && tier.Deadline > 0 {
		e.deadline = e.arrived.Add(tier.Deadline)
	}
	e.dispatchBy = time.Time{}
	if tier.FirstToken > 0 && !e.service.plain() {
		e.dispatchBy = e.arrived.Add(tier.FirstToken - e.service.firstTokenMargin(tier.FirstToken))
	}
}

// lastStart returns the latest dispatch time at which the fastest engine still meets the deadline, zero
// when there is no deadline.
func (e *entry) lastStart() time.Time {
	if e.deadline.IsZero() {
		return time.Time{}
	}
	return e.deadline.Add(-e.service.shortestDuration(e.output))
}

// missesDeadline reports whether a waiting request would miss its deadline even if no other request
// arrived.
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

// expectedWait estimates the seconds until a waiting request is dispatched, from the work of higher
// tiers and the work of its own tier that fair queueing serves before it.
func expectedWait(e *entry) float64 {
	sv := e.service
	if len(sv.open) > 0 {
		return 0
	}
	ahead := 0.0
	if e.tier > 0 {
		ahead = sv.work(e.tier - 1)
	}
	normalized := e.flow.normalizedWork()
	for _, f := range sv.tiers[e.tier].active {
		ahead += min(f.work, normalized*f.Weight())
	}
	return sv.drainSeconds(ahead - e.cost)
}

// expire moves requests that miss their objective for the first token to the late list and rejects
// those that can no longer meet their deadline.
func (s *Scheduler) expire(now time.Time) {
	for len(s.dues) > 0 && !s.dues[0].due.After(now) {
		e := s.dues[0]
		last := e.lastStart()
		if !last.IsZero() && !last.After(now) {
			s.reject(e, RejectDeadline)
			continue
		}
		if e.list == &e.flow.onTime && !e.dispatchBy.IsZero() && !e.dispatchBy.After(now) {
			s.markLate(now, e)
			continue
		}
		// The estimate of the shortest duration has changed since the entry was pushed.
		e.due = last
		heap.Fix(&s.dues, 0)
	}
}

// markLate moves a request behind those that can meet their objective, or rejects it when these leave
// no engine time before its deadline.
func (s *Scheduler) markLate(now time.Time, e *entry) {
	if e.cannotStartInTime(now) {
		s.reject(e, RejectDeadline)
		return
	}
	s.dequeue(e)
	s.wait(e, &e.flow.late)
}

// negligibleBacklogFraction is the fraction of the remaining time that the waiting work must exceed
// before the arrival rate is taken into account. Without this threshold a few requests that arrive
// together after a pause of an engine look like an overload.
const negligibleBacklogFraction = 0.125

// cannotStartInTime reports whether a late request is expected to start too late to meet its deadline.
// Late requests are served with the capacity that the arriving work of their own and
// higher tiers leaves unused.
func (e *entry) cannotStartInTime(now time.Time) bool {
	last, sv := e.lastStart(), e.service
	if last.IsZero() || sv.slots == 0 {
		return false
	}
	backlog, remaining := sv.drainSeconds(sv.work(e.tier)), last.Sub(now).Seconds()
	if backlog < remaining*negligibleBacklogFraction {
		return false
	}
	arriving := 0.0
	for _, q := range sv.tiers[:e.tier+1] {
		arriving += q.arriving.perSecond(now)
	}
	unused := 1 - sv.drainSeconds(arriving)
	if unused <= 0 {
		return true
	}
	return backlog/unused > remaining
}
