package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"path/filepath"
)

// A snapshot file holds a magic number, the covered sequence, the checksum of all else, and the data.
const (
	snapshotMagic       = "pbsnap\x00\x01"
	snapshotHeaderBytes = len(snapshotMagic) + 8 + 4
)

// SaveSnapshot stores data in place of every record up to and including upTo, then drops the segments that hold
// only such records. upTo may be above Last: the next record then gets upTo+1, and all earlier ones are dropped.
// On *FullError the previous snapshot and every record remain and the journal stays usable.
// It returns *FullError, *IOError or *RangeError.
func (j *Journal) SaveSnapshot(upTo Sequence, data []byte) error {
	if err := j.checkSnapshot(upTo); err != nil {
		return err
	}
	return j.InstallSnapshot(j.StageSnapshot(upTo, data))
}

// StagedSnapshot is a snapshot that is written and synced but not in force.
type StagedSnapshot struct {
	upTo Sequence
	err  error
}

// StageSnapshot does the slow part of SaveSnapshot: it writes and syncs a temporary file. Unlike the other methods it
// may run on another goroutine while the journal is in use, as long as the journal is not closed meanwhile and no
// other snapshot is being staged. A failure is reported by InstallSnapshot.
func (j *Journal) StageSnapshot(upTo Sequence, data []byte) StagedSnapshot {
	path := j.snapshotPath(upTo) + temporarySuffix
	err := writeSynced(j.files, path, encodeSnapshot(upTo, data))
	if err != nil {
		_ = j.files.Remove(path) // Open removes a leftover.
	}
	return StagedSnapshot{upTo: upTo, err: err}
}

// InstallSnapshot puts a staged snapshot in force and drops the segments that it covers. Errors are those of
// SaveSnapshot.
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
		return j.setFailed(&IOError{Operation: OperationRename, Path: path, Err: err})
	}
	if err := syncDirectory(j.files, j.directory); err != nil {
		return j.setFailed(err)
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

func (j *Journal) checkSnapshot(upTo Sequence) error {
	if j.failure != nil {
		return j.failure
	}
	if upTo < j.snapshot || upTo == 0 {
		return &RangeError{Requested: upTo, Lowest: max(1, j.snapshot), Highest: j.last}
	}
	return nil
}

// Snapshot returns the current snapshot and the sequence that it covers, or 0 and nil when there is none.
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

// TruncateAfter drops every record after s durably. It returns *RangeError when s is not stored and not covered by
// the snapshot exactly, *FullError, *IOError or *CorruptError.
func (j *Journal) TruncateAfter(s Sequence) error {
	if err := j.writeError(); err != nil {
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

// removeSegmentsAfter removes, from the highest down, the segments that hold only records after s.
func (j *Journal) removeSegmentsAfter(s Sequence) error {
	for len(j.segments) > 1 && j.activeSegment().first > s {
		dropped := *j.activeSegment()
		_ = j.active.Close() // Its content is about to be removed.
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

func (j *Journal) truncateActiveAfter(s Sequence) error {
	active := j.activeSegment()
	data, err := j.files.ReadFile(active.path)
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

// removeCoveredSegments removes segments whose records are all covered by the snapshot, except the active one.
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

func (j *Journal) loadSnapshot(names []string) error {
	sequences := listSequences(names, snapshotPrefix)
	if len(sequences) == 0 {
		return nil
	}
	newest := sequences[len(sequences)-1]
	if _, err := j.readSnapshot(newest); err != nil {
		return err
	}
	j.snapshot = newest
	// The rename of the newest one must be durable before an older one goes.
	if err := syncDirectory(j.files, j.directory); err != nil {
		return err
	}
	for _, s := range sequences[:len(sequences)-1] {
		if err := j.removeSnapshot(s); err != nil {
			return err
		}
	}
	return nil
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
	content, err := j.files.ReadFile(path)
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
