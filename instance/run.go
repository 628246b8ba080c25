package instance

import (
	"context"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/duty"
)

// Run serves until ctx ends, then stops gracefully: no request in progress is cut. When force ends
// first, whatever is left is cut and logged. It returns nil after a graceful stop.
func (i *Instance) Run(ctx, force context.Context) error {
	duties := duty.NewGroup(ctx, "instance")
	links := duty.NewGroup(ctx, "instance") // end last: leave notices and outcomes still have to go out
	exchanges := duty.NewGroup(ctx, "instance")
	i.startCluster(links, exchanges, duties)
	duties.Start("dispatch", i.dispatch.Run)
	duties.Start("poll", i.poll.Run)
	duties.Start("callers", i.callers.serve)
	duties.Start("operators", i.operators.serve)
	err := i.startConfiguration(duties)
	if err == nil {
		i.options.Logger.Info().Str("callers", i.CallerAddress()).Str("operators", i.OperatorAddress()).Msg("instance started")
		select {
		case <-ctx.Done():
			err = i.stop(force)
		case err = <-duties.Failures():
		case err = <-links.Failures():
		case err = <-exchanges.Failures():
		}
	}
	i.callers.http.Close()
	i.operators.http.Close()
	duties.Stop()
	exchanges.Stop()
	links.Stop()
	i.upstream.Close()
	return err
}

func (i *Instance) startCluster(links, exchanges, duties *duty.Group) {
	if i.link == nil {
		return
	}
	links.Start("link", i.link.Run)
	exchanges.Start("exchange", i.exchange.Run)
	duties.Start("summaries", i.publishSummaries)
	if i.owner != nil {
		duties.Start("ledger", i.owner.Run)
	}
	if i.replica != nil {
		duties.Start("replica", i.replica.Run)
	}
	if i.control != nil {
		duties.Start("control", i.control.Run)
	}
}

func (i *Instance) startConfiguration(duties *duty.Group) error {
	switch {
	case i.options.Configuration == nil:
		return nil
	case i.control == nil:
		return i.configure(initialVersion, i.options.Configuration)
	case i.replica != nil:
		duties.Start("initial configuration", i.proposeInitial)
	}
	return nil
}

// stop announces the leave, refuses new requests and waits for those in progress.
func (i *Instance) stop(force context.Context) error {
	i.options.Logger.Info().Int("requests", i.dispatch.Active()).Msg("stop requested")
	i.entry.Stop()
	if i.exchange != nil {
		if err := i.exchange.AnnounceLeaving(); err != nil {
			i.options.Logger.Warn().Err(err).Msg("leave not announced")
		}
	}
	err := i.callers.shutdown(force)
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
	// claimsGrace bounds how long a stopping owner waits for requests that other instances hold claims for.
	claimsGrace    = 10 * time.Second
	claimsInterval = 20 * time.Millisecond
)

// awaitClaims keeps the ledger open until no claim waits for its begin: without the owner these
// requests could not be dispatched although they were admitted.
func (i *Instance) awaitClaims(force context.Context) {
	if i.owner == nil {
		return
	}
	ctx, cancel := context.WithTimeout(force, claimsGrace)
	defer cancel()
	started := time.Now() // A state published before may miss the newest claims.
	for state := i.owner.State(); state.Ledger.Claims > 0 || state.PublishedAt.Before(started); state = i.owner.State() {
		select {
		case <-time.After(claimsInterval):
		case <-ctx.Done():
			i.options.Logger.Warn().Int("claims", i.owner.State().Ledger.Claims).Msg("ledger closed with claims that wait")
			return
		}
	}
}
