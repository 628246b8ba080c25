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
	// initialChangeID makes the proposals of all replicas one change, so that the first one wins.
	initialChangeID = "initial-configuration"
	initialRetry    = 500 * time.Millisecond
)

// putInForce puts a version of the log in force. The document was validated before it was accepted.
func (i *Instance) putInForce(version configuration.Version, document *configuration.Document) {
	if err := i.configure(version, document); err != nil {
		i.options.Logger.Error().Uint64("version", uint64(version)).Err(err).Msg("version not put in force")
		return
	}
	i.exchange.SetVersion(uint64(version))
}

// configure puts a version in force: first for the scheduler, so that no request is classified by
// a version that the scheduler does not know yet.
func (i *Instance) configure(version configuration.Version, document *configuration.Document) error {
	view, err := configuration.Resolve(version, document)
	if err != nil {
		return fmt.Errorf("instance: version %d: %w", version, err)
	}
	if err := i.configureScheduler(view.Policy(i.options.DataCentre)); err != nil {
		return fmt.Errorf("instance: version %d: %w", version, err)
	}
	i.entry.Configure(view)
	i.setEngineCentres(document)
	i.poll.SetTargets(pollTargets(view))
	return nil
}

// configureScheduler waits for room in the scheduler's ring: a version must not be dropped.
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

// proposeInitial proposes the configuration of the settings until the log holds a version.
func (i *Instance) proposeInitial(ctx context.Context) error {
	for i.control.Version() == 0 {
		_, err := i.control.Submit(ctx, configuration.Change{
			ID:       initialChangeID,
			Operator: i.options.Name,
			Edit:     configuration.Edit{Apply: i.options.Configuration},
		})
		if err != nil {
			i.options.Logger.Debug().Err(err).Msg("initial configuration not proposed yet")
		}
		select {
		case <-time.After(initialRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// pollTargets lists the engines of a configuration; an engine has a prefix cache when a model service selects it.
func pollTargets(view *configuration.View) []poll.Target {
	models := map[string]bool{}
	for _, service := range view.Policy("").Services {
		for _, engine := range view.Document().Engines {
			if service.Kind == scheduler.KindModel && service.Selector.Matches(engine.Labels) {
				models[engine.Name] = true
			}
		}
	}
	var targets []poll.Target
	for _, engine := range view.Document().Engines {
		targets = append(targets, poll.Target{Name: engine.Name, URL: engine.URL, HasPrefixCache: models[engine.Name]})
	}
	return targets
}
