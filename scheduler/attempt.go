package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

// dispatchedEntry returns the entry of a dispatched request, nil for any other.
func (s *Scheduler) dispatchedEntry(id RequestID) *entry {
	if e := s.requests[id]; e != nil && e.server != nil {
		return e
	}
	return nil
}

func (s *Scheduler) bytesSent(id RequestID) {
	if e := s.dispatchedEntry(id); e != nil {
		e.sent = true
	}
}

func (s *Scheduler) firstToken(now time.Time, id RequestID) {
	if e := s.dispatchedEntry(id); e != nil {
		e.sent = true
		e.service.recordFirstToken(now.Sub(e.dispatched))
		e.server.view.FirstToken(now, &e.engineRequest)
	}
}

func (s *Scheduler) progress(now time.Time, p Progress) {
	if e := s.dispatchedEntry(p.ID); e != nil {
		e.sent = true
		e.server.view.Progress(now, &e.engineRequest, p.Tokens)
	}
}

// finish ends a dispatched request and corrects the charge to its flow to the actual cost.
func (s *Scheduler) finish(now time.Time, f Finish) {
	e := s.dispatchedEntry(f.ID)
	if e == nil {
		return
	}
	m := e.server
	if f.Result == ResultSuccess {
		s.settleCost(e, f)
		e.service.recordDuration(e.charged, now.Sub(e.dispatched).Seconds())
		if f.CachedTokens >= 0 {
			m.view.Prefix.RecordCachedTokens(e.engineRequest.Cached, float64(f.CachedTokens))
		}
	}
	s.counters.Finished++
	s.endAttempt(now, e, outcomeOf(f.Result))
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

func (s *Scheduler) settleCost(e *entry, f Finish) {
	sv := e.service
	if sv.plain() || f.OutputTokens <= 0 {
		return
	}
	actual := float64(f.OutputTokens)
	sv.output += outputWeight * (actual - sv.output)
	e.flow.Correct((actual - e.output) * sv.decode)
}

// endAttempt removes an entry from its engine.
func (s *Scheduler) endAttempt(now time.Time, e *entry, outcome engine.Outcome) {
	m := e.server
	e.server = nil
	m.view.End(now, &e.engineRequest, outcome)
	s.inFlight--
	if s.servers[m.config.Name] != m {
		return
	}
	if outcome == engine.Failed {
		s.eject(now, m)
	}
	m.updateOpen()
	s.freedEngine = m
}

// refused ends an attempt and requeues the request. After the first byte only a request whose route
// allows redispatch is requeued; any other request ends here.
func (s *Scheduler) refused(now time.Time, id RequestID) {
	e := s.dispatchedEntry(id)
	if e == nil {
		return
	}
	m := e.server
	s.endAttempt(now, e, engine.Failed)
	if e.abandoned || e.sent && !(e.request.Idempotent && e.request.Redispatch) {
		s.release(e)
		return
	}
	s.retry(now, e, m)
}

// retry queues an entry for an engine that has not refused it. Only a request that an engine may have
// worked on uses up the retry budget: a refused connection costs the engines nothing, and without a
// retry on another engine the loss of a single engine would fail the caller's request.
func (s *Scheduler) retry(now time.Time, e *entry, m *server) {
	sv := s.services[e.request.Service]
	workspace, known := s.workspaces[e.request.Workspace]
	if sv == nil || !known || len(s.policy.Tiers) == 0 {
		s.rejectDequeued(e, RejectUnknown)
		return
	}
	e.service = sv
	e.tier = min(e.tier, len(s.policy.Tiers)-1)
	if e.refusals == maximumRefusals || e.sent && !s.budget(e.request.Workspace, sv).spend() {
		s.rejectDequeued(e, RejectRetries)
		return
	}
	e.refusedBy[e.refusals] = m
	e.refusals++
	if !e.servable() {
		s.rejectDequeued(e, RejectNoEngine)
		return
	}
	e.flow.Correct(-e.charged)
	e.engineRequest = engine.Request{}
	s.counters.Retried++
	s.enqueue(now, e, sv, workspace)
}
