// Package revision is a register of the newest numbered content: a write is stored when its number
// is higher than the stored one, and changes nothing otherwise. It is the state machine that the
// control replicas drive for documents that operators number themselves.
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
	Stored bool   // false when the register held this number or a higher one
	Number uint64 // held after the write
}

// DecodeError reports a command or snapshot that can't be decoded.
type DecodeError struct {
	Input string
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("revision: %s: %v", e.Input, e.Cause) }

func (e *DecodeError) Unwrap() error { return e.Cause }

// Register holds the newest revision. Apply, Snapshot and Restore are called by one goroutine;
// Current may be called from any.
type Register struct {
	mu      sync.Mutex
	current Revision
	changed func(Revision)
}

// NewRegister returns an empty register. changed is called after each stored write and must not block.
func NewRegister(changed func(Revision)) *Register { return &Register{changed: changed} }

// EncodeWrite returns the command that writes a revision.
func EncodeWrite(r Revision) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, &DecodeError{Input: "command", Cause: err}
	}
	return data, nil
}

// Apply carries out a command; its result is a Result or a *DecodeError.
func (g *Register) Apply(_ uint64, data []byte) any {
	var write Revision
	if err := cbor.Unmarshal(data, &write); err != nil {
		return &DecodeError{Input: "command", Cause: err}
	}
	stored := g.set(write)
	return Result{Stored: stored, Number: g.Current().Number}
}

func (g *Register) set(r Revision) bool {
	g.mu.Lock()
	newer := r.Number > g.current.Number
	if newer {
		g.current = r
	}
	g.mu.Unlock()
	if newer && g.changed != nil {
		g.changed(r)
	}
	return newer
}

// Snapshot implements replica.StateMachine.
func (g *Register) Snapshot() ([]byte, error) { return EncodeWrite(g.Current()) }

// Restore implements replica.StateMachine. A snapshot of the log is never older than what was applied
// before it.
func (g *Register) Restore(data []byte) error {
	var r Revision
	if err := cbor.Unmarshal(data, &r); err != nil {
		return &DecodeError{Input: "snapshot", Cause: err}
	}
	g.set(r)
	return nil
}

// Current returns the newest revision; its number is 0 before the first write.
func (g *Register) Current() Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}
