package control

import (
	"fmt"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// Outcome tells what became of a change.
type Outcome string

// Outcomes of a change.
const (
	OutcomeAccepted     Outcome = "accepted"     // committed and in force at the live instances of every data centre
	OutcomeCommitted    Outcome = "committed"    // committed, not yet in force in Answer.MissingIn
	OutcomeConflict     Outcome = "conflict"     // the base was not the current version; nothing changed
	OutcomeInvalid      Outcome = "invalid"      // the edited document has faults; nothing changed
	OutcomeUndetermined Outcome = "undetermined" // not known whether it was committed; ask again with the same ID
)

// ChangeResult is what an operator is told of a change.
type ChangeResult struct {
	ChangeID  string                `json:"changeID" cbor:"id"`
	Outcome   Outcome               `json:"outcome" cbor:"outcome"`
	Version   configuration.Version `json:"version,omitempty" cbor:"version"` // new one, or the current one after a conflict
	MissingIn []string              `json:"missingIn,omitempty" cbor:"missing,omitempty"`
	Faults    []configuration.Fault `json:"faults,omitempty" cbor:"faults,omitempty"`
}

// NotSubmittedError reports a change that reached no leader in the stated time. It was not and
// will not be committed under this attempt.
type NotSubmittedError struct {
	ChangeID string
	Attempts int
}

func (e *NotSubmittedError) Error() string {
	return fmt.Sprintf("control: no leader took change %q in %d attempts", e.ChangeID, e.Attempts)
}

// UnknownChangeError reports a change ID that no committed and remembered change has.
type UnknownChangeError struct{ ChangeID string }

func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("control: no change with ID %q is known", e.ChangeID)
}

// answerOf translates the result of a change; missing is used for an accepted one.
func answerOf(id string, result configuration.Result, missing []string) ChangeResult {
	answer := ChangeResult{ChangeID: id, Version: result.Version, Faults: result.Faults}
	switch result.Status {
	case configuration.StatusAccepted:
		answer.Outcome = OutcomeAccepted
		if len(missing) > 0 {
			answer.Outcome = OutcomeCommitted
			answer.MissingIn = missing
		}
	case configuration.StatusConflict:
		answer.Outcome = OutcomeConflict
	case configuration.StatusInvalid:
		answer.Outcome = OutcomeInvalid
	}
	return answer
}
