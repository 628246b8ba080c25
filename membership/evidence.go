package membership

import (
	"slices"
	"time"
)

// Receive processes a heartbeat.
func (m *Membership) Receive(now time.Time, from Source, h Heartbeat) Output {
	m.beginStep(now)
	if from.Name == m.self.name {
		return m.output
	}
	r := m.findOrAdd(from.Name)
	if r == nil || from.Incarnation < r.value.incarnation {
		return m.output // The table is full, or the heartbeat is from an earlier incarnation.
	}
	m.recordDirectEvidence(r, from, h)
	s := m.slotFor(r, h)
	knownBy := -1
	if s != nil {
		knownBy = s.index
		s.receivedAny = true
		s.lastReceivedAt = now
		r.recordNumber(h.Number)
		m.markOwnStateKnown(s, h)
	}
	m.applyRecords(h.Records, knownBy)
	m.applyStates(h.States, knownBy)
	for _, v := range h.Versions {
		m.applyVersion(v, knownBy)
	}
	for _, e := range h.Engines {
		m.applyEngine(e, knownBy)
	}
	if s != nil {
		m.acknowledge(s, h)
	}
	return m.output
}

// recordDirectEvidence records that a heartbeat of the instance arrived here.
func (m *Membership) recordDirectEvidence(r *record, from Source, h Heartbeat) {
	state := StateAlive
	if h.Leaving {
		state = StateLeaving
	}
	fresh := from.Incarnation > r.value.incarnation
	m.merge(r, from.DataCentre, h.Roles, spreadState{incarnation: from.Incarnation, sequence: h.Sequence, state: state}, -1)
	r.lastHeartbeat = m.now
	r.lastEvidence = m.now
	r.unlinked = false
	if h.Version > r.version || fresh {
		m.setVersion(r, h.Version, -1)
	}
	m.updateEffectiveState(r)
}

// markOwnStateKnown records that the partner knows its own state. A claim about the partner that it has not
// refuted yet remains pending for it.
func (m *Membership) markOwnStateKnown(s *partnerSlot, h Heartbeat) {
	r := s.record
	if r.value.sequence == h.Sequence && (r.value.state == StateAlive || r.value.state == StateLeaving) {
		r.instanceUpdate.markKnown(s.index)
	}
	if r.version == h.Version {
		r.versionUpdate.known.add(s.index)
	}
}

// slotFor returns the slot of the sender, or nil. It opens one for a sender that has chosen this instance.
func (m *Membership) slotFor(r *record, h Heartbeat) *partnerSlot {
	s := m.slotOf(r)
	if h.Purpose == PurposeProbe && !slices.Contains(m.replyTo, r.name) {
		m.replyTo = append(m.replyTo, r.name)
	}
	if s == nil && h.Purpose == PurposeChosen && r.effective != StateLeaving {
		s = m.openSlot(r)
	}
	if s != nil {
		s.chosenByPeer = h.Purpose == PurposeChosen
	}
	return s
}

func (m *Membership) applyRecords(records []Record, knownBy int) {
	for _, n := range records {
		v := spreadState{incarnation: n.Incarnation, sequence: n.Sequence, state: n.State}
		if !n.valid() {
			continue
		}
		if n.Name == m.self.name {
			m.refuteClaim(v, knownBy)
			continue
		}
		r := m.findOrAdd(n.Name)
		if r == nil {
			continue
		}
		m.merge(r, n.DataCentre, n.Roles, v, knownBy)
		m.updateEffectiveState(r)
	}
}

func (m *Membership) applyStates(notices []StateNotice, knownBy int) {
	for _, n := range notices {
		r, known := m.records[n.Name]
		if !known || uint16(r.value.incarnation) != n.Incarnation || n.State < StateAlive || n.State > StateLeaving {
			continue
		}
		v := spreadState{incarnation: r.value.incarnation, sequence: n.Sequence, state: n.State}
		if r == m.self {
			m.refuteClaim(v, knownBy)
			continue
		}
		m.merge(r, r.dataCentre, r.roles, v, knownBy)
		m.updateEffectiveState(r)
	}
}

// refuteClaim handles a state of this instance that was received from another one. It refutes a claim that is
// at least as recent as its own state, and reports a newer incarnation with a Superseded event.
func (m *Membership) refuteClaim(v spreadState, knownBy int) {
	own := &m.self.value
	switch {
	case v.incarnation > own.incarnation:
		if v.incarnation > m.superseded {
			m.superseded = v.incarnation
			m.emit(Superseded{Incarnation: v.incarnation})
		}
	case v == *own:
		if knownBy >= 0 {
			m.self.instanceUpdate.markKnown(knownBy)
		}
	case v.incarnation == own.incarnation && own.state != StateLeaving && v.sequence >= own.sequence:
		// Only the instance itself decides that it leaves, so a claim of StateLeaving is refuted too.
		own.sequence = v.sequence + 1
		m.markChanged(&m.self.instanceUpdate, -1)
	case knownBy >= 0:
		m.self.instanceUpdate.known.remove(knownBy) // The partner has an older state.
	}
}

// merge adopts a state that is newer than the known one, and otherwise updates which revision the partner
// knows.
func (m *Membership) merge(r *record, dataCentre string, roles []string, v spreadState, knownBy int) {
	switch {
	case v == r.value:
		if knownBy >= 0 {
			r.instanceUpdate.markKnown(knownBy)
		}
		return
	case !v.newer(r.value):
		if knownBy >= 0 {
			r.instanceUpdate.known.remove(knownBy) // The partner has an older state.
		}
		return
	}
	if v.incarnation > r.value.incarnation {
		m.resetIncarnation(r, dataCentre, roles)
	}
	refuted := v.incarnation == r.value.incarnation && r.value.state != StateAlive
	r.value = v
	switch v.state {
	case StateAlive:
		r.unlinked = refuted && m.now.Sub(r.lastHeartbeat) > SuspectAfter
		r.lastEvidence = m.now
		if s := m.slotOf(r); s != nil && r.unlinked {
			// The peer is alive but sends nothing here: it ended the exchange and its final heartbeats were
			// lost.
			s.chosenByPeer = false
		}
	case StateSuspected:
		r.suspectedAt = m.now
	case StateFailed:
		r.failedAt = m.now
	}
	m.markChanged(&r.instanceUpdate, knownBy)
}

// resetIncarnation resets the fields that belong to an earlier incarnation.
func (m *Membership) resetIncarnation(r *record, dataCentre string, roles []string) {
	r.lastHeartbeat = time.Time{}
	r.unlinked = false
	r.ackHigh = 0
	r.ackMask = 0
	r.roles = slices.Clone(roles)
	if dataCentre != "" && r.dataCentre != dataCentre {
		r.dataCentre = dataCentre
		m.reselect = true
	}
	r.instanceUpdate.incarnationKnown = slotSet{}
	r.version = 0
	m.drop(&r.versionUpdate)
	if s := m.slotOf(r); s != nil {
		s.unacknowledged = nil
		s.receivedAny = false
		s.openedAt = m.revision
		m.clearBits(s.index)
	}
}

// updateSuspicions turns silence into claims of suspicion or failure. Only partners are expected to send
// heartbeats; for other instances, a claim holds unless it is refuted.
func (m *Membership) updateSuspicions() {
	m.suspectCount = 0
	for _, r := range m.sorted {
		if r == m.self || r.value.incarnation == 0 {
			continue
		}
		if m.slotOf(r) != nil {
			m.checkSilence(r)
		}
		if r.value.state == StateSuspected && m.now.Sub(r.suspectedAt) >= remoteSuspicionTimeout && m.now.Sub(r.lastHeartbeat) > SuspectAfter {
			m.applyClaim(r, StateFailed)
		}
		if r.value.state == StateSuspected {
			m.suspectCount++
		}
		m.updateEffectiveState(r)
	}
}

// checkSilence claims that a partner is suspected or failed once it has been silent for long enough.
func (m *Membership) checkSilence(r *record) {
	factor := time.Duration(1)
	if r.unlinked {
		factor = unlinkedTimeoutFactor
	}
	silent := m.now.Sub(r.lastEvidence)
	switch {
	case silent >= factor*FailAfter:
		m.applyClaim(r, StateFailed)
	case silent >= factor*SuspectAfter:
		m.applyClaim(r, StateSuspected)
	}
}

// applyClaim applies a claim of this instance about another one, unless a stronger one is known.
func (m *Membership) applyClaim(r *record, s State) {
	v := r.value
	v.state = s
	if !v.newer(r.value) {
		return
	}
	m.merge(r, r.dataCentre, r.roles, v, -1)
}

// updateEffectiveState updates the state that this instance acts on. Its own direct evidence takes precedence
// over a claim by others, unless the instance is leaving.
func (m *Membership) updateEffectiveState(r *record) {
	state := r.value.state
	claimed := state == StateSuspected || state == StateFailed
	if claimed && !r.lastHeartbeat.IsZero() && m.now.Sub(r.lastHeartbeat) < SuspectAfter {
		state = StateAlive
	}
	if state == r.effective {
		return
	}
	wasReachable := r.reachable()
	r.effective = state
	if r.reachable() != wasReachable {
		m.reselect = true
	}
	if s := m.slotOf(r); s != nil && state == StateFailed {
		m.closeSlot(s) // A leaving partner is kept until it becomes silent, because it still needs updates.
	}
	m.emit(InstanceChanged{Instance: r.snapshot(m.slotOf(r) != nil)})
}

// applyVersion records the configuration version in force at an instance.
func (m *Membership) applyVersion(n VersionNotice, knownBy int) {
	r, known := m.records[n.Name]
	if !known || uint16(r.value.incarnation) != n.Incarnation {
		return
	}
	switch {
	case r == m.self || n.Version < r.version:
		if knownBy >= 0 && n.Version < r.version {
			r.versionUpdate.known.remove(knownBy)
		}
	case n.Version == r.version:
		if knownBy >= 0 {
			r.versionUpdate.known.add(knownBy)
		}
	default:
		m.setVersion(r, n.Version, knownBy)
	}
}

func (m *Membership) setVersion(r *record, version uint64, knownBy int) {
	if version == r.version {
		return
	}
	r.version = version
	m.markChanged(&r.versionUpdate, knownBy)
	m.emit(InstanceChanged{Instance: r.snapshot(m.slotOf(r) != nil)})
}

// applyEngine records that an incarnation of an engine is leaving.
func (m *Membership) applyEngine(n EngineNotice, knownBy int) {
	if n.Engine == "" || len(n.Engine) > maxNameBytes {
		return
	}
	u, known := m.leavingEngines[n.Engine]
	if !known {
		if len(m.leavingEngines) >= m.options.MaxEngines {
			m.evictEngine()
		}
		u = &update{class: classEngine, engine: n.Engine}
		m.leavingEngines[n.Engine] = u
	}
	switch {
	case known && n.Incarnation < u.number:
		if knownBy >= 0 {
			u.known.remove(knownBy)
		}
	case known && n.Incarnation == u.number:
		if knownBy >= 0 {
			u.known.add(knownBy)
		}
	default:
		u.number = n.Incarnation
		m.markChanged(u, knownBy)
		m.emit(EngineLeaving{Engine: n.Engine, Incarnation: n.Incarnation})
	}
}

// evictEngine removes the oldest notice. It is called when the table is full, that is, after thousands of
// engines have left since that notice.
func (m *Membership) evictEngine() {
	var oldest *update
	for _, u := range m.leavingEngines {
		if oldest == nil || u.revision < oldest.revision {
			oldest = u
		}
	}
	delete(m.leavingEngines, oldest.engine)
	m.drop(oldest)
}

// drop removes an update from the digest and from the list of updates.
func (m *Membership) drop(u *update) {
	if u.revision == 0 {
		return
	}
	m.digest ^= u.hash
	m.revision++
	u.hash = 0
	u.revision = 0
	if at := slices.Index(m.updates, u); at >= 0 {
		m.updates = slices.Delete(m.updates, at, at+1)
	}
}

func (m *Membership) applyHint(h Hint) {
	if h.Name == m.self.name {
		return
	}
	r := m.findOrAdd(h.Name)
	if r == nil {
		return
	}
	if r.dataCentre == "" {
		r.dataCentre = h.DataCentre
	}
	if h.Leaving && r.value.state == StateAlive && m.now.Sub(r.lastEvidence) >= SuspectAfter && m.slotOf(r) != nil {
		m.applyClaim(r, StateSuspected)
		m.updateEffectiveState(r)
	}
}

// findOrAdd returns the record of a name and adds one if necessary. It returns nil when the table is full.
func (m *Membership) findOrAdd(name string) *record {
	if r, known := m.records[name]; known {
		return r
	}
	if len(m.records) >= m.options.MaxRecords && !m.evictInstance() {
		return nil
	}
	return m.add(name)
}

func (m *Membership) add(name string) *record {
	r := &record{name: name}
	r.instanceUpdate = update{class: classInstance, record: r}
	r.versionUpdate = update{class: classVersion, record: r}
	m.records[name] = r
	at, _ := slices.BinarySearchFunc(m.sorted, r, byName)
	m.sorted = slices.Insert(m.sorted, at, r)
	return r
}

// evictInstance removes the instance that failed or left longest ago. It returns false when there is none.
func (m *Membership) evictInstance() bool {
	var oldest *record
	for _, r := range m.sorted {
		evictable := r.effective == StateFailed || r.effective == StateLeaving
		if evictable && r != m.self && (oldest == nil || r.instanceUpdate.revision < oldest.instanceUpdate.revision) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	m.drop(&oldest.instanceUpdate)
	m.drop(&oldest.versionUpdate)
	delete(m.records, oldest.name)
	at, _ := slices.BinarySearchFunc(m.sorted, oldest, byName)
	m.sorted = slices.Delete(m.sorted, at, at+1)
	return true
}
