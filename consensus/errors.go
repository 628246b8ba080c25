package consensus

import "fmt"

// MisdirectedError reports a message that is addressed to another replica or to another incarnation of this
// one.
type MisdirectedError struct{ To, Self ID }

func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("consensus: message for %s was delivered to %s", e.To, e.Self)
}

// UnknownSenderError reports a message from a replica that is not a member of the configuration.
type UnknownSenderError struct {
	From ID
	Kind Kind
}

func (e *UnknownSenderError) Error() string {
	return fmt.Sprintf("consensus: %s message from unknown replica %s", e.Kind, e.From)
}

// StaleIdentityError reports a message from an incarnation that a newer incarnation of the same instance has
// replaced.
type StaleIdentityError struct{ From, Newest ID }

func (e *StaleIdentityError) Error() string {
	return fmt.Sprintf("consensus: message from %s, which was replaced by %s", e.From, e.Newest)
}

// LogMismatchError reports a message that belongs to another log.
type LogMismatchError struct{ From, Log, Own ID }

func (e *LogMismatchError) Error() string {
	return fmt.Sprintf("consensus: message from %s for log %s, but this replica belongs to log %s",
		e.From, e.Log, e.Own)
}

// InvalidMessageError reports a message with terms, indexes or other content that no correct replica sends.
type InvalidMessageError struct {
	From   ID
	Kind   Kind
	Detail string
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("consensus: invalid %s message from %s: %s", e.Kind, e.From, e.Detail)
}

// NotLeaderError reports a call that only the leader can serve. Leader is the zero ID when no leader is
// known.
type NotLeaderError struct{ Leader ID }

func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "consensus: not the leader; no leader is known"
	}
	return fmt.Sprintf("consensus: not the leader; the leader is %s", e.Leader)
}

// OverloadedError reports a proposal or read that was rejected because the limit on pending ones is reached.
type OverloadedError struct {
	Resource string // what is limited, in the plural
	Limit    int
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("consensus: limit of %d %s reached", e.Limit, e.Resource)
}

// TooLargeError reports a command that exceeds the size limit of one entry.
type TooLargeError struct{ Bytes, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("consensus: command of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// ChangePendingError reports a membership change that was proposed before the previous one, or the first
// entry of the leader's term, was committed. Index is the entry that must be committed first.
type ChangePendingError struct{ Index uint64 }

func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("consensus: entry %d must be committed before the membership can change", e.Index)
}

// InvalidChangeError reports a membership change that the current configuration, or the state of its members,
// does not allow.
type InvalidChangeError struct {
	Change Change
	Detail string
}

func (e *InvalidChangeError) Error() string {
	return fmt.Sprintf("consensus: cannot %s %s: %s", e.Change.Kind, e.Change.ID, e.Detail)
}

// NotCaughtUpError reports the promotion of a learner that lacks committed entries.
type NotCaughtUpError struct {
	ID              ID
	Match, Required uint64 // index of the last entry that the learner is known to hold, and that it must hold
}

func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("consensus: learner %s holds entries up to index %d, but %d is required",
		e.ID, e.Match, e.Required)
}

// InvalidStateError reports stored state that is inconsistent or out of range.
type InvalidStateError struct{ Detail string }

func (e *InvalidStateError) Error() string { return "consensus: invalid stored state: " + e.Detail }

// CompactedError reports an index that is not available because it was compacted or does not exist yet. First
// and Last are the bounds of the available indexes.
type CompactedError struct{ Index, First, Last uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("consensus: index %d is outside the available range %d to %d", e.Index, e.First, e.Last)
}
