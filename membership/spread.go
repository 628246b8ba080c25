package membership

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSlots bounds the partners, chosen and choosing together.
const maxSlots = 128

// slotSet is a set of slots, one bit each.
type slotSet [maxSlots / 64]uint64

func (s *slotSet) add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s *slotSet) remove(i int)   { s[i/64] &^= 1 << (i % 64) }
func (s *slotSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }
func (s *slotSet) count() int     { return bits.OnesCount64(s[0]) + bits.OnesCount64(s[1]) }

// lacks reports whether any slot of all is in neither a nor b.
func (s *slotSet) lacks(a, b *slotSet) bool {
	return s[0]&^(a[0]|b[0]) != 0 || s[1]&^(a[1]|b[1]) != 0
}

type class uint8

const (
	classInstance class = iota
	classVersion
	classEngine
)

// item is one piece of knowledge and which partners have it.
type item struct {
	class    class
	record   *record // of classInstance and classVersion
	engine   string  // of classEngine
	number   uint64  // engine incarnation
	revision uint64  // raised with each change; 0 while there is nothing to spread
	beat     uint64  // of the revision
	hash     uint64  // contribution to the digest
	known    slotSet // partners that have this revision
	sent     slotSet // partners to which this revision is on its way
	base     slotSet // of classInstance: partners that have heard of this incarnation
}

// urgent items go to all partners at once; versions may take a few ticks.
func (i *item) urgent() bool { return i.class != classVersion }

// slot is the exchange with one partner.
type slot struct {
	index    int
	record   *record
	chosen   bool // by this instance
	ring     bool // chosen as a successor
	choosing bool // the partner has chosen this instance
	idle     int  // beats since neither side has chosen the other
	heardAt  time.Time
	since    uint64 // revision at which the slot was opened
	equalAt  uint64 // revision at which digests were last equal
	heard    bool   // since the slot was opened
	flight   []flight
}

// flight is a heartbeat whose acknowledgement is due.
type flight struct {
	number uint64
	beat   uint64
	parts  []part
}

type part struct {
	item     *item
	revision uint64
}

// changed gives an item a new revision that only one partner, or none for -1, is known to have.
func (m *Membership) changed(i *item, knownBy int) {
	m.revision++
	m.digest ^= i.hash
	i.hash = i.fingerprint()
	m.digest ^= i.hash
	if i.revision == 0 {
		m.items = append(m.items, i)
	}
	i.revision = m.revision
	i.beat = m.beat
	i.known = slotSet{}
	i.sent = slotSet{}
	if knownBy >= 0 {
		i.knownTo(knownBy)
	}
	m.waiting = true
}

// knownTo notes that a partner has this revision.
func (i *item) knownTo(index int) {
	i.known.add(index)
	i.base.add(index)
}

func (i *item) fingerprint() uint64 {
	var h xxhash.Digest
	h.Reset()
	var b [26]byte
	b[0] = byte(i.class)
	switch i.class {
	case classEngine:
		_, _ = h.WriteString(i.engine)
		binary.LittleEndian.PutUint64(b[1:], i.number)
	case classInstance:
		_, _ = h.WriteString(i.record.name)
		v := i.record.value
		binary.LittleEndian.PutUint64(b[1:], v.incarnation)
		binary.LittleEndian.PutUint64(b[9:], v.sequence)
		b[17] = byte(v.state)
	case classVersion:
		_, _ = h.WriteString(i.record.name)
		binary.LittleEndian.PutUint64(b[1:], i.record.value.incarnation)
		binary.LittleEndian.PutUint64(b[9:], i.record.version)
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

func (i *item) size(index int) int {
	switch {
	case i.class == classEngine:
		return i.engineNotice().size()
	case i.class == classVersion:
		return i.record.versionNotice().size()
	case i.base.has(index):
		return i.record.stateNotice().size()
	}
	return i.record.notice().size()
}

func (i *item) engineNotice() EngineNotice {
	return EngineNotice{Engine: i.engine, Incarnation: i.number}
}

func (r *record) notice() Record {
	return Record{
		Name: r.name, DataCentre: r.dataCentre, Roles: r.roles,
		Incarnation: r.value.incarnation, Sequence: r.value.sequence, State: r.value.state,
	}
}

func (r *record) stateNotice() StateNotice {
	v := r.value
	return StateNotice{Name: r.name, Incarnation: uint16(v.incarnation), Sequence: v.sequence, State: v.state}
}

func (r *record) versionNotice() VersionNotice {
	return VersionNotice{Name: r.name, Incarnation: uint16(r.value.incarnation), Version: r.version}
}

// news is what some partner lacks, oldest first.
type news struct {
	urgent []*item
	other  []*item
}

func (n news) empty() bool { return len(n.urgent)+len(n.other) == 0 }

// bulk is the number of urgent items from which on they are spread like others: when a whole data centre
// fails, sending everything to all partners at once would exceed the budget with repetitions.
const bulk = 32

// bulkBeats is the age in beats at which an item is sent over every connection.
const bulkBeats = 20

func (m *Membership) pending() news {
	m.scratch = m.scratch[:0]
	suspects := m.suspects >= bulk
	for _, i := range m.items {
		if suspects && i.class == classInstance && i.record.value.state == StateSuspected {
			continue // When many fall silent at once, only the outcome is spread.
		}
		if m.occupied.lacks(&i.known, &i.sent) {
			m.scratch = append(m.scratch, i)
		}
	}
	slices.SortFunc(m.scratch, func(a, b *item) int {
		switch {
		case a.urgent() != b.urgent() && a.urgent():
			return -1
		case a.urgent() != b.urgent():
			return 1
		}
		return cmp.Compare(a.revision, b.revision)
	})
	split := 0
	for split < len(m.scratch) && m.scratch[split].urgent() {
		split++
	}
	return news{urgent: m.scratch[:split], other: m.scratch[split:]}
}

// fill adds to a heartbeat what the partner lacks, within the bytes of the message and of the bucket.
func (m *Membership) fill(s *slot, h *Heartbeat, n news) (added bool) {
	turn := m.turn(s)
	f := flight{number: h.Number, beat: m.beat}
	left := m.o.MaxUpdateBytes
	if turn || len(n.urgent) < bulk {
		left = m.fillFrom(s, h, n.urgent, &f, left, 0)
	}
	if turn {
		m.fillFrom(s, h, n.other, &f, left, (burstBeats-1)*m.o.UpdateBytesPerInterval)
	}
	if len(f.parts) > 0 {
		s.flight = append(s.flight, f)
	}
	return len(f.parts) > 0
}

// fillFrom leaves reserve bytes in the bucket and returns what is left of the message.
func (m *Membership) fillFrom(s *slot, h *Heartbeat, items []*item, f *flight, left, reserve int) int {
	if len(items) == 0 {
		return left
	}
	start := m.startOf(s, items)
	trunk := items[0].urgent() && len(items) < bulk || m.trunk(s)
	for n := range items {
		i := items[(n+start)%len(items)]
		if i.known.has(s.index) || i.sent.has(s.index) || !m.worthSending(s, i) {
			continue
		}
		if !trunk && m.beat-i.beat < bulkBeats {
			continue
		}
		size := i.size(s.index)
		if size > left || size > m.bytesLeft-reserve {
			break
		}
		left -= size
		m.bytesLeft -= size
		i.sent.add(s.index)
		f.parts = append(f.parts, part{item: i, revision: i.revision})
		i.appendTo(h, s.index)
	}
	return left
}

// startOf lets each partner of an instance that has to learn a lot send it another part first.
func (m *Membership) startOf(s *slot, items []*item) int {
	if len(items) < bulk {
		return 0
	}
	pair := xxhash.Sum64String(m.self.name + "\x00" + s.record.name)
	return int(pair % uint64(len(items)))
}

// turn selects a few partners per tick for what is not urgent.
func (m *Membership) turn(s *slot) bool {
	const perTick = 3 // partners
	groups := max(1, m.occupied.count()/perTick)
	return (uint64(s.index)+m.tick)%uint64(groups) == 0
}

// trunk reports whether a connection carries bulk. An item crosses every connection that carries it at
// least once, since either side has to learn that the other has it. So with many partners, about
// a quarter of the connections and the ring carry bulk; over the others, equal digests show
// afterwards that nothing is missing.
func (m *Membership) trunk(s *slot) bool {
	const few, part = 8, 4
	return s.ring || m.occupied.count() <= few || weight(m.self.name, s.record.name)%part == 0
}

func (m *Membership) worthSending(s *slot, i *item) bool {
	if !s.heard && i.revision <= s.since {
		return false // Digests are compared first: usually the partner knows everything.
	}
	// A version of an incarnation that the partner has not heard of would be dropped.
	return i.class != classVersion || i.record.instanceItem.known.has(s.index)
}

func (i *item) appendTo(h *Heartbeat, index int) {
	switch {
	case i.class == classEngine:
		h.Engines = append(h.Engines, i.engineNotice())
	case i.class == classVersion:
		h.Versions = append(h.Versions, i.record.versionNotice())
	case i.base.has(index):
		h.States = append(h.States, i.record.stateNotice())
	default:
		h.Records = append(h.Records, i.record.notice())
	}
}

// acknowledge notes what the partner has, and sends again what it did not get in time.
func (m *Membership) acknowledge(s *slot, h Heartbeat) {
	m.waiting = m.waiting || h.Digest != m.digest
	kept := s.flight[:0]
	for _, f := range s.flight {
		if acked(f.number, h.AckHigh, h.AckMask) {
			s.settle(f, true)
			continue
		}
		kept = append(kept, f)
	}
	s.flight = kept
	if h.Digest != m.digest || s.equalAt == m.revision {
		return
	}
	s.equalAt = m.revision
	for _, i := range m.items {
		i.knownTo(s.index)
	}
}

func acked(number, high, mask uint64) bool {
	if number == high {
		return true
	}
	return number < high && high-number <= 64 && mask&(1<<(high-number-1)) != 0
}

// expire gives up waiting for acknowledgements after three beats: a partner acknowledges within one.
func (m *Membership) expire(s *slot) {
	const beats = 3
	kept := s.flight[:0]
	for _, f := range s.flight {
		if m.beat-f.beat >= beats {
			s.settle(f, false)
			m.waiting = true
			continue
		}
		kept = append(kept, f)
	}
	s.flight = kept
}

func (s *slot) settle(f flight, arrived bool) {
	for _, p := range f.parts {
		if p.item.revision != p.revision {
			continue
		}
		p.item.sent.remove(s.index)
		if arrived {
			p.item.knownTo(s.index)
		}
	}
}
