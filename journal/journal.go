// Package journal stores records in append-only segment files with consecutive sequence numbers, and snapshots
// that replace a prefix of them.
//
// A record is durable once Sync has returned after its Append. A tail that a crash left incomplete is cut off by
// Open; damage of durable records is *CorruptError. A Journal belongs to one goroutine.
package journal

import (
	"errors"
	"io"
)

// Sequence numbers records from 1 without gaps. Zero means none.
type Sequence uint64

const (
	// DefaultSegmentBytes keeps the whole-segment reads of Open and Replay small beside the memory target of 32 MB.
	DefaultSegmentBytes = 4 << 20
	// flushBytes bounds what Append buffers before it writes without a sync.
	flushBytes = 256 << 10
)

// Options are the parameters of Open.
type Options struct {
	Directory    string     // created when missing
	SegmentBytes int64      // a segment of at least this size is followed by a new one; 0 means DefaultSegmentBytes
	Files        FileSystem // nil means OS
}

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	directory    string
	segmentBytes int64
	files        FileSystem
	lock         io.Closer

	segments []segment // in ascending order without gaps; the last one is active
	active   File
	pending  []byte // encoded records not yet written to the active segment

	last         Sequence // highest appended
	durable      Sequence // highest synced
	durableBytes int64    // of the active segment
	snapshot     Sequence // covered by the snapshot

	failure error // *IOError or *ClosedError: every call returns it
	noSpace error // *FullError: writes return it
}

// First returns the lowest stored sequence, or Last()+1 when there is none.
func (j *Journal) First() Sequence { return j.segments[0].first }

// Last returns the highest appended sequence, or the one covered by the snapshot when there is none.
func (j *Journal) Last() Sequence { return j.last }

// Durable returns the highest sequence that is synced.
func (j *Journal) Durable() Sequence { return j.durable }

// Append buffers a record and returns its sequence. The record is durable only after Sync.
// It returns *FullError, *IOError or *TooLongError.
func (j *Journal) Append(payload []byte) (Sequence, error) {
	if err := j.writeError(); err != nil {
		return 0, err
	}
	if len(payload) > MaxRecordBytes {
		return 0, &TooLongError{Bytes: len(payload), Limit: MaxRecordBytes}
	}
	if err := j.prepareAppend(); err != nil {
		return 0, err
	}
	j.last++
	j.pending = appendRecord(j.pending, record{sequence: j.last, durable: j.durable, payload: payload})
	return j.last, nil
}

// Sync makes every appended record durable. After *FullError the records appended since the last successful Sync
// are gone and every later write is refused; reading goes on. After *IOError every later call returns it,
// because the operating system may have dropped the unwritten pages and a second sync would not notice.
func (j *Journal) Sync() error {
	if err := j.writeError(); err != nil {
		return err
	}
	if err := j.flush(); err != nil {
		return err
	}
	if j.durable == j.last {
		return nil
	}
	active := j.activeSegment()
	if err := j.active.Sync(); err != nil {
		return j.setFailed(&IOError{Operation: OperationSync, Path: active.path, Err: err})
	}
	j.durable = j.last
	j.durableBytes = active.bytes
	return nil
}

// Replay calls fn for each stored record from the given sequence on, or from First when that is higher. The record
// is valid only during the call. It returns *CorruptError, *IOError or the error of fn.
func (j *Journal) Replay(from Sequence, fn func(Sequence, []byte) error) error {
	if j.failure != nil {
		return j.failure
	}
	if j.noSpace == nil {
		if err := j.flush(); err != nil {
			return err
		}
	}
	for _, s := range j.segments {
		if s.last < from || s.last < s.first {
			continue
		}
		if err := j.replaySegment(s, from, fn); err != nil {
			return err
		}
	}
	return nil
}

// Close syncs what was appended and releases the directory. After *IOError it still releases it.
func (j *Journal) Close() error {
	var closed *ClosedError
	if errors.As(j.failure, &closed) {
		return nil
	}
	err := j.Sync()
	j.failure = &ClosedError{}
	closeErr := j.active.Close()
	lockErr := j.lock.Close()
	for _, other := range []error{closeErr, lockErr} {
		if err == nil {
			err = other
		}
	}
	return err
}

func (j *Journal) replaySegment(s segment, from Sequence, fn func(Sequence, []byte) error) error {
	data, err := j.files.ReadFile(s.path)
	if err != nil {
		return err
	}
	if int64(len(data)) < s.bytes {
		return &CorruptError{Path: s.path, Offset: int64(len(data)), Reason: ReasonBadRecord}
	}
	found, damaged, err := s.scan(data[:s.bytes], func(r record) error {
		if r.sequence < from {
			return nil
		}
		return fn(r.sequence, r.payload)
	})
	if err != nil {
		return err
	}
	if damaged {
		return &CorruptError{Path: s.path, Offset: found.bytes, Reason: ReasonBadRecord}
	}
	return nil
}

func (j *Journal) activeSegment() *segment { return &j.segments[len(j.segments)-1] }

func (j *Journal) writeError() error {
	if j.failure != nil {
		return j.failure
	}
	return j.noSpace
}

// prepareAppend writes a large buffer and starts a new segment when the active one is large enough.
func (j *Journal) prepareAppend() error {
	if j.activeSegment().bytes+int64(len(j.pending)) >= j.segmentBytes {
		return j.rotateSegment()
	}
	if len(j.pending) >= flushBytes {
		return j.flush()
	}
	return nil
}

// rotateSegment syncs the active segment before it creates the next one.
func (j *Journal) rotateSegment() error {
	if err := j.Sync(); err != nil {
		return err
	}
	if err := j.createSegment(j.last + 1); err != nil {
		return j.rejectWrites(err)
	}
	return nil
}

// flush writes the buffered records without syncing them.
func (j *Journal) flush() error {
	if len(j.pending) == 0 {
		return nil
	}
	active := j.activeSegment()
	if err := writeAll(j.active, j.pending); err != nil {
		return j.rejectWrites(wrapWriteError(OperationWrite, active.path, err))
	}
	active.bytes += int64(len(j.pending))
	active.last = j.last
	j.pending = j.pending[:0]
	return nil
}

func (j *Journal) setFailed(err error) error {
	j.failure = err
	return err
}

// rejectWrites refuses later writes. On a full disk it first cuts the active segment back to its durable part.
func (j *Journal) rejectWrites(err error) error {
	var full *FullError
	if !errors.As(err, &full) {
		return j.setFailed(err)
	}
	j.noSpace = err
	j.pending = nil
	active := j.activeSegment()
	if truncateErr := j.truncateActive(j.durableBytes, j.durable); truncateErr != nil {
		return j.setFailed(&IOError{Operation: OperationTruncate, Path: active.path, Err: truncateErr})
	}
	return err
}

func (j *Journal) truncateActive(size int64, last Sequence) error {
	if err := j.active.Truncate(size); err != nil {
		return err
	}
	if err := j.active.Sync(); err != nil {
		return err
	}
	active := j.activeSegment()
	active.bytes = size
	active.last = last
	j.last = last
	j.durable = last
	j.durableBytes = size
	return nil
}
