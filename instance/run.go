package instance

import (
	"context"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/worker"
)

// Run serves until ctx is done and then stops gracefully, which lets requests in progress complete. If
// force is done before they are, Run aborts the remaining requests, logs their number and returns an
// error. It returns nil after a graceful stop.
func (i *Instance) Run(ctx, force context.Context) error {
	workers := worker.NewGroup(ctx, "instance")
	// The link stops last, since leave notices and outcomes still have to be sent.
	linkWorkers := worker.NewGroup(ctx, "instance")
	exchangeWorkers := worker.NewGroup(ctx, "instance")
	i.startCluster(linkWorkers, exchangeWorkers, workers)
	workers.Start("dispatch", i.dispatch.Run)
	workers.Start("poll", i.poll.Run)
	workers.Start("callers", func(context.Context) error { return i.callers.Serve() })
	workers.Start("operators", func(context.Context) error { return i.operators.Serve() })
	err := i.startConfiguration(workers)
	if err == nil {
		i.options.Logger.Info().Str("callers", i.CallerAddress()).Str("operators", i.OperatorAddress()).Msg("instance started")
		select {
		case <-ctx.Done():
			err = i.stop(force)
		case err = <-workers.Failures():
		case err = <-linkWorkers.Failures():
		case err = <-exchangeWorkers.Failures():
		}
	}
	i.callers.Close()
	i.operators.Close()
	workers.Stop()
	exchangeWorkers.Stop()
	linkWorkers.Stop()
	i.upstream.Close()
	return err
}

// startCluster starts the workers that communicate with other instances.
func (i *Instance) startCluster(linkWorkers, exchangeWorkers, workers *worker.Group) {
	if i.link == nil {
		return
	}
	linkWorkers.Start("link", i.link.Run)
	exchangeWorkers.Start("exchange", i.exchange.Run)
	workers.Start("summaries", i.publishSummaries)
	if i.owner != nil {
		workers.Start("ledger", i.owner.Run)
	}
	if i.replica != nil {
		workers.Start("replica", i.replica.Run)
	}
	if i.control != nil {
		workers.Start("control", i.control.Run)
	}
}

// startConfiguration puts the configuration from the settings in force if no instance has the control
// role. If this instance has it, a worker proposes the configuration to the log.
func (i *Instance) startConfiguration(workers *worker.Group) error {
	switch {
	case i.options.Configuration == nil:
		return nil
	case i.control == nil:
		return i.configure(initialVersion, i.options.Configuration)
	case i.replica != nil:
		workers.Start("initial configuration", i.proposeInitial)
	}
	return nil
}

// stop announces that the instance is leaving, refuses new requests and waits for those in progress.
func (i *Instance) stop(force context.Context) error {
	i.options.Logger.Info().Int("requests", i.dispatch.Active()).Msg("stop requested")
	i.entry.Stop()
	if i.exchange != nil {
		if err := i.exchange.AnnounceLeaving(); err != nil {
			i.options.Logger.Warn().Err(err).Msg("failed to announce that the instance is leaving")
		}
	}
	err := i.callers.Stop(force)
	if err == nil {
		err = i.entry.Wait(force)
	}
	if err != nil {
		i.options.Logger.Error().Int("requests", i.dispatch.Active()).Msg("stop forced: requests were cut")
		return err
	}
	i.awaitClaims(force)
	return nil
}

const (
	// claimsTimeout bounds how long a stopping owner waits for requests for which other instances hold
	// claims.
	claimsTimeout      = 10 * time.Second
	claimsPollInterval = 20 * time.Millisecond
)

// awaitClaims keeps the ledger open until no claim waits for its request to begin, or claimsTimeout has
// passed. Without the owner these requests could not be dispatched although they were admitted.
func (i *Instance) awaitClaims(force context.Context) {
	if i.owner == nil {
		return
	}
	ctx, cancel := context.WithTimeout(force, claimsTimeout)
	defer cancel()
	started := time.Now() // A state published earlier may lack the newest claims.
	for state := i.owner.State(); state.Ledger.Claims > 0 || state.PublishedAt.Before(started); state = i.owner.State() {
		select {
		case <-time.After(claimsPollInterval):
		case <-ctx.Done():
			i.options.Logger.Warn().Int("claims", i.owner.State().Ledger.Claims).Msg("ledger closed with claims whose requests have not begun")
			return
		}
	}
}
