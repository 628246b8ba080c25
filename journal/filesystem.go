package journal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of a FileSystem. Write appends to the end of the file.
type File interface {
	io.Writer
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FileSystem is the set of file system operations that a journal uses. Tests use another implementation to
// inject faults.
type FileSystem interface {
	// MakeDirectory durably creates a directory and its missing parents.
	MakeDirectory(path string) error
	// List returns the names of the entries of a directory in any order.
	List(path string) ([]string, error)
	// ReadFile returns the content of a file. The error wraps fs.ErrNotExist if the file does not exist.
	ReadFile(path string) ([]byte, error)
	// Create creates a file for appending; an existing file is truncated to zero length.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDirectory makes the creations, renames and removals in a directory durable.
	SyncDirectory(path string) error
	// Lock acquires an exclusive lock that is released when it is closed or the process ends. It returns
	// *LockedError if the lock is held.
	Lock(path string) (io.Closer, error)
}

// OS is the FileSystem of the operating system.
type OS struct{}

const (
	directoryMode = 0o700
	fileMode      = 0o600 // identity files hold secrets
)

// MakeDirectory implements FileSystem. It syncs the parent of each directory that it creates.
func (o OS) MakeDirectory(path string) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := o.MakeDirectory(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, directoryMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return o.SyncDirectory(parent)
}

// List implements FileSystem.
func (OS) List(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// ReadFile implements FileSystem.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (OS) Create(path string) (File, error) {
	return openFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// Append implements FileSystem.
func (OS) Append(path string) (File, error) {
	return openFile(path, os.O_RDWR|os.O_APPEND)
}

// openFile opens a file. On an error it returns a nil File rather than a File that holds a nil *os.File.
func openFile(path string, flag int) (File, error) {
	file, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDirectory implements FileSystem.
func (OS) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	syncErr := directory.Sync()
	closeErr := directory.Close()
	if syncErr != nil {
		return syncErr
	}
	return closeErr
}

// Lock implements FileSystem. It uses flock, whose lock the kernel releases when the process ends.
func (OS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close() // Only the error of flock is reported.
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, &LockedError{Path: path}
	}
	return nil, err
}

const probeName = "probe" + temporarySuffix

// Probe creates, writes, syncs and removes a small file in a directory. It returns *FullError or *IOError if the file
// system refuses any of that. nil means OS.
func Probe(files FileSystem, directory string) error {
	if files == nil {
		files = OS{}
	}
	path := filepath.Join(directory, probeName)
	if err := writeSynced(files, path, []byte{0}); err != nil {
		_ = files.Remove(path) // Open removes a remaining file.
		return err
	}
	if err := files.Remove(path); err != nil {
		return &IOError{Operation: OperationRemove, Path: path, Err: err}
	}
	return nil
}
