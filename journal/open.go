package journal

import (
	"errors"
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
	lockPath := filepath.Join(j.directory, lockName)
	lock, err := j.files.Lock(lockPath)
	if err != nil {
		var locked *LockedError
		if errors.As(err, &locked) {
			return nil, err
		}
		return nil, wrapWriteError(OperationOpen, lockPath, err)
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
		return &IOError{Operation: OperationRead, Path: j.directory, Err: err}
	}
	if err := j.removeTemporary(names); err != nil {
		return err
	}
	snapshot, older, err := j.loadSnapshot(names)
	if err != nil {
		return err
	}
	covered, err := j.loadSegments(listSequences(names, segmentPrefix))
	if err != nil {
		return err
	}
	if j.snapshot > 0 {
		// The name of the snapshot must be durable before anything that it replaces is removed.
		if err := WriteFileAtomic(j.files, j.snapshotPath(j.snapshot), encodeSnapshot(j.snapshot, snapshot)); err != nil {
			return err
		}
	}
	for _, s := range older {
		if err := j.removeSnapshot(s); err != nil {
			return err
		}
	}
	if err := j.removeSegments(covered); err != nil {
		return err
	}
	if j.last >= j.snapshot {
		return nil
	}
	return j.restartSegmentsAfter(j.snapshot)
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

// loadSegments verifies the segments that the snapshot does not fully cover and returns the covered ones.
func (j *Journal) loadSegments(firsts []Sequence) (covered []segment, err error) {
	count := 0
	for count+1 < len(firsts) && firsts[count+1] <= j.snapshot+1 {
		covered = append(covered, j.segmentAt(firsts[count]))
		count++
	}
	var data []byte
	for i, first := range firsts[count:] {
		isLast := count+i == len(firsts)-1
		data, err = j.loadSegment(j.segmentAt(first), isLast)
		if err != nil {
			return nil, err
		}
	}
	return covered, j.openActiveSegment(data)
}

// loadSegment verifies a segment and returns the content of its file.
func (j *Journal) loadSegment(s segment, isLast bool) ([]byte, error) {
	expected := j.snapshot + 1
	if len(j.segments) > 0 {
		expected = j.activeSegment().last + 1
	}
	isFirst := len(j.segments) == 0
	if s.first > expected || (!isFirst && s.first != expected) {
		return nil, &CorruptError{Path: s.path, Reason: ReasonGap}
	}
	data, err := j.readFile(s.path)
	if err != nil {
		return nil, err
	}
	if isLast && headerIsTorn(data) {
		// Its creation was interrupted, so it holds no record. Its name need not be durable.
		if err := j.files.Remove(s.path); err != nil {
			return nil, &IOError{Operation: OperationRemove, Path: s.path, Err: err}
		}
		return nil, j.createSegment(s.first)
	}
	found, damaged, err := s.scan(data, nil)
	if err != nil {
		return nil, err
	}
	if damaged && !(isLast && isTorn(data, int(found.bytes), found.last+1)) {
		return nil, &CorruptError{Path: s.path, Offset: found.bytes, Reason: ReasonBadRecord}
	}
	j.segments = append(j.segments, found)
	return data, nil
}

// openActiveSegment opens the last segment, of which data is the content, and truncates a torn tail, or creates the first
// segment of a new journal.
func (j *Journal) openActiveSegment(data []byte) error {
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
	// The records found here, and the name of the file, may exist only in the cache. All earlier segments are durable,
	// since a segment is created after the one before it was synced.
	if err := WriteFileAtomic(j.files, active.path, data[:active.bytes]); err != nil {
		return err
	}
	file, err := j.files.Append(active.path)
	if err != nil {
		return &IOError{Operation: OperationOpen, Path: active.path, Err: err}
	}
	j.active = file
	j.last, j.durable, j.durableBytes = active.last, active.last, active.bytes
	return nil
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
