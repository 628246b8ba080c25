package replica

import "fmt"

// NotLeaderError reports a call that was not executed and never will be, because this replica is not the
// leader. Leader is empty when the leader is unknown.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "replica: not the leader; no leader is known"
	}
	return fmt.Sprintf("replica: not the leader; the leader is %q", e.Leader)
}

// UndeterminedError reports a proposal that may or may not be committed.
type UndeterminedError struct{ Cause error }

func (e *UndeterminedError) Error() string {
	return fmt.Sprintf("replica: outcome of the proposal undetermined: %v", e.Cause)
}

// Unwrap returns the reason why the wait for the outcome ended.
func (e *UndeterminedError) Unwrap() error { return e.Cause }

// LeadershipLostError is the cause of an undetermined outcome when the leader stepped down.
type LeadershipLostError struct{ Term uint64 }

func (e *LeadershipLostError) Error() string {
	return fmt.Sprintf("leadership of term %d ended", e.Term)
}

// StorageFailedError reports that the replica no longer takes part in the log because its storage failed.
type StorageFailedError struct{ Cause error }

func (e *StorageFailedError) Error() string { return fmt.Sprintf("replica: failed: %v", e.Cause) }

// Unwrap returns the storage error.
func (e *StorageFailedError) Unwrap() error { return e.Cause }

// StoppedError reports a call to a replica whose Run has ended.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "replica: stopped" }

// OptionsError reports invalid options.
type OptionsError struct{ Detail string }

func (e *OptionsError) Error() string { return "replica: " + e.Detail }

// IdentityError reports a data folder that belongs to another instance.
type IdentityError struct{ Stored, Configured string }

func (e *IdentityError) Error() string {
	return fmt.Sprintf("replica: the data folder belongs to %q, not to %q", e.Stored, e.Configured)
}

// RecordError reports a journal record that cannot be decoded or contradicts an earlier one.
type RecordError struct {
	Sequence uint64
	Cause    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("replica: journal record %d: %v", e.Sequence, e.Cause)
}

// Unwrap returns the cause, which is a decoding error or *consensus.InvalidStateError.
func (e *RecordError) Unwrap() error { return e.Cause }
