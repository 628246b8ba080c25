package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Limits on the fields of requests.
const (
	MaxNameBytes = 128                // limit for owner, workspace, engine, instance and request ID
	MaxMintCount = 1000               // maximum number of keys in one MintRequest
	MaxLifetime  = 7 * 24 * time.Hour // longest lifetime of a key; the owner stores a begun key for that time
	MinLifetime  = time.Second        // shortest lifetime of a key
)

// Service consists of the operations that a ledger owner offers. The owner may be local or remote.
type Service interface {
	// Mint issues keys without writing to the journal.
	Mint(ctx context.Context, r MintRequest) ([]Key, error)
	// Claim requests the right to begin a key.
	Claim(ctx context.Context, r ClaimRequest) (Grant, error)
	// Begin records that the request is about to be sent. It returns nil only after the record is synced;
	// only then may the caller send a byte to an engine.
	Begin(ctx context.Context, r BeginRequest) error
	// Release removes a claim before a begin, so that the key can be claimed again.
	Release(ctx context.Context, r ReleaseRequest) error
	// Complete stores the outcome. It returns nil only after the record is synced.
	Complete(ctx context.Context, r CompleteRequest) error
	// Lookup returns the state of a key.
	Lookup(ctx context.Context, r LookupRequest) (Status, error)
}

// Fence is the fencing token of one claim. It becomes invalid when the owner starts a new epoch or the key is
// claimed again.
type Fence struct {
	Epoch      uint64 `cbor:"1,keyasint"` // number of the start of the owner's process
	Generation uint64 `cbor:"2,keyasint"` // number of the claim within the epoch
}

// Fingerprint identifies the content of a request. It consists of 16 bytes of a SHA-256 hash. This length is
// sufficient because two requests of a workspace with the same fingerprint could affect only that workspace.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of the parts of a request, for example method, path and body. The
// length of each part is hashed too.
func NewFingerprint(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:16])
}

// State is the progress of a key.
type State uint8

// States of a key.
const (
	StateUnused       State = iota // neither claimed nor begun
	StateClaimed                   // claimed by an instance that has not begun it
	StateInProgress                // begun, or the record of a begin or outcome is not synced yet
	StateFinished                  // the outcome is stored
	StateUndetermined              // the owner cannot determine the outcome any more
)

var stateNames = [...]string{"unused", "claimed", "in-progress", "finished", "undetermined"}

// String returns the stable name of the state, or "invalid".
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Outcome is the result of a request.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeNone         Outcome = iota // no outcome is known yet
	OutcomeAnswered                    // the engine returned a complete response
	OutcomeNotRun                      // no byte was sent to an engine, and none will be under this key
	OutcomeUndetermined                // all other cases; the request may have been executed
)

var outcomeNames = [...]string{"none", "answered", "not-run", "undetermined"}

// String returns the value of the outcome in the Primrosebeam-Outcome header, or "invalid".
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// valid reports whether o is a defined outcome other than OutcomeNone.
func (o Outcome) valid() bool { return o > OutcomeNone && int(o) < len(outcomeNames) }

// HeaderField is one header field of a stored response.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Response is a stored response of limited size.
type Response struct {
	Status  int           `cbor:"1,keyasint"`
	Header  []HeaderField `cbor:"2,keyasint,omitempty"` // fields selected by the caller of Complete
	Body    []byte        `cbor:"3,keyasint,omitempty"`
	Omitted bool          `cbor:"4,keyasint,omitempty"` // header and body were too long or evicted by newer ones
}

// size returns the length of header and body in bytes.
func (r *Response) size() int {
	size := len(r.Body)
	for _, field := range r.Header {
		size += len(field.Name) + len(field.Value)
	}
	return size
}

// Bounded returns r, or a response with only its status when header and body together exceed limit bytes.
func (r *Response) Bounded(limit int) *Response {
	if r == nil || r.size() <= limit {
		return r
	}
	return &Response{Status: r.Status, Omitted: true}
}

// Status is the state of a key as known to its owner.
type Status struct {
	State     State     `cbor:"1,keyasint"`
	Outcome   Outcome   `cbor:"2,keyasint,omitempty"` // set when the key is finished
	Holder    string    `cbor:"3,keyasint,omitempty"` // name of the instance that claimed or began the key
	Engine    string    `cbor:"4,keyasint,omitempty"` // name of the engine, set once the key has begun
	RequestID string    `cbor:"5,keyasint,omitempty"` // request ID at the engine, set once the key has begun
	Response  *Response `cbor:"6,keyasint,omitempty"` // set when the outcome is OutcomeAnswered
}

// Grant is the result of a claim. When Granted is false, Status contains the reason: the key is in progress,
// finished or undetermined.
type Grant struct {
	Granted bool   `cbor:"1,keyasint,omitempty"`
	Fence   Fence  `cbor:"2,keyasint,omitempty"` // set when Granted is true
	Status  Status `cbor:"3,keyasint,omitempty"`
}

// MintRequest requests Count new keys.
type MintRequest struct {
	Workspace string        `cbor:"1,keyasint"`
	Count     int           `cbor:"2,keyasint"`
	Lifetime  time.Duration `cbor:"3,keyasint"`
}

// ClaimRequest requests the right to begin a key.
type ClaimRequest struct {
	Key         Key         `cbor:"1,keyasint"`
	Workspace   string      `cbor:"2,keyasint"`
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Holder      string      `cbor:"4,keyasint"` // name of the claiming instance
}

// BeginRequest reports that the first byte of the request is about to be sent to an engine.
type BeginRequest struct {
	Key       Key    `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Fence     Fence  `cbor:"3,keyasint"`
	Holder    string `cbor:"4,keyasint"`
	Engine    string `cbor:"5,keyasint"`
	RequestID string `cbor:"6,keyasint"` // request ID at the engine
}

// ReleaseRequest removes a claim before a begin.
type ReleaseRequest struct {
	Key       Key    `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Fence     Fence  `cbor:"3,keyasint"`
	Holder    string `cbor:"4,keyasint"`
}

// CompleteRequest reports an outcome.
//
// The holder of the claim sets its fence and may report any outcome. OutcomeNotRun is accepted before and
// after a begin and finishes the key permanently. An instance that resumed the engine's stream sets the
// request ID at the engine instead of the fence, and may report only OutcomeAnswered.
type CompleteRequest struct {
	Key       Key       `cbor:"1,keyasint"`
	Workspace string    `cbor:"2,keyasint"`
	Fence     Fence     `cbor:"3,keyasint,omitempty"`
	Holder    string    `cbor:"4,keyasint"`
	RequestID string    `cbor:"5,keyasint,omitempty"`
	Outcome   Outcome   `cbor:"6,keyasint"`
	Response  *Response `cbor:"7,keyasint,omitempty"`
}

// LookupRequest requests the state of a key.
type LookupRequest struct {
	Key       Key    `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}
