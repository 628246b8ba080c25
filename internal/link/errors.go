package link

import (
	"fmt"
	"time"
)

// OptionsError reports an option that New cannot work with.
type OptionsError struct {
	Option string
	Reason string
}

func (e *OptionsError) Error() string { return fmt.Sprintf("link: option %s: %s", e.Option, e.Reason) }

// Reason tells why a connection was refused or closed. It is the label of the metric of refusals.
type Reason string

// Reasons of a refusal.
const (
	ReasonUnknownSender Reason = "unknown-sender" // the settings do not name the other side
	ReasonWrongPeer     Reason = "wrong-peer"     // the other side is not the one that was dialled
	ReasonWrongKey      Reason = "wrong-key"      // the answer to the challenge was not computed with the shared key and this role
	ReasonVersion       Reason = "version"        // another protocol version
	ReasonTooLong       Reason = "too-long"       // a frame longer than Options.MaxFrameBytes
	ReasonUndecodable   Reason = "undecodable"    // bytes that are not a frame
	ReasonSender        Reason = "sender"         // a frame names a sender or an incarnation that did not authenticate
	ReasonUnexpected    Reason = "unexpected"     // a frame that this side of a connection never receives
	ReasonIncarnation   Reason = "incarnation"    // a connection of a newer incarnation of the sender is open
	ReasonTooMany       Reason = "too-many"       // too many connections that have not authenticated yet
	ReasonTimeout       Reason = "timeout"        // the handshake took longer than Options.HandshakeTimeout
)

// RefusedError reports a connection that was refused by this side or, when Remote is set, by the other side.
type RefusedError struct {
	Peer   string // claimed name; empty when unknown
	Reason Reason
	Remote bool
	Cause  error
}

func (e *RefusedError) Error() string {
	text := fmt.Sprintf("link: connection with %q refused: %s", e.Peer, e.Reason)
	if e.Remote {
		text += " (by the peer)"
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *RefusedError) Unwrap() error { return e.Cause }

// VersionError reports a frame or handshake of another protocol version.
type VersionError struct{ Version uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("link: protocol version %d, this side speaks %d", e.Version, protocolVersion)
}

// DecodeError reports bytes that are not valid under the decoding limits.
type DecodeError struct{ Cause error }

func (e *DecodeError) Error() string { return "link: undecodable: " + e.Cause.Error() }

func (e *DecodeError) Unwrap() error { return e.Cause }

// EncodeError reports a body that cannot be encoded.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return "link: cannot encode: " + e.Cause.Error() }

func (e *EncodeError) Unwrap() error { return e.Cause }

// TooLongError reports a message that does not fit into one frame.
type TooLongError struct {
	Bytes int
	Limit int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("link: frame of %d bytes exceeds %d", e.Bytes, e.Limit)
}

// CancelledError reports a call whose context ended before the reply. Cause is the context's error.
type CancelledError struct {
	Peer  string
	Sent  bool // when false, the peer cannot have seen the message and never will
	Cause error
}

func (e *CancelledError) Error() string {
	return fmt.Sprintf("link: call to %q (sent: %t): %s", e.Peer, e.Sent, e.Cause)
}

func (e *CancelledError) Unwrap() error { return e.Cause }

// ClosedError reports the use of a node that is closing or closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "link: closed" }

// StalledError reports a connection on which nothing arrived, or on which a write was stuck, for too long.
type StalledError struct {
	Duration time.Duration
	Write    bool
}

func (e *StalledError) Error() string {
	if e.Write {
		return fmt.Sprintf("link: write stuck for %s", e.Duration)
	}
	return fmt.Sprintf("link: nothing received for %s", e.Duration)
}

// PartitionsDisabledError reports SetPartitioned on a node that was not made for tests.
type PartitionsDisabledError struct{}

func (e *PartitionsDisabledError) Error() string {
	return "link: SetPartitioned needs Options.AllowPartitions"
}
