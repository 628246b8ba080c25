package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// A segment file starts with a magic number, the sequence of its first record and a checksum of both.
// A segment is synced completely before the next one is created, so only the last one can have a torn tail.
const (
	segmentMagic       = "pbjrnl\x00\x01"
	segmentHeaderBytes = len(segmentMagic) + 8 + 4
	segmentPrefix      = "segment-"
	snapshotPrefix     = "snapshot-"
)

// segment is one segment file of a journal.
type segment struct {
	path  string
	first Sequence // sequence of the first record, even if there is none yet
	last  Sequence // sequence of the last record; first-1 if there is none
	bytes int64    // file size up to the end of the last record
}

func sequenceName(prefix string, s Sequence) string { return fmt.Sprintf("%s%020d", prefix, s) }

// listSequences returns the sequence numbers of the file names with the given prefix, in ascending order.
func listSequences(names []string, prefix string) []Sequence {
	var sequences []Sequence
	for _, name := range names {
		digits, found := strings.CutPrefix(name, prefix)
		if !found {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			continue
		}
		sequences = append(sequences, Sequence(number))
	}
	slices.Sort(sequences)
	return sequences
}

func segmentHeader(first Sequence) []byte {
	header := []byte(segmentMagic)
	header = binary.LittleEndian.AppendUint64(header, uint64(first))
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// headerIsTorn reports whether the creation of a segment was interrupted by a crash. Records are written only
// after the header was synced, so this is impossible for a file that holds more than a header.
func headerIsTorn(data []byte) bool {
	return len(data) < segmentHeaderBytes || (len(data) == segmentHeaderBytes && hasZeroSector(data, 0, len(data)))
}

// scan verifies the records of a segment and calls fn for each; fn may be nil. If it finds an undecodable
// record, it returns the segment up to that record, with damaged set to true.
func (s segment) scan(data []byte, fn func(record) error) (found segment, damaged bool, err error) {
	if !bytes.HasPrefix(data, segmentHeader(s.first)) {
		return s, false, &CorruptError{Path: s.path, Reason: ReasonBadHeader}
	}
	s.last = s.first - 1
	s.bytes = int64(segmentHeaderBytes)
	for int(s.bytes) < len(data) {
		r, size, result := decodeRecord(data[s.bytes:])
		if result != decodeOK {
			return s, true, nil
		}
		if r.sequence != s.last+1 {
			return s, false, &CorruptError{Path: s.path, Offset: s.bytes, Reason: ReasonGap}
		}
		if fn != nil {
			if err := fn(r); err != nil {
				return s, false, err
			}
		}
		s.last = r.sequence
		s.bytes += int64(size)
	}
	return s, false, nil
}

// segmentAt returns an empty segment whose first record has the given sequence. It creates no file.
func (j *Journal) segmentAt(first Sequence) segment {
	return segment{
		path:  filepath.Join(j.directory, sequenceName(segmentPrefix, first)),
		first: first,
		last:  first - 1,
		bytes: int64(segmentHeaderBytes),
	}
}

// createSegment durably creates an empty segment and makes it the active one.
func (j *Journal) createSegment(first Sequence) error {
	s := j.segmentAt(first)
	file, err := j.files.Create(s.path)
	if err != nil {
		return wrapWriteError(OperationCreate, s.path, err)
	}
	if err := writeAll(file, segmentHeader(first)); err != nil {
		_ = file.Close() // Only the write error is reported.
		_ = j.files.Remove(s.path)
		return wrapWriteError(OperationWrite, s.path, err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close() // Only the sync error is reported.
		return wrapWriteError(OperationSync, s.path, err)
	}
	if err := syncDirectory(j.files, j.directory); err != nil {
		_ = file.Close() // Only the sync error is reported.
		return err
	}
	if j.active != nil {
		_ = j.active.Close() // The previous segment was synced, so closing it cannot lose data.
	}
	j.active = file
	j.segments = append(j.segments, s)
	j.last = first - 1
	j.durable = first - 1
	j.durableBytes = s.bytes
	return nil
}

// removeSegments removes segment files in the given order and syncs the directory after each. Otherwise a crash
// could undo an earlier removal but not a later one, which would leave a gap.
func (j *Journal) removeSegments(segments []segment) error {
	for _, s := range segments {
		if err := j.files.Remove(s.path); err != nil {
			return &IOError{Operation: OperationRemove, Path: s.path, Err: err}
		}
		if err := syncDirectory(j.files, j.directory); err != nil {
			return err
		}
	}
	return nil
}
