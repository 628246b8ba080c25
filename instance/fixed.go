package instance

import (
	"context"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
)

// fixedControl serves an instance without control replicas.
type fixedControl struct{ document *configuration.Document }

// initialVersion is the version of a configuration that comes from the settings.
const initialVersion configuration.Version = 1

// FixedError reports a change on an instance whose configuration comes from its settings alone.
type FixedError struct{}

func (e *FixedError) Error() string {
	return "instance: no instance has the control role, so the configuration cannot be changed"
}

// Submit implements operator.Control.
func (fixedControl) Submit(_ context.Context, change configuration.Change) (control.ChangeResult, error) {
	return control.ChangeResult{ChangeID: change.ID}, &FixedError{}
}

// Outcome implements operator.Control.
func (fixedControl) Outcome(_ context.Context, changeID string) (control.ChangeResult, error) {
	return control.ChangeResult{ChangeID: changeID}, &FixedError{}
}

// Status implements operator.Control.
func (fixedControl) Status(context.Context) (control.Status, error) {
	return control.Status{}, &FixedError{}
}

// Current implements operator.Control.
func (f fixedControl) Current() (configuration.Version, *configuration.Document) {
	if f.document == nil {
		return 0, nil
	}
	return initialVersion, f.document
}

// UnreachableSince implements operator.Control.
func (fixedControl) UnreachableSince() (since time.Time, ok bool) { return time.Time{}, false }
