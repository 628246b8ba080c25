package journal

import (
	"errors"
	"fmt"
	"syscall"
)

// Reason is the kind of damage found in a stored file.
type Reason string

// Reasons reported by CorruptError.
const (
	ReasonBadHeader   Reason = "segment header does not match its checksum"
	ReasonBadRecord   Reason = "record does not match its checksum"
	ReasonGap         Reason = "sequence numbers are not consecutive"
	ReasonBadSnapshot Reason = "snapshot does not match its checksum"
	ReasonNoSegment   Reason = "snapshot exists but every segment is missing"
)

// CorruptError reports damage to stored data that had been durable. No data has been dropped or changed.
type CorruptError struct {
	Path   string
	Offset int64 // bytes from the start of the file
	Reason Reason
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: %s: byte %d: %s", e.Path, e.Offset, e.Reason)
}

// FullError reports that the file system has no space left or that the disk quota is exceeded.
type FullError struct {
	Path string
	Err  error
}

func (e *FullError) Error() string { return fmt.Sprintf("journal: no space for %s: %v", e.Path, e.Err) }

// Unwrap returns the error of the file system.
func (e *FullError) Unwrap() error { return e.Err }

// Operation is the name of a file system operation.
type Operation string

// Operations reported by IOError.
const (
	OperationCreate        Operation = "create"
	OperationWrite         Operation = "write"
	OperationSync          Operation = "sync"
	OperationTruncate      Operation = "truncate"
	OperationRename        Operation = "rename"
	OperationRemove        Operation = "remove"
	OperationSyncDirectory Operation = "sync directory"
	OperationOpen          Operation = "open"
	OperationRead          Operation = "read"
)

// IOError reports a failed file system operation. If the operation modifies the disk, the state on disk is unknown.
type IOError struct {
	Operation Operation
	Path      string
	Err       error
}

func (e *IOError) Error() string {
	return fmt.Sprintf("journal: %s %s: %v", e.Operation, e.Path, e.Err)
}

// Unwrap returns the error of the file system.
func (e *IOError) Unwrap() error { return e.Err }

// RangeError reports a sequence number outside the range that an operation accepts.
type RangeError struct {
	Requested, Lowest, Highest Sequence
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("journal: sequence %d is outside %d..%d", e.Requested, e.Lowest, e.Highest)
}

// TooLongError reports a record that exceeds the size limit. Sizes are in bytes.
type TooLongError struct {
	Bytes, Limit int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("journal: %d bytes exceed the limit of %d", e.Bytes, e.Limit)
}

// LockedError reports a lock that is held by another journal.
type LockedError struct {
	Path string
}

func (e *LockedError) Error() string { return fmt.Sprintf("journal: %s is in use", e.Path) }

// ClosedError reports a call on a closed journal.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "journal: closed" }

// ShortWriteError reports a write that stored fewer bytes than given but returned no error.
type ShortWriteError struct {
	Written, Given int // bytes
}

func (e *ShortWriteError) Error() string {
	return fmt.Sprintf("%d of %d bytes written", e.Written, e.Given)
}

// IsRefused reports whether an error means that the file system refused an operation, which a later attempt may not
// find: *FullError or *IOError. All other errors describe the stored data or the call.
func IsRefused(err error) bool {
	var full *FullError
	var failed *IOError
	return errors.As(err, &full) || errors.As(err, &failed)
}

// wrapWriteError wraps the error of a modifying operation in *FullError or *IOError.
func wrapWriteError(op Operation, path string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{Path: path, Err: err}
	}
	return &IOError{Operation: op, Path: path, Err: err}
}
