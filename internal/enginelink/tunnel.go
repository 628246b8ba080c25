package enginelink

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A tunnel is a connection to a relay, which connects it to an engine. The relay sends a nonce, the instance sends a
// request with a MAC over the nonce and the engine's address, and the relay sends a status. Then the bytes to the
// engine follow as they are, and those from the engine in frames with their length. A frame without bytes is the end of
// the engine's bytes: the loss of the relay must not look like the end of a response.

const (
	nonceBytes      = 32
	maxRequestBytes = 512
	maxFrameBytes   = 16 << 10
	frameHeader     = 2
	macContext      = "primrosebeam relay"
)

// tunnelRequest asks a relay for a connection to an engine.
type tunnelRequest struct {
	Address string `cbor:"1,keyasint"`
	MAC     []byte `cbor:"2,keyasint"`
}

// status is the answer of a relay.
type status byte

const (
	statusConnected   status = 1
	statusRefused     status = 2 // the engine refused the connection
	statusUnreachable status = 3 // the engine did not answer in time
	statusDenied      status = 4 // the key is wrong, or no engine has the address
)

// RefusedError reports an engine that accepts no connection, as a relay found.
type RefusedError struct{ Address string }

func (e *RefusedError) Error() string { return "enginelink: " + e.Address + " refused the connection" }

func (e *RefusedError) Unwrap() error { return syscall.ECONNREFUSED }

// UnreachableError reports an engine that a relay could not reach.
type UnreachableError struct{ Address string }

func (e *UnreachableError) Error() string {
	return "enginelink: " + e.Address + " cannot be reached through a relay"
}

// DeniedError reports a relay that opened no tunnel.
type DeniedError struct{ Relay string }

func (e *DeniedError) Error() string { return "enginelink: relay " + e.Relay + " denied the tunnel" }

func tunnelMAC(key, nonce []byte, address string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macContext))
	h.Write(nonce)
	h.Write([]byte(address))
	return h.Sum(nil)
}

// dialThrough opens a connection to an engine through a relay. The error is *RefusedError, *UnreachableError,
// *DeniedError or that of the connection to the relay.
func dialThrough(ctx context.Context, key []byte, relay, address string) (net.Conn, error) {
	raw, err := newNetDialer().DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	err = requestTunnel(raw, key, relay, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return &tunnel{Conn: raw}, nil
}

func requestTunnel(raw net.Conn, key []byte, relay, address string) error {
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(raw, nonce); err != nil {
		return err
	}
	request, err := cbor.Marshal(tunnelRequest{Address: address, MAC: tunnelMAC(key, nonce, address)})
	if err != nil {
		return err
	}
	if err := writeFrame(raw, request); err != nil {
		return err
	}
	var answer [1]byte
	if _, err := io.ReadFull(raw, answer[:]); err != nil {
		return err
	}
	switch status(answer[0]) {
	case statusConnected:
		return nil
	case statusRefused:
		return &RefusedError{Address: address}
	case statusUnreachable:
		return &UnreachableError{Address: address}
	}
	return &DeniedError{Relay: relay}
}

// writeFrame writes a frame in one call. data has at most maxFrameBytes.
func writeFrame(w io.Writer, data []byte) error {
	frame := binary.BigEndian.AppendUint16(make([]byte, 0, frameHeader+len(data)), uint16(len(data)))
	_, err := w.Write(append(frame, data...))
	return err
}

// tunnel is the instance's side of a tunnel.
type tunnel struct {
	net.Conn
	left  int // bytes of the current frame that were not read yet
	ended bool
}

// Read implements net.Conn. It returns io.EOF at the end of the engine's bytes, and io.ErrUnexpectedEOF if the relay
// closed the connection before.
func (t *tunnel) Read(p []byte) (int, error) {
	if t.left == 0 && !t.ended {
		var header [frameHeader]byte
		if _, err := io.ReadFull(t.Conn, header[:]); err != nil {
			return 0, unexpected(err)
		}
		t.left = int(binary.BigEndian.Uint16(header[:]))
		t.ended = t.left == 0
	}
	if t.ended {
		return 0, io.EOF
	}
	n, err := t.Conn.Read(p[:min(len(p), t.left)])
	t.left -= n
	return n, unexpected(err)
}

// unexpected replaces the regular end of a connection by that within a response.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error.
	return nonce
}
