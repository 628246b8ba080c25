package scheduler

import "time"

// peerExpiry is the age at which the last summary of an instance is discarded. Until then its last
// known load counts. Membership declares an instance failed after 5 s.
const peerExpiry = 10 * time.Second

// peer is the last summary of another instance.
type peer struct {
	at      time.Time
	engines map[string]PeerLoad
}

// peerTotals is the total load of all other instances on one engine.
type peerTotals struct {
	inFlight          float64
	demand            float64
	weightedLimits    float64 // sum of the known limits, each weighted by the requests in flight
	inFlightWithLimit float64 // requests in flight of the instances whose limit is known
}

// peerSummary replaces the load of another instance. Engines that are not in the summary have no load
// from that instance. The shares of this instance change with the next tick.
func (s *Scheduler) peerSummary(e PeerSummary) {
	if s.instance != "" && e.Instance == s.instance {
		return
	}
	p := s.peers[e.Instance]
	if p == nil {
		p = &peer{}
		s.peers[e.Instance] = p
	}
	if e.At.Before(p.at) {
		return
	}
	s.addPeer(p, -1)
	p.at = e.At
	p.engines = e.Engines
	s.addPeer(p, 1)
}

// addPeer adds the load of an instance to the totals of the engines, or subtracts it if sign is -1.
func (s *Scheduler) addPeer(p *peer, sign float64) {
	for name, l := range p.engines {
		if m := s.servers[name]; m != nil {
			m.peers.inFlight = max(m.peers.inFlight+sign*float64(l.InFlight), 0)
			m.peers.demand = max(m.peers.demand+sign*float64(l.Demand), 0)
			if l.Limit <= 0 {
				continue // An unknown limit counted as 0 would lower this instance's limit.
			}
			m.peers.weightedLimits = max(m.peers.weightedLimits+sign*l.Limit*float64(l.InFlight), 0)
			m.peers.inFlightWithLimit = max(m.peers.inFlightWithLimit+sign*float64(l.InFlight), 0)
		}
	}
}

func (s *Scheduler) expirePeers(now time.Time) {
	for name, p := range s.peers {
		if now.Sub(p.at) > peerExpiry {
			s.addPeer(p, -1)
			delete(s.peers, name)
		}
	}
}

func (s *Scheduler) recomputePeerTotals() {
	for _, m := range s.members {
		m.peers = peerTotals{}
	}
	for _, p := range s.peers {
		s.addPeer(p, 1)
	}
}

// Summary returns the load of this instance for publication to the others. It contains every engine
// on which the instance has requests in flight or for which requests wait.
func (s *Scheduler) Summary(now time.Time) PeerSummary {
	summary := PeerSummary{Instance: s.instance, At: now, Engines: make(map[string]PeerLoad, len(s.members))}
	for _, m := range s.members {
		l := PeerLoad{InFlight: m.view.InFlight()}
		for _, sv := range m.services {
			l.Demand += sv.demand()
		}
		if l != (PeerLoad{}) {
			l.Limit = m.view.Limit()
			summary.Engines[m.config.Name] = l
		}
	}
	return summary
}
