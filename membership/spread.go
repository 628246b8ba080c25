package membership

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSlots bounds the number of partners, whichever side has chosen the other.
const maxSlots = 128

// slotSet is a set of slot indices, one bit each.
type slotSet [maxSlots / 64]uint64

func (s *slotSet) add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s *slotSet) remove(i int)   { s[i/64] &^= 1 << (i % 64) }
func (s *slotSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }
func (s *slotSet) count() int     { return bits.OnesCount64(s[0]) + bits.OnesCount64(s[1]) }

// lacks reports whether any slot of s is in neither a nor b.
func (s *slotSet) lacks(a, b *slotSet) bool {
	return s[0]&^(a[0]|b[0]) != 0 || s[1]&^(a[1]|b[1]) != 0
}

// class is the kind of fact that an update carries.
type class uint8

const (
	classInstance class = iota
	classVersion
	classEngine
)

// update is a fact that is spread to the partners, with the set of partners that know it.
type update struct {
	class            class
	record           *record // subject of classInstance and classVersion
	engine           string  // name of the engine, for classEngine
	number           uint64  // incarnation of the engine, for classEngine
	revision         uint64  // revision of the view at the last change; 0 while there is nothing to spread
	changedInRound   uint64  // heartbeat round of the last change
	hash             uint64  // contribution to the digest
	known            slotSet // partners that have this revision
	inFlight         slotSet // partners that were sent this revision and have not acknowledged it
	incarnationKnown slotSet // partners that know this incarnation; for classInstance
}

// urgent reports whether the update is sent to all partners at once. Configuration versions may take a few
// ticks.
func (u *update) urgent() bool { return u.class != classVersion }

// partnerSlot is the state of the heartbeat exchange with one partner.
type partnerSlot struct {
	index          int
	record         *record
	chosen         bool // this instance has chosen the partner
	successor      bool // the partner was chosen as a ring successor
	chosenByPeer   bool // the partner has chosen this instance
	unchosenRounds int  // consecutive heartbeat rounds in which neither side has chosen the other
	lastReceivedAt time.Time
	openedAt       uint64 // revision of the view when the slot was opened
	equalDigestAt  uint64 // revision of the view when the digests were last equal
	receivedAny    bool   // a heartbeat has arrived since the slot was opened
	unacknowledged []unacknowledged
}

// unacknowledged is a heartbeat with updates that waits for its acknowledgement.
type unacknowledged struct {
	number      uint64
	sentInRound uint64
	updates     []sentUpdate
}

// sentUpdate identifies the revision of an update that a heartbeat carried.
type sentUpdate struct {
	update   *update
	revision uint64
}

// markChanged gives an update a new revision. The partner in slot knownBy already has it; -1 means that none
// has.
func (m *Membership) markChanged(u *update, knownBy int) {
	m.revision++
	m.digest ^= u.hash
	u.hash = u.fingerprint()
	m.digest ^= u.hash
	if u.revision == 0 {
		m.updates = append(m.updates, u)
	}
	u.revision = m.revision
	u.changedInRound = m.heartbeatRound
	u.known = slotSet{}
	u.inFlight = slotSet{}
	if knownBy >= 0 {
		u.markKnown(knownBy)
	}
	m.updatesPending = true
}

// markKnown records that the partner in a slot has this revision.
func (u *update) markKnown(index int) {
	u.known.add(index)
	u.incarnationKnown.add(index)
}

// fingerprint returns the hash of the update, which is its contribution to the digest.
func (u *update) fingerprint() uint64 {
	var h xxhash.Digest
	h.Reset()
	var b [26]byte
	b[0] = byte(u.class)
	switch u.class {
	case classEngine:
		_, _ = h.WriteString(u.engine)
		binary.LittleEndian.PutUint64(b[1:], u.number)
	case classInstance:
		_, _ = h.WriteString(u.record.name)
		v := u.record.value
		binary.LittleEndian.PutUint64(b[1:], v.incarnation)
		binary.LittleEndian.PutUint64(b[9:], v.sequence)
		b[17] = byte(v.state)
	case classVersion:
		_, _ = h.WriteString(u.record.name)
		binary.LittleEndian.PutUint64(b[1:], u.record.value.incarnation)
		binary.LittleEndian.PutUint64(b[9:], u.record.version)
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

func (u *update) size(index int) int {
	switch {
	case u.class == classEngine:
		return u.engineNotice().size()
	case u.class == classVersion:
		return u.record.versionNotice().size()
	case u.incarnationKnown.has(index):
		return u.record.stateNotice().size()
	}
	return u.record.notice().size()
}

func (u *update) engineNotice() EngineNotice {
	return EngineNotice{Engine: u.engine, Incarnation: u.number}
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

// pendingUpdates are the updates that at least one partner lacks, oldest first.
type pendingUpdates struct {
	urgent []*update
	other  []*update
}

func (p pendingUpdates) empty() bool { return len(p.urgent)+len(p.other) == 0 }

// bulkThreshold is the number of urgent updates from which on they are spread like the others. When a whole
// data centre fails, sending every update to all partners at once would exceed the byte budget with
// duplicates.
const bulkThreshold = 32

// bulkDelayRounds is the age, in heartbeat rounds, at which a bulk update is sent over every connection.
const bulkDelayRounds = 20

func (m *Membership) collectPending() pendingUpdates {
	m.scratch = m.scratch[:0]
	skipSuspected := m.suspectCount >= bulkThreshold
	for _, u := range m.updates {
		if skipSuspected && u.class == classInstance && u.record.value.state == StateSuspected {
			continue // When many instances become silent at once, only the final state is spread.
		}
		if m.occupied.lacks(&u.known, &u.inFlight) {
			m.scratch = append(m.scratch, u)
		}
	}
	slices.SortFunc(m.scratch, func(a, b *update) int {
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
	return pendingUpdates{urgent: m.scratch[:split], other: m.scratch[split:]}
}

// addUpdates adds the updates that the partner lacks to a heartbeat, within the byte limits of the message
// and of the token bucket.
func (m *Membership) addUpdates(s *partnerSlot, h *Heartbeat, pending pendingUpdates) (added bool) {
	hasTurn := m.hasTurn(s)
	entry := unacknowledged{number: h.Number, sentInRound: m.heartbeatRound}
	left := m.options.MaxUpdateBytes
	if hasTurn || len(pending.urgent) < bulkThreshold {
		left = m.addUpdatesFrom(s, h, pending.urgent, &entry, left, 0)
	}
	if hasTurn {
		m.addUpdatesFrom(s, h, pending.other, &entry, left, (burstRounds-1)*m.options.UpdateBytesPerInterval)
	}
	if len(entry.updates) > 0 {
		s.unacknowledged = append(s.unacknowledged, entry)
	}
	return len(entry.updates) > 0
}

// addUpdatesFrom leaves reserve bytes in the token bucket and returns the bytes left in the message.
func (m *Membership) addUpdatesFrom(s *partnerSlot, h *Heartbeat, updates []*update, entry *unacknowledged, left, reserve int) int {
	if len(updates) == 0 {
		return left
	}
	start := m.startOffset(s, updates)
	sendNow := updates[0].urgent() && len(updates) < bulkThreshold || m.carriesBulk(s)
	for n := range updates {
		u := updates[(n+start)%len(updates)]
		if u.known.has(s.index) || u.inFlight.has(s.index) || !m.shouldSend(s, u) {
			continue
		}
		if !sendNow && m.heartbeatRound-u.changedInRound < bulkDelayRounds {
			continue
		}
		size := u.size(s.index)
		if size > left || size > m.bytesLeft-reserve {
			break
		}
		left -= size
		m.bytesLeft -= size
		u.inFlight.add(s.index)
		entry.updates = append(entry.updates, sentUpdate{update: u, revision: u.revision})
		u.appendTo(h, s.index)
	}
	return left
}

// startOffset returns where to start in a long list of updates. It differs between the partners of a
// receiver, so that an instance that lacks many updates gets a different range from each partner first.
func (m *Membership) startOffset(s *partnerSlot, updates []*update) int {
	if len(updates) < bulkThreshold {
		return 0
	}
	pair := xxhash.Sum64String(m.self.name + "\x00" + s.record.name)
	return int(pair % uint64(len(updates)))
}

// hasTurn selects a few partners per tick for updates that are not urgent.
func (m *Membership) hasTurn(s *partnerSlot) bool {
	const perTick = 3 // partners
	groups := max(1, m.occupied.count()/perTick)
	return (uint64(s.index)+m.tick)%uint64(groups) == 0
}

// carriesBulk reports whether bulk updates are sent over the connection to a partner. An update crosses every
// such connection at least once, since either side has to learn that the other has it. With many partners,
// therefore, only about a quarter of the connections and those to ring successors carry bulk updates. On the
// others, equal digests show later that nothing is missing.
func (m *Membership) carriesBulk(s *partnerSlot) bool {
	const few, divisor = 8, 4
	return s.successor || m.occupied.count() <= few || pairWeight(m.self.name, s.record.name)%divisor == 0
}

// shouldSend reports whether the partner lacks the update as far as known and could use it.
func (m *Membership) shouldSend(s *partnerSlot, u *update) bool {
	if !s.receivedAny && u.revision <= s.openedAt {
		return false // The digests are compared first, because the partner usually has all updates already.
	}
	// The partner would drop a version of an incarnation that it does not know.
	return u.class != classVersion || u.record.instanceUpdate.known.has(s.index)
}

func (u *update) appendTo(h *Heartbeat, index int) {
	switch {
	case u.class == classEngine:
		h.Engines = append(h.Engines, u.engineNotice())
	case u.class == classVersion:
		h.Versions = append(h.Versions, u.record.versionNotice())
	case u.incarnationKnown.has(index):
		h.States = append(h.States, u.record.stateNotice())
	default:
		h.Records = append(h.Records, u.record.notice())
	}
}

// acknowledge records the updates that the partner has received, and schedules further ones if the digests
// differ. Equal digests mean that the partner has all updates.
func (m *Membership) acknowledge(s *partnerSlot, h Heartbeat) {
	m.updatesPending = m.updatesPending || h.Digest != m.digest
	kept := s.unacknowledged[:0]
	for _, entry := range s.unacknowledged {
		if isAcknowledged(entry.number, h.AckHigh, h.AckMask) {
			s.resolve(entry, true)
			continue
		}
		kept = append(kept, entry)
	}
	s.unacknowledged = kept
	if h.Digest != m.digest || s.equalDigestAt == m.revision {
		return
	}
	s.equalDigestAt = m.revision
	for _, u := range m.updates {
		u.markKnown(s.index)
	}
}

// isAcknowledged reports whether an acknowledgement covers a heartbeat number.
func isAcknowledged(number, high, mask uint64) bool {
	if number == high {
		return true
	}
	return number < high && high-number <= 64 && mask&(1<<(high-number-1)) != 0
}

// expireUnacknowledged makes updates eligible for another transmission if they are not acknowledged within
// three heartbeat rounds. A partner normally acknowledges within one round.
func (m *Membership) expireUnacknowledged(s *partnerSlot) {
	const rounds = 3
	kept := s.unacknowledged[:0]
	for _, entry := range s.unacknowledged {
		if m.heartbeatRound-entry.sentInRound >= rounds {
			s.resolve(entry, false)
			m.updatesPending = true
			continue
		}
		kept = append(kept, entry)
	}
	s.unacknowledged = kept
}

// resolve ends the wait for an acknowledgement of a heartbeat, which has arrived or is assumed lost.
func (s *partnerSlot) resolve(entry unacknowledged, arrived bool) {
	for _, sent := range entry.updates {
		if sent.update.revision != sent.revision {
			continue
		}
		sent.update.inFlight.remove(s.index)
		if arrived {
			sent.update.markKnown(s.index)
		}
	}
}
