package control

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// Kinds of the messages that instances exchange.
const (
	KindSubmit  link.Kind = "control.submit"   // call: any instance to the leader
	KindOutcome link.Kind = "control.outcome"  // call: any instance to the leader
	KindVersion link.Kind = "control.version"  // one way: replica to instance
	KindFetch   link.Kind = "control.fetch"    // call: instance to replica or neighbour
	KindInForce link.Kind = "control.in-force" // call or one way: instance to replica
	KindStatus  link.Kind = "control.status"   // call: any instance to a replica
)

// submitRequest carries a change in its own encoding, so that its format is versioned separately from that
// of the links.
type submitRequest struct {
	Change []byte `cbor:"change"`
}

type outcomeRequest struct {
	ChangeID string `cbor:"id"`
}

// rejection is the reason for which the receiver of a submission or a query has no result.
type rejection string

const (
	rejectedNotLeader    rejection = "not-leader"   // nothing was proposed
	rejectedBusy         rejection = "busy"         // nothing was proposed
	rejectedReusedID     rejection = "reused-id"    // nothing was changed
	rejectedMalformed    rejection = "malformed"    // nothing was changed
	rejectedUnknown      rejection = "unknown"      // no change with this ID is committed and remembered
	rejectedUndetermined rejection = "undetermined" // the proposal may still be committed
)

// changeReply is the reply to a submission or to a query for an outcome.
type changeReply struct {
	Rejection rejection    `cbor:"refusal,omitempty"`
	Leader    string       `cbor:"leader,omitempty"` // set with rejectedNotLeader; empty when unknown
	Result    ChangeResult `cbor:"answer"`
}

// announcement states the newest version of the sender.
type announcement struct {
	Version configuration.Version `cbor:"version"`
}

// inForceReport states which version is in force at the sender.
type inForceReport struct {
	Version   configuration.Version `cbor:"version"`
	Subscribe bool                  `cbor:"subscribe,omitempty"` // starts or renews a subscription
}

// inForceReply is the reply of a replica to a report.
type inForceReply struct {
	Version     configuration.Version `cbor:"version"` // newest at the replica
	LeaderKnown bool                  `cbor:"led"`     // whether the replica knows a leader
}

// fetchRequest requests the newest version. The reply has content only if that version is higher than Above.
type fetchRequest struct {
	Above configuration.Version `cbor:"above"`           // version in force at the requester
	Probe bool                  `cbor:"probe,omitempty"` // requests the version without the document
	Whole bool                  `cbor:"whole,omitempty"` // requests the whole document, after unusable edits
}

// fetchReply carries the newest version of the sender, with Payload, with Edits and Digest, or alone when
// the version was probed or is not above the requested one.
type fetchReply struct {
	Version configuration.Version `cbor:"version"`
	Payload []byte                `cbor:"payload,omitempty"` // compressed document
	Edits   []byte                `cbor:"edits,omitempty"`   // edits from Above to Version, in place of Payload
	Digest  uint64                `cbor:"digest,omitempty"`  // with Edits: digest of the resulting document
}

type statusReply struct {
	Status Status `cbor:"status"`
}

// MessageDecodeError reports a message body that cannot be decoded.
type MessageDecodeError struct {
	Kind link.Kind
	From string
	Err  error
}

func (e *MessageDecodeError) Error() string {
	return fmt.Sprintf("control: malformed %s from %q: %v", e.Kind, e.From, e.Err)
}

func (e *MessageDecodeError) Unwrap() error { return e.Err }

// Code returns the stable error code that the sender receives.
func (e *MessageDecodeError) Code() string { return "control.malformed" }

func decodeBody(kind link.Kind, from link.Sender, body []byte, into any) error {
	if err := cbor.Unmarshal(body, into); err != nil {
		return &MessageDecodeError{Kind: kind, From: from.Name, Err: err}
	}
	return nil
}
