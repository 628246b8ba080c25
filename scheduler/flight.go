package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

// onEngine returns the entry of a dispatched request, nil for any other.
func (s *Scheduler) onEngine(id RequestID) *entry {
	if e := s.requests[id]; e != nil && e.server != nil {
		return e
	}
	return nil
}

func (s *Scheduler) bytesSent(id RequestID) {
	if e := s.onEngine(id); e != nil {
		e.sent = true
	}
}

func (s *Scheduler) firstToken(now time.Time, id RequestID) {
	if e := s.onEngine(id); e != nil {
		e.sent = true
		e.service.learnFirst(now.Sub(e.dispatched))
		e.server.view.FirstToken(now, &e.flight)
	}
}

func (s *Scheduler) progress(now time.Time, p Progress) {
	if e := s.onEngine(p.ID); e != nil {
		e.sent = true
		e.server.view.Progress(now, &e.flight, p.Tokens)
	}
}

// finish ends a dispatched request. What it really cost is settled with its flow.
func (s *Scheduler) finish(now time.Time, f Finish) {
	e := s.onEngine(f.ID)
	if e == nil {
		return
	}
	m := e.server
	if f.Result == ResultSuccess {
		s.settle(e, f)
		e.service.learn(e.charged, now.Sub(e.dispatched).Seconds())
		if f.CachedTokens >= 0 {
			m.view.Prefix.RecordCachedTokens(e.flight.Cached, float64(f.CachedTokens))
		}
	}
	s.counters.Finished++
	s.leave(now, e, outcomeOf(f.Result))
	s.release(e)
}

func outcomeOf(r Result) engine.Outcome {
	switch r {
	case ResultSuccess:
		return engine.Succeeded
	case ResultCancelled:
		return engine.Cancelled
	default:
		return engine.Failed
	}
}

func (s *Scheduler) settle(e *entry, f Finish) {
	sv := e.service
	if sv.plain() || f.OutputTokens <= 0 {
		return
	}
	actual := float64(f.OutputTokens)
	sv.output += outputWeight * (actual - sv.output)
	e.flow.tag += (actual - e.output) * sv.decode / e.flow.weight
}

// leave takes an entry off its engine.
func (s *Scheduler) leave(now time.Time, e *entry, outcome engine.Outcome) {
	m := e.server
	e.server = nil
	m.view.End(now, &e.flight, outcome)
	s.inFlight--
	if s.servers[m.config.Name] != m {
		return
	}
	if outcome == engine.Failed {
		s.eject(now, m)
	}
	m.updateOpen()
	s.freed = m
}

// refused makes a request wait again whose attempt has ended. After its first byte that is allowed
// only for a route with redispatch; any other request ends here.
func (s *Scheduler) refused(now time.Time, id RequestID) {
	e := s.onEngine(id)
	if e == nil {
		return
	}
	m := e.server
	s.leave(now, e, engine.Failed)
	if e.abandoned || e.sent && !(e.request.Idempotent && e.request.Redispatch) {
		s.release(e)
		return
	}
	s.retry(now, e, m)
}

// retry makes an entry wait for an engine that has not refused it. Only a request that an engine may
// have worked on uses up the retry budget: a refused connection costs engines nothing, and without
// another engine the loss of one would be the caller's loss.
func (s *Scheduler) retry(now time.Time, e *entry, m *server) {
	sv := s.services[e.request.Service]
	workspace, known := s.workspaces[e.request.Workspace]
	if sv == nil || !known || len(s.policy.Tiers) == 0 {
		s.rejectTaken(e, RejectUnknown)
		return
	}
	e.service = sv
	e.tier = min(e.tier, len(s.policy.Tiers)-1)
	if e.refusals == maximumRefusals || e.sent && !s.budget(e.request.Workspace, sv).spend() {
		s.rejectTaken(e, RejectRetries)
		return
	}
	e.refusedBy[e.refusals] = m
	e.refusals++
	if !e.possible() {
		s.rejectTaken(e, RejectNoEngine)
		return
	}
	e.flow.tag -= e.charged / e.flow.weight
	e.flight = engine.Request{}
	s.counters.Retried++
	s.enqueue(now, e, sv, workspace)
}
