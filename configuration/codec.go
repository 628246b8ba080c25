package configuration

import (
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// formatVersion is part of every encoded change, snapshot, document and list of edits. It has to be
// incremented with every change of the layout. Other formats are refused, since their layout is unknown.
const formatVersion = 1

// Kinds of encoded content, as named in errors.
const (
	contentChange   = "change"
	contentSnapshot = "snapshot"
	contentDocument = "document"
	contentEdits    = "edits"
)

// MalformedError reports data that is not a valid encoding of its content.
type MalformedError struct {
	Content string // "change", "snapshot", "document" or "edits"
	Detail  string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("configuration: malformed %s: %s", e.Content, e.Detail)
}

// FormatError reports an encoding with an unknown format version.
type FormatError struct {
	Content string
	Format  uint64
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("configuration: %s has format %d, want %d", e.Content, e.Format, formatVersion)
}

// TooLargeError reports an encoding that exceeds its size limit.
type TooLargeError struct {
	Content string
	Bytes   int // size of the encoding
	Limit   int // maximum size, in bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration: %s has %d bytes, at most %d", e.Content, e.Bytes, e.Limit)
}

// encoder encodes deterministically, so that equal states give equal bytes on every replica.
var encoder = must(cbor.CoreDetEncOptions().EncMode())

var decoder = must(cbor.DecOptions{
	DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	IndefLength:       cbor.IndefLengthForbidden,
	TagsMd:            cbor.TagsForbidden,
	ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	MaxNestedLevels:   16,
	MaxArrayElements:  1 << 14,
	MaxMapPairs:       1 << 10,
}.DecMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // cannot occur: must is called only with constant options
	}
	return v
}

type encodedChange struct {
	Format uint64 `cbor:"format"`
	Change Change `cbor:"change"`
}

type encodedDocument struct {
	Format   uint64    `cbor:"format"`
	Version  Version   `cbor:"version"`
	Document *Document `cbor:"document"`
}

type encodedEdits struct {
	Format uint64        `cbor:"format"`
	Edits  []encodedEdit `cbor:"edits"`
}

type encodedEdit struct {
	Edit  Edit   `cbor:"edit"`
	Patch *Patch `cbor:"patch,omitempty"`
}

type encodedSnapshot struct {
	Format   uint64                    `cbor:"format"`
	Version  Version                   `cbor:"version"`
	Document *Document                 `cbor:"document"`
	Changes  []encodedRememberedChange `cbor:"changes"` // oldest first
}

type encodedRememberedChange struct {
	ID     string `cbor:"id"`
	Digest []byte `cbor:"digest"`
	Result Result `cbor:"result"`
}

// EncodeChange returns a change encoded as a log entry. It returns *InvalidIDError or *TooLargeError.
func EncodeChange(change Change) ([]byte, error) {
	if err := CheckID(change.ID); err != nil {
		return nil, err
	}
	return encode(contentChange, MaxChangeBytes, encodedChange{Format: formatVersion, Change: change})
}

// DecodeChange reverses EncodeChange. It returns *MalformedError, *FormatError, *TooLargeError or
// *InvalidIDError.
func DecodeChange(data []byte) (Change, error) {
	var decoded encodedChange
	if err := decode(contentChange, MaxChangeBytes, data, &decoded); err != nil {
		return Change{}, err
	}
	if err := CheckID(decoded.Change.ID); err != nil {
		return Change{}, err
	}
	return decoded.Change, nil
}

// EncodeDocument encodes a document with its version, for the transfer between instances and for storage on
// disk.
func EncodeDocument(version Version, document *Document) ([]byte, error) {
	encoded := encodedDocument{Format: formatVersion, Version: version, Document: document}
	return encode(contentDocument, MaxDocumentBytes, encoded)
}

// DecodeDocument reverses EncodeDocument and validates the document. It returns *MalformedError,
// *FormatError or *TooLargeError.
func DecodeDocument(data []byte) (Version, *Document, error) {
	var decoded encodedDocument
	if err := decode(contentDocument, MaxDocumentBytes, data, &decoded); err != nil {
		return 0, nil, err
	}
	if decoded.Version == 0 || decoded.Document == nil {
		return 0, nil, &MalformedError{Content: contentDocument, Detail: "version or document is missing"}
	}
	if faults := documentFaults(decoded.Document); len(faults) > 0 {
		return 0, nil, &MalformedError{Content: contentDocument, Detail: faults[0].String()}
	}
	return decoded.Version, decoded.Document, nil
}

// EncodeEdits encodes edits, including patches, for the transfer between instances.
func EncodeEdits(edits []Edit) ([]byte, error) {
	encoded := encodedEdits{Format: formatVersion}
	for _, edit := range edits {
		encoded.Edits = append(encoded.Edits, encodedEdit{Edit: edit, Patch: edit.patch})
	}
	return encode(contentEdits, MaxChangeBytes, encoded)
}

// DecodeEdits reverses EncodeEdits. It returns *MalformedError, *FormatError or *TooLargeError.
func DecodeEdits(data []byte) ([]Edit, error) {
	var decoded encodedEdits
	if err := decode(contentEdits, MaxChangeBytes, data, &decoded); err != nil {
		return nil, err
	}
	edits := make([]Edit, len(decoded.Edits))
	for i, encoded := range decoded.Edits {
		edits[i] = encoded.Edit
		edits[i].patch = encoded.Patch
	}
	return edits, nil
}

func encode(content string, limit int, value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, &MalformedError{Content: content, Detail: err.Error()}
	}
	if len(data) > limit {
		return nil, &TooLargeError{Content: content, Bytes: len(data), Limit: limit}
	}
	return data, nil
}

func decode(content string, limit int, data []byte, into any) error {
	if len(data) > limit {
		return &TooLargeError{Content: content, Bytes: len(data), Limit: limit}
	}
	// The format version is read first, since other formats may have other fields.
	var header struct {
		Format uint64 `cbor:"format"`
	}
	if err := headerDecoder.Unmarshal(data, &header); err != nil {
		return &MalformedError{Content: content, Detail: err.Error()}
	}
	if header.Format != formatVersion {
		return &FormatError{Content: content, Format: header.Format}
	}
	if err := decoder.Unmarshal(data, into); err != nil {
		return &MalformedError{Content: content, Detail: err.Error()}
	}
	return nil
}

// headerDecoder ignores unknown fields.
var headerDecoder = must(cbor.DecOptions{
	MaxNestedLevels:  16,
	MaxArrayElements: 1 << 14,
	MaxMapPairs:      1 << 10,
}.DecMode())

// digest returns the digest of the content of a change.
func digest(change *Change) (Digest, error) {
	content := struct {
		Base Version `cbor:"base"`
		Edit Edit    `cbor:"edit"`
	}{change.Base, change.Edit}
	data, err := encoder.Marshal(content)
	if err != nil {
		return Digest{}, &MalformedError{Content: contentChange, Detail: err.Error()}
	}
	return sha256.Sum256(data), nil
}
