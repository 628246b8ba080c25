package membership

import "time"

// probeDuration is how long a failed instance is probed. After that it has to contact the others itself.
const probeDuration = time.Hour

// sendHeartbeats sends a heartbeat to every partner, replies to probes, and probes missing instances.
func (m *Membership) sendHeartbeats() {
	pending := m.collectPending()
	m.eachSlot(func(s *partnerSlot) {
		m.expireUnacknowledged(s)
		h := m.heartbeat(s)
		m.addUpdates(s, &h, pending)
		m.send(s.record.name, h)
	})
	m.updatesPending = m.updatesPending && !pending.empty()
	m.sendProbeReplies()
	m.sendProbes()
}

// sendUpdates sends additional heartbeats between two rounds to partners that lack an update.
func (m *Membership) sendUpdates() {
	m.sendProbeReplies()
	if !m.updatesPending {
		return
	}
	pending := m.collectPending()
	m.updatesPending = !pending.empty()
	if pending.empty() {
		return
	}
	m.eachSlot(func(s *partnerSlot) {
		h := m.heartbeat(s)
		if m.addUpdates(s, &h, pending) {
			m.send(s.record.name, h)
		}
	})
}

// eachSlot starts with another slot at each tick, so that the byte budget does not always favour the same
// partners.
func (m *Membership) eachSlot(visit func(s *partnerSlot)) {
	for n := range m.slots {
		if s := m.slots[(n+int(m.tick))%maxSlots]; s != nil {
			visit(s)
		}
	}
}

func (m *Membership) heartbeat(s *partnerSlot) Heartbeat {
	h := m.emptyHeartbeat(PurposeReply)
	if s.chosen {
		h.Purpose = PurposeChosen
	}
	h.Number = s.record.lastSent + 1
	h.AckHigh = s.record.ackHigh
	h.AckMask = s.record.ackMask
	return h
}

// emptyHeartbeat returns a heartbeat without a number, acknowledgement or updates.
func (m *Membership) emptyHeartbeat(p Purpose) Heartbeat {
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
		m.records[to].lastSent = h.Number
	}
	m.output.Messages = append(m.output.Messages, Outgoing{To: to, Heartbeat: h})
}

// sendProbeReplies replies to probes. A reply carries the claim about the probing instance, so that it can
// refute it.
func (m *Membership) sendProbeReplies() {
	for _, name := range m.replyTo {
		r, known := m.records[name]
		if !known || m.slotOf(r) != nil {
			continue
		}
		h := m.emptyHeartbeat(PurposeReply)
		h.Records = append(h.Records, r.notice())
		m.send(name, h)
	}
	m.replyTo = m.replyTo[:0]
}

// sendProbes probes a few instances in turn that were never heard from or have failed. Without probes, two data
// centres that have declared each other failed would never reconnect.
func (m *Membership) sendProbes() {
	if m.self.value.state == StateLeaving || len(m.sorted) == 0 {
		return
	}
	sent := 0
	for range m.sorted {
		m.lastProbed = (m.lastProbed + 1) % len(m.sorted)
		r := m.sorted[m.lastProbed]
		probed := r.effective == StateFailed && m.now.Sub(r.failedAt) < probeDuration
		if !probed && r.effective != StateUnknown {
			continue
		}
		h := m.emptyHeartbeat(PurposeProbe)
		if r.value.incarnation != 0 {
			h.Records = append(h.Records, r.notice())
		}
		m.send(r.name, h)
		if sent++; sent == probesPerRound {
			return
		}
	}
}
