package control

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// PayloadError reports an unusable document that was received or read from disk.
type PayloadError struct{ Err error }

func (e *PayloadError) Error() string { return fmt.Sprintf("control: unusable document: %v", e.Err) }

func (e *PayloadError) Unwrap() error { return e.Err }

// encodePayload encodes and compresses a document. Whole documents are sent after a change that replaces
// the document and to instances that are too far behind for edits. Averaged over a day this is a small
// fraction of the 30 KB/s that a node may use.
func encodePayload(version configuration.Version, document *configuration.Document) ([]byte, error) {
	data, err := configuration.EncodeDocument(version, document)
	if err != nil {
		return nil, fmt.Errorf("control: encode: %w", err)
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("control: compress: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("control: compress: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("control: compress: %w", err)
	}
	return compressed.Bytes(), nil
}

// decodePayload is the inverse of encodePayload. It returns *PayloadError. It reads at most one byte more
// than the maximum size of a document, so that a small payload cannot cause unbounded memory use.
func decodePayload(payload []byte) (configuration.Version, *configuration.Document, error) {
	reader := flate.NewReader(bytes.NewReader(payload))
	data, err := io.ReadAll(io.LimitReader(reader, configuration.MaxDocumentBytes+1))
	if err != nil {
		return 0, nil, &PayloadError{Err: err}
	}
	version, document, err := configuration.DecodeDocument(data)
	if err != nil {
		return 0, nil, &PayloadError{Err: err}
	}
	return version, document, nil
}

// documentDigest returns the hash with which the receiver of edits verifies the resulting document.
func documentDigest(version configuration.Version, document *configuration.Document) (uint64, error) {
	data, err := configuration.EncodeDocument(version, document)
	if err != nil {
		return 0, fmt.Errorf("control: digest: %w", err)
	}
	return xxhash.Sum64(data), nil
}

// versionCache caches a value computed from the newest version, so that it is computed once for all
// subscribers.
type versionCache[T any] struct {
	compute func(configuration.Version, *configuration.Document) (T, error)

	mu      sync.Mutex
	version configuration.Version
	value   T
}

func (c *versionCache[T]) get(version configuration.Version, document *configuration.Document) (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version {
		return c.value, nil
	}
	value, err := c.compute(version, document)
	if err != nil {
		return value, err
	}
	if version > c.version {
		c.version = version
		c.value = value
	}
	return value, nil
}
