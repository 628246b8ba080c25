// Package faultfs is an in-memory journal.FileSystem for tests. It keeps written and synced state separately to
// simulate a crash of the machine, and lets a test inject an error into any step.
package faultfs

import (
	"bytes"
	"io"
	"io/fs"
	"path/filepath"
	"sync"

	"github.com/primrosebeam/primrosebeam/journal"
)

// Step is one modifying operation of the file system, before it takes effect.
type Step struct {
	Operation journal.Operation
	Path      string
	Bytes     int // length of a write in bytes; 0 for other operations
}

// PartialWriteError, returned by a fault function, makes a write store only the first Bytes bytes and return
// Err, which may be nil.
type PartialWriteError struct {
	Bytes int
	Err   error
}

func (e *PartialWriteError) Error() string { return "faultfs: partial write" }

// Unwrap returns the error that the write returns.
func (e *PartialWriteError) Unwrap() error { return e.Err }

// FailedSync is what a failed sync does to the writes that it should have made durable.
type FailedSync int

const (
	// FailedSyncKeepsWrites leaves the writes to the next sync.
	FailedSyncKeepsWrites FailedSync = iota
	// FailedSyncMarksClean makes later syncs skip the writes, which can still be read until a crash.
	FailedSyncMarksClean
	// FailedSyncDiscards makes the file read as the disk holds it: bytes that were never synced are zeros.
	FailedSyncDiscards
)

// FS is an in-memory file system with fault injection. It is safe for concurrent use.
type FS struct {
	mu         sync.Mutex
	entries    map[string]*inode // directory entries as processes see them
	durable    map[string]*inode // synced directory entries, which remain after a crash
	lostNames  map[string]bool   // entries that later syncs of their directory skip
	locks      map[string]bool
	fault      func(Step) error
	failedSync FailedSync
}

// inode is a file. A file only grows at its end or is truncated, so that the bytes from dirtyFrom on were written since
// the last sync.
type inode struct {
	data      []byte
	synced    []byte
	dirtyFrom int
	lost      []span // of data, in ascending order, which syncs skip
}

// span is a range of offsets in bytes, without its end.
type span struct{ from, to int }

// onDisk returns the content that a successful sync makes durable.
func (n *inode) onDisk() []byte {
	content := bytes.Clone(n.data)
	for _, lost := range n.lost {
		clear(content[lost.from:lost.to])
		if lost.from < len(n.synced) {
			copy(content[lost.from:lost.to], n.synced[lost.from:])
		}
	}
	return content
}

// lose marks what was written since the last sync as lost.
func (n *inode) lose(discard bool) {
	if n.dirtyFrom < len(n.data) {
		n.lost = append(n.lost, span{n.dirtyFrom, len(n.data)})
	}
	n.dirtyFrom = len(n.data)
	if discard {
		n.data, n.lost = n.onDisk(), nil
	}
}

func (n *inode) truncate(size int) {
	n.data = n.data[:size]
	n.dirtyFrom = min(n.dirtyFrom, size)
	var kept []span
	for _, lost := range n.lost {
		if lost.from < size {
			kept = append(kept, span{lost.from, min(lost.to, size)})
		}
	}
	n.lost = kept
}

func (n *inode) sync() {
	n.synced = n.onDisk()
	n.dirtyFrom = len(n.data)
}

// New returns an empty file system.
func New() *FS {
	return &FS{entries: map[string]*inode{}, durable: map[string]*inode{}, lostNames: map[string]bool{}, locks: map[string]bool{}}
}

// SetFailedSync sets what a failed sync does to the writes, and to the directory entries, that it should have made durable.
func (f *FS) SetFailedSync(effect FailedSync) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedSync = effect
}

// Kill releases all locks, as the end of the process does. The process must not use its files afterwards.
func (f *FS) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locks = map[string]bool{}
}

// SetFault installs a function that is called before each step; if it returns an error, the step fails with
// that error. A nil function removes the fault.
func (f *FS) SetFault(fault func(Step) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// CrashContent returns the content of a file after a crash.
type CrashContent func(path string, synced, written []byte) []byte

// SyncedContent is a CrashContent that keeps only the synced content.
func SyncedContent(_ string, synced, _ []byte) []byte { return synced }

// WrittenContent is a CrashContent that keeps all written content, as after a crash of the process alone.
func WrittenContent(_ string, _, written []byte) []byte { return written }

// Crash returns the file system after a simulated crash of the machine. Directory entries that were not synced
// are lost unless keepEntries is true, since the operating system may have written them without a sync.
func (f *FS) Crash(content CrashContent, keepEntries bool) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	entries := f.durable
	if keepEntries {
		entries = f.entries
	}
	after.failedSync = f.failedSync
	for path, node := range entries {
		if f.lostNames[path] && f.durable[path] != node {
			continue
		}
		data := bytes.Clone(content(path, node.synced, node.onDisk()))
		kept := &inode{data: data, synced: bytes.Clone(data), dirtyFrom: len(data)}
		after.entries[path] = kept
		after.durable[path] = kept
	}
	for path := range f.lostNames {
		if node := f.durable[path]; node != nil && after.entries[path] == nil {
			data := bytes.Clone(content(path, node.synced, node.onDisk()))
			kept := &inode{data: data, synced: bytes.Clone(data), dirtyFrom: len(data)}
			after.entries[path], after.durable[path] = kept, kept
		}
	}
	return after
}

// Edit durably changes the content of an existing file.
func (f *FS) Edit(path string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.entries[path]
	node.data = edit(bytes.Clone(node.data))
	node.lost = nil
	node.sync()
}

// MakeDirectory implements journal.FileSystem. It does nothing because directories have no entries of their
// own.
func (f *FS) MakeDirectory(string) error { return nil }

// List implements journal.FileSystem.
func (f *FS) List(path string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.entries {
		if filepath.Dir(name) == filepath.Clean(path) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

// ReadFile implements journal.FileSystem.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, found := f.entries[path]
	if !found {
		return nil, &fs.PathError{Op: "read", Path: path, Err: fs.ErrNotExist}
	}
	return bytes.Clone(node.data), nil
}

// Create implements journal.FileSystem.
func (f *FS) Create(path string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectFault(Step{Operation: journal.OperationCreate, Path: path}); err != nil {
		return nil, err
	}
	node, found := f.entries[path]
	if !found {
		node = &inode{}
		f.entries[path] = node
		delete(f.lostNames, path)
	}
	node.truncate(0)
	return &file{fs: f, path: path, node: node}, nil
}

// Append implements journal.FileSystem.
func (f *FS) Append(path string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, found := f.entries[path]
	if !found {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fs: f, path: path, node: node}, nil
}

// Rename implements journal.FileSystem.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectFault(Step{Operation: journal.OperationRename, Path: to}); err != nil {
		return err
	}
	f.entries[to] = f.entries[from]
	delete(f.entries, from)
	delete(f.lostNames, from)
	delete(f.lostNames, to)
	return nil
}

// Remove implements journal.FileSystem.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectFault(Step{Operation: journal.OperationRemove, Path: path}); err != nil {
		return err
	}
	delete(f.entries, path)
	delete(f.lostNames, path)
	return nil
}

// SyncDirectory implements journal.FileSystem.
func (f *FS) SyncDirectory(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectFault(Step{Operation: journal.OperationSyncDirectory, Path: path}); err != nil {
		if f.failedSync != FailedSyncKeepsWrites {
			f.loseEntries(path)
		}
		return err
	}
	for name := range f.durable {
		if filepath.Dir(name) == filepath.Clean(path) && !f.lostNames[name] {
			delete(f.durable, name)
		}
	}
	for name, node := range f.entries {
		if filepath.Dir(name) == filepath.Clean(path) && !f.lostNames[name] {
			f.durable[name] = node
		}
	}
	return nil
}

// loseEntries marks the entries of a directory that are not durable as lost. The caller must hold f.mu.
func (f *FS) loseEntries(path string) {
	for name, node := range f.entries {
		if filepath.Dir(name) == filepath.Clean(path) && f.durable[name] != node {
			f.lostNames[name] = true
		}
	}
	for name := range f.durable {
		if filepath.Dir(name) == filepath.Clean(path) && f.entries[name] == nil {
			f.lostNames[name] = true
		}
	}
}

// Lock implements journal.FileSystem.
func (f *FS) Lock(path string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[path] {
		return nil, &journal.LockedError{Path: path}
	}
	f.locks[path] = true
	return closerFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.locks, path)
	}), nil
}

// injectFault returns the error that the fault function injects into a step. The caller must hold f.mu.
func (f *FS) injectFault(s Step) error {
	if f.fault == nil {
		return nil
	}
	return f.fault(s)
}

type closerFunc func()

func (u closerFunc) Close() error {
	u()
	return nil
}
