package scheduler

import (
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

const (
	prefixBlocksTotal   = 1 << 18 // over all engines; about 3 MB
	prefixBlocksAtLeast = 256
	prefixBlocksAtMost  = 1 << 13
)

// configure puts a policy in force. Requests in flight keep their engine; waiting requests are
// queued again in their order of arrival.
func (s *Scheduler) configure(now time.Time, p Policy) {
	waiting := s.takeWaiting()
	s.policy = p
	s.waiting = make([]int, len(p.Tiers))
	s.workspaces = make(map[string]int, len(p.Workspaces))
	for i, w := range p.Workspaces {
		s.workspaces[w.Name] = i
	}
	s.configureServers()
	s.configureServices()
	s.recountPeers()
	s.tick(now)
	for _, e := range waiting {
		s.requeue(now, e)
	}
	for _, sv := range s.ordered {
		s.rejectImpossible(sv)
	}
}

func (s *Scheduler) takeWaiting() []*entry {
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
		s.rejectTaken(e, RejectUnknown)
		return
	}
	e.tier = min(e.request.Tier, len(s.policy.Tiers)-1)
	s.enqueue(now, e, sv, workspace)
}

func (s *Scheduler) configureServers() {
	blocks := prefixBlocksTotal / max(len(s.policy.Engines), 1)
	blocks = min(max(blocks, prefixBlocksAtLeast), prefixBlocksAtMost)
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
		m.services, m.openAt = nil, nil
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
		sv.groups = s.newGroups()
		for _, m := range s.members {
			if config.Selector.Matches(m.config.Labels) {
				sv.members = append(sv.members, m)
				m.services = append(m.services, sv)
				m.openAt = append(m.openAt, -1)
			}
		}
		s.services[config.Name] = sv
		s.ordered = append(s.ordered, sv)
	}
}

func (s *Scheduler) newGroups() []*group {
	groups := make([]*group, len(s.policy.Tiers))
	for tier := range groups {
		groups[tier] = &group{tier: tier, reserve: 1, flows: make([]*flow, len(s.policy.Workspaces))}
	}
	if len(groups) > 1 {
		groups[len(groups)-1].reserve = lowestReserve
	}
	return groups
}
