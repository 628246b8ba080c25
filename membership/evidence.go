package membership

import (
	"slices"
	"time"
)

// Receive takes a heartbeat.
func (m *Membership) Receive(now time.Time, from Source, h Heartbeat) Output {
	m.begin(now)
	if from.Name == m.self.name {
		return m.out
	}
	r := m.find(from.Name)
	if r == nil || from.Incarnation < r.value.incarnation {
		return m.out // The table is full, or an earlier incarnation speaks.
	}
	m.hear(r, from, h)
	s := m.slotFor(r, h)
	knownBy := -1
	if s != nil {
		knownBy = s.index
		s.heard = true
		s.heardAt = now
		r.noteReceived(h.Number)
		m.noteOwn(s, h)
	}
	m.learnRecords(h.Records, knownBy)
	m.learnStates(h.States, knownBy)
	for _, v := range h.Versions {
		m.learnVersion(v, knownBy)
	}
	for _, e := range h.Engines {
		m.learnEngine(e, knownBy)
	}
	if s != nil {
		m.acknowledge(s, h)
	}
	return m.out
}

// hear notes direct evidence.
func (m *Membership) hear(r *record, from Source, h Heartbeat) {
	state := StateAlive
	if h.Leaving {
		state = StateLeaving
	}
	fresh := from.Incarnation > r.value.incarnation
	m.merge(r, from.DataCentre, h.Roles, value{incarnation: from.Incarnation, sequence: h.Sequence, state: state}, -1)
	r.heard = m.now
	r.evidence = m.now
	r.outOfLink = false
	if h.Version > r.version || fresh {
		m.setVersion(r, h.Version, -1)
	}
	m.reconsider(r)
}

// noteOwn notes that the partner knows what it says of itself. A claim against it that it has not
// refuted yet remains to be sent to it.
func (m *Membership) noteOwn(s *slot, h Heartbeat) {
	r := s.record
	if r.value.sequence == h.Sequence && (r.value.state == StateAlive || r.value.state == StateLeaving) {
		r.instanceItem.knownTo(s.index)
	}
	if r.version == h.Version {
		r.versionItem.known.add(s.index)
	}
}

// slotFor returns the slot of the sender. A sender that has chosen this instance gets one.
func (m *Membership) slotFor(r *record, h Heartbeat) *slot {
	s := m.slotOf(r)
	if h.Purpose == PurposeProbe && !slices.Contains(m.answers, r.name) {
		m.answers = append(m.answers, r.name)
	}
	if s == nil && h.Purpose == PurposeChosen && r.effective != StateLeaving {
		s = m.openSlot(r)
	}
	if s != nil {
		s.choosing = h.Purpose == PurposeChosen
	}
	return s
}

func (m *Membership) learnRecords(records []Record, knownBy int) {
	for _, n := range records {
		v := value{incarnation: n.Incarnation, sequence: n.Sequence, state: n.State}
		if !n.valid() {
			continue
		}
		if n.Name == m.self.name {
			m.learnSelf(v, knownBy)
			continue
		}
		r := m.find(n.Name)
		if r == nil {
			continue
		}
		m.merge(r, n.DataCentre, n.Roles, v, knownBy)
		m.reconsider(r)
	}
}

func (m *Membership) learnStates(notices []StateNotice, knownBy int) {
	for _, n := range notices {
		r, known := m.records[n.Name]
		if !known || uint16(r.value.incarnation) != n.Incarnation || n.State < StateAlive || n.State > StateLeaving {
			continue
		}
		v := value{incarnation: r.value.incarnation, sequence: n.Sequence, state: n.State}
		if r == m.self {
			m.learnSelf(v, knownBy)
			continue
		}
		m.merge(r, r.dataCentre, r.roles, v, knownBy)
		m.reconsider(r)
	}
}

// learnSelf refutes claims that this instance is not alive.
func (m *Membership) learnSelf(v value, knownBy int) {
	own := &m.self.value
	switch {
	case v.incarnation > own.incarnation:
		if v.incarnation > m.superseded {
			m.superseded = v.incarnation
			m.emit(Superseded{Incarnation: v.incarnation})
		}
	case v == *own:
		if knownBy >= 0 {
			m.self.instanceItem.knownTo(knownBy)
		}
	case v.incarnation == own.incarnation && own.state != StateLeaving && v.sequence >= own.sequence:
		// The instance itself alone decides about its leave, hence also against a claim of leaving.
		own.sequence = v.sequence + 1
		m.changed(&m.self.instanceItem, -1)
	case knownBy >= 0:
		m.self.instanceItem.known.remove(knownBy) // The partner is behind.
	}
}

// merge takes a value when it is newer, and otherwise notes what the partner knows.
func (m *Membership) merge(r *record, dataCentre string, roles []string, v value, knownBy int) {
	switch {
	case v == r.value:
		if knownBy >= 0 {
			r.instanceItem.knownTo(knownBy)
		}
		return
	case !v.newer(r.value):
		if knownBy >= 0 {
			r.instanceItem.known.remove(knownBy) // The partner is behind.
		}
		return
	}
	if v.incarnation > r.value.incarnation {
		m.begun(r, dataCentre, roles)
	}
	refuted := v.incarnation == r.value.incarnation && r.value.state != StateAlive
	r.value = v
	switch v.state {
	case StateAlive:
		r.outOfLink = refuted && m.now.Sub(r.heard) > SuspectAfter
		r.evidence = m.now
		if s := m.slotOf(r); s != nil && r.outOfLink {
			s.choosing = false // It lives and is silent here, so it has ended the exchange and the farewell was lost.
		}
	case StateSuspected:
		r.accused = m.now
	case StateFailed:
		r.failed = m.now
	}
	m.changed(&r.instanceItem, knownBy)
}

// begun resets what belongs to an earlier incarnation.
func (m *Membership) begun(r *record, dataCentre string, roles []string) {
	r.heard = time.Time{}
	r.outOfLink = false
	r.ackHigh = 0
	r.ackMask = 0
	r.roles = slices.Clone(roles)
	if dataCentre != "" && r.dataCentre != dataCentre {
		r.dataCentre = dataCentre
		m.reselect = true
	}
	r.instanceItem.base = slotSet{}
	r.version = 0
	m.drop(&r.versionItem)
	if s := m.slotOf(r); s != nil {
		s.flight = nil
		s.heard = false
		s.since = m.revision
		m.clearBits(s.index)
	}
}

// judge raises silence into claims. Only partners owe heartbeats; of others, a claim that nobody refutes stands.
func (m *Membership) judge() {
	m.suspects = 0
	for _, r := range m.sorted {
		if r == m.self || r.value.incarnation == 0 {
			continue
		}
		if m.slotOf(r) != nil {
			m.judgePartner(r)
		}
		if r.value.state == StateSuspected && m.now.Sub(r.accused) >= rumourFails && m.now.Sub(r.heard) > SuspectAfter {
			m.claim(r, StateFailed)
		}
		if r.value.state == StateSuspected {
			m.suspects++
		}
		m.reconsider(r)
	}
}

func (m *Membership) judgePartner(r *record) {
	slack := time.Duration(1)
	if r.outOfLink {
		slack = unlinkedSlack
	}
	silent := m.now.Sub(r.evidence)
	switch {
	case silent >= slack*FailAfter:
		m.claim(r, StateFailed)
	case silent >= slack*SuspectAfter:
		m.claim(r, StateSuspected)
	}
}

func (m *Membership) claim(r *record, s State) {
	v := r.value
	v.state = s
	if !v.newer(r.value) {
		return
	}
	m.merge(r, r.dataCentre, r.roles, v, -1)
}

// reconsider updates the state that this instance acts on: its own direct evidence counts more
// than a claim by others, unless the instance is leaving.
func (m *Membership) reconsider(r *record) {
	state := r.value.state
	claimed := state == StateSuspected || state == StateFailed
	if claimed && !r.heard.IsZero() && m.now.Sub(r.heard) < SuspectAfter {
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
		m.closeSlot(s) // A leaving partner is kept until it falls silent: it still needs to hear others.
	}
	m.emit(InstanceChanged{Instance: r.snapshot(m.slotOf(r) != nil)})
}

func (m *Membership) learnVersion(n VersionNotice, knownBy int) {
	r, known := m.records[n.Name]
	if !known || uint16(r.value.incarnation) != n.Incarnation {
		return
	}
	switch {
	case r == m.self || n.Version < r.version:
		if knownBy >= 0 && n.Version < r.version {
			r.versionItem.known.remove(knownBy)
		}
	case n.Version == r.version:
		if knownBy >= 0 {
			r.versionItem.known.add(knownBy)
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
	m.changed(&r.versionItem, knownBy)
	m.emit(InstanceChanged{Instance: r.snapshot(m.slotOf(r) != nil)})
}

func (m *Membership) learnEngine(n EngineNotice, knownBy int) {
	if n.Engine == "" || len(n.Engine) > maxNameBytes {
		return
	}
	i, known := m.engines[n.Engine]
	if !known {
		if len(m.engines) >= m.o.MaxEngines {
			m.forgetEngine()
		}
		i = &item{class: classEngine, engine: n.Engine}
		m.engines[n.Engine] = i
	}
	switch {
	case known && n.Incarnation < i.number:
		if knownBy >= 0 {
			i.known.remove(knownBy)
		}
	case known && n.Incarnation == i.number:
		if knownBy >= 0 {
			i.known.add(knownBy)
		}
	default:
		i.number = n.Incarnation
		m.changed(i, knownBy)
		m.emit(EngineLeaving{Engine: n.Engine, Incarnation: n.Incarnation})
	}
}

// forgetEngine drops the oldest notice; thousands of engines have left since.
func (m *Membership) forgetEngine() {
	var oldest *item
	for _, i := range m.engines {
		if oldest == nil || i.revision < oldest.revision {
			oldest = i
		}
	}
	delete(m.engines, oldest.engine)
	m.drop(oldest)
}

func (m *Membership) drop(i *item) {
	if i.revision == 0 {
		return
	}
	m.digest ^= i.hash
	m.revision++
	i.hash = 0
	i.revision = 0
	if at := slices.Index(m.items, i); at >= 0 {
		m.items = slices.Delete(m.items, at, at+1)
	}
}

func (m *Membership) hint(h Hint) {
	if h.Name == m.self.name {
		return
	}
	r := m.find(h.Name)
	if r == nil {
		return
	}
	if r.dataCentre == "" {
		r.dataCentre = h.DataCentre
	}
	if h.Leaving && r.value.state == StateAlive && m.now.Sub(r.evidence) >= SuspectAfter && m.slotOf(r) != nil {
		m.claim(r, StateSuspected)
		m.reconsider(r)
	}
}

// find returns the record of a name, adding one when there is room; nil otherwise.
func (m *Membership) find(name string) *record {
	if r, known := m.records[name]; known {
		return r
	}
	if len(m.records) >= m.o.MaxRecords && !m.forgetInstance() {
		return nil
	}
	return m.add(name)
}

func (m *Membership) add(name string) *record {
	r := &record{name: name}
	r.instanceItem = item{class: classInstance, record: r}
	r.versionItem = item{class: classVersion, record: r}
	m.records[name] = r
	at, _ := slices.BinarySearchFunc(m.sorted, r, byName)
	m.sorted = slices.Insert(m.sorted, at, r)
	return r
}

// forgetInstance drops the instance that failed or left longest ago.
func (m *Membership) forgetInstance() bool {
	var oldest *record
	for _, r := range m.sorted {
		gone := r.effective == StateFailed || r.effective == StateLeaving
		if gone && r != m.self && (oldest == nil || r.instanceItem.revision < oldest.instanceItem.revision) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	m.drop(&oldest.instanceItem)
	m.drop(&oldest.versionItem)
	delete(m.records, oldest.name)
	at, _ := slices.BinarySearchFunc(m.sorted, oldest, byName)
	m.sorted = slices.Delete(m.sorted, at, at+1)
	return true
}
