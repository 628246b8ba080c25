package consensus

import (
	"fmt"
	"slices"
)

// maxTerm and maxIndex are beyond what any log reaches and keep arithmetic from overflowing.
const (
	maxTerm  = 1 << 62
	maxIndex = 1 << 62
)

// check refuses messages that are not for this replica, that come from an unknown one, or that no
// correct replica sends. It changes nothing.
func (n *Node) check(m *Message) error {
	if err := n.checkAddress(m); err != nil {
		return err
	}
	if err := checkShape(m); err != nil {
		return err
	}
	if err := n.checkSender(m); err != nil {
		return err
	}
	return n.checkContent(m)
}

func (n *Node) checkAddress(m *Message) error {
	anyIncarnation := m.To.Incarnation == 0 && (m.Kind == KindBootstrap || m.Kind == KindJoin)
	if m.To.Instance != n.self.Instance || m.To != n.self && !anyIncarnation {
		return &MisdirectedError{To: m.To, Self: n.self}
	}
	if m.From.Instance == "" || m.From.Incarnation == 0 || m.From.Instance == n.self.Instance {
		return &UnknownSenderError{From: m.From, Kind: m.Kind}
	}
	return nil
}

func impossible(m *Message, format string, values ...any) error {
	return &InvalidMessageError{From: m.From, Kind: m.Kind, Detail: fmt.Sprintf(format, values...)}
}

// checkShape checks what holds for a message whatever the state of the receiver.
func checkShape(m *Message) error {
	if m.Kind == 0 || int(m.Kind) >= len(kindNames) {
		return impossible(m, "kind %d", m.Kind)
	}
	early := m.Kind == KindBootstrap || m.Kind == KindBootstrapReply || m.Kind == KindJoin
	if m.Term > maxTerm || m.Term == 0 && !early {
		return impossible(m, "term %d", m.Term)
	}
	if m.Index > maxIndex || m.LogTerm > m.Term {
		return impossible(m, "entry %d of term %d in term %d", m.Index, m.LogTerm, m.Term)
	}
	if m.Kind == KindSnapshot {
		return checkSnapshot(m)
	}
	if m.Kind == KindAppend {
		return checkEntries(m)
	}
	if m.Kind == KindAppendReply && m.Reject && (m.Index == 0 || m.Hint > m.Index) {
		return impossible(m, "refused entry %d with hint %d", m.Index, m.Hint)
	}
	return nil
}

func checkSnapshot(m *Message) error {
	s := m.Snapshot
	if s == nil || s.Index == 0 || s.Index > maxIndex || s.Term == 0 || s.Term > m.Term || s.Configuration.IsEmpty() {
		return impossible(m, "incomplete snapshot, or one of a later term")
	}
	return nil
}

func checkEntries(m *Message) error {
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term == 0 || e.Term > m.Term {
			return impossible(m, "entry %d of term %d at place %d after entry %d of term %d", e.Index, e.Term, i, m.Index, term)
		}
		if e.Kind == EntryConfiguration && (e.Configuration == nil || e.Configuration.IsEmpty()) {
			return impossible(m, "entry %d has no voters", e.Index)
		}
		term = e.Term
	}
	return nil
}

// checkSender decides whether the sender may send this kind of message.
func (n *Node) checkSender(m *Message) error {
	configuration := n.log.configuration().configuration
	newest, known := configuration.Newest(m.From.Instance)
	asks := m.Kind == KindJoin || m.Kind == KindBootstrap // Answered with the newer incarnation.
	if known && newest.Incarnation > m.From.Incarnation && !asks {
		return &StaleIdentityError{From: m.From, Newest: newest}
	}
	unknown := &UnknownSenderError{From: m.From, Kind: m.Kind}
	switch m.Kind {
	case KindBootstrap:
		if !known && !slices.Contains(n.options.InitialVoters, m.From.Instance) {
			return unknown
		}
		return nil
	case KindBootstrapReply:
		if !slices.Contains(n.peers(), m.From.Instance) {
			return unknown
		}
		return nil
	case KindJoin:
		return nil // stepJoin knows which instances may join.
	}
	if err := n.checkLog(m); err != nil {
		return err
	}
	if configuration.IsEmpty() || configuration.Contains(m.From) {
		return nil
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		// A voter that this replica does not know yet has the entry that added it, hence a longer log.
		if n.log.upToDate(m.Index, m.LogTerm) && !n.log.matches(m.Index, m.LogTerm) {
			return nil
		}
	case KindAppend, KindHeartbeat, KindSnapshot:
		// The same holds for a leader: it proved its membership to a quorum in its term.
		if m.Term > n.hard.Term || m.Term == n.hard.Term && (n.leader.IsZero() || n.leader == m.From) {
			return nil
		}
	}
	return unknown
}

// checkLog refuses messages of another log. A replica without a log adopts that of the first leader
// that serves it, but votes only in a log that it has pledged to belong to.
func (n *Node) checkLog(m *Message) error {
	adopts := m.Kind == KindAppend || m.Kind == KindHeartbeat || m.Kind == KindSnapshot
	if n.hard.Log.IsZero() && adopts && !m.Log.IsZero() {
		return nil
	}
	if m.Log.IsZero() || m.Log != n.hard.Log {
		return &LogMismatchError{From: m.From, Log: m.Log, Own: n.hard.Log}
	}
	return nil
}

// checkContent checks terms and indexes against the state of this replica.
func (n *Node) checkContent(m *Message) error {
	switch m.Kind {
	case KindBootstrapReply:
		if !m.Reject && m.Log != n.self || m.Reject && m.Log.IsZero() {
			return impossible(m, "pledge to %s", m.Log)
		}
	case KindAppend, KindHeartbeat, KindSnapshot:
		return n.checkFromLeader(m)
	case KindAppendReply, KindHeartbeatReply:
		if n.role != Leader || m.Term != n.hard.Term {
			return nil
		}
		// The reply may hold entries that the follower has beyond this leader's log only in a
		// heartbeat reply; accepted entries and echoes come from this leader.
		accepted := m.Kind == KindAppendReply && !m.Reject
		if accepted && m.Index > n.log.last() {
			return impossible(m, "accepted entry %d, the last one is %d", m.Index, n.log.last())
		}
		if m.Round > n.round || m.Tick > n.ticks {
			return impossible(m, "round %d and tick %d were not sent yet", m.Round, m.Tick)
		}
	}
	return nil
}

func (n *Node) checkFromLeader(m *Message) error {
	if m.Term < n.hard.Term {
		return nil // Answered without any effect.
	}
	if m.Term == n.hard.Term && (n.role == Leader || !n.leader.IsZero() && n.leader != m.From) {
		return impossible(m, "term %d is led by %s", m.Term, n.leader)
	}
	if m.Kind == KindHeartbeat && m.Commit > n.log.last() {
		return impossible(m, "commits entry %d, the last one is %d", m.Commit, n.log.last())
	}
	if m.Kind != KindAppend {
		return nil
	}
	if m.Index >= n.log.base && m.Index <= n.log.commit && !n.log.matches(m.Index, m.LogTerm) {
		return impossible(m, "entry %d of term %d contradicts a committed entry", m.Index, m.LogTerm)
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		return nil // Refused with a hint.
	}
	if conflict := n.log.firstConflict(m.Entries); conflict != 0 && conflict <= n.log.commit {
		return impossible(m, "entry %d contradicts a committed entry", conflict)
	}
	return nil
}
