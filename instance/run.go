package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// group runs duties and collects the first failure.
type group struct {
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	failures chan error
}

func newGroup(parent context.Context) *group {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	return &group{ctx: ctx, cancel: cancel, failures: make(chan error, 1)}
}

func (g *group) start(name string, run func(context.Context) error) {
	g.running.Go(func() {
		err := run(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
		select {
		case g.failures <- fmt.Errorf("instance: %s: %w", name, err):
		default: // One failure is enough to stop.
		}
	})
}

func (g *group) stop() {
	g.cancel()
	g.running.Wait()
}

// Run serves until ctx ends, then stops gracefully: no request in progress is cut. When force ends
// first, whatever is left is cut and logged. It returns nil after a graceful stop.
func (i *Instance) Run(ctx, force context.Context) error {
	duties := newGroup(ctx)
	links := newGroup(ctx) // end last: leave notices and outcomes still have to go out
	exchanges := newGroup(ctx)
	i.startCluster(links, exchanges, duties)
	duties.start("dispatch", i.dispatch.Run)
	duties.start("poll", i.poll.Run)
	duties.start("callers", i.callers.serve)
	duties.start("operators", i.operators.serve)
	err := i.startConfiguration(duties)
	if err == nil {
		i.options.Logger.Info().Str("callers", i.CallerAddress()).Str("operators", i.OperatorAddress()).Msg("instance started")
		select {
		case <-ctx.Done():
			err = i.stop(force)
		case err = <-duties.failures:
		case err = <-links.failures:
		case err = <-exchanges.failures:
		}
	}
	i.callers.http.Close()
	i.operators.http.Close()
	duties.stop()
	exchanges.stop()
	links.stop()
	i.upstream.Close()
	return err
}

func (i *Instance) startCluster(links, exchanges, duties *group) {
	if i.link == nil {
		return
	}
	links.start("link", i.link.Run)
	exchanges.start("exchange", i.exchange.Run)
	duties.start("summaries", i.publishSummaries)
	if i.owner != nil {
		duties.start("ledger", i.owner.Run)
	}
	if i.replica != nil {
		duties.start("replica", i.replica.Run)
	}
	if i.control != nil {
		duties.start("control", i.control.Run)
	}
}

func (i *Instance) startConfiguration(duties *group) error {
	switch {
	case i.options.Configuration == nil:
		return nil
	case i.control == nil:
		return i.configure(initialVersion, i.options.Configuration)
	case i.replica != nil:
		duties.start("initial configuration", i.proposeInitial)
	}
	return nil
}

// stop announces the leave, refuses new requests and waits for those in progress.
func (i *Instance) stop(force context.Context) error {
	i.options.Logger.Info().Int("requests", i.dispatch.Active()).Msg("stop requested")
	i.entry.Stop()
	if i.exchange != nil {
		if err := i.exchange.Leave(); err != nil {
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
