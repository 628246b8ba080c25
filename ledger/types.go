package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Bounds on requests.
const (
	MaxNameBytes = 128                // of an owner, workspace, engine, instance or engine request ID
	MaxMintCount = 1000               // keys in one MintRequest
	MaxLifetime  = 7 * 24 * time.Hour // of a key; the owner stores a begun key for as long
	MinLifetime  = time.Second
)

// Service is the caller's side of a ledger owner, local or remote.
type Service interface {
	// Mint issues keys. It writes nothing.
	Mint(ctx context.Context, r MintRequest) ([]Key, error)
	// Claim asks for the right to begin.
	Claim(ctx context.Context, r ClaimRequest) (Grant, error)
	// Begin returns nil only after the record is synced. Only then may a byte go to an engine.
	Begin(ctx context.Context, r BeginRequest) error
	// Release gives a claim back before begin, so that the key can be claimed again.
	Release(ctx context.Context, r ReleaseRequest) error
	// Complete stores the outcome; it returns nil only after the record is synced.
	Complete(ctx context.Context, r CompleteRequest) error
	// Lookup returns what is known about a key.
	Lookup(ctx context.Context, r LookupRequest) (Status, error)
}

// Fence identifies one claim. A claim is void once the owner has a higher epoch or the key a higher generation.
type Fence struct {
	Epoch      uint64 `cbor:"1,keyasint"` // start of the owner's process
	Generation uint64 `cbor:"2,keyasint"` // claim within the epoch
}

// Fingerprint identifies the content of a request. 16 bytes of SHA-256 suffice, because a workspace that found
// two requests with one fingerprint could only confuse itself.
type Fingerprint [16]byte

// NewFingerprint hashes the parts of a request, for example method, path and body, with their lengths.
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

// State tells how far a key has come.
type State uint8

// States of a key.
const (
	StateUnused       State = iota // neither claimed nor begun at present
	StateClaimed                   // an instance holds it and has not begun
	StateInProgress                // begun, or a begin or outcome is being written
	StateFinished                  // the outcome is known
	StateUndetermined              // what happened cannot be known any more
)

var stateNames = [...]string{"unused", "claimed", "in-progress", "finished", "undetermined"}

// String returns the state's stable name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Outcome tells what became of a request.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeNone         Outcome = iota
	OutcomeAnswered             // the engine gave a complete answer
	OutcomeNotRun               // no byte went to an engine, and none ever will under this key
	OutcomeUndetermined         // everything else
)

var outcomeNames = [...]string{"none", "answered", "not-run", "undetermined"}

// String returns the outcome as the Primrosebeam-Outcome header has it.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

func (o Outcome) valid() bool { return o > OutcomeNone && int(o) < len(outcomeNames) }

// HeaderField is one header field of a stored answer.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Response is the bounded copy of an answer.
type Response struct {
	Status  int           `cbor:"1,keyasint"`
	Header  []HeaderField `cbor:"2,keyasint,omitempty"` // those that the caller of Complete selected
	Body    []byte        `cbor:"3,keyasint,omitempty"`
	Omitted bool          `cbor:"4,keyasint,omitempty"` // header and body were too long or had to make room for newer answers
}

func (r *Response) size() int {
	size := len(r.Body)
	for _, field := range r.Header {
		size += len(field.Name) + len(field.Value)
	}
	return size
}

// Bounded returns r, or only its status when header and body together exceed limit bytes.
func (r *Response) Bounded(limit int) *Response {
	if r == nil || r.size() <= limit {
		return r
	}
	return &Response{Status: r.Status, Omitted: true}
}

// Status is what the owner knows about a key.
type Status struct {
	State     State     `cbor:"1,keyasint"`
	Outcome   Outcome   `cbor:"2,keyasint,omitempty"` // when finished
	Holder    string    `cbor:"3,keyasint,omitempty"` // instance that claimed or began
	Engine    string    `cbor:"4,keyasint,omitempty"` // once begun
	RequestID string    `cbor:"5,keyasint,omitempty"` // at the engine, once begun
	Response  *Response `cbor:"6,keyasint,omitempty"` // when answered
}

// Grant is the answer to a claim. When Granted is false, Status tells why: in progress, finished or undetermined.
type Grant struct {
	Granted bool   `cbor:"1,keyasint,omitempty"`
	Fence   Fence  `cbor:"2,keyasint,omitempty"` // when granted
	Status  Status `cbor:"3,keyasint,omitempty"`
}

// MintRequest asks for Count keys.
type MintRequest struct {
	Workspace string        `cbor:"1,keyasint"`
	Count     int           `cbor:"2,keyasint"`
	Lifetime  time.Duration `cbor:"3,keyasint"`
}

// ClaimRequest asks for the right to begin a request.
type ClaimRequest struct {
	Key         Key         `cbor:"1,keyasint"`
	Workspace   string      `cbor:"2,keyasint"`
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Holder      string      `cbor:"4,keyasint"` // instance
}

// BeginRequest announces that the first byte is about to go to an engine.
type BeginRequest struct {
	Key       Key    `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Fence     Fence  `cbor:"3,keyasint"`
	Holder    string `cbor:"4,keyasint"`
	Engine    string `cbor:"5,keyasint"`
	RequestID string `cbor:"6,keyasint"` // at the engine
}

// ReleaseRequest gives a claim back.
type ReleaseRequest struct {
	Key       Key    `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Fence     Fence  `cbor:"3,keyasint"`
	Holder    string `cbor:"4,keyasint"`
}

// CompleteRequest reports an outcome.
//
// The holder of the claim gives its fence and may report any outcome; not-run is accepted before begin as well as
// after it and finishes the key for good. An instance that resumed the engine's stream gives no fence but the
// engine's request ID, and may report an answer only.
type CompleteRequest struct {
	Key       Key       `cbor:"1,keyasint"`
	Workspace string    `cbor:"2,keyasint"`
	Fence     Fence     `cbor:"3,keyasint,omitempty"`
	Holder    string    `cbor:"4,keyasint"`
	RequestID string    `cbor:"5,keyasint,omitempty"`
	Outcome   Outcome   `cbor:"6,keyasint"`
	Response  *Response `cbor:"7,keyasint,omitempty"`
}

// LookupRequest asks what is known about a key.
type LookupRequest struct {
	Key       Key    `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}
