// Package link carries typed messages between instances: CBOR frames over mutually
// authenticated WebSocket connections.
package link

import (
	"context"
	"fmt"
)

// Kind is the name of a message type, for example "claims.begin".
type Kind string

// Sender is the authenticated origin of a message.
type Sender struct {
	Name        string
	DataCentre  string
	Incarnation uint64
}

// Handler processes one message. For a call, the reply is encoded and sent back. An error with a
// method Code() string is returned to the caller as *RemoteError with that code.
type Handler func(ctx context.Context, from Sender, body []byte) (reply any, err error)

// Caller is the interface through which other packages send messages over a Node.
type Caller interface {
	// Send queues a one-way message. It returns *FullError or *UnknownPeerError.
	Send(to string, kind Kind, body any) error
	// Call sends a message and decodes the reply into reply. It returns *UnknownPeerError,
	// *UnreachableError, *RemoteError or the context's error.
	Call(ctx context.Context, to string, kind Kind, body, reply any) error
}

// UnknownPeerError reports a destination that is not a configured peer.
type UnknownPeerError struct{ Peer string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("link: unknown peer %q", e.Peer) }

// FullError reports that the queue of messages or the number of outstanding calls to a peer is at its limit.
type FullError struct {
	Peer     string
	Capacity int // limit in messages or calls
}

func (e *FullError) Error() string {
	return fmt.Sprintf("link: limit of %d waiting messages or calls to %q reached", e.Capacity, e.Peer)
}

// UnreachableError reports a call that ended without a reply. If Sent is false, the peer cannot have received
// the message.
type UnreachableError struct {
	Peer string
	Sent bool
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("link: no reply from %q (sent: %t)", e.Peer, e.Sent)
}

// RemoteError is an error returned by the peer: by its handler or, with a code of this package, by its node.
type RemoteError struct {
	Peer   string
	Code   string // stable, for example "claims.stale"
	Detail string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("link: peer %q returned error %s: %s", e.Peer, e.Code, e.Detail)
}
