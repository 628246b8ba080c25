package membership

import (
	"fmt"
	"testing"
	"time"
)

const (
	spreadLimit = 3 * time.Second // target for spreading an update
	byteLimit   = 30_000          // bytes per second; target for the complete control overhead of an instance
)

type size struct{ instances, dataCentres int }

var sizes = []size{{9, 3}, {400, 5}}

// newSettledNetwork returns a network in which all instances have exchanged heartbeats under 10% message loss.
func newSettledNetwork(t testing.TB, s size) *network {
	n := newNetwork(t, s.instances, s.dataCentres, 7)
	n.exchangeRecords()
	n.loss = 0.1
	n.run(2 * time.Second)
	return n
}

// Guards against an update that does not reach every instance within the target of 3 s.
func TestSpread(t *testing.T) {
	t.Parallel()
	for _, s := range sizes {
		t.Run(fmt.Sprint(s.instances), func(t *testing.T) {
			t.Parallel()
			n := newSettledNetwork(t, s)
			n.rates(1)
			begin := n.now
			n.run(2 * time.Second)
			highest, mean := n.rates(n.now.Sub(begin))
			t.Logf("idle: %.0f bytes/s highest, %.0f mean, %d partners", highest, mean, len(n.nodes[n.names[0]].Partners()))
			if highest > byteLimit {
				t.Errorf("an idle instance uses %.0f bytes/s", highest)
			}

			n.handleOutput(n.names[1], n.nodes[n.names[1]].AnnounceLeaving(n.now))
			took := n.waitFor("leaving instance known", spreadLimit, n.allKnow(n.names[1], StateLeaving))
			t.Logf("leaving instance known everywhere after %s", took)

			n.handleOutput(n.names[2], n.nodes[n.names[2]].AnnounceEngineLeaving(n.now, "engine-1", 5))
			took = n.waitFor("leaving engine known", spreadLimit, func() bool {
				return n.everywhere("", func(name string) bool { return n.nodes[name].EngineLeaving("engine-1", 5) })
			})
			t.Logf("leaving engine known everywhere after %s", took)

			n.stopped[n.names[3]] = true
			stoppedAt := n.now
			n.waitFor("first notice of the failure", FailAfter+HeartbeatInterval, func() bool {
				return !n.everywhere(n.names[3], func(name string) bool { return n.state(name, n.names[3]) != StateFailed })
			})
			first := n.now.Sub(stoppedAt)
			took = n.waitFor("failed instance known", spreadLimit, n.allKnow(n.names[3], StateFailed))
			t.Logf("failed instance: first noticed after %s, known everywhere %s later", first, took)

			n.rates(1)
			begin = n.now
			for _, name := range n.names {
				n.handleOutput(name, n.nodes[name].SetVersion(n.now, 42))
			}
			// The target for a configuration change is 12 s at this number of instances.
			took = n.waitFor("version of every instance known", 12*time.Second, func() bool {
				return n.everywhere(n.names[3], func(name string) bool {
					for _, r := range n.nodes[name].records {
						if r.name != n.names[3] && r.version != 42 {
							return false
						}
					}
					return true
				})
			})
			highest, mean = n.rates(n.now.Sub(begin))
			t.Logf("version of every instance known everywhere after %s: %.0f bytes/s highest, %.0f mean, largest message %d", took, highest, mean, n.largest)
			if highest > byteLimit {
				t.Errorf("an instance uses %.0f bytes/s during a change", highest)
			}
		})
	}
}

// Guards against a partition after which the two sides do not reconnect, and against one that makes a side
// declare instances of its own side failed.
func TestPartitionedDataCentre(t *testing.T) {
	t.Parallel()
	// Healing is not tested with 400 instances, because it takes half a minute under the race detector.
	for _, s := range []size{sizes[0], {100, 5}, sizes[1]} {
		t.Run(fmt.Sprint(s.instances), func(t *testing.T) {
			t.Parallel()
			n := newSettledNetwork(t, s)
			inside := func(name string) bool { return n.nodes[name].self.dataCentre == "dc1" }
			n.blocked = func(from, to string) bool { return inside(from) != inside(to) }
			agree := func(across State) func() bool {
				return func() bool {
					for _, a := range n.names {
						for _, b := range n.names {
							want := StateAlive
							if inside(a) != inside(b) {
								want = across
							}
							if a != b && n.state(a, b) != want {
								return false
							}
						}
					}
					return true
				}
			}
			n.rates(1)
			begin := n.now
			took := n.waitFor("partition known", FailAfter+HeartbeatInterval+spreadLimit, agree(StateFailed))
			highest, mean := n.rates(n.now.Sub(begin))
			t.Logf("partition known everywhere after %s, %.0f bytes/s highest, %.0f mean", took, highest, mean)
			if highest > byteLimit {
				t.Errorf("an instance uses %.0f bytes/s after a partition", highest)
			}
			if s == sizes[1] {
				return
			}
			n.blocked = nil
			begin = n.now
			took = n.waitFor("partition healed", 15*time.Second, agree(StateAlive))
			highest, mean = n.rates(n.now.Sub(begin))
			t.Logf("healed after %s, %.0f bytes/s highest, %.0f mean", took, highest, mean)
		})
	}
}

// Guards against a disconnected graph of partners: with any one data centre failed, the rest must stay
// connected.
func TestPartnersAreConnected(t *testing.T) {
	for _, s := range sizes {
		for failed := -1; failed < s.dataCentres; failed++ {
			var alive []*record
			for i := range s.instances {
				if i%s.dataCentres != failed {
					alive = append(alive, &record{name: nameOf(i, s.dataCentres), dataCentre: dataCentreOf(i, s.dataCentres)})
				}
			}
			edges := map[string][]string{}
			degree := 0
			for _, r := range alive {
				for partner := range selectPartners(r, alive, DefaultLocalPartners, DefaultRemotePartners) {
					edges[r.name] = append(edges[r.name], partner)
					edges[partner] = append(edges[partner], r.name)
				}
				degree = max(degree, len(edges[r.name]))
			}
			seen := map[string]bool{alive[0].name: true}
			for queue := []string{alive[0].name}; len(queue) > 0; queue = queue[1:] {
				for _, next := range edges[queue[0]] {
					if !seen[next] {
						seen[next] = true
						queue = append(queue, next)
					}
				}
			}
			if len(seen) != len(alive) {
				t.Errorf("%d instances without data centre %d: only %d connected", s.instances, failed, len(seen))
			}
			if degree > maxSlots {
				t.Errorf("an instance has %d partners", degree)
			}
		}
	}
}

// Guards against instances that never exchange heartbeats because they initially know only names.
func TestStartFromNames(t *testing.T) {
	n := newNetwork(t, 9, 3, 3)
	n.loss = 0.1
	took := n.waitFor("every instance alive", 10*time.Second, func() bool {
		for _, name := range n.names {
			if !n.allKnow(name, StateAlive)() {
				return false
			}
		}
		return true
	})
	t.Logf("9 instances knew each other after %s", took)
	n.waitFor("equal digests", 5*time.Second, func() bool {
		return n.everywhere("", func(name string) bool { return n.nodes[name].Digest() == n.nodes[n.names[0]].Digest() })
	})
}

// Guards against instances that mistake the end of an exchange for silence. While partners were still being
// selected at the start, an instance that dropped a partner without a final heartbeat was suspected repeatedly.
func TestChangingPartnersCausesNoSuspicion(t *testing.T) {
	n := newNetwork(t, 100, 5, 3)
	n.run(8 * time.Second)
	for range 20 {
		n.run(500 * time.Millisecond)
		for _, name := range n.names {
			for _, r := range n.nodes[name].sorted {
				if r.effective != StateAlive || r.value.state != StateAlive {
					t.Fatalf("%s: %s counts as %s (claimed %s)", name, r.name, r.effective, r.value.state)
				}
			}
		}
	}
}
