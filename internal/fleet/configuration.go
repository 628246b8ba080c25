package fleet

import (
	"bytes"
	"compress/zlib"
	"fmt"
	"io"

	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// MaxDocumentBytes is the maximum size of a configuration as an operator sends it.
const MaxDocumentBytes = 8 << 20

// zlibHeader is the first byte of compressed content. A JSON text never begins with it.
const zlibHeader = 0x78

// ContentError reports the content of a configuration that cannot be compressed or expanded.
type ContentError struct {
	Operation string // "compress" or "expand"
	Cause     error
}

func (e *ContentError) Error() string {
	return fmt.Sprintf("fleet: %s a configuration: %v", e.Operation, e.Cause)
}

func (e *ContentError) Unwrap() error { return e.Cause }

// documentTooLongError reports content that expands to more than MaxDocumentBytes.
type documentTooLongError struct{}

func (*documentTooLongError) Error() string { return "longer than the largest configuration" }

// Compress returns a configuration in the form in which it is stored and transferred. It returns *ContentError.
func Compress(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := zlib.NewWriterLevel(&out, zlib.BestSpeed)
	if err == nil {
		_, err = w.Write(document)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, &ContentError{Operation: "compress", Cause: err}
	}
	return out.Bytes(), nil
}

// Expand is the inverse of Compress. Content that earlier releases stored is not compressed and is returned as it
// is. It returns *ContentError.
func Expand(content []byte) ([]byte, error) {
	if len(content) == 0 || content[0] != zlibHeader {
		return content, nil
	}
	r, err := zlib.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, &ContentError{Operation: "expand", Cause: err}
	}
	document, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err == nil && len(document) > MaxDocumentBytes {
		err = &documentTooLongError{}
	}
	if err != nil {
		return nil, &ContentError{Operation: "expand", Cause: err}
	}
	return document, nil
}

// DecodeConfiguration expands, decodes and compiles the stored content of a configuration. The error is a
// *ContentError or one of platform.DecodeDocument.
func DecodeConfiguration(content []byte) (*routing.Table, error) {
	document, err := Expand(content)
	if err != nil {
		return nil, err
	}
	return platform.DecodeDocument(document)
}
