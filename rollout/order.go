// Package rollout moves a service to another software version of its engines on an operator's order. Register is the
// replicated state of the orders, Judge compares the new version with the old one, Exposure bounds how many requests the
// new version gets meanwhile, and Trial combines both into the decisions of one order.
//
// The package performs no I/O, starts no goroutines and reads no clock: times are durations since an origin that the
// caller chooses, or Unix milliseconds that the caller read.
package rollout

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// State is the state of an order. For one order it only grows.
type State uint8

// States of an order.
const (
	// StateActive means that the new version gets a bounded share of the requests.
	StateActive State = iota + 1
	// StateMoving means that the new version gets all requests while the old one finishes those that it has.
	StateMoving
	// StateCompleted means that the old engines are not needed any more.
	StateCompleted
	// StateRolledBack means that the new version gets nothing.
	StateRolledBack
)

var stateNames = [...]string{"none", "active", "moving", "completed", "rolled-back"}

// String implements fmt.Stringer.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// InProgress reports whether the order has not ended.
func (s State) InProgress() bool { return s == StateActive || s == StateMoving }

// Limits are what the users allow a version that may be bad.
type Limits struct {
	Share     float64 // of the requests to a service between the order and its deadline, 0 to 1
	Tolerance float64 // requests beyond the share
	// Rollback is the time from the 50th bad response until the version must get nothing. A trial stops at its verdict;
	// tests check that this is early enough.
	Rollback time.Duration
}

// Order is an operator's order.
type Order struct {
	Service     string `cbor:"1,keyasint"`
	Target      string `cbor:"2,keyasint"` // software version
	OrderedAtMS int64  `cbor:"3,keyasint"` // Unix time at which the leader took it, by its wall clock
	DurationMS  int64  `cbor:"4,keyasint"` // until the deadline
}

// Bounds of an order.
const (
	MaxNameBytes = 256 // of a service or a version
	MinDuration  = time.Second
	MaxDuration  = 24 * time.Hour
)

// OrderError reports an order that is refused.
type OrderError struct {
	Field  string // "service", "target" or "duration"
	Reason string
}

func (e *OrderError) Error() string { return fmt.Sprintf("rollout: %s %s", e.Field, e.Reason) }

// Validate returns an *OrderError for an order that cannot be meant.
func (o *Order) Validate() error {
	if err := validateName("service", o.Service); err != nil {
		return err
	}
	if err := validateName("target", o.Target); err != nil {
		return err
	}
	if d := o.DurationMS; d < MinDuration.Milliseconds() || d > MaxDuration.Milliseconds() {
		return &OrderError{"duration", fmt.Sprintf("must be from %v to %v", MinDuration, MaxDuration)}
	}
	return nil
}

func validateName(field, name string) error {
	switch {
	case name == "":
		return &OrderError{field, "is missing"}
	case len(name) > MaxNameBytes:
		return &OrderError{field, fmt.Sprintf("is longer than %d bytes", MaxNameBytes)}
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return &OrderError{field, "holds characters that no name has"}
	}
	return nil
}

// DurationOf converts seconds into the duration of an order. It returns an *OrderError if they are no number that a
// duration can hold.
func DurationOf(seconds float64) (milliseconds int64, err error) {
	if math.IsNaN(seconds) || seconds < MinDuration.Seconds() || seconds > MaxDuration.Seconds() {
		return 0, &OrderError{"duration", fmt.Sprintf("must be from %v to %v", MinDuration, MaxDuration)}
	}
	return int64(seconds * 1000), nil
}

// Rollout is an order with its state.
type Rollout struct {
	Service     string `cbor:"1,keyasint"`
	Target      string `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"` // index of the order in the log
	OrderedAtMS int64  `cbor:"4,keyasint"`
	DurationMS  int64  `cbor:"5,keyasint"`
	State       State  `cbor:"6,keyasint"`
	// Former holds the versions that were listed beside the target at the decision to move.
	Former []string `cbor:"7,keyasint,omitempty"`
	Reason string   `cbor:"8,keyasint,omitempty"` // of the last decision
}

// Duration returns the time from the order to its deadline.
func (r *Rollout) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Supersedes reports whether r is later knowledge about its service than other.
func (r *Rollout) Supersedes(other *Rollout) bool {
	if r.Number != other.Number {
		return r.Number > other.Number
	}
	return r.State > other.State
}
