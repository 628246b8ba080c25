package control

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// fileName is the name of the file in the data folder that holds the last version.
const fileName = "configuration.last"

// fileMagic is the start of the file; its last digit is the version of the layout. The layout is: magic,
// xxhash64 of the payload in big endian, payload.
var fileMagic = []byte("PBCONF01")

const fileHeaderBytes = 16

// CorruptFileError reports that the file with the last version is damaged or has an unknown layout. The
// instance then starts as if it had no stored version.
type CorruptFileError struct {
	Path string
	Err  error // nil when the checksum or the layout is wrong
}

func (e *CorruptFileError) Error() string {
	return fmt.Sprintf("control: %s is corrupt: %v", e.Path, e.Err)
}

func (e *CorruptFileError) Unwrap() error { return e.Err }

// loadVersion reads the last version. Version 0 means that the file does not exist. It returns
// *CorruptFileError or the error of the file system.
func loadVersion(directory string) (configuration.Version, *configuration.Document, error) {
	path := filepath.Join(directory, fileName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, fmt.Errorf("control: read last version: %w", err)
	}
	if len(data) < fileHeaderBytes || !bytes.HasPrefix(data, fileMagic) {
		return 0, nil, &CorruptFileError{Path: path}
	}
	payload := data[fileHeaderBytes:]
	if binary.BigEndian.Uint64(data[len(fileMagic):]) != xxhash.Sum64(payload) {
		return 0, nil, &CorruptFileError{Path: path}
	}
	version, document, err := decodePayload(payload)
	if err != nil {
		return 0, nil, &CorruptFileError{Path: path, Err: err}
	}
	return version, document, nil
}

// directoryMode excludes other users from the directory, which is created with the first file.
const directoryMode = 0o700

// saveVersion replaces the file atomically: it writes and syncs a temporary file, renames it and syncs the
// directory.
func saveVersion(directory string, payload []byte) (err error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return fmt.Errorf("control: save version: %w", err)
	}
	data := make([]byte, 0, fileHeaderBytes+len(payload))
	data = append(data, fileMagic...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(payload))
	data = append(data, payload...)
	temporary, err := os.CreateTemp(directory, fileName+".*.tmp")
	if err != nil {
		return fmt.Errorf("control: save version: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(temporary.Name()) // the temporary file was not renamed
		}
	}()
	_, writeErr := temporary.Write(data)
	syncErr := temporary.Sync()
	closeErr := temporary.Close()
	if err := errors.Join(writeErr, syncErr, closeErr); err != nil {
		return fmt.Errorf("control: save version: %w", err)
	}
	if err := os.Rename(temporary.Name(), filepath.Join(directory, fileName)); err != nil {
		return fmt.Errorf("control: save version: %w", err)
	}
	return syncDirectory(directory)
}

func syncDirectory(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return fmt.Errorf("control: save version: %w", err)
	}
	if err := errors.Join(opened.Sync(), opened.Close()); err != nil {
		return fmt.Errorf("control: save version: %w", err)
	}
	return nil
}
