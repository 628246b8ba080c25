package instance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/poll"
	"github.com/primrosebeam/primrosebeam/ring"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	// initialChangeID is the ID under which every replica proposes its initial configuration. Since the ID
	// is the same, only the first proposal takes effect.
	initialChangeID      = "initial-configuration"
	initialRetryInterval = 500 * time.Millisecond
)

// putInForce puts a version of the configuration log in force. The document was validated before the log
// accepted it.
func (i *Instance) putInForce(version configuration.Version, document *configuration.Document) {
	if err := i.configure(version, document); err != nil {
		i.options.Logger.Error().Uint64("version", uint64(version)).Err(err).Msg("configuration version could not be put in force")
		return
	}
	i.exchange.SetVersion(uint64(version))
}

// configure puts a version in force. It configures the scheduler first, so that no request is classified by a
// version that the scheduler does not know yet.
func (i *Instance) configure(version configuration.Version, document *configuration.Document) error {
	view, err := configuration.Resolve(version, document)
	if err != nil {
		return fmt.Errorf("instance: version %d: %w", version, err)
	}
	if err := i.configureScheduler(view.Policy(i.options.DataCentre)); err != nil {
		return fmt.Errorf("instance: version %d: %w", version, err)
	}
	i.entry.Configure(view)
	i.setEngineDataCentres(document)
	i.poll.SetTargets(pollTargets(view))
	return nil
}

// configureScheduler sends a policy to the scheduler. It retries while the scheduler's ring is full, since
// a version must not be dropped.
func (i *Instance) configureScheduler(policy scheduler.Policy) error {
	for {
		err := i.dispatch.Configure(policy)
		var full *ring.FullError
		if !errors.As(err, &full) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// proposeInitial proposes the configuration from the settings until the log contains a version.
func (i *Instance) proposeInitial(ctx context.Context) error {
	for i.control.Version() == 0 {
		_, err := i.control.Submit(ctx, configuration.Change{
			ID:       initialChangeID,
			Operator: i.options.Name,
			Edit:     configuration.Edit{Apply: i.options.Configuration},
		})
		if err != nil {
			i.options.Logger.Debug().Err(err).Msg("failed to propose the initial configuration; retrying")
		}
		select {
		case <-time.After(initialRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// pollTargets returns the engines of a configuration. An engine has a prefix cache if a model service
// selects it.
func pollTargets(view *configuration.View) []poll.Target {
	hasPrefixCache := map[string]bool{}
	for _, service := range view.Policy("").Services {
		for _, engine := range view.Document().Engines {
			if service.Kind == scheduler.KindModel && service.Selector.Matches(engine.Labels) {
				hasPrefixCache[engine.Name] = true
			}
		}
	}
	var targets []poll.Target
	for _, engine := range view.Document().Engines {
		targets = append(targets, poll.Target{
			Name: engine.Name, URL: engine.URL, HasPrefixCache: hasPrefixCache[engine.Name],
		})
	}
	return targets
}
