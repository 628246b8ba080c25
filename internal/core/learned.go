package core

import (
	"bytes"
	"context"
	"crypto/sha256"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/placement"
)

const (
	// learnedInterval is the interval at which the followers ask the leader for what its allocator has learned,
	// about 28 bytes for each engine.
	learnedInterval = 10 * time.Second
	// learnedSaveInterval is the interval at which it is saved for the next start.
	learnedSaveInterval = 5 * time.Second
	// maxLearnedBytes bounds the file; 600 engines and 1,000 routes take 60 KB.
	maxLearnedBytes = 1 << 20
)

// learnedFile keeps what the allocator has learned across restarts. The file is a hint: it is not synced, and a
// missing or damaged one only means that everything is learned again.
type learnedFile struct{ path string }

func newLearnedFile(dataFolder string) learnedFile {
	return learnedFile{path: filepath.Join(dataFolder, "learned")}
}

// LearnedFileError reports a file that cannot be used.
type LearnedFileError struct {
	Path  string
	Cause error // nil if the checksum does not match
}

func (e *LearnedFileError) Error() string {
	if e.Cause == nil {
		return "core: " + e.Path + ": damaged"
	}
	return "core: " + e.Path + ": " + e.Cause.Error()
}

func (e *LearnedFileError) Unwrap() error { return e.Cause }

// save replaces the file. A SHA-256 checksum precedes the content.
func (f learnedFile) save(l placement.Learned) error {
	body, err := cbor.Marshal(l)
	if err != nil {
		return &LearnedFileError{Path: f.path, Cause: err}
	}
	sum := sha256.Sum256(body)
	temporary := f.path + ".new"
	if err := os.WriteFile(temporary, append(sum[:], body...), 0o600); err != nil {
		return &LearnedFileError{Path: temporary, Cause: err}
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return &LearnedFileError{Path: f.path, Cause: err}
	}
	return nil
}

// load reads the file. An error that is os.ErrNotExist means that there is none.
func (f learnedFile) load() (placement.Learned, error) {
	info, err := os.Stat(f.path)
	if err != nil {
		return placement.Learned{}, &LearnedFileError{Path: f.path, Cause: err}
	}
	if info.Size() < sha256.Size || info.Size() > maxLearnedBytes {
		return placement.Learned{}, &LearnedFileError{Path: f.path}
	}
	data, err := os.ReadFile(f.path)
	if err != nil {
		return placement.Learned{}, &LearnedFileError{Path: f.path, Cause: err}
	}
	return decodeLearned(f.path, data)
}

func decodeLearned(path string, data []byte) (placement.Learned, error) {
	if len(data) < sha256.Size {
		return placement.Learned{}, &LearnedFileError{Path: path}
	}
	body := data[sha256.Size:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], data[:sha256.Size]) {
		return placement.Learned{}, &LearnedFileError{Path: path}
	}
	var l placement.Learned
	if err := cbor.Unmarshal(body, &l); err != nil {
		return placement.Learned{}, &LearnedFileError{Path: path, Cause: err}
	}
	return l, nil
}

// restoreLearned passes the saved state to the allocator.
func (c *ControlInstance) restoreLearned() {
	l, err := c.learned.load()
	if err != nil {
		c.options.Logger.Info().Err(err).Msg("engines are learned anew")
		return
	}
	c.allocator.TakeOver(l)
	c.options.Logger.Info().Int("engines", len(l.Engines)).Int("routes", len(l.Routes)).Msg("learned state restored")
}

// saveLearned saves what is known at this instance at intervals until ctx is cancelled. A failure is logged once
// until a later attempt succeeds.
func (c *ControlInstance) saveLearned(ctx context.Context) error {
	ticker := time.NewTicker(learnedSaveInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		l := c.allocator.Learned()
		if len(l.Engines) == 0 {
			continue
		}
		err := c.learned.save(l)
		if err != nil && !failing {
			c.options.Logger.Warn().Err(err).Msg("learned state not saved")
		}
		failing = err != nil
	}
}
