package journal

import (
	"path/filepath"
	"strings"
)

const lockName = "lock"

// Open opens or creates the journal in a directory and acquires its lock. It truncates a torn tail.
// It returns *CorruptError, *FullError, *IOError or *LockedError.
func Open(o Options) (*Journal, error) {
	j := &Journal{directory: o.Directory, segmentBytes: o.SegmentBytes, files: o.Files}
	if j.files == nil {
		j.files = OS{}
	}
	if j.segmentBytes == 0 {
		j.segmentBytes = DefaultSegmentBytes
	}
	if err := j.files.MakeDirectory(j.directory); err != nil {
		return nil, wrapWriteError(OperationCreate, j.directory, err)
	}
	lock, err := j.files.Lock(filepath.Join(j.directory, lockName))
	if err != nil {
		return nil, err
	}
	j.lock = lock
	if err := j.load(); err != nil {
		if j.active != nil {
			_ = j.active.Close() // Only the load error is reported.
		}
		_ = j.lock.Close()
		return nil, err
	}
	return j, nil
}

func (j *Journal) load() error {
	names, err := j.files.List(j.directory)
	if err != nil {
		return err
	}
	if err := j.removeTemporary(names); err != nil {
		return err
	}
	if err := j.loadSnapshot(names); err != nil {
		return err
	}
	if err := j.loadSegments(listSequences(names, segmentPrefix)); err != nil {
		return err
	}
	return j.finishLoad()
}

func (j *Journal) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		path := filepath.Join(j.directory, name)
		if err := j.files.Remove(path); err != nil {
			return &IOError{Operation: OperationRemove, Path: path, Err: err}
		}
	}
	return nil
}

// loadSegments verifies the segments that the snapshot does not fully cover and removes the covered ones.
func (j *Journal) loadSegments(firsts []Sequence) error {
	covered := 0
	for covered+1 < len(firsts) && firsts[covered+1] <= j.snapshot+1 {
		covered++
	}
	for i, first := range firsts[covered:] {
		isLast := covered+i == len(firsts)-1
		if err := j.loadSegment(j.segmentAt(first), isLast); err != nil {
			return err
		}
	}
	if err := j.openActiveSegment(); err != nil {
		return err
	}
	old := make([]segment, 0, covered)
	for _, first := range firsts[:covered] {
		old = append(old, j.segmentAt(first))
	}
	return j.removeSegments(old)
}

func (j *Journal) loadSegment(s segment, isLast bool) error {
	expected := j.snapshot + 1
	if len(j.segments) > 0 {
		expected = j.activeSegment().last + 1
	}
	isFirst := len(j.segments) == 0
	if s.first > expected || (!isFirst && s.first != expected) {
		return &CorruptError{Path: s.path, Reason: ReasonGap}
	}
	data, err := j.files.ReadFile(s.path)
	if err != nil {
		return err
	}
	if isLast && headerIsTorn(data) {
		return j.createSegment(s.first) // Its creation was interrupted, so it holds no record.
	}
	found, damaged, err := s.scan(data, nil)
	if err != nil {
		return err
	}
	if damaged && !(isLast && isTorn(data, int(found.bytes), found.last+1)) {
		return &CorruptError{Path: s.path, Offset: found.bytes, Reason: ReasonBadRecord}
	}
	j.segments = append(j.segments, found)
	return nil
}

// openActiveSegment opens the last segment and truncates a torn tail, or creates the first segment of a new
// journal.
func (j *Journal) openActiveSegment() error {
	if j.active != nil {
		return nil
	}
	if len(j.segments) == 0 {
		if j.snapshot > 0 {
			return &CorruptError{Path: j.directory, Reason: ReasonNoSegment}
		}
		return j.createSegment(1)
	}
	active := j.activeSegment()
	file, err := j.files.Append(active.path)
	if err != nil {
		return err
	}
	j.active = file
	// If only the process was killed, the records found here may exist only in the page cache, so they are
	// synced before they are used. The truncation must be durable before the sequence numbers are used again.
	if err := j.truncateActive(active.bytes, active.last); err != nil {
		return wrapWriteError(OperationTruncate, active.path, err)
	}
	return nil
}

// finishLoad makes the directory entries durable. If the snapshot is ahead of every record, it starts a
// new segment after it.
func (j *Journal) finishLoad() error {
	if err := syncDirectory(j.files, j.directory); err != nil {
		return err
	}
	if j.last >= j.snapshot {
		return nil
	}
	return j.restartSegmentsAfter(j.snapshot)
}

// restartSegmentsAfter replaces all segments by an empty one whose first record follows s. The new segment is
// durable before the old ones are removed.
func (j *Journal) restartSegmentsAfter(s Sequence) error {
	old := j.segments
	j.pending = nil
	if err := j.createSegment(s + 1); err != nil {
		return err
	}
	j.segments = j.segments[len(old):]
	return j.removeSegments(old)
}
