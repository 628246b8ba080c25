package journal

import "path/filepath"

// temporarySuffix marks files that are renamed once they are complete. Open removes the ones that a crash left
// behind.
const temporarySuffix = ".tmp"

// WriteFileAtomic durably replaces a small file: it writes a temporary file in the same directory, syncs it,
// renames it and syncs the directory. After a crash at any step the file has either its old or its new
// content. It returns *FullError if there is no space, and the file keeps its old content, or *IOError, after
// which the file may have either content.
func WriteFileAtomic(files FileSystem, path string, data []byte) error {
	temporary := path + temporarySuffix
	if err := writeSynced(files, temporary, data); err != nil {
		_ = files.Remove(temporary) // A remaining file is harmless: the next write truncates it.
		return err
	}
	if err := files.Rename(temporary, path); err != nil {
		return wrapWriteError(OperationRename, path, err)
	}
	return syncDirectory(files, filepath.Dir(path))
}

func writeSynced(files FileSystem, path string, data []byte) error {
	file, err := files.Create(path)
	if err != nil {
		return wrapWriteError(OperationCreate, path, err)
	}
	if err := writeAll(file, data); err != nil {
		_ = file.Close() // Only the write error is reported.
		return wrapWriteError(OperationWrite, path, err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close() // Only the sync error is reported.
		return wrapWriteError(OperationSync, path, err)
	}
	if err := file.Close(); err != nil {
		return wrapWriteError(OperationSync, path, err)
	}
	return nil
}

func writeAll(file File, data []byte) error {
	n, err := file.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return &ShortWriteError{Written: n, Given: len(data)}
	}
	return nil
}

func syncDirectory(files FileSystem, path string) error {
	if err := files.SyncDirectory(path); err != nil {
		return wrapWriteError(OperationSyncDirectory, path, err)
	}
	return nil
}
