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

// FS is an in-memory file system with fault injection. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	entries map[string]*inode // directory entries as processes see them
	durable map[string]*inode // synced directory entries, which remain after a crash
	locks   map[string]bool
	fault   func(Step) error
}

type inode struct {
	data   []byte
	synced []byte
}

// New returns an empty file system.
func New() *FS {
	return &FS{entries: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]bool{}}
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
	for path, node := range entries {
		data := bytes.Clone(content(path, node.synced, node.data))
		kept := &inode{data: data, synced: bytes.Clone(data)}
		after.entries[path] = kept
		after.durable[path] = kept
	}
	return after
}

// Edit durably changes the content of an existing file.
func (f *FS) Edit(path string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.entries[path]
	node.data = edit(bytes.Clone(node.data))
	node.synced = bytes.Clone(node.data)
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
	}
	node.data = nil
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
	return nil
}

// SyncDirectory implements journal.FileSystem.
func (f *FS) SyncDirectory(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectFault(Step{Operation: journal.OperationSyncDirectory, Path: path}); err != nil {
		return err
	}
	for name := range f.durable {
		if filepath.Dir(name) == filepath.Clean(path) {
			delete(f.durable, name)
		}
	}
	for name, node := range f.entries {
		if filepath.Dir(name) == filepath.Clean(path) {
			f.durable[name] = node
		}
	}
	return nil
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
