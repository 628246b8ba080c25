package link

import (
	"github.com/fxamacker/cbor/v2"
)

// protocolVersion is the version of frames and handshake. Both sides must speak the same one.
const protocolVersion = 1

// Decoding limits. A message between instances is flat and far below them.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
	maxNameBytes     = 64
)

// frameType tells how a frame is to be answered.
type frameType uint8

const (
	frameOneWay frameType = iota + 1
	frameCall
	frameReply
	frameError // the body is a remoteFailure
)

// frame is the unit on a connection, encoded as a CBOR array in this order.
type frame struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Type        frameType
	Kind        Kind
	Sender      string
	Incarnation uint64
	Call        uint64 // 0 for one-way messages
	Body        cbor.RawMessage
}

// remoteFailure is the body of a frameError.
type remoteFailure struct {
	_      struct{} `cbor:",toarray"`
	Code   string
	Detail string
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{
		Time:        cbor.TimeUnixMicro, // microseconds; the default drops fractions of a second
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		NaN:               cbor.NaNDecodeForbidden,
		Inf:               cbor.InfDecodeForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the encoding of a body as Send and Call produce it. It returns *EncodeError.
func Encode(body any) ([]byte, error) {
	data, err := encMode.Marshal(body)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return data, nil
}

// Decode reads a body under the decoding limits: no tags, no indefinite lengths, no repeated keys,
// bounded nesting. Unknown fields are ignored so that instances of two releases understand
// each other. It returns *DecodeError.
func Decode(body []byte, into any) error {
	if err := decMode.Unmarshal(body, into); err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}

// encodeFrame returns *EncodeError or *TooLongError.
func encodeFrame(f frame, limit int) ([]byte, error) {
	f.Version = protocolVersion
	if len(f.Body) == 0 {
		f.Body = cbor.RawMessage{0xf6} // null
	}
	data, err := Encode(f)
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, &TooLongError{Bytes: len(data), Limit: limit}
	}
	return data, nil
}

// decodeFrame returns *VersionError or *DecodeError. The frame shares no memory with data.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if version, ok := leadingVersion(data); ok && version != protocolVersion {
		return frame{}, &VersionError{Version: version}
	}
	if err := Decode(data, &f); err != nil {
		return frame{}, err
	}
	if f.Version != protocolVersion {
		return frame{}, &VersionError{Version: f.Version}
	}
	return f, nil
}

// leadingVersion reads the first element of a short array without decoding the rest, whose
// layout may differ in another version.
func leadingVersion(data []byte) (version uint64, ok bool) {
	const arrayType, shortLength = 4, 24
	if len(data) < 2 || data[0]>>5 != arrayType || data[0]&0x1f >= shortLength {
		return 0, false
	}
	_, err := decMode.UnmarshalFirst(data[1:], &version)
	return version, err == nil
}
