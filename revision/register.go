// Package revision implements a register that holds the content with the highest number: a write is stored
// when its number is higher than the stored one, and changes nothing otherwise. It is the state machine of
// the control replicas for documents that operators number themselves.
package revision

import (
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Revision is a content with its number.
type Revision struct {
	Number  uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint,omitempty"`
}

// Result is the outcome of a write.
type Result struct {
	Stored bool   // false when the register already held this number or a higher one
	Number uint64 // number held after the write
}

// DecodeError reports a command or snapshot that cannot be decoded, or a revision that cannot be encoded.
type DecodeError struct {
	Input string // "command" or "snapshot"
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("revision: %s: %v", e.Input, e.Cause) }

func (e *DecodeError) Unwrap() error { return e.Cause }

// Register holds the newest revision. Apply, Snapshot and Restore must be called by one goroutine; Current
// may be called by any.
type Register struct {
	mu       sync.Mutex
	current  Revision
	onChange func(Revision)
}

// NewRegister returns an empty register. onChange is called after each stored write and must not block; it
// may be nil.
func NewRegister(onChange func(Revision)) *Register { return &Register{onChange: onChange} }

// EncodeWrite returns the command that writes a revision.
func EncodeWrite(r Revision) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, &DecodeError{Input: "command", Cause: err}
	}
	return data, nil
}

// Apply executes a command. The result is a Result or a *DecodeError.
func (g *Register) Apply(_ uint64, data []byte) any {
	var write Revision
	if err := cbor.Unmarshal(data, &write); err != nil {
		return &DecodeError{Input: "command", Cause: err}
	}
	return g.Write(write)
}

// Write executes a command that was decoded already.
func (g *Register) Write(r Revision) Result {
	stored := g.setIfNewer(r)
	return Result{Stored: stored, Number: g.Current().Number}
}

// setIfNewer stores the revision if its number is higher and returns whether it did.
func (g *Register) setIfNewer(r Revision) bool {
	g.mu.Lock()
	newer := r.Number > g.current.Number
	if newer {
		g.current = r
	}
	g.mu.Unlock()
	if newer && g.onChange != nil {
		g.onChange(r)
	}
	return newer
}

// Snapshot implements replica.StateMachine.
func (g *Register) Snapshot() ([]byte, error) { return EncodeWrite(g.Current()) }

// Restore implements replica.StateMachine. It works like a write, because a snapshot of the log is never
// older than what was applied before it.
func (g *Register) Restore(data []byte) error {
	var r Revision
	if err := cbor.Unmarshal(data, &r); err != nil {
		return &DecodeError{Input: "snapshot", Cause: err}
	}
	g.setIfNewer(r)
	return nil
}

// Current returns the newest revision; its number is 0 before the first write.
func (g *Register) Current() Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}
