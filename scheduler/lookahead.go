package scheduler

const (
	lookAheadRequests = 32  // requests of a tier among which the one that suits the open engines is sought
	lookAheadEngines  = 4   // with more open engines than this, choose finds the engine with the prefix
	lookAheadGain     = 0.2 // part of the prompt that must be saved to leave the order of arrival
	maximumBypass     = 16  // times that a request may be passed over
)

// lookAhead returns the request of a tier to dispatch, given the list whose turn it is. In a backlog
// engines open one at a time, so that the first request rarely finds its prefix on the open one;
// among the first few requests of the flows that are not ahead of their share another often does.
func (s *Scheduler) lookAhead(sv *service, g *group, list *entryList) *entry {
	first := list.first
	if sv.plain() || len(sv.open) > lookAheadEngines || first.bypassed >= maximumBypass {
		return first
	}
	best, most := first, sv.cachedPart(first)+lookAheadGain
	left, least := lookAheadRequests, g.leastTag()
	late := list == &first.flow.late
	for _, f := range g.active {
		e := f.onTime.first
		if late {
			e = f.late.first
		}
		for ; e != nil && left > 0 && f.inTurn(e, least); e = e.next {
			left--
			if part := sv.cachedPart(e); part > most {
				best, most = e, part
			}
		}
	}
	if best != first {
		first.bypassed++
	}
	return best
}

// cachedPart is the part of a prompt that the best open engine has cached.
func (sv *service) cachedPart(e *entry) float64 {
	most := 0.0
	for _, m := range sv.open {
		most = max(most, cachedTokens(m, e))
	}
	return most / float64(max(e.request.PromptTokens, 1))
}
