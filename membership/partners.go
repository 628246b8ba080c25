package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ringSuccessors is the number of partners taken from the order of name hashes. They make the
// instances of a data centre connected, and every instance observed, whatever the other choices are.
const ringSuccessors = 2

// smallCluster is the number of instances up to which all are partners: summaries then reach
// everybody directly, and the users' 6 to 9 instances are far below the budget.
const smallCluster = 16

// weight orders candidates; both ends of a pair compute the same one, so that choices tend to be mutual.
func weight(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a + "\x00" + b)
}

// choose returns the names that an instance takes as partners: its successors on the ring of its data
// centre, the own heaviest pairs of its data centre, and the heaviest pairs of the other ones, far in all
// but at least one in each. The value tells whether the name is a successor.
func choose(self *record, candidates []*record, own, far int) map[string]bool {
	byCentre := map[string][]*record{}
	for _, r := range candidates {
		if r != self {
			byCentre[r.dataCentre] = append(byCentre[r.dataCentre], r)
		}
	}
	chosen := map[string]bool{}
	if len(candidates) <= smallCluster {
		own, far = smallCluster, smallCluster*len(byCentre)
	}
	others := len(byCentre)
	if len(byCentre[self.dataCentre]) > 0 {
		others--
	}
	for centre, members := range byCentre {
		limit := max(1, far/max(1, others))
		if centre == self.dataCentre {
			limit = own
			for _, r := range successors(self, members) {
				chosen[r.name] = true
			}
		}
		slices.SortFunc(members, func(a, b *record) int {
			return cmp.Compare(weight(self.name, b.name), weight(self.name, a.name))
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

func successors(self *record, members []*record) []*record {
	ring := slices.Clone(members)
	from := xxhash.Sum64String(self.name)
	slices.SortFunc(ring, func(a, b *record) int {
		// The distance wraps around, so that the instance after the last one is the first.
		return cmp.Compare(xxhash.Sum64String(a.name)-from, xxhash.Sum64String(b.name)-from)
	})
	return ring[:min(ringSuccessors, len(ring))]
}

// choosePartners brings the slots into line with the instances that are reachable now.
func (m *Membership) choosePartners() {
	m.reselect = false
	var candidates []*record
	for _, r := range m.sorted {
		if r.reachable() {
			candidates = append(candidates, r)
		}
	}
	chosen := choose(m.self, candidates, m.o.LocalPartners, m.o.RemotePartners)
	for _, s := range m.slots {
		if s != nil {
			s.ring, s.chosen = chosen[s.record.name]
		}
	}
	for _, r := range candidates {
		ring, wanted := chosen[r.name]
		if !wanted || m.slotOf(r) != nil {
			continue
		}
		if s := m.openSlot(r); s != nil {
			s.chosen = true
			s.ring = ring
		}
	}
}

func (m *Membership) slotOf(r *record) *slot { return m.byName[r.name] }

// openSlot returns nil when there are too many partners.
func (m *Membership) openSlot(r *record) *slot {
	for index, s := range m.slots {
		if s != nil {
			continue
		}
		s = &slot{index: index, record: r, since: m.revision}
		m.slots[index] = s
		m.byName[r.name] = s
		m.occupied.add(index)
		m.clearBits(index)
		if r.evidence.Before(m.now) {
			r.evidence = m.now // Silence counts from here on: nothing was expected before.
		}
		return s
	}
	return nil
}

func (m *Membership) closeSlot(s *slot) {
	m.slots[s.index] = nil
	delete(m.byName, s.record.name)
	m.occupied.remove(s.index)
}

func (m *Membership) clearBits(index int) {
	for _, i := range m.items {
		i.known.remove(index)
		i.sent.remove(index)
		i.base.remove(index)
	}
}

// farewellBeats is how many more heartbeats a partner gets once neither side has chosen the other. They
// tell it so; without them it would take the end of the exchange for silence and accuse this instance.
const farewellBeats = 4

// dropIdleSlots ends the exchange with instances that neither side chooses any more. A silent partner
// that had chosen this instance is kept until it has failed: nobody else may be observing it.
func (m *Membership) dropIdleSlots() {
	for _, s := range m.slots {
		if s == nil {
			continue
		}
		if s.chosen || s.choosing {
			s.idle = 0
		} else {
			s.idle++
		}
		left := s.record.effective == StateLeaving && m.now.Sub(s.heardAt) > SuspectAfter
		if s.idle > farewellBeats || left && !s.chosen {
			m.closeSlot(s)
		}
	}
}
