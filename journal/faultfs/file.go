package faultfs

import (
	"errors"

	"github.com/primrosebeam/primrosebeam/journal"
)

type file struct {
	fs   *FS
	path string
	node *inode
}

func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	err := f.fs.injectFault(Step{Operation: journal.OperationWrite, Path: f.path, Bytes: len(p)})
	var partial *PartialWriteError
	if errors.As(err, &partial) {
		n := min(partial.Bytes, len(p))
		f.node.data = append(f.node.data, p[:n]...)
		return n, partial.Err
	}
	if err != nil {
		return 0, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.injectFault(Step{Operation: journal.OperationTruncate, Path: f.path}); err != nil {
		return err
	}
	f.node.truncate(int(size))
	return nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.injectFault(Step{Operation: journal.OperationSync, Path: f.path}); err != nil {
		if f.fs.failedSync != FailedSyncKeepsWrites {
			f.node.lose(f.fs.failedSync == FailedSyncDiscards)
		}
		return err
	}
	f.node.sync()
	return nil
}

func (f *file) Close() error { return nil }
