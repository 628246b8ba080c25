package scheduler

import (
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

const (
	prefixBlocksTotal   = 1 << 18 // blocks in the prefix indexes of all engines together; about 3 MB
	minimumPrefixBlocks = 256
	maximumPrefixBlocks = 1 << 13
)

// configure replaces the policy. Requests in flight stay on their engines; waiting requests are
// requeued in order of arrival.
func (s *Scheduler) configure(now time.Time, p Policy) {
	waiting := s.dequeueAll()
	s.policy = p
	s.waiting = make([]int, len(p.Tiers))
	s.workspaces = make(map[string]int, len(p.Workspaces))
	for i, w := range p.Workspaces {
		s.workspaces[w.Name] = i
	}
	s.configureServers()
	s.configureServices()
	s.recomputePeerTotals()
	s.tick(now)
	for _, e := range waiting {
		s.requeue(now, e)
	}
	for _, sv := range s.ordered {
		s.rejectUnservable(sv)
	}
}

func (s *Scheduler) dequeueAll() []*entry {
	var taken []*entry
	for _, e := range s.requests {
		if e.list != nil {
			s.dequeue(e)
			taken = append(taken, e)
		}
	}
	slices.SortFunc(taken, func(a, b *entry) int { return int(a.sequence) - int(b.sequence) })
	return taken
}

func (s *Scheduler) requeue(now time.Time, e *entry) {
	workspace, known := s.workspaces[e.request.Workspace]
	sv := s.services[e.request.Service]
	if !known || sv == nil || len(s.policy.Tiers) == 0 {
		s.rejectDequeued(e, RejectUnknown)
		return
	}
	e.tier = min(e.request.Tier, len(s.policy.Tiers)-1)
	s.enqueue(now, e, sv, workspace)
}

func (s *Scheduler) configureServers() {
	blocks := prefixBlocksTotal / max(len(s.policy.Engines), 1)
	blocks = min(max(blocks, minimumPrefixBlocks), maximumPrefixBlocks)
	former := s.servers
	s.servers = make(map[string]*server, len(s.policy.Engines))
	s.members = s.members[:0]
	for _, config := range s.policy.Engines {
		m := former[config.Name]
		if m == nil {
			m = &server{lifecycle: s.lifecycle(config.Name)}
		}
		m.config = config
		m.number = len(s.members)
		m.services, m.openIndex = nil, nil
		m.drained = config.Drained
		options := s.engineOptions(config, blocks)
		if m.view == nil {
			m.view = engine.New(options)
		} else {
			m.view.Reconfigure(options)
		}
		s.servers[config.Name] = m
		s.members = append(s.members, m)
	}
	s.prefixes.reset()
}

func (s *Scheduler) engineOptions(config Engine, blocks int) engine.Options {
	o := engine.Options{
		Plain:         true,
		MaxInFlight:   config.MaxInFlight,
		OneWayLatency: s.policy.OneWayLatency[config.DataCentre],
		Dither:        s.rand.Float64(),
	}
	for _, sv := range s.policy.Services {
		if sv.Kind == KindModel && sv.Selector.Matches(config.Labels) {
			o.Plain = false
			o.PrefixCapacity = blocks
		}
	}
	for _, t := range s.policy.Tiers {
		o.FirstToken = strictest(o.FirstToken, t.FirstToken)
		o.BetweenTokens = strictest(o.BetweenTokens, t.BetweenTokens)
	}
	return o
}

func strictest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

func (s *Scheduler) configureServices() {
	former := s.services
	s.services = make(map[string]*service, len(s.policy.Services))
	s.ordered = s.ordered[:0]
	for _, config := range s.policy.Services {
		sv := former[config.Name]
		if sv == nil {
			sv = newService()
		}
		sv.config = config
		sv.members, sv.open = nil, nil
		sv.tiers = s.newTierQueues()
		for _, m := range s.members {
			if config.Selector.Matches(m.config.Labels) {
				sv.members = append(sv.members, m)
				m.services = append(m.services, sv)
				m.openIndex = append(m.openIndex, -1)
			}
		}
		s.services[config.Name] = sv
		s.ordered = append(s.ordered, sv)
	}
}

func (s *Scheduler) newTierQueues() []*tierQueue {
	queues := make([]*tierQueue, len(s.policy.Tiers))
	for tier := range queues {
		queues[tier] = &tierQueue{tier: tier, reserve: 1, flows: make([]*flow, len(s.policy.Workspaces))}
	}
	if len(queues) > 1 {
		// A flood of the lowest tier that fills the reserves would slow the streams of urgent requests.
		queues[len(queues)-1].reserve = lowestTierReserve
	}
	return queues
}
