package scheduler

import (
	"container/heap"
	"time"
)

// defaultQueueLimit bounds the waiting requests of a tier without a configured limit.
const defaultQueueLimit = 4096

func (s *Scheduler) arrive(now time.Time, r *Request) {
	if _, exists := s.requests[r.ID]; exists {
		return
	}
	workspace, known := s.workspaces[r.Workspace]
	sv := s.services[r.Service]
	if !known || sv == nil || r.Tier < 0 || r.Tier >= len(s.policy.Tiers) {
		s.emitReject(r.ID, nil, 0, RejectUnknown)
		return
	}
	s.counters.Arrived++
	s.budget(r.Workspace, sv).earn(sv.config.RetryBudget)
	if !sv.servable() {
		s.emitReject(r.ID, sv, r.Tier, RejectNoEngine)
		return
	}
	belowFloor := r.Tier > s.floors.lowestAdmitted(now)
	if belowFloor && s.lowestWaiting() <= r.Tier {
		s.emitReject(r.ID, sv, r.Tier, RejectFloor)
		return
	}
	e := s.newEntry()
	e.request = *r
	e.tier = r.Tier
	e.arrived = now
	s.sequence++
	e.sequence = s.sequence
	s.requests[r.ID] = e
	s.enqueue(now, e, sv, workspace)
	e.flow.queue.arriving.add(now, e.cost)
	if s.missesDeadline(now, e) {
		s.reject(e, RejectDeadline)
		return
	}
	s.dispatch(now)
	s.dispatchToReserve(now, e)
	switch {
	case e.list == nil:
	case belowFloor:
		s.shed(now, RejectFloor)
	case s.waiting[e.tier] > s.queueLimit(e.tier):
		s.shed(now, RejectShed)
	}
}

func (s *Scheduler) emitReject(id RequestID, sv *service, tier int, reason RejectReason) {
	s.counters.Rejected[reasonIndex(reason)]++
	s.decide(Decision{Kind: DecideReject, ID: id, Reason: reason, RetryAfter: s.retryAfter(sv, tier)})
}

func (s *Scheduler) queueLimit(tier int) int {
	if limit := s.policy.Tiers[tier].QueueLimit; limit > 0 {
		return limit
	}
	return defaultQueueLimit
}

// lowestWaiting returns the lowest tier with a waiting request, -1 when no request waits.
func (s *Scheduler) lowestWaiting() int {
	for tier := len(s.waiting) - 1; tier >= 0; tier-- {
		if s.waiting[tier] > 0 {
			return tier
		}
	}
	return -1
}

// shed rejects the newest request of the workspace that exceeds its fair share most, in the lowest
// tier with waiting requests. This holds whichever tier has reached its queue limit, so that no
// request is shed while one of a lower tier waits. A floor is published first, unless another
// instance's floor is the reason.
func (s *Scheduler) shed(now time.Time, reason RejectReason) {
	tier := s.lowestWaiting()
	if tier < 0 {
		return
	}
	if reason == RejectShed {
		s.publishFloor(now, tier)
	}
	var worst *flow
	for _, sv := range s.ordered {
		f := sv.tiers[tier].mostOverShare()
		if f != nil && (worst == nil || f.normalizedWork() > worst.normalizedWork()) {
			worst = f
		}
	}
	if worst != nil {
		s.reject(worst.newest(), reason)
		return
	}
	for _, sv := range s.ordered {
		if e := sv.tiers[tier].retries.last; e != nil {
			s.reject(e, reason)
			return
		}
	}
}

// enqueue computes the cost and the times of an entry and adds it to its flow, or to the retries of
// its tier if an engine has refused it.
func (s *Scheduler) enqueue(now time.Time, e *entry, sv *service, workspace int) {
	e.service = sv
	weight := s.policy.Workspaces[workspace].Weight
	if weight <= 0 {
		weight = 1
	}
	q := sv.tiers[e.tier]
	e.flow = q.flow(workspace, weight)
	e.output = float64(e.request.OutputTokens)
	if e.output <= 0 && !sv.plain() {
		e.output = sv.output
	}
	e.cost = sv.estimate(float64(e.request.PromptTokens), e.output)
	s.setTimes(e)
	if e.refusals > 0 {
		s.wait(e, &q.retries)
		return
	}
	list := &e.flow.onTime
	if !e.dispatchBy.IsZero() && now.After(e.dispatchBy) {
		list = &e.flow.late
	}
	s.wait(e, list)
}

// wait adds an entry to a list, to the counts and, if it has a due time, to the heap.
func (s *Scheduler) wait(e *entry, list *entryList) {
	e.flow.queue.add(e, list)
	e.service.waiting++
	s.waiting[e.tier]++
	e.due = e.lastStart()
	if list == &e.flow.onTime && !e.dispatchBy.IsZero() && (e.due.IsZero() || e.dispatchBy.Before(e.due)) {
		e.due = e.dispatchBy
	}
	if !e.due.IsZero() {
		heap.Push(&s.dues, e)
	}
}

// dequeue removes an entry from its list, the counts and the heap.
func (s *Scheduler) dequeue(e *entry) {
	e.flow.queue.remove(e)
	e.service.waiting--
	s.waiting[e.tier]--
	if e.heapIndex >= 0 {
		heap.Remove(&s.dues, e.heapIndex)
	}
}

// reject rejects a waiting entry.
func (s *Scheduler) reject(e *entry, reason RejectReason) {
	s.dequeue(e)
	s.rejectDequeued(e, reason)
}

// rejectDequeued rejects an entry that is in no list.
func (s *Scheduler) rejectDequeued(e *entry, reason RejectReason) {
	s.emitReject(e.request.ID, e.service, e.tier, reason)
	s.release(e)
}

func (s *Scheduler) abandon(id RequestID) {
	e := s.requests[id]
	switch {
	case e == nil || e.abandoned:
	case e.list != nil:
		s.dequeue(e)
		s.release(e)
	default:
		e.abandoned = true
		s.decide(Decision{Kind: DecideCancel, ID: id, Engine: e.server.config.Name})
	}
}
