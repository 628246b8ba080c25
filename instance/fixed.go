package instance

import (
	"context"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
)

// fixedControl implements operator.Control for an instance whose configuration cannot change because no
// instance has the control role.
type fixedControl struct{ document *configuration.Document }

// initialVersion is the version number of a configuration from the settings.
const initialVersion configuration.Version = 1

// FixedConfigurationError reports that the configuration cannot be changed because it comes from the settings
// alone.
type FixedConfigurationError struct{}

func (e *FixedConfigurationError) Error() string {
	return "instance: no instance has the control role, so the configuration cannot be changed"
}

// Submit implements operator.Control.
func (fixedControl) Submit(_ context.Context, change configuration.Change) (control.ChangeResult, error) {
	return control.ChangeResult{ChangeID: change.ID}, &FixedConfigurationError{}
}

// Outcome implements operator.Control.
func (fixedControl) Outcome(_ context.Context, changeID string) (control.ChangeResult, error) {
	return control.ChangeResult{ChangeID: changeID}, &FixedConfigurationError{}
}

// Status implements operator.Control.
func (fixedControl) Status(context.Context) (control.Status, error) {
	return control.Status{}, &FixedConfigurationError{}
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
