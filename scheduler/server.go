package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

// server is the scheduling state of one engine of the policy.
type server struct {
	config    Engine
	number    int // index in Scheduler.members
	view      *engine.View
	lifecycle *engine.Lifecycle
	drained   bool
	services  []*service
	openIndex []int // index in service.open for each of services; -1 when absent
	peers     peerTotals
}

// accepts reports whether requests may be dispatched to the engine.
func (m *server) accepts() bool {
	return !m.drained && m.lifecycle.Accepts() && !m.view.Health.Ejected()
}

// refresh recomputes this instance's share of the engine's limit.
func (s *Scheduler) refresh(now time.Time, m *server) {
	demand := float64(m.view.InFlight())
	spread := 1
	for _, sv := range m.services {
		demand += float64(sv.demand()) / float64(max(sv.usable, 1))
		spread = max(spread, sv.usable)
	}
	peerDemand := m.peers.inFlight + m.peers.demand/float64(spread)
	m.view.SetPeerLoad(engine.PeerLoad{
		Known: len(s.peers) > 0, InFlight: m.peers.inFlight, Demand: peerDemand,
		WeightedLimits: m.peers.weightedLimits, InFlightWithLimit: m.peers.inFlightWithLimit,
	})
	m.view.Refresh(now, demand)
	m.updateOpen()
}

// updateOpen adds the engine to the services' lists of engines with a free slot or removes it.
func (m *server) updateOpen() {
	open := m.accepts() && m.view.HasFreeSlot()
	for i, sv := range m.services {
		switch {
		case open && m.openIndex[i] < 0:
			m.openIndex[i] = len(sv.open)
			sv.open = append(sv.open, m)
		case !open && m.openIndex[i] >= 0:
			sv.close(m, m.openIndex[i])
			m.openIndex[i] = -1
		}
	}
}

// close removes the engine at the given index from the list of open engines.
func (sv *service) close(m *server, at int) {
	last := sv.open[len(sv.open)-1]
	sv.open[at] = last
	sv.open[len(sv.open)-1] = nil
	sv.open = sv.open[:len(sv.open)-1]
	if last == m {
		return
	}
	for i, candidate := range last.services {
		if candidate == sv {
			last.openIndex[i] = at
		}
	}
}

func (s *Scheduler) loadReport(now time.Time, e LoadReport) {
	if m := s.servers[e.Engine]; m != nil {
		m.view.RecordLoadReport(now, e.At, e.Running, e.Waiting)
	}
}

func (s *Scheduler) cacheEvents(e CacheEvents) {
	m := s.servers[e.Engine]
	if m == nil {
		return
	}
	p := &m.view.Prefix
	p.RecordEvents(e.First, len(e.Changes))
	for _, change := range e.Changes {
		if change.Cleared {
			p.Clear()
		}
		p.Remove(change.Removed)
		p.Add(change.Stored)
	}
}

func (s *Scheduler) engineState(now time.Time, e EngineState) {
	l := s.lifecycle(e.Engine)
	unreachable := l.Unreachable
	restarted := l.Observe(e.Incarnation, e.Leaving, e.Reachable)
	m := s.servers[e.Engine]
	if m == nil {
		return
	}
	switch {
	case restarted:
		m.view.HandleRestart(now)
	case unreachable && !l.Unreachable && !m.view.Health.Ejected():
		m.view.Health.Readmit(now)
	}
	s.lifecycleChanged(now, m)
}

func (s *Scheduler) lifecycle(name string) *engine.Lifecycle {
	l := s.lifecycles[name]
	if l == nil {
		s.pruneLifecycles()
		l = &engine.Lifecycle{}
		s.lifecycles[name] = l
	}
	return l
}

// maximumLifecycles bounds the memory for engines that are not in the policy: the platform's engine
// list may contain an engine before it is configured or after it was removed.
const maximumLifecycles = 8192

func (s *Scheduler) pruneLifecycles() {
	if len(s.lifecycles) < maximumLifecycles {
		return
	}
	for name := range s.lifecycles {
		if s.servers[name] == nil {
			delete(s.lifecycles, name)
		}
	}
}

func (s *Scheduler) lifecycleChanged(now time.Time, m *server) {
	for _, sv := range m.services {
		sv.usable = sv.countUsable()
	}
	s.refresh(now, m)
	for _, sv := range m.services {
		s.rejectUnservable(sv)
	}
}

// rejectUnservable rejects the waiting requests that no engine can take any more.
func (s *Scheduler) rejectUnservable(sv *service) {
	servable := sv.servable()
	for tier := len(sv.tiers) - 1; tier >= 0; tier-- {
		q := sv.tiers[tier]
		for e := q.retries.first; e != nil; {
			next := e.next
			if !servable || !e.servable() {
				s.reject(e, RejectNoEngine)
			}
			e = next
		}
		for !servable && len(q.active) > 0 {
			s.reject(q.active[0].newest(), RejectNoEngine)
		}
	}
}

// servable reports whether an engine that has not refused the request may still take it.
func (e *entry) servable() bool {
	for _, m := range e.service.members {
		if !m.drained && !m.lifecycle.Leaving && !e.refusedByServer(m) {
			return true
		}
	}
	return false
}

// eject ejects an engine whose failure rate is too high, unless too many engines of one of its services
// are ejected already.
func (s *Scheduler) eject(now time.Time, m *server) {
	if !m.view.Health.Outlier() {
		return
	}
	for _, sv := range m.services {
		if !sv.mayEject() {
			return
		}
	}
	m.view.Health.Eject(now)
	s.counters.Ejections++
	for _, sv := range m.services {
		sv.usable = sv.countUsable()
	}
}
