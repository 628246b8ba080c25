package link

import (
	"fmt"
	"time"
)

// OptionsError reports an invalid option.
type OptionsError struct {
	Option string
	Reason string
}

func (e *OptionsError) Error() string { return fmt.Sprintf("link: option %s: %s", e.Option, e.Reason) }

// Reason is the reason why a connection was refused or closed. It is a label of the metric that counts
// refusals.
type Reason string

// Reasons for refusing or closing a connection.
const (
	ReasonUnknownSender Reason = "unknown-sender" // the other side is not a configured peer
	ReasonWrongPeer     Reason = "wrong-peer"     // the other side is not the instance that was dialled
	ReasonWrongKey      Reason = "wrong-key"      // MAC not computed with the shared key and the expected role
	ReasonVersion       Reason = "version"        // different protocol version
	ReasonTooLong       Reason = "too-long"       // message longer than the handshake limit or MaxFrameBytes
	ReasonUndecodable   Reason = "undecodable"    // invalid encoding of a handshake message or frame
	ReasonSender        Reason = "sender"         // frame whose sender or incarnation was not authenticated
	ReasonUnexpected    Reason = "unexpected"     // message type not allowed from this side or at this step
	ReasonIncarnation   Reason = "incarnation"    // a connection of a newer incarnation of the sender is open
	ReasonTooMany       Reason = "too-many"       // too many connections in the handshake
	ReasonTimeout       Reason = "timeout"        // the handshake took longer than Options.HandshakeTimeout
)

// RefusedError reports a connection that was refused by this side or, if Remote is true, by the other side.
type RefusedError struct {
	Peer   string // name that the other side claims; empty if unknown
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

// VersionError reports a frame or handshake message with an unsupported protocol version.
type VersionError struct{ Version uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("link: unsupported protocol version %d, want %d", e.Version, protocolVersion)
}

// DecodeError reports data that is not valid CBOR within the decoding limits.
type DecodeError struct{ Cause error }

func (e *DecodeError) Error() string { return "link: cannot decode: " + e.Cause.Error() }

func (e *DecodeError) Unwrap() error { return e.Cause }

// EncodeError reports a body that cannot be encoded.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return "link: cannot encode: " + e.Cause.Error() }

func (e *EncodeError) Unwrap() error { return e.Cause }

// TooLongError reports a message whose frame exceeds the size limit. Sizes are in bytes.
type TooLongError struct {
	Bytes int
	Limit int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("link: frame of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// CancelledError reports a call whose context ended before the reply. Cause is the context's error.
type CancelledError struct {
	Peer  string
	Sent  bool // if false, the message was not sent and never will be
	Cause error
}

func (e *CancelledError) Error() string {
	return fmt.Sprintf("link: call to %q cancelled (sent: %t): %s", e.Peer, e.Sent, e.Cause)
}

func (e *CancelledError) Unwrap() error { return e.Cause }

// ClosedError reports the use of a node that is closing or closed, or a second call of Run.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "link: closed" }

// StalledError reports a connection on which nothing was received or a write was blocked for too long.
type StalledError struct {
	Duration time.Duration
	Write    bool
}

func (e *StalledError) Error() string {
	if e.Write {
		return fmt.Sprintf("link: write blocked for %s", e.Duration)
	}
	return fmt.Sprintf("link: nothing received for %s", e.Duration)
}

// PartitionsDisabledError reports a call of SetPartitioned without Options.AllowPartitions.
type PartitionsDisabledError struct{}

func (e *PartitionsDisabledError) Error() string {
	return "link: SetPartitioned needs Options.AllowPartitions"
}
