package consensus

import (
	"fmt"
	"slices"
)

// maxTerm and maxIndex are higher than any log reaches, and low enough that arithmetic cannot overflow.
const (
	maxTerm  = 1 << 62
	maxIndex = 1 << 62
)

// checkMessage returns an error for messages that are not addressed to this replica, that come from an
// unknown replica, or that no correct replica sends. It changes no state.
func (n *Node) checkMessage(m *Message) error {
	if err := n.checkAddress(m); err != nil {
		return err
	}
	if err := checkFields(m); err != nil {
		return err
	}
	if err := n.checkSender(m); err != nil {
		return err
	}
	return n.checkContent(m)
}

// checkAddress checks the destination and the validity of the sender's ID.
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

// invalidMessage returns an *InvalidMessageError with the formatted detail.
func invalidMessage(m *Message, format string, values ...any) error {
	return &InvalidMessageError{From: m.From, Kind: m.Kind, Detail: fmt.Sprintf(format, values...)}
}

// checkFields checks the fields of a message, independently of the state of the receiver.
func checkFields(m *Message) error {
	if m.Kind == 0 || int(m.Kind) >= len(kindNames) {
		return invalidMessage(m, "unknown kind %d", m.Kind)
	}
	termOptional := m.Kind == KindBootstrap || m.Kind == KindBootstrapReply || m.Kind == KindJoin || m.Kind == KindMembers
	if m.Term > maxTerm || m.Term == 0 && !termOptional {
		return invalidMessage(m, "term %d is out of range", m.Term)
	}
	if m.Index > maxIndex || m.LogTerm > m.Term {
		return invalidMessage(m, "entry %d of term %d in a message of term %d", m.Index, m.LogTerm, m.Term)
	}
	if m.Kind == KindSnapshot {
		return checkSnapshot(m)
	}
	if m.Kind == KindAppend {
		return checkEntries(m)
	}
	if m.Kind == KindMembers && (len(m.Instances) > maxDiscovered || slices.Contains(m.Instances, "")) {
		return invalidMessage(m, "%d instances, or one without a name", len(m.Instances))
	}
	if m.Kind == KindAppendReply && m.Reject && (m.Index == 0 || m.Hint > m.Index) {
		return invalidMessage(m, "rejected entry %d with hint %d", m.Index, m.Hint)
	}
	return nil
}

// checkSnapshot checks the snapshot of a KindSnapshot message.
func checkSnapshot(m *Message) error {
	s := m.Snapshot
	if s == nil || s.Index == 0 || s.Index > maxIndex || s.Term == 0 || s.Term > m.Term || s.Configuration.IsEmpty() {
		return invalidMessage(m, "snapshot is incomplete or has a later term")
	}
	return nil
}

// checkEntries checks that the entries of a KindAppend message are consecutive and that their terms do not
// decrease.
func checkEntries(m *Message) error {
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term == 0 || e.Term > m.Term {
			return invalidMessage(m, "entry %d of term %d at position %d after entry %d of term %d",
				e.Index, e.Term, i, m.Index, term)
		}
		if e.Kind == EntryConfiguration && (e.Configuration == nil || e.Configuration.IsEmpty()) {
			return invalidMessage(m, "configuration in entry %d has no voters", e.Index)
		}
		term = e.Term
	}
	return nil
}

// checkSender checks whether the sender may send this kind of message.
func (n *Node) checkSender(m *Message) error {
	configuration := n.log.configuration().configuration
	newest, known := configuration.Newest(m.From.Instance)
	// The reply to these requests contains the newer incarnation; see replyIfSuperseded.
	isRequest := m.Kind == KindJoin || m.Kind == KindBootstrap
	if known && newest.Incarnation > m.From.Incarnation && !isRequest {
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
		return nil // stepJoin checks which instances may join.
	case KindMembers:
		return n.checkMembers(m)
	}
	if err := n.checkLog(m); err != nil {
		return err
	}
	if configuration.IsEmpty() || configuration.Contains(m.From) {
		return nil
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		// A voter that this replica does not know yet holds the entry that added it, so its log is longer.
		if n.log.upToDate(m.Index, m.LogTerm) && !n.log.matches(m.Index, m.LogTerm) {
			return nil
		}
	case KindAppend, KindHeartbeat, KindSnapshot:
		// A leader that this replica does not know yet has won the votes of a quorum in its term.
		if m.Term > n.hardState.Term || m.Term == n.hardState.Term && (n.leader.IsZero() || n.leader == m.From) {
			return nil
		}
	}
	return unknown
}

// checkMembers returns an error for the members of another log than that of this replica.
func (n *Node) checkMembers(m *Message) error {
	if own := n.hardState.Log; !own.IsZero() && m.Log != own {
		return &LogMismatchError{From: m.From, Log: m.Log, Own: own}
	}
	return nil
}

// checkLog returns an error for messages of another log. A replica without a log adopts the log of the
// first leader that sends it a message, but votes only in a log whose bootstrap request it has accepted.
func (n *Node) checkLog(m *Message) error {
	fromLeader := m.Kind == KindAppend || m.Kind == KindHeartbeat || m.Kind == KindSnapshot
	if n.hardState.Log.IsZero() && fromLeader && !m.Log.IsZero() {
		return nil
	}
	if m.Log.IsZero() || m.Log != n.hardState.Log {
		return &LogMismatchError{From: m.From, Log: m.Log, Own: n.hardState.Log}
	}
	return nil
}

// checkContent checks terms and indexes against the state of this replica.
func (n *Node) checkContent(m *Message) error {
	switch m.Kind {
	case KindBootstrapReply:
		if !m.Reject && m.Log != n.self || m.Reject && m.Log.IsZero() {
			return invalidMessage(m, "bootstrap reply for log %s", m.Log)
		}
	case KindAppend, KindHeartbeat, KindSnapshot:
		return n.checkFromLeader(m)
	case KindAppendReply, KindHeartbeatReply:
		if n.role != Leader || m.Term != n.hardState.Term {
			return nil
		}
		// Only a heartbeat reply may contain an index beyond this leader's log. Accepted entries and echoed
		// values come from this leader.
		accepted := m.Kind == KindAppendReply && !m.Reject
		if accepted && m.Index > n.log.last() {
			return invalidMessage(m, "accepts entry %d, but the last entry is %d", m.Index, n.log.last())
		}
		if m.Round > n.readRound || m.Tick > n.ticks {
			return invalidMessage(m, "read round %d or tick %d was not sent yet", m.Round, m.Tick)
		}
	}
	return nil
}

// checkFromLeader checks a message of a leader against the term and the committed entries of this replica.
func (n *Node) checkFromLeader(m *Message) error {
	if m.Term < n.hardState.Term {
		return nil // The reply has no effect on this replica.
	}
	if m.Term == n.hardState.Term && (n.role == Leader || !n.leader.IsZero() && n.leader != m.From) {
		return invalidMessage(m, "the leader of term %d is %s", m.Term, n.leader)
	}
	if m.Kind == KindHeartbeat && m.Commit > n.log.last() {
		return invalidMessage(m, "commits entry %d, but the last entry is %d", m.Commit, n.log.last())
	}
	if m.Kind != KindAppend {
		return nil
	}
	if m.Index >= n.log.base && m.Index <= n.log.commit && !n.log.matches(m.Index, m.LogTerm) {
		return invalidMessage(m, "entry %d of term %d contradicts a committed entry", m.Index, m.LogTerm)
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		return nil // The append is rejected with a hint.
	}
	if conflict := n.log.firstConflict(m.Entries); conflict != 0 && conflict <= n.log.commit {
		return invalidMessage(m, "entry %d contradicts a committed entry", conflict)
	}
	return nil
}
