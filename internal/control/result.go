package control

import (
	"fmt"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// Outcome is the outcome of a change.
type Outcome string

// Outcomes of a change. A version is in force in a data centre when all live instances there, at least one,
// use it.
const (
	OutcomeAccepted     Outcome = "accepted"     // committed and in force in every data centre
	OutcomeCommitted    Outcome = "committed"    // committed but not yet in force in ChangeResult.MissingIn
	OutcomeConflict     Outcome = "conflict"     // the base was not the current version; nothing was changed
	OutcomeInvalid      Outcome = "invalid"      // the edited document is invalid; nothing was changed
	OutcomeUndetermined Outcome = "undetermined" // unknown whether it was committed; retry with the same ID
)

// ChangeResult is the result of a change, as reported to an operator.
type ChangeResult struct {
	ChangeID string  `json:"changeID" cbor:"id"`
	Outcome  Outcome `json:"outcome" cbor:"outcome"`
	// Version is the version that the change created, or the current version after a conflict.
	Version configuration.Version `json:"version,omitempty" cbor:"version"`
	// MissingIn lists the data centres where an accepted change is not in force.
	MissingIn []string              `json:"missingIn,omitempty" cbor:"missing,omitempty"`
	Faults    []configuration.Fault `json:"faults,omitempty" cbor:"faults,omitempty"`
}

// NotSubmittedError reports that no leader accepted the change within the timeout. The change was not
// committed and will not be committed as a result of this call.
type NotSubmittedError struct {
	ChangeID string
	Attempts int
}

func (e *NotSubmittedError) Error() string {
	return fmt.Sprintf("control: no leader accepted change %q in %d attempts", e.ChangeID, e.Attempts)
}

// UnknownChangeError reports a change ID that belongs to no committed change that the store still
// remembers.
type UnknownChangeError struct{ ChangeID string }

func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("control: no change with ID %q is known", e.ChangeID)
}

// newChangeResult converts a result of the store. missing lists the data centres where an accepted change
// is not in force.
func newChangeResult(id string, result configuration.Result, missing []string) ChangeResult {
	changeResult := ChangeResult{ChangeID: id, Version: result.Version, Faults: result.Faults}
	switch result.Status {
	case configuration.StatusAccepted:
		changeResult.Outcome = OutcomeAccepted
		if len(missing) > 0 {
			changeResult.Outcome = OutcomeCommitted
			changeResult.MissingIn = missing
		}
	case configuration.StatusConflict:
		changeResult.Outcome = OutcomeConflict
	case configuration.StatusInvalid:
		changeResult.Outcome = OutcomeInvalid
	}
	return changeResult
}
