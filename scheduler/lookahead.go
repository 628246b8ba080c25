package scheduler

const (
	lookAheadRequests = 32  // requests of a tier that are searched for a cached prefix
	lookAheadEngines  = 4   // no look-ahead with more open engines: choose finds the engine with the prefix
	lookAheadGain     = 0.2 // additional cached fraction of the prompt required to leave the order of arrival
	maximumBypass     = 16  // number of times that a request may be bypassed
)

// lookAhead returns the request of a tier to dispatch, given the list that fair queueing selected. In
// a backlog engines become open one at a time, so the first request rarely has its prefix cached on
// the open one. Often another request has, among the first ones of the flows that are not ahead of
// their fair share.
func (s *Scheduler) lookAhead(sv *service, q *tierQueue, list *entryList) *entry {
	first := list.first
	if sv.plain() || len(sv.open) > lookAheadEngines || first.bypassed >= maximumBypass {
		return first
	}
	best, highest := first, sv.cachedFraction(first)+lookAheadGain
	remaining, least := lookAheadRequests, q.leastTag()
	late := list == &first.flow.late
	for _, f := range q.active {
		e := f.onTime.first
		if late {
			e = f.late.first
		}
		for ; e != nil && remaining > 0 && f.withinFairShare(e, least); e = e.next {
			remaining--
			if fraction := sv.cachedFraction(e); fraction > highest {
				best, highest = e, fraction
			}
		}
	}
	if best != first {
		first.bypassed++
	}
	return best
}

// cachedFraction returns the largest fraction of a prompt that an open engine has cached.
func (sv *service) cachedFraction(e *entry) float64 {
	tokens := 0.0
	for _, m := range sv.open {
		tokens = max(tokens, cachedTokens(m, e))
	}
	return tokens / float64(max(e.request.PromptTokens, 1))
}
