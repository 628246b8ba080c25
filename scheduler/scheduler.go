package scheduler

import (
	"math/rand/v2"
	"time"
)

// defaultInFlight bounds the requests in flight on an engine without a configured limit.
const defaultInFlight = 16

// Options configures a Scheduler.
type Options struct {
	Rand *rand.Rand // source of randomness; required
}

// Scheduler holds the waiting and dispatched requests of one instance. It is not safe for concurrent use.
type Scheduler struct {
	rand     *rand.Rand
	policy   Policy
	waiting  [][]*entry // by tier, oldest first
	requests map[RequestID]*entry
	inFlight map[string]int
	leaving  map[string]bool
	actions  []Action
}

type entry struct {
	request    Request
	engine     string // empty while waiting
	refusedBy  map[string]bool
	dispatched bool
}

// New returns a scheduler without a policy; it rejects every request until Configure.
func New(o Options) *Scheduler {
	return &Scheduler{
		rand:     o.Rand,
		requests: map[RequestID]*entry{},
		inFlight: map[string]int{},
		leaving:  map[string]bool{},
	}
}

// Step consumes one event and returns the actions that it causes. The slice is valid until the next call.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case Configure:
		s.configure(e.Policy)
	case Arrive:
		s.arrive(e.Request)
	case Abandon:
		s.abandon(e.ID)
	case Refused:
		s.refused(e.ID)
	case Finish:
		s.finish(e.ID)
	case EngineState:
		if e.Leaving {
			s.leaving[e.Engine] = true
		}
	}
	s.dispatch()
	return s.actions
}

// NextWake returns the time at which Step(now, Wake{}) is due at the latest; ok is false when there is none.
func (s *Scheduler) NextWake() (at time.Time, ok bool) { return time.Time{}, false }

func (s *Scheduler) configure(p Policy) {
	waiting := make([][]*entry, len(p.Tiers))
	for tier, queue := range s.waiting {
		for _, w := range queue {
			waiting[min(tier, len(waiting)-1)] = append(waiting[min(tier, len(waiting)-1)], w)
		}
	}
	s.policy = p
	s.waiting = waiting
}

func (s *Scheduler) arrive(r Request) {
	if r.Tier < 0 || r.Tier >= len(s.policy.Tiers) {
		s.actions = append(s.actions, Reject{ID: r.ID, Reason: RejectUnknown})
		return
	}
	w := &entry{request: r}
	s.requests[r.ID] = w
	s.waiting[r.Tier] = append(s.waiting[r.Tier], w)
	if limit := s.policy.Tiers[r.Tier].QueueLimit; limit > 0 && len(s.waiting[r.Tier]) > limit {
		s.shed()
	}
}

// shed gives up on the newest request of the lowest tier that has any.
func (s *Scheduler) shed() {
	for tier := len(s.waiting) - 1; tier >= 0; tier-- {
		queue := s.waiting[tier]
		if len(queue) == 0 {
			continue
		}
		victim := queue[len(queue)-1]
		s.waiting[tier] = queue[:len(queue)-1]
		delete(s.requests, victim.request.ID)
		s.actions = append(s.actions, Reject{ID: victim.request.ID, Reason: RejectShed, RetryAfter: time.Second})
		return
	}
}

func (s *Scheduler) abandon(id RequestID) {
	w, known := s.requests[id]
	if !known {
		return
	}
	if w.dispatched {
		s.actions = append(s.actions, Cancel{ID: id, Engine: w.engine})
		return
	}
	s.remove(w)
}

func (s *Scheduler) remove(w *entry) {
	delete(s.requests, w.request.ID)
	queue := s.waiting[w.request.Tier]
	for i, candidate := range queue {
		if candidate == w {
			s.waiting[w.request.Tier] = append(queue[:i], queue[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) refused(id RequestID) {
	w, known := s.requests[id]
	if !known || !w.dispatched {
		return
	}
	s.inFlight[w.engine]--
	if w.refusedBy == nil {
		w.refusedBy = map[string]bool{}
	}
	w.refusedBy[w.engine] = true
	w.engine = ""
	w.dispatched = false
	s.waiting[w.request.Tier] = append([]*entry{w}, s.waiting[w.request.Tier]...)
}

func (s *Scheduler) finish(id RequestID) {
	w, known := s.requests[id]
	if !known {
		return
	}
	s.inFlight[w.engine]--
	delete(s.requests, id)
}

func (s *Scheduler) dispatch() {
	for tier, queue := range s.waiting {
		kept := queue[:0]
		for _, w := range queue {
			name, eligible := s.choose(w)
			switch {
			case name != "":
				w.engine = name
				w.dispatched = true
				s.inFlight[name]++
				s.actions = append(s.actions, Dispatch{ID: w.request.ID, Engine: name})
			case !eligible:
				delete(s.requests, w.request.ID)
				s.actions = append(s.actions, Reject{ID: w.request.ID, Reason: RejectNoEngine, RetryAfter: time.Second})
			default:
				kept = append(kept, w)
			}
		}
		s.waiting[tier] = kept
	}
}

// choose returns the engine with the fewest requests in flight; eligible is false when none can ever take the request.
func (s *Scheduler) choose(w *entry) (name string, eligible bool) {
	best := 0
	for _, service := range s.policy.Services {
		if service.Name != w.request.Service {
			continue
		}
		for _, e := range s.policy.Engines {
			if e.Drained || s.leaving[e.Name] || w.refusedBy[e.Name] || !service.Selector.Matches(e.Labels) {
				continue
			}
			eligible = true
			limit := e.MaxInFlight
			if limit == 0 {
				limit = defaultInFlight
			}
			if n := s.inFlight[e.Name]; n < limit && (name == "" || n < best) {
				name = e.Name
				best = n
			}
		}
	}
	return name, eligible
}
