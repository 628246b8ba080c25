package control

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// Kinds of messages.
const (
	KindSubmit  link.Kind = "control.submit"   // call: any instance to the leader
	KindOutcome link.Kind = "control.outcome"  // call: any instance to the leader
	KindVersion link.Kind = "control.version"  // one way: replica to instance
	KindFetch   link.Kind = "control.fetch"    // call: instance to replica or neighbour
	KindInForce link.Kind = "control.in-force" // call or one way: instance to replica
	KindStatus  link.Kind = "control.status"   // call: any instance to a replica
)

// submitRequest carries an encoded change, so that its format is versioned apart from the links'.
type submitRequest struct {
	Change []byte `cbor:"change"`
}

type outcomeRequest struct {
	ChangeID string `cbor:"id"`
}

// refusal tells why the receiver of a submission or question has no answer.
type refusal string

const (
	refusedNotLeader    refusal = "not-leader"   // nothing was proposed
	refusedBusy         refusal = "busy"         // nothing was proposed
	refusedReusedID     refusal = "reused-id"    // nothing was changed
	refusedMalformed    refusal = "malformed"    // nothing was changed
	refusedUnknown      refusal = "unknown"      // no change with this ID is committed and remembered
	refusedUndetermined refusal = "undetermined" // the proposal may still be committed
)

type answerReply struct {
	Refusal refusal      `cbor:"refusal,omitempty"`
	Leader  string       `cbor:"leader,omitempty"` // with refusedNotLeader; empty when unknown
	Answer  ChangeResult `cbor:"answer"`
}

// announcement says that the sender has a version.
type announcement struct {
	Version configuration.Version `cbor:"version"`
}

// inForceReport says which version is in force at the sender.
type inForceReport struct {
	Version   configuration.Version `cbor:"version"`
	Subscribe bool                  `cbor:"subscribe,omitempty"` // begins or renews a subscription
}

type inForceReply struct {
	Version configuration.Version `cbor:"version"` // newest at the replica
	Led     bool                  `cbor:"led"`     // the replica knows a leader
}

type fetchRequest struct {
	Above configuration.Version `cbor:"above"` // only a higher version is of use
	Probe bool                  `cbor:"probe,omitempty"`
	Whole bool                  `cbor:"whole,omitempty"` // edits did not lead to the right document
}

type fetchReply struct {
	Version configuration.Version `cbor:"version"`
	Payload []byte                `cbor:"payload,omitempty"` // compressed document
	Edits   []byte                `cbor:"edits,omitempty"`   // instead of Payload: what leads from Above to Version
	Digest  uint64                `cbor:"digest,omitempty"`  // with Edits: of the document that they lead to
}

type statusReply struct {
	Status Status `cbor:"status"`
}

// MessageError reports a body that cannot be decoded.
type MessageError struct {
	Kind link.Kind
	From string
	Err  error
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("control: malformed %s from %q: %v", e.Kind, e.From, e.Err)
}

func (e *MessageError) Unwrap() error { return e.Err }

// Code is the stable code that the sender sees.
func (e *MessageError) Code() string { return "control.malformed" }

func decodeBody(kind link.Kind, from link.Sender, body []byte, into any) error {
	if err := cbor.Unmarshal(body, into); err != nil {
		return &MessageError{Kind: kind, From: from.Name, Err: err}
	}
	return nil
}
