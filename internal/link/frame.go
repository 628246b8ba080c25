package link

import (
	"github.com/fxamacker/cbor/v2"
)

// protocolVersion is the version of frames and handshake messages. Both sides must use the same version.
const protocolVersion = 1

// Decoding limits. Messages between instances have little nesting and stay far below these limits.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
	maxNameBytes     = 64
)

// frameType is the type of a frame: one-way message, call, reply or error reply.
type frameType uint8

const (
	frameOneWay frameType = iota + 1
	frameCall
	frameReply
	frameError // the body is a remoteFailure
)

// frame is one message on a connection. It is encoded as a CBOR array in this order.
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
		Time:        cbor.TimeUnixMicro, // microsecond precision; the default drops fractions of a second
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

// Encode returns the CBOR encoding of a body as used by Send and Call. It returns *EncodeError.
func Encode(body any) ([]byte, error) {
	data, err := encMode.Marshal(body)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return data, nil
}

// Decode decodes a body and enforces the decoding limits: no tags, no indefinite lengths, no duplicate keys,
// limited nesting. Unknown fields are ignored so that instances of different releases can communicate.
// It returns *DecodeError.
func Decode(body []byte, into any) error {
	if err := decMode.Unmarshal(body, into); err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}

// encodeFrame encodes a frame of at most limit bytes. It returns *EncodeError or *TooLongError.
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

// decodeFrame decodes a frame, which does not alias data. It returns *VersionError or *DecodeError.
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

// leadingVersion decodes only the first element of an array of fewer than 24 elements, because the layout of
// the rest may differ in another version.
func leadingVersion(data []byte) (version uint64, ok bool) {
	const arrayType, shortLength = 4, 24
	if len(data) < 2 || data[0]>>5 != arrayType || data[0]&0x1f >= shortLength {
		return 0, false
	}
	_, err := decMode.UnmarshalFirst(data[1:], &version)
	return version, err == nil
}
