package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ringSuccessors is the number of partners taken from the ring of name hashes. These partners keep the
// instances of a data centre connected and every instance observed, whatever the other choices are.
const ringSuccessors = 2

// fullMeshSize is the number of instances up to which every instance is a partner of every other. Summaries
// then reach all instances directly, and the installations of the users, which have 6 to 9 instances, stay far
// below the byte budget.
const fullMeshSize = 16

// pairWeight ranks candidates by rendezvous hashing. Both ends of a pair compute the same weight, so choices
// tend to be mutual.
func pairWeight(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a + "\x00" + b)
}

// selectPartners returns the names of the partners of an instance: its successors on the ring of its data
// centre, the heaviest pairs in its own data centre (up to local), and the heaviest pairs in all other data
// centres (up to remote in total, but at least one in each). The value is true for a successor.
func selectPartners(self *record, candidates []*record, local, remote int) map[string]bool {
	byCentre := map[string][]*record{}
	for _, r := range candidates {
		if r != self {
			byCentre[r.dataCentre] = append(byCentre[r.dataCentre], r)
		}
	}
	chosen := map[string]bool{}
	if len(candidates) <= fullMeshSize {
		local, remote = fullMeshSize, fullMeshSize*len(byCentre)
	}
	others := len(byCentre)
	if len(byCentre[self.dataCentre]) > 0 {
		others--
	}
	for centre, members := range byCentre {
		limit := max(1, remote/max(1, others))
		if centre == self.dataCentre {
			limit = local
			for _, r := range successors(self, members) {
				chosen[r.name] = true
			}
		}
		slices.SortFunc(members, func(a, b *record) int {
			return cmp.Compare(pairWeight(self.name, b.name), pairWeight(self.name, a.name))
		})
		for _, r := range members {
			if limit <= 0 {
				break
			}
			if _, successor := chosen[r.name]; !successor {
				chosen[r.name] = false
			}
			limit--
		}
	}
	return chosen
}

// successors returns the instances that follow self on the ring of name hashes.
func successors(self *record, members []*record) []*record {
	ring := slices.Clone(members)
	from := xxhash.Sum64String(self.name)
	slices.SortFunc(ring, func(a, b *record) int {
		// The distance wraps around, so that the first instance follows the last one.
		return cmp.Compare(xxhash.Sum64String(a.name)-from, xxhash.Sum64String(b.name)-from)
	})
	return ring[:min(ringSuccessors, len(ring))]
}

// choosePartners updates the slots for the instances that are reachable now.
func (m *Membership) choosePartners() {
	m.reselect = false
	var candidates []*record
	for _, r := range m.sorted {
		if r.reachable() {
			candidates = append(candidates, r)
		}
	}
	chosen := selectPartners(m.self, candidates, m.options.LocalPartners, m.options.RemotePartners)
	for _, s := range m.slots {
		if s != nil {
			s.successor, s.chosen = chosen[s.record.name]
		}
	}
	for _, r := range candidates {
		successor, wanted := chosen[r.name]
		if !wanted || m.slotOf(r) != nil {
			continue
		}
		if s := m.openSlot(r); s != nil {
			s.chosen = true
			s.successor = successor
		}
	}
}

func (m *Membership) slotOf(r *record) *partnerSlot { return m.slotByName[r.name] }

// openSlot returns nil when there are already maxSlots partners.
func (m *Membership) openSlot(r *record) *partnerSlot {
	for index, s := range m.slots {
		if s != nil {
			continue
		}
		s = &partnerSlot{index: index, record: r, openedAt: m.revision}
		m.slots[index] = s
		m.slotByName[r.name] = s
		m.occupied.add(index)
		m.clearBits(index)
		if r.lastEvidence.Before(m.now) {
			r.lastEvidence = m.now // Silence counts from now on, because no heartbeat was expected earlier.
		}
		return s
	}
	return nil
}

func (m *Membership) closeSlot(s *partnerSlot) {
	m.slots[s.index] = nil
	delete(m.slotByName, s.record.name)
	m.occupied.remove(s.index)
}

// clearBits removes a slot from the sets of all updates.
func (m *Membership) clearBits(index int) {
	for _, u := range m.updates {
		u.known.remove(index)
		u.inFlight.remove(index)
		u.incarnationKnown.remove(index)
	}
}

// finalHeartbeats is the number of heartbeats that a partner still gets once neither side has chosen the
// other. They announce the end of the exchange; without them the partner would take it for silence and
// suspect this instance.
const finalHeartbeats = 4

// dropIdleSlots ends the exchange with instances that neither side chooses any more. A silent partner that
// had chosen this instance is kept until it has failed, because possibly no other instance observes it.
func (m *Membership) dropIdleSlots() {
	for _, s := range m.slots {
		if s == nil {
			continue
		}
		if s.chosen || s.chosenByPeer {
			s.unchosenRounds = 0
		} else {
			s.unchosenRounds++
		}
		silentLeaver := s.record.effective == StateLeaving && m.now.Sub(s.lastReceivedAt) > SuspectAfter
		if s.unchosenRounds > finalHeartbeats || silentLeaver && !s.chosen {
			m.closeSlot(s)
		}
	}
}
