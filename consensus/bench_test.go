package consensus

import "testing"

// newElectedSim returns a simulation of three replicas with default message limits, and its elected leader.
func newElectedSim(b *testing.B) (*sim, *host) {
	s := newSim(b, 1, "a", "b", "c")
	leader := s.elect()
	for _, name := range s.hostNames {
		s.hosts[name].node.options.MaxMessageBytes = DefaultMaxMessageBytes
		s.hosts[name].node.options.MaxInflight = DefaultMaxInflight
	}
	return s, leader
}

// exchangeMessages processes all work and messages until there are none, and returns the number of
// messages. It does not run the checks of the simulation.
func exchangeMessages(hosts []*host, byName map[string]*Node) int {
	count := 0
	for busy := true; busy; {
		busy = false
		for _, h := range hosts {
			r := h.node.Ready()
			if r.IsEmpty() {
				continue
			}
			busy = true
			for _, list := range [][]Message{r.MessagesBeforeSync, r.MessagesAfterSync} {
				for i := range list {
					count++
					if err := byName[list[i].To.Instance].Step(list[i]); err != nil {
						panic(err)
					}
				}
			}
			h.node.Advance(r)
		}
	}
	return count
}

// hostsAndNodes returns the hosts in a fixed order, and the nodes by name.
func hostsAndNodes(s *sim) ([]*host, map[string]*Node) {
	var hosts []*host
	byName := map[string]*Node{}
	for _, name := range s.hostNames {
		hosts = append(hosts, s.hosts[name])
		byName[name] = s.hosts[name].node
	}
	return hosts, byName
}

// BenchmarkProposal measures the cost, on all three replicas together, of committing and applying one
// command of 256 bytes, without disk and network.
func BenchmarkProposal(b *testing.B) {
	s, leader := newElectedSim(b)
	hosts, byName := hostsAndNodes(s)
	data := make([]byte, 256)
	b.ReportAllocs()
	messages := 0
	for i := 0; b.Loop(); i++ {
		if err := leader.node.Propose(data); err != nil {
			b.Fatal(err)
		}
		messages += exchangeMessages(hosts, byName)
		if i%1024 == 1023 {
			for _, h := range hosts {
				if err := h.node.Compact(h.node.log.applied); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
}

// BenchmarkHeartbeatRound measures the cost, on all three replicas together, of the ticks and messages of
// one idle heartbeat interval.
func BenchmarkHeartbeatRound(b *testing.B) {
	s, _ := newElectedSim(b)
	hosts, byName := hostsAndNodes(s)
	b.ReportAllocs()
	messages := 0
	for b.Loop() {
		for range testHeartbeatTicks {
			for _, h := range hosts {
				h.node.Tick()
			}
			messages += exchangeMessages(hosts, byName)
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
}
