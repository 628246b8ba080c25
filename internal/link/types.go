// Package link carries typed messages between instances: CBOR frames over mutually
// authenticated WebSocket connections.
package link

import (
	"context"
	"fmt"
)

// Kind names a message type, for example "claims.begin".
type Kind string

// Sender is the authenticated origin of a message.
type Sender struct {
	Name        string
	DataCentre  string
	Incarnation uint64
}

// Handler consumes one message. For a call, the reply is encoded and sent back; an error that has a
// method Code() string reaches the caller as *RemoteError with that code.
type Handler func(ctx context.Context, from Sender, body []byte) (reply any, err error)

// Caller is the sending side of a Node, as other packages use it.
type Caller interface {
	// Send queues a one-way message. It returns *FullError or *UnknownPeerError.
	Send(to string, kind Kind, body any) error
	// Call sends a message and decodes the reply into reply. It returns *UnknownPeerError,
	// *UnreachableError, *RemoteError or the context's error.
	Call(ctx context.Context, to string, kind Kind, body, reply any) error
}

// UnknownPeerError reports a destination that the settings do not name.
type UnknownPeerError struct{ Peer string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("link: unknown peer %q", e.Peer) }

// FullError reports that too many messages to a peer wait already.
type FullError struct {
	Peer     string
	Capacity int // messages
}

func (e *FullError) Error() string {
	return fmt.Sprintf("link: %d messages to %q wait already", e.Capacity, e.Peer)
}

// UnreachableError reports a call without a reply. When Sent is false, the peer cannot have seen the message.
type UnreachableError struct {
	Peer string
	Sent bool
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("link: no reply from %q (sent: %t)", e.Peer, e.Sent)
}

// RemoteError is the error that the peer's handler returned.
type RemoteError struct {
	Peer   string
	Code   string // stable, for example "claims.stale"
	Detail string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("link: %q answered %s: %s", e.Peer, e.Code, e.Detail)
}
