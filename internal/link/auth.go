package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"

	"github.com/coder/websocket"
)

// The handshake has four messages: hello (dialler), challenge (listener), response (dialler) and confirm
// (listener). Response and confirm carry a MAC over all values that both sides sent and over the role of the
// side that computed it, so that neither can be replayed on another connection or reflected. The handshake
// sets up no encryption and no integrity protection: the frames that follow it rely on the network to prevent
// modification in transit.

const (
	nonceBytes        = 32
	minSharedKeyBytes = 16
	maxHandshakeBytes = 1024 // the longest handshake message has two names, a nonce and a MAC
)

type role string

const (
	roleDialler  role = "dialler"
	roleListener role = "listener"
)

type handshakeStep uint8

const (
	stepHello handshakeStep = iota + 1
	stepChallenge
	stepResponse
	stepConfirm
	stepRefusal
)

// handshake is one message of the handshake. It is encoded as a CBOR array in this order.
type handshake struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Step        handshakeStep
	Name        string
	DataCentre  string
	Incarnation uint64
	To          string // expected name of the listener; only in a hello
	Nonce       []byte
	MAC         []byte
	Refusal     Reason
}

// transcript holds the values that a MAC covers. Its CBOR encoding is unambiguous.
type transcript struct {
	_             struct{} `cbor:",toarray"`
	Protocol      string
	Version       uint64
	Role          role // role of the side that computes the MAC
	Dialler       Sender
	Listener      Sender
	DiallerNonce  []byte
	ListenerNonce []byte
}

func (t transcript) mac(key []byte, by role) ([]byte, error) {
	t.Protocol = "primrosebeam link"
	t.Version = protocolVersion
	t.Role = by
	data, err := Encode(t)
	if err != nil {
		return nil, err
	}
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil), nil
}

// verify checks a MAC in constant time. It returns *RefusedError if the MAC does not match.
func (t transcript) verify(key []byte, by role, mac []byte) error {
	want, err := t.mac(key, by)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, mac) {
		return &RefusedError{Reason: ReasonWrongKey}
	}
	return nil
}

// identity is the local side of a handshake.
type identity struct {
	self Sender
	key  []byte
}

func (id identity) message(step handshakeStep) handshake {
	return handshake{
		Version:     protocolVersion,
		Step:        step,
		Name:        id.self.Name,
		DataCentre:  id.self.DataCentre,
		Incarnation: id.self.Incarnation,
	}
}

// dial runs the dialler's side and returns the authenticated listener.
func (id identity) dial(ctx context.Context, ws *websocket.Conn, peer string) (Sender, error) {
	hello := id.message(stepHello)
	hello.To = peer
	hello.Nonce = newNonce()
	if err := writeHandshake(ctx, ws, hello); err != nil {
		return Sender{}, err
	}
	challenge, err := readHandshake(ctx, ws, stepChallenge)
	if err != nil {
		return Sender{}, err
	}
	listener := challenge.sender()
	if listener.Name != peer {
		return Sender{}, id.sendRefusal(ctx, ws, &RefusedError{Peer: listener.Name, Reason: ReasonWrongPeer})
	}
	t := transcript{Dialler: id.self, Listener: listener, DiallerNonce: hello.Nonce, ListenerNonce: challenge.Nonce}
	response := id.message(stepResponse)
	if response.MAC, err = t.mac(id.key, roleDialler); err != nil {
		return Sender{}, err
	}
	if err := writeHandshake(ctx, ws, response); err != nil {
		return Sender{}, err
	}
	confirm, err := readHandshake(ctx, ws, stepConfirm)
	if err != nil {
		return Sender{}, err
	}
	if err := t.verify(id.key, roleListener, confirm.MAC); err != nil {
		return Sender{}, id.sendRefusal(ctx, ws, err)
	}
	return listener, nil
}

// listen runs the listener's side and returns the authenticated dialler. The function known reports whether the
// claimed name is that of a known peer; it is called before the dialler is authenticated.
func (id identity) listen(ctx context.Context, ws *websocket.Conn, known func(name string) bool) (Sender, error) {
	hello, err := readHandshake(ctx, ws, stepHello)
	if err != nil {
		return Sender{}, id.sendRefusal(ctx, ws, err)
	}
	dialler := hello.sender()
	if !known(dialler.Name) {
		return dialler, id.sendRefusal(ctx, ws, &RefusedError{Peer: dialler.Name, Reason: ReasonUnknownSender})
	}
	if hello.To != id.self.Name {
		return dialler, id.sendRefusal(ctx, ws, &RefusedError{Peer: dialler.Name, Reason: ReasonWrongPeer})
	}
	challenge := id.message(stepChallenge)
	challenge.Nonce = newNonce()
	if err := writeHandshake(ctx, ws, challenge); err != nil {
		return dialler, err
	}
	response, err := readHandshake(ctx, ws, stepResponse)
	if err != nil {
		return dialler, id.sendRefusal(ctx, ws, err)
	}
	t := transcript{Dialler: dialler, Listener: id.self, DiallerNonce: hello.Nonce, ListenerNonce: challenge.Nonce}
	if err := t.verify(id.key, roleDialler, response.MAC); err != nil {
		return dialler, id.sendRefusal(ctx, ws, err)
	}
	confirm := id.message(stepConfirm)
	if confirm.MAC, err = t.mac(id.key, roleListener); err != nil {
		return dialler, err
	}
	return dialler, writeHandshake(ctx, ws, confirm)
}

// sendRefusal sends the reason of a refusal to the other side and returns err. The message is not
// authenticated, so the other side must not rely on it.
func (id identity) sendRefusal(ctx context.Context, ws *websocket.Conn, err error) error {
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Remote {
		return err
	}
	refusal := id.message(stepRefusal)
	refusal.Refusal = refused.Reason
	_ = writeHandshake(ctx, ws, refusal) // The connection is closed whether or not the write succeeds.
	return err
}

func (h handshake) sender() Sender {
	return Sender{Name: h.Name, DataCentre: h.DataCentre, Incarnation: h.Incarnation}
}

func (h handshake) validate(step handshakeStep) error {
	switch {
	case h.Version != protocolVersion:
		return &RefusedError{Peer: h.Name, Reason: ReasonVersion, Cause: &VersionError{Version: h.Version}}
	case h.Step == stepRefusal:
		return &RefusedError{Peer: h.Name, Reason: h.Refusal, Remote: true}
	case h.Step != step:
		return &RefusedError{Peer: h.Name, Reason: ReasonUnexpected}
	case len(h.Name) > maxNameBytes || len(h.DataCentre) > maxNameBytes:
		return &RefusedError{Reason: ReasonUndecodable}
	case (step == stepHello || step == stepChallenge) && len(h.Nonce) != nonceBytes:
		return &RefusedError{Peer: h.Name, Reason: ReasonUndecodable}
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error.
	return nonce
}

func writeHandshake(ctx context.Context, ws *websocket.Conn, h handshake) error {
	data, err := Encode(h)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, data)
}

func readHandshake(ctx context.Context, ws *websocket.Conn, step handshakeStep) (handshake, error) {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return handshake{}, asRefusal(err)
	}
	h, err := decodeHandshake(data)
	if err != nil {
		return handshake{}, asRefusal(err)
	}
	return h, h.validate(step)
}

func decodeHandshake(data []byte) (handshake, error) {
	if version, ok := leadingVersion(data); ok && version != protocolVersion {
		return handshake{}, &VersionError{Version: version}
	}
	var h handshake
	err := Decode(data, &h)
	return h, err
}

// asRefusal converts an error caused by a received message, and a timeout, to *RefusedError. Other errors are
// returned unchanged.
func asRefusal(err error) error {
	var refused *RefusedError
	var version *VersionError
	var undecodable *DecodeError
	switch {
	case errors.As(err, &refused):
		return err
	case errors.As(err, &version):
		return &RefusedError{Reason: ReasonVersion, Cause: err}
	case errors.As(err, &undecodable):
		return &RefusedError{Reason: ReasonUndecodable, Cause: err}
	case errors.Is(err, websocket.ErrMessageTooBig):
		return &RefusedError{Reason: ReasonTooLong, Cause: err}
	case errors.Is(err, context.DeadlineExceeded):
		return &RefusedError{Reason: ReasonTimeout, Cause: err}
	}
	return err
}
