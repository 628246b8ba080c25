// Package journal implements a write-ahead log: records with consecutive sequence numbers in append-only
// segment files, and snapshots that replace a prefix of the records.
//
// A record is durable once a call of Sync after its Append has succeeded. Open truncates an incomplete
// tail that a crash has left; damage to durable records is reported as *CorruptError. A Journal must be
// used by one goroutine.
//
// Invariant: whatever Open finds is durable when it returns. A file system may mark what it failed to write as clean, so
// that a file reads as written, and a sync of it succeeds, although the disk does not hold its content. Therefore Open
// writes a new file instead of syncing one whose content it does not know to be durable.
package journal

import (
	"errors"
	"io"
)

// Sequence is the sequence number of a record. Records are numbered from 1 without gaps; 0 means no record.
type Sequence uint64

const (
	// DefaultSegmentBytes is the default of Options.SegmentBytes. Open and Replay read whole segments into
	// memory, so a segment must be small compared with the memory target of 32 MB.
	DefaultSegmentBytes = 4 << 20
	// flushBytes is the size of the append buffer at which the next Append writes it without a sync.
	flushBytes = 256 << 10
)

// Options are the parameters of Open.
type Options struct {
	Directory    string     // directory of the journal; created if missing
	SegmentBytes int64      // segment size from which a new one is started; 0 means DefaultSegmentBytes
	Files        FileSystem // file system to use; nil means OS
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

	last         Sequence // highest appended sequence
	durable      Sequence // highest synced sequence
	durableBytes int64    // synced size of the active segment
	snapshot     Sequence // highest sequence covered by the snapshot; 0 if there is none

	failure error // *IOError or *ClosedError that every call returns
	noSpace error // *FullError that every write returns
	uncut   bool  // after a refused write the active segment may hold more than its durable part
}

// First returns the lowest stored sequence, or Last()+1 if no record is stored.
func (j *Journal) First() Sequence { return j.segments[0].first }

// Last returns the highest appended sequence, or the one that the snapshot covers if no record follows it.
func (j *Journal) Last() Sequence { return j.last }

// Durable returns the highest synced sequence.
func (j *Journal) Durable() Sequence { return j.durable }

// Append buffers a record and returns its sequence. The record becomes durable with Sync.
// It returns *FullError, *IOError or *TooLongError.
func (j *Journal) Append(payload []byte) (Sequence, error) {
	if err := j.checkWritable(); err != nil {
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

// Sync makes all appended records durable. If it returns *FullError, the records appended since the last
// successful Sync are discarded and later writes are refused; reading remains possible. If it returns
// *IOError, all later calls return the same error, because the operating system may have dropped the
// unwritten pages and a second sync would not report that. In both cases the journal has to be opened again; see CutBack.
func (j *Journal) Sync() error {
	if err := j.checkWritable(); err != nil {
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
		return j.rejectWrites(wrapWriteError(OperationSync, active.path, err))
	}
	j.durable = j.last
	j.durableBytes = active.bytes
	return nil
}

// CutBack removes the records that a refused write or sync has left in the active segment, so that they are not found
// when the journal is opened again; Open is safe without it and keeps them. It returns *FullError or *IOError while the
// file system refuses that, and may be called again.
func (j *Journal) CutBack() error {
	var closed *ClosedError
	if !j.uncut || errors.As(j.failure, &closed) {
		return nil
	}
	if err := j.truncateActive(j.durableBytes, j.durable); err != nil {
		return wrapWriteError(OperationTruncate, j.activeSegment().path, err)
	}
	j.uncut = false
	return nil
}

// Replay calls fn for each stored record, starting with the given sequence or with First if that is higher. The
// record is valid only during the call. It returns *CorruptError, *IOError or the error of fn.
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

// Close syncs the appended records and releases the lock of the directory. It releases the lock even if the
// sync fails.
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
	data, err := j.readFile(s.path)
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

// readFile reads a whole file. It returns *IOError.
func (j *Journal) readFile(path string) ([]byte, error) {
	data, err := j.files.ReadFile(path)
	if err != nil {
		return nil, &IOError{Operation: OperationRead, Path: path, Err: err}
	}
	return data, nil
}

func (j *Journal) activeSegment() *segment { return &j.segments[len(j.segments)-1] }

// checkWritable returns the error that a write must return because of an earlier failure, or nil.
func (j *Journal) checkWritable() error {
	if j.failure != nil {
		return j.failure
	}
	return j.noSpace
}

// prepareAppend starts a new segment if the active one has reached its size, or else writes a large buffer.
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

// setFailed makes every later call return err.
func (j *Journal) setFailed(err error) error {
	j.failure = err
	return err
}

// rejectWrites makes later writes fail. If the disk is full, it truncates the active segment to its durable part, unless
// that finds the disk full as well, and the journal stays readable; for any other error all later calls fail.
func (j *Journal) rejectWrites(err error) error {
	var full *FullError
	j.pending = nil
	j.uncut = true
	if !errors.As(err, &full) {
		return j.setFailed(err)
	}
	j.noSpace = err
	if cutErr := j.CutBack(); cutErr != nil && !errors.As(cutErr, &full) {
		return j.setFailed(cutErr)
	}
	return err
}

// truncateActive truncates the active segment to the given size, of which last is the last record, and syncs
// it.
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
