package scheduler

import "time"

// peerForget is the age at which the last summary of an instance no longer counts. Until then its
// last known load stands; membership declares an instance failed after 5 s.
const peerForget = 10 * time.Second

type peer struct {
	at      time.Time
	engines map[string]PeerLoad
}

// peerSums is the load of all other instances on one engine.
type peerSums struct {
	inFlight float64
	demand   float64
	limits   float64 // weighted with the requests in flight
	limiting float64 // requests in flight of peers whose limit is known
}

// peerSummary replaces what is known of another instance. Engines that a summary does not name
// have no load from that instance. Shares change with the next tick.
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

func (s *Scheduler) addPeer(p *peer, sign float64) {
	for name, l := range p.engines {
		if m := s.servers[name]; m != nil {
			m.peers.inFlight = max(m.peers.inFlight+sign*float64(l.InFlight), 0)
			m.peers.demand = max(m.peers.demand+sign*float64(l.Demand), 0)
			if l.Limit <= 0 {
				continue // Unknown: counted as 0 it would pull the own limit down.
			}
			m.peers.limits = max(m.peers.limits+sign*l.Limit*float64(l.InFlight), 0)
			m.peers.limiting = max(m.peers.limiting+sign*float64(l.InFlight), 0)
		}
	}
}

func (s *Scheduler) forgetPeers(now time.Time) {
	for name, p := range s.peers {
		if now.Sub(p.at) > peerForget {
			s.addPeer(p, -1)
			delete(s.peers, name)
		}
	}
}

func (s *Scheduler) recountPeers() {
	for _, m := range s.members {
		m.peers = peerSums{}
	}
	for _, p := range s.peers {
		s.addPeer(p, 1)
	}
}

// Summary returns this instance's load for publication to the others. It names every engine on
// which the instance has or wants work.
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
