package control

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// PayloadError reports a document received or read that cannot be used.
type PayloadError struct{ Err error }

func (e *PayloadError) Error() string { return fmt.Sprintf("control: unusable document: %v", e.Err) }

func (e *PayloadError) Unwrap() error { return e.Err }

// encodePayload compresses an encoded document. Whole documents are sent, since a compressed one
// at the design size (BenchmarkPayload) times 570 changes a day is a small part of the 30 KB/s
// that a node may use, and no base version has to be agreed on.
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

// decodePayload reverses encodePayload. It returns *PayloadError. It reads at most one byte more
// than a document may have, so that a small payload cannot claim unbounded memory.
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

// payloadCache keeps the payload of the newest version, so that it is compressed once for all subscribers.
type payloadCache struct {
	mu      sync.Mutex
	version configuration.Version
	payload []byte
}

func (c *payloadCache) get(version configuration.Version, document *configuration.Document) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version {
		return c.payload, nil
	}
	payload, err := encodePayload(version, document)
	if err != nil {
		return nil, err
	}
	if version > c.version {
		c.version = version
		c.payload = payload
	}
	return payload, nil
}
