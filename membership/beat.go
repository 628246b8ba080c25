package membership

import "time"

// probeFor is how long a failed instance is looked for; after it, it has to make itself heard.
const probeFor = time.Hour

// sendBeat sends a heartbeat to every partner, and probes.
func (m *Membership) sendBeat() {
	n := m.pending()
	m.eachSlot(func(s *slot) {
		m.expire(s)
		h := m.heartbeat(s)
		m.fill(s, &h, n)
		m.send(s.record.name, h)
	})
	m.waiting = m.waiting && !n.empty()
	m.sendAnswers()
	m.probe()
}

// sendNews sends heartbeats between beats to partners that lack something.
func (m *Membership) sendNews() {
	m.sendAnswers()
	if !m.waiting {
		return
	}
	n := m.pending()
	m.waiting = !n.empty()
	if n.empty() {
		return
	}
	m.eachSlot(func(s *slot) {
		h := m.heartbeat(s)
		if m.fill(s, &h, n) {
			m.send(s.record.name, h)
		}
	})
}

// eachSlot starts with another partner at each tick, so that the budget does not always favour the same ones.
func (m *Membership) eachSlot(visit func(s *slot)) {
	for n := range m.slots {
		if s := m.slots[(n+int(m.tick))%maxSlots]; s != nil {
			visit(s)
		}
	}
}

func (m *Membership) heartbeat(s *slot) Heartbeat {
	h := m.bare(PurposeReply)
	if s.chosen {
		h.Purpose = PurposeChosen
	}
	h.Number = s.record.numberSent + 1
	h.AckHigh = s.record.ackHigh
	h.AckMask = s.record.ackMask
	return h
}

func (m *Membership) bare(p Purpose) Heartbeat {
	return Heartbeat{
		Purpose:  p,
		Digest:   m.digest,
		Sequence: m.self.value.sequence,
		Leaving:  m.self.value.state == StateLeaving,
		Version:  m.self.version,
		Roles:    m.self.roles,
	}
}

func (m *Membership) send(to string, h Heartbeat) {
	if h.Number != 0 {
		m.records[to].numberSent = h.Number
	}
	m.out.Messages = append(m.out.Messages, Outgoing{To: to, Heartbeat: h})
}

// sendAnswers answers probes. An answer carries what is claimed of the other side, so that it can refute it.
func (m *Membership) sendAnswers() {
	for _, name := range m.answers {
		r, known := m.records[name]
		if !known || m.slotOf(r) != nil {
			continue
		}
		h := m.bare(PurposeReply)
		h.Records = append(h.Records, r.notice())
		m.send(name, h)
	}
	m.answers = m.answers[:0]
}

// probe looks for a few instances that were never heard of or that have failed, in turn. Without it, two
// data centres that have declared each other failed would never meet again.
func (m *Membership) probe() {
	if m.self.value.state == StateLeaving || len(m.sorted) == 0 {
		return
	}
	sent := 0
	for range m.sorted {
		m.probeAt = (m.probeAt + 1) % len(m.sorted)
		r := m.sorted[m.probeAt]
		lost := r.effective == StateFailed && m.now.Sub(r.failed) < probeFor
		if !lost && r.effective != StateUnknown {
			continue
		}
		h := m.bare(PurposeProbe)
		if r.value.incarnation != 0 {
			h.Records = append(h.Records, r.notice())
		}
		m.send(r.name, h)
		if sent++; sent == probesPerBeat {
			return
		}
	}
}
