package journal

import (
	"sync"
	"time"
)

// SlowAfter is the duration from which an operation of the disk is reported as slow: half the time that a call to the
// owner of a key may take, and that the replicas may be without a leader.
const SlowAfter = time.Second

// SlowOperation is an operation of a file system that has taken SlowAfter or longer.
type SlowOperation struct {
	Operation Operation
	Path      string
	Took      time.Duration // time so far, or in all once it has ended
	Ended     bool
}

// ReportSlow returns a file system that reports each slow operation twice: while it runs and after it has ended. Reads
// and locks are not watched. report is called by any goroutine. nil files means OS.
func ReportSlow(files FileSystem, report func(SlowOperation)) FileSystem {
	if files == nil {
		files = OS{}
	}
	return &slowReporter{FileSystem: files, report: report}
}

type slowReporter struct {
	FileSystem
	report func(SlowOperation)
}

// WatchSlow runs an operation and reports it like ReportSlow if it is slow. It returns the error of the operation.
func WatchSlow(operation Operation, path string, report func(SlowOperation), do func() error) error {
	var mu sync.Mutex // makes the first report before the second
	started, ended := time.Now(), false
	timer := time.AfterFunc(SlowAfter, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			report(SlowOperation{Operation: operation, Path: path, Took: time.Since(started)})
		}
	})
	err := do()
	timer.Stop()
	mu.Lock()
	defer mu.Unlock()
	ended = true
	if took := time.Since(started); took >= SlowAfter {
		report(SlowOperation{Operation: operation, Path: path, Took: took, Ended: true})
	}
	return err
}

func (s *slowReporter) watch(operation Operation, path string, do func() error) error {
	return WatchSlow(operation, path, s.report, do)
}

// MakeDirectory implements FileSystem.
func (s *slowReporter) MakeDirectory(path string) error {
	return s.watch(OperationCreate, path, func() error { return s.FileSystem.MakeDirectory(path) })
}

// Create implements FileSystem.
func (s *slowReporter) Create(path string) (File, error) {
	var file File
	err := s.watch(OperationCreate, path, func() (err error) {
		file, err = s.FileSystem.Create(path)
		return err
	})
	return s.wrap(path, file, err)
}

// Append implements FileSystem.
func (s *slowReporter) Append(path string) (File, error) {
	file, err := s.FileSystem.Append(path)
	return s.wrap(path, file, err)
}

// Rename implements FileSystem.
func (s *slowReporter) Rename(from, to string) error {
	return s.watch(OperationRename, to, func() error { return s.FileSystem.Rename(from, to) })
}

// Remove implements FileSystem.
func (s *slowReporter) Remove(path string) error {
	return s.watch(OperationRemove, path, func() error { return s.FileSystem.Remove(path) })
}

// SyncDirectory implements FileSystem.
func (s *slowReporter) SyncDirectory(path string) error {
	return s.watch(OperationSyncDirectory, path, func() error { return s.FileSystem.SyncDirectory(path) })
}

func (s *slowReporter) wrap(path string, file File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return &slowFile{File: file, path: path, reporter: s}, nil
}

type slowFile struct {
	File
	path     string
	reporter *slowReporter
}

// Write implements io.Writer.
func (f *slowFile) Write(p []byte) (n int, err error) {
	err = f.reporter.watch(OperationWrite, f.path, func() (err error) {
		n, err = f.File.Write(p)
		return err
	})
	return n, err
}

// Truncate implements File.
func (f *slowFile) Truncate(size int64) error {
	return f.reporter.watch(OperationTruncate, f.path, func() error { return f.File.Truncate(size) })
}

// Sync implements File.
func (f *slowFile) Sync() error {
	return f.reporter.watch(OperationSync, f.path, f.File.Sync)
}
