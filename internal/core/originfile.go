package core

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/origin"
)

const (
	originFilePrefix = "origins-"
	// originHeaderBytes is the size of the header of a block: the length and the CRC-32 of the records that follow.
	originHeaderBytes = 8
	// keptOriginFiles is the number of files that hold the origins of origin.Retention: the current and the last one.
	// Failed writes add files.
	keptOriginFiles = 2
	// maxOriginFiles bounds the files that a disk leaves which fails again and again.
	maxOriginFiles = 8
)

// OriginFileError reports a file of origins that cannot be read or written.
type OriginFileError struct {
	Path  string
	Cause error
}

func (e *OriginFileError) Error() string { return "core: " + e.Path + ": " + e.Cause.Error() }

func (e *OriginFileError) Unwrap() error { return e.Cause }

// OriginRemovalError reports a file of origins that is no longer needed and cannot be removed. Its removal is tried again
// with the next file.
type OriginRemovalError struct {
	Path  string
	Cause error
}

func (e *OriginRemovalError) Error() string { return "core: remove " + e.Path + ": " + e.Cause.Error() }

func (e *OriginRemovalError) Unwrap() error { return e.Cause }

// originFile keeps the origins of streams across restarts. After a failed write it continues with a new file. What is
// lost only means that some streams cannot be taken up.
//
// Invariant: a file is removed only after a later one holds what was written since the one before it.
type originFile struct {
	files  journal.FileSystem
	folder string
	open   journal.File // nil before the first write and after a failure
	number uint64       // of the newest file
	period uint64       // number of the first file since the last rotation
	isUsed bool         // whether the newest file holds records
}

// loadOrigins reads the origins that a former process has saved. The error describes the first file that could not be
// read; what the others hold is returned nevertheless.
func loadOrigins(files journal.FileSystem, folder string) (*originFile, []origin.Record, error) {
	f := &originFile{files: files, folder: folder}
	numbers, err := f.list()
	var records []origin.Record
	for _, number := range numbers {
		data, failure := files.ReadFile(f.path(number))
		if failure != nil {
			err = errors.Join(err, &OriginFileError{Path: f.path(number), Cause: failure})
			continue
		}
		records = append(records, decodeOrigins(data)...)
	}
	if len(numbers) > 0 {
		f.number, f.isUsed = numbers[len(numbers)-1], true
		f.period = f.number
	}
	return f, records, err
}

func (f *originFile) path(number uint64) string {
	return filepath.Join(f.folder, originFilePrefix+strconv.FormatUint(number, 10))
}

// list returns the numbers of all files, oldest first.
func (f *originFile) list() ([]uint64, error) {
	names, err := f.files.List(f.folder)
	if err != nil {
		return nil, &OriginFileError{Path: f.folder, Cause: err}
	}
	var numbers []uint64
	for _, name := range names {
		suffix, found := strings.CutPrefix(name, originFilePrefix)
		if number, err := strconv.ParseUint(suffix, 10, 64); found && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// append writes records durably. With rotate they begin a new file, and files that are no longer needed are removed. The
// records are written if it returns *OriginRemovalError, and not if it returns *OriginFileError.
func (f *originFile) append(records []origin.Record, rotate bool) error {
	if rotate || f.open == nil {
		if err := f.next(); err != nil {
			return err
		}
	}
	first := !f.isUsed
	block, err := encodeOrigins(records)
	if err == nil {
		_, err = f.open.Write(block)
	}
	if err == nil {
		err = f.open.Sync()
	}
	if err != nil {
		return &OriginFileError{Path: f.path(f.number), Cause: errors.Join(err, f.close())}
	}
	f.isUsed = true
	if !first {
		return nil
	}
	former := f.period
	if rotate {
		f.period = f.number
		return f.removeBefore(former)
	}
	return f.removeBefore(0)
}

// next creates a file. It creates the newest one again if that holds no records.
func (f *originFile) next() error {
	if err := f.close(); err != nil {
		return &OriginFileError{Path: f.path(f.number), Cause: err}
	}
	numbers, err := f.list()
	if err != nil {
		return err
	}
	if len(numbers) > 0 && numbers[len(numbers)-1] > f.number { // it could not be listed at the start
		f.number, f.isUsed = numbers[len(numbers)-1], true
	}
	if f.isUsed || f.number == 0 {
		f.number++
		f.isUsed = false
	}
	created, err := f.files.Create(f.path(f.number))
	if err == nil {
		f.open = created
		err = f.files.SyncDirectory(f.folder)
	}
	if err != nil {
		return &OriginFileError{Path: f.path(f.number), Cause: errors.Join(err, f.close())}
	}
	return nil
}

// removeBefore removes the files before that with the given number, and the oldest of more than maxOriginFiles.
func (f *originFile) removeBefore(first uint64) error {
	numbers, err := f.list()
	if err != nil {
		return &OriginRemovalError{Path: f.folder, Cause: err}
	}
	for i, number := range numbers {
		if number >= first && len(numbers)-i <= maxOriginFiles {
			break
		}
		if err := f.files.Remove(f.path(number)); err != nil {
			return &OriginRemovalError{Path: f.path(number), Cause: err}
		}
	}
	return nil
}

func (f *originFile) close() error {
	if f.open == nil {
		return nil
	}
	closing := f.open
	f.open = nil
	return closing.Close()
}

func encodeOrigins(records []origin.Record) ([]byte, error) {
	body, err := cbor.Marshal(records)
	if err != nil {
		return nil, err
	}
	block := binary.LittleEndian.AppendUint32(make([]byte, 0, originHeaderBytes+len(body)), uint32(len(body)))
	block = binary.LittleEndian.AppendUint32(block, crc32.ChecksumIEEE(body))
	return append(block, body...), nil
}

// decodeOrigins returns the records of all blocks before the first damaged one.
func decodeOrigins(data []byte) []origin.Record {
	var records []origin.Record
	for len(data) >= originHeaderBytes {
		size, sum := binary.LittleEndian.Uint32(data), binary.LittleEndian.Uint32(data[4:])
		data = data[originHeaderBytes:]
		if uint64(size) > uint64(len(data)) || crc32.ChecksumIEEE(data[:size]) != sum {
			break
		}
		var block []origin.Record
		if cbor.Unmarshal(data[:size], &block) != nil {
			break
		}
		records = append(records, block...)
		data = data[size:]
	}
	return records
}
