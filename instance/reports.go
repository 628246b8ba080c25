package instance

import (
	"context"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// summaryInterval is the interval at which this instance publishes its load to the exchange, which sends
// only the changes.
const summaryInterval = 250 * time.Millisecond

// deliver sends a report to the scheduler. If the scheduler's ring is full, the report is dropped and
// counted, since the next report supersedes it.
func (i *Instance) deliver(e scheduler.Event) {
	if err := i.dispatch.Post(e); err != nil {
		i.metrics.GetOrCreateCounter("primrosebeam_dispatch_dropped_reports_total").Inc()
	}
}

// onPollReport delivers a report from polling an engine to the scheduler and publishes it to the other
// instances.
func (i *Instance) onPollReport(e scheduler.Event) {
	i.deliver(e)
	if i.exchange == nil {
		return
	}
	var err error
	switch e := e.(type) {
	case scheduler.LoadReport:
		err = i.exchange.PublishReport(e)
	case scheduler.CacheEvents:
		err = i.exchange.PublishCache(e)
	case scheduler.EngineState:
		if e.Leaving {
			err = i.exchange.AnnounceEngineLeaving(e.Engine, e.Incarnation)
		}
	}
	if err != nil {
		i.options.Logger.Debug().Err(err).Msg("failed to publish a report")
	}
}

// onEngineLeaving handles a response in which an engine announces that it is leaving. It requests an immediate
// poll, which reads the engine's incarnation and publishes the notice.
func (i *Instance) onEngineLeaving(engine string) { i.poll.PollNow(engine) }

// isPolled reports whether this instance polls an engine.
func (i *Instance) isPolled(engine string) bool {
	if i.exchange == nil {
		return true
	}
	dataCentres := i.engineDataCentres.Load()
	return dataCentres == nil || i.exchange.IsPoller(engine, (*dataCentres)[engine])
}

// setEngineDataCentres records the data centre of each engine of a configuration.
func (i *Instance) setEngineDataCentres(document *configuration.Document) {
	dataCentres := map[string]string{}
	for _, engine := range document.Engines {
		dataCentres[engine.Name] = engine.DataCentre
	}
	i.engineDataCentres.Store(&dataCentres)
}

// publishFloor publishes an admission floor to the other instances.
func (i *Instance) publishFloor(f scheduler.PublishFloor) {
	if i.exchange == nil {
		return
	}
	if err := i.exchange.PublishFloor(f); err != nil {
		i.options.Logger.Debug().Err(err).Msg("failed to publish the admission floor")
	}
}

// publishSummaries publishes this instance's load to the other instances at an interval of summaryInterval
// until ctx is done.
func (i *Instance) publishSummaries(ctx context.Context) error {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		var summary scheduler.PeerSummary
		err := i.dispatch.Inspect(ctx, func(s *scheduler.Scheduler) { summary = s.Summary(time.Now()) })
		if err != nil {
			continue // The scheduler's ring is full; the next summary includes the current load.
		}
		if err := i.exchange.PublishSummary(summary.Engines); err != nil {
			i.options.Logger.Debug().Err(err).Msg("failed to publish the load summary")
		}
	}
}
