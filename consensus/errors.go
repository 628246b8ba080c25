package consensus

import "fmt"

// MisdirectedError reports a message for another replica or for an earlier incarnation of this one.
type MisdirectedError struct{ To, Self ID }

func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("consensus: message for %s reached %s", e.To, e.Self)
}

// UnknownSenderError reports a message from an identity that is no member of the configuration.
type UnknownSenderError struct {
	From ID
	Kind Kind
}

func (e *UnknownSenderError) Error() string {
	return fmt.Sprintf("consensus: %s from unknown replica %s", e.Kind, e.From)
}

// StaleIdentityError reports a message from an incarnation that a newer one of its instance replaced.
type StaleIdentityError struct{ From, Newest ID }

func (e *StaleIdentityError) Error() string {
	return fmt.Sprintf("consensus: message from %s, but %s is known", e.From, e.Newest)
}

// LogMismatchError reports a message that belongs to another log.
type LogMismatchError struct{ From, Log, Own ID }

func (e *LogMismatchError) Error() string {
	return fmt.Sprintf("consensus: %s belongs to the log of %s, this replica to that of %s", e.From, e.Log, e.Own)
}

// InvalidMessageError reports a message whose terms or indexes no correct replica sends.
type InvalidMessageError struct {
	From   ID
	Kind   Kind
	Detail string
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("consensus: impossible %s from %s: %s", e.Kind, e.From, e.Detail)
}

// NotLeaderError reports a call that only the leader can serve.
type NotLeaderError struct{ Leader ID } // zero when unknown

func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "consensus: not the leader; no leader is known"
	}
	return fmt.Sprintf("consensus: not the leader; the leader is %s", e.Leader)
}

// OverloadedError reports a proposal or read beyond the bound on those that wait.
type OverloadedError struct {
	Resource string
	Limit    int
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("consensus: %d %s wait already", e.Limit, e.Resource)
}

// TooLargeError reports a command beyond the bound on one entry.
type TooLargeError struct{ Bytes, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("consensus: a command of %d bytes, the limit is %d", e.Bytes, e.Limit)
}

// ChangePendingError reports a membership change before the previous one, or the first entry of the
// leader's term, was committed.
type ChangePendingError struct{ Index uint64 } // entry that must be committed first

func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("consensus: entry %d must be committed before the membership can change", e.Index)
}

// InvalidChangeError reports a membership change that does not fit the configuration.
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
	Match, Required uint64 // indexes: what it is known to hold, and what it must hold
}

func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("consensus: learner %s holds entries up to %d of %d", e.ID, e.Match, e.Required)
}

// InvalidStateError reports stored state that contradicts itself.
type InvalidStateError struct{ Detail string }

func (e *InvalidStateError) Error() string { return "consensus: invalid stored state: " + e.Detail }

// CompactedError reports an index that is not available, because it was compacted or does not exist.
type CompactedError struct{ Index, First, Last uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("consensus: index %d is outside of the log, which holds %d to %d", e.Index, e.First, e.Last)
}
