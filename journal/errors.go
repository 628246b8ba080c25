package journal

import (
	"errors"
	"fmt"
	"syscall"
)

// Reason tells what is wrong with a stored file.
type Reason string

// Reasons for which stored data is refused.
const (
	ReasonBadHeader   Reason = "segment header does not match its checksum"
	ReasonBadRecord   Reason = "record does not match its checksum"
	ReasonGap         Reason = "sequence numbers are not consecutive"
	ReasonBadSnapshot Reason = "snapshot does not match its checksum"
	ReasonNoSegment   Reason = "snapshot exists but every segment is missing"
)

// CorruptError reports stored data that was durable and is damaged. Nothing has been dropped or changed.
type CorruptError struct {
	Path   string
	Offset int64 // bytes from the start of the file
	Reason Reason
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: %s: byte %d: %s", e.Path, e.Offset, e.Reason)
}

// FullError reports that the file system has no space left.
type FullError struct {
	Path string
	Err  error
}

func (e *FullError) Error() string { return fmt.Sprintf("journal: no space for %s: %v", e.Path, e.Err) }

// Unwrap returns the file system's error.
func (e *FullError) Unwrap() error { return e.Err }

// Operation names a step on a file.
type Operation string

// Operations that an IOError can report.
const (
	OperationCreate        Operation = "create"
	OperationWrite         Operation = "write"
	OperationSync          Operation = "sync"
	OperationTruncate      Operation = "truncate"
	OperationRename        Operation = "rename"
	OperationRemove        Operation = "remove"
	OperationSyncDirectory Operation = "sync directory"
)

// IOError reports a write, sync or rename after which the state on the disk is unknown.
type IOError struct {
	Operation Operation
	Path      string
	Err       error
}

func (e *IOError) Error() string {
	return fmt.Sprintf("journal: %s %s: %v", e.Operation, e.Path, e.Err)
}

// Unwrap returns the file system's error.
func (e *IOError) Unwrap() error { return e.Err }

// RangeError reports a sequence number outside of what an operation accepts.
type RangeError struct {
	Requested, Lowest, Highest Sequence
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("journal: sequence %d is outside %d..%d", e.Requested, e.Lowest, e.Highest)
}

// TooLongError reports a record or snapshot above the bound.
type TooLongError struct {
	Bytes, Limit int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("journal: %d bytes exceed the limit of %d", e.Bytes, e.Limit)
}

// LockedError reports a directory that another journal has open.
type LockedError struct {
	Path string
}

func (e *LockedError) Error() string { return fmt.Sprintf("journal: %s is in use", e.Path) }

// ClosedError reports a call on a closed journal.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "journal: closed" }

// ShortWriteError reports a write that took fewer bytes than given without an error.
type ShortWriteError struct {
	Written, Given int // bytes
}

func (e *ShortWriteError) Error() string {
	return fmt.Sprintf("%d of %d bytes written", e.Written, e.Given)
}

// wrapWriteError turns an error of a write, create or rename into *FullError or *IOError.
func wrapWriteError(op Operation, path string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{Path: path, Err: err}
	}
	return &IOError{Operation: op, Path: path, Err: err}
}
