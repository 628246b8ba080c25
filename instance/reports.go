package instance

import (
	"context"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// summaryInterval is how often this instance's load is given to the exchange, which sends what changed.
const summaryInterval = 250 * time.Millisecond

// deliver hands a report to the scheduler. A report that finds the ring full is dropped: the next one replaces it.
func (i *Instance) deliver(e scheduler.Event) {
	if err := i.dispatch.Post(e); err != nil {
		i.metrics.GetOrCreateCounter("primrosebeam_dispatch_dropped_reports_total").Inc()
	}
}

// polled takes a report that this instance asked an engine for and passes it on to the others.
func (i *Instance) polled(e scheduler.Event) {
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
		i.options.Logger.Debug().Err(err).Msg("report not passed on")
	}
}

// engineSaysLeaving takes the notice in an engine's answer; the next poll learns the incarnation and spreads it.
func (i *Instance) engineSaysLeaving(engine string) { i.poll.PollNow(engine) }

// polls reports whether this instance polls an engine.
func (i *Instance) polls(engine string) bool {
	if i.exchange == nil {
		return true
	}
	centres := i.engineCentres.Load()
	return centres == nil || i.exchange.IsPoller(engine, (*centres)[engine])
}

func (i *Instance) setEngineCentres(document *configuration.Document) {
	centres := map[string]string{}
	for _, engine := range document.Engines {
		centres[engine.Name] = engine.DataCentre
	}
	i.engineCentres.Store(&centres)
}

func (i *Instance) publishFloor(f scheduler.PublishFloor) {
	if i.exchange == nil {
		return
	}
	if err := i.exchange.PublishFloor(f); err != nil {
		i.options.Logger.Debug().Err(err).Msg("admission floor not published")
	}
}

// publishSummaries is the duty that tells the other instances this one's load.
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
			continue // The ring is full of requests; the next summary tells more.
		}
		if err := i.exchange.PublishSummary(summary.Engines); err != nil {
			i.options.Logger.Debug().Err(err).Msg("summary not published")
		}
	}
}
