package journal

import (
	"bytes"
	"testing"
)

// Guards against a decoder that panics on damaged input or accepts a record that the encoder would encode
// differently.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(appendRecord(nil, record{sequence: 7, durable: 3, payload: []byte("payload")}))
	f.Add([]byte{})
	f.Add(make([]byte, 100))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, size, result := decodeRecord(data)
		if len(data) > 0 {
			isTorn(data, 0, r.sequence)
		}
		if result != decodeOK {
			return
		}
		if !bytes.Equal(appendRecord(nil, r), data[:size]) {
			t.Fatal("decoded record encodes to different bytes")
		}
	})
}
