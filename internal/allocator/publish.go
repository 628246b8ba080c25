package allocator

import (
	"strconv"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/placement"
)

func (a *Allocator) blockList(now time.Duration) *fleet.BlockList {
	return &fleet.BlockList{Parts: a.core.BlockedParts(now), Watched: a.core.WatchedParts(now)}
}

// publishPartChanges logs which parts of requests were blocked and released, and reports all that are blocked or
// watched to the entry instances.
func (a *Allocator) publishPartChanges(now time.Duration) {
	changes := a.core.PartChanges()
	if watchChanged := a.core.WatchChanged(); len(changes) == 0 && !watchChanged {
		return
	}
	list := a.blockList(now)
	for _, change := range changes {
		a.options.Logger.Warn().Str("service", change.Service).Str("part", strconv.FormatUint(uint64(change.Part), 16)).
			Bool("blocked", change.Blocked).Int("crashes", change.Crashes).Msg("block of a request part changed")
	}
	for _, o := range a.owners {
		o.pendingDecisions().Blocked = list
	}
}

// publishBackends reports what all instances have measured at engines of plain services.
func (a *Allocator) publishBackends(now time.Duration) {
	if a.backends == nil {
		return
	}
	report := a.backends.Report(now)
	if len(report) == 0 {
		return
	}
	for _, o := range a.owners {
		o.pendingDecisions().Backends = report
	}
}

// Limits returns what this allocator had learned about engines up to publishInterval ago.
func (a *Allocator) Limits() []placement.EngineLimit {
	if l := a.limits.Load(); l != nil {
		return *l
	}
	return nil
}

func (a *Allocator) publishLimits() {
	limits := a.core.Limits()
	for i := range limits {
		a.slowness.Update(limits[i].Slowness)
		a.limitShare.Update(float64(limits[i].Limit) / float64(max(limits[i].Slots, 1)))
	}
	a.limits.Store(&limits)
}

func (a *Allocator) logLimitChanges() {
	if a.backends != nil {
		for _, change := range a.backends.Changes() {
			a.options.Logger.Info().EmbedObject(&change).Msg(placement.BackendMessage)
		}
	}
	for _, change := range a.core.LimitChanges() {
		a.options.Logger.Info().EmbedObject(&change).Msg(placement.LimitMessage)
	}
}
