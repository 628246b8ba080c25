package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"path/filepath"
)

// A snapshot file holds a magic number, the covered sequence, the checksum of all other fields, and the data.
const (
	snapshotMagic       = "pbsnap\x00\x01"
	snapshotHeaderBytes = len(snapshotMagic) + 8 + 4
)

// SaveSnapshot stores data as a snapshot that replaces all records up to and including upTo, then removes the
// segments that hold only such records. upTo may be higher than Last: all records are then removed and the
// next one gets the sequence upTo+1. If there is no space to write the snapshot, it returns *FullError; the
// previous snapshot and all records remain and the journal stays usable.
// It returns *FullError, *IOError or *RangeError.
func (j *Journal) SaveSnapshot(upTo Sequence, data []byte) error {
	if err := j.checkSnapshot(upTo); err != nil {
		return err
	}
	return j.InstallSnapshot(j.StageSnapshot(upTo, data))
}

// StagedSnapshot is the result of StageSnapshot: a snapshot that is written and synced but not yet installed,
// or the error that occurred.
type StagedSnapshot struct {
	upTo Sequence
	err  error
}

// StageSnapshot does the slow part of SaveSnapshot: it writes and syncs a temporary file. Unlike the other
// methods, it may run on another goroutine while the journal is in use, provided that the journal is not
// closed during the call and no other snapshot is being staged. InstallSnapshot reports a failure.
func (j *Journal) StageSnapshot(upTo Sequence, data []byte) StagedSnapshot {
	path := j.snapshotPath(upTo) + temporarySuffix
	err := writeSynced(j.files, path, encodeSnapshot(upTo, data))
	if err != nil {
		_ = j.files.Remove(path) // Open removes a remaining file.
	}
	return StagedSnapshot{upTo: upTo, err: err}
}

// InstallSnapshot makes a staged snapshot the current one and removes the segments that it covers. It returns
// the same errors as SaveSnapshot.
func (j *Journal) InstallSnapshot(s StagedSnapshot) error {
	if err := j.checkSnapshot(s.upTo); err != nil {
		return err
	}
	var full *FullError
	if errors.As(s.err, &full) {
		return s.err
	}
	if s.err != nil {
		return j.setFailed(s.err)
	}
	path := j.snapshotPath(s.upTo)
	if err := j.files.Rename(path+temporarySuffix, path); err != nil {
		err = wrapWriteError(OperationRename, path, err)
		if errors.As(err, &full) {
			_ = j.files.Remove(path + temporarySuffix) // Open removes a remaining file.
			return err
		}
		return j.setFailed(err)
	}
	if err := syncDirectory(j.files, j.directory); err != nil {
		return j.rejectWrites(err) // Either snapshot may be there after a crash; all records still are.
	}
	previous := j.snapshot
	j.snapshot = s.upTo
	if err := j.removeCoveredSegments(); err != nil {
		return j.rejectWrites(err)
	}
	if previous == 0 || previous == s.upTo {
		return nil
	}
	return j.removeSnapshot(previous)
}

// checkSnapshot returns *RangeError if a snapshot up to upTo would be older than the current one, or the
// error of an earlier failure.
func (j *Journal) checkSnapshot(upTo Sequence) error {
	if j.failure != nil {
		return j.failure
	}
	if upTo < j.snapshot || upTo == 0 {
		return &RangeError{Requested: upTo, Lowest: max(1, j.snapshot), Highest: j.last}
	}
	return nil
}

// Snapshot returns the sequence that the current snapshot covers and its data, or 0 and nil if there is none.
// It returns *CorruptError or *IOError.
func (j *Journal) Snapshot() (Sequence, []byte, error) {
	if j.failure != nil {
		return 0, nil, j.failure
	}
	if j.snapshot == 0 {
		return 0, nil, nil
	}
	data, err := j.readSnapshot(j.snapshot)
	return j.snapshot, data, err
}

// TruncateAfter durably removes all records after s. It returns *RangeError if s is lower than the sequence
// that the snapshot covers or higher than Last, *FullError, *IOError or *CorruptError.
func (j *Journal) TruncateAfter(s Sequence) error {
	if err := j.checkWritable(); err != nil {
		return err
	}
	lowest := max(j.snapshot, j.First()-1)
	if s < lowest || s > j.last {
		return &RangeError{Requested: s, Lowest: lowest, Highest: j.last}
	}
	if err := j.flush(); err != nil {
		return err
	}
	if s == j.last {
		return j.Sync()
	}
	if err := j.removeSegmentsAfter(s); err != nil {
		return j.setFailed(err)
	}
	return j.truncateActiveAfter(s)
}

// removeSegmentsAfter removes the segments that hold only records after s, starting with the last one.
func (j *Journal) removeSegmentsAfter(s Sequence) error {
	for len(j.segments) > 1 && j.activeSegment().first > s {
		dropped := *j.activeSegment()
		_ = j.active.Close() // The file is about to be removed.
		j.segments = j.segments[:len(j.segments)-1]
		file, err := j.files.Append(j.activeSegment().path)
		if err != nil {
			return &IOError{Operation: OperationTruncate, Path: j.activeSegment().path, Err: err}
		}
		j.active = file
		if err := j.removeSegments([]segment{dropped}); err != nil {
			return err
		}
	}
	return nil
}

// truncateActiveAfter removes the records after s from the active segment.
func (j *Journal) truncateActiveAfter(s Sequence) error {
	active := j.activeSegment()
	data, err := j.readFile(active.path)
	if err != nil {
		return err
	}
	size := int64(segmentHeaderBytes)
	found, damaged, err := active.scan(data[:min(active.bytes, int64(len(data)))], func(r record) error {
		if r.sequence <= s {
			size += int64(recordHeaderBytes + len(r.payload))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if damaged || found.last < s {
		return &CorruptError{Path: active.path, Offset: found.bytes, Reason: ReasonBadRecord}
	}
	if err := j.truncateActive(size, s); err != nil {
		return j.setFailed(&IOError{Operation: OperationTruncate, Path: active.path, Err: err})
	}
	return nil
}

// removeCoveredSegments removes the segments that the snapshot covers completely, except the active one. If the
// active segment is covered too, it first starts a new one; after *FullError the active one may remain.
func (j *Journal) removeCoveredSegments() error {
	if j.snapshot > j.last {
		return j.restartSegmentsAfter(j.snapshot)
	}
	if j.snapshot == j.last && j.noSpace == nil && j.activeSegment().first <= j.last {
		if err := j.rotateSegment(); err != nil {
			return err
		}
	}
	covered := 0
	for covered+1 < len(j.segments) && j.segments[covered+1].first <= j.snapshot+1 {
		covered++
	}
	old := j.segments[:covered]
	j.segments = j.segments[covered:]
	return j.removeSegments(old)
}

// loadSnapshot verifies the newest snapshot and returns its data and the older ones, which it replaces.
func (j *Journal) loadSnapshot(names []string) (data []byte, older []Sequence, err error) {
	sequences := listSequences(names, snapshotPrefix)
	if len(sequences) == 0 {
		return nil, nil, nil
	}
	newest := sequences[len(sequences)-1]
	data, err = j.readSnapshot(newest)
	if err != nil {
		return nil, nil, err
	}
	j.snapshot = newest
	return data, sequences[:len(sequences)-1], nil
}

func (j *Journal) removeSnapshot(s Sequence) error {
	path := j.snapshotPath(s)
	if err := j.files.Remove(path); err != nil {
		return j.setFailed(&IOError{Operation: OperationRemove, Path: path, Err: err})
	}
	return nil
}

func (j *Journal) readSnapshot(s Sequence) ([]byte, error) {
	path := j.snapshotPath(s)
	content, err := j.readFile(path)
	if err != nil {
		return nil, err
	}
	if len(content) < snapshotHeaderBytes || !bytes.Equal(content, encodeSnapshot(s, content[snapshotHeaderBytes:])) {
		return nil, &CorruptError{Path: path, Reason: ReasonBadSnapshot}
	}
	return content[snapshotHeaderBytes:], nil
}

func (j *Journal) snapshotPath(s Sequence) string {
	return filepath.Join(j.directory, sequenceName(snapshotPrefix, s))
}

func encodeSnapshot(upTo Sequence, data []byte) []byte {
	content := make([]byte, 0, snapshotHeaderBytes+len(data))
	content = append(content, snapshotMagic...)
	content = binary.LittleEndian.AppendUint64(content, uint64(upTo))
	sum := crc32.Update(crc32.Checksum(content, castagnoli), castagnoli, data)
	content = binary.LittleEndian.AppendUint32(content, sum)
	return append(content, data...)
}
