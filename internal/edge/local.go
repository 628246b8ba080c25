package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/placement"
)

// An instance that reaches no allocator grants slots to its requests itself. It uses only its share of the
// slots of each engine and of the quotas, since the other instances may be in the same situation.

// localShareFactor is the multiple of its equal share of an engine's slots that an instance uses. It may
// exceed 1 because instances that are partitioned together rarely reach the engines of all data centres.
const localShareFactor = 2

func placementID(t *ticket) placement.RequestID {
	return placement.RequestID(strconv.FormatUint(t.id, 10))
}

func placementRequest(t *ticket) placement.Request {
	r := t.request
	r.ID = placementID(t)
	return r
}

// setLocalEngines gives the local placement this instance's share of the engines.
func (p *placer) setLocalEngines() {
	share := make([]placement.Engine, len(p.engines))
	for i, e := range p.engines {
		factor := localShareFactor
		if p.notices.IsBrittle(clock(), e.Service) {
			factor = 1
		}
		e.Slots = max(1, factor*e.Slots/p.entryCount())
		share[i] = e
	}
	p.local.SetEngines(share)
}

// startLocal adds the waiting requests to the local placement, which decides while no allocator is
// reachable.
func (p *placer) startLocal(now time.Duration) {
	p.setLocalEngines()
	p.local.SetQuotaShare(now, 1/float64(p.entryCount()))
	p.local.ForgetSpending()
	p.local.TakeOverSpending(now, p.spending.Recent(now))
	p.local.RestartRateLimits(now)
	p.local.RestartShares()
	p.local.CountFrom(now)
	p.local.ForgetSuspects() // what is blocked stands in p.blocked; an allocator has seen the rest
	for _, t := range p.tickets {
		if t.engine == "" {
			p.arriveLocally(now, t)
		}
	}
}

func (p *placer) arriveLocally(now time.Duration, t *ticket) {
	p.local.Enqueue(now, placementRequest(t))
}

// stopLocal withdraws the waiting requests from the local placement, since an allocator decides about them
// now.
func (p *placer) stopLocal() {
	for _, t := range p.tickets {
		if t.engine == "" {
			p.local.Withdraw(placementID(t))
		}
	}
}

func (p *placer) decideLocally(now time.Duration) {
	level := zerolog.InfoLevel
	if p.allocator() != "" {
		level = zerolog.DebugLevel // the allocator decides on the health of engines
	}
	for _, h := range p.local.HealthChanges() {
		p.logger.WithLevel(level).EmbedObject(&h).Msg(placement.HealthMessage)
	}
	if p.allocator() != "" {
		return
	}
	p.served = true
	p.blockLocally(now)
	p.local.SetPermitDemand("", p.dataCentre, p.balancer.PermitDemand(now))
	for _, permit := range p.local.GrantPermits(now) {
		p.balancer.AddPermits(now, permit.Engine, 1)
	}
	grants, rejections := p.local.Decide(now)
	for _, g := range grants {
		p.grant(now, ticketID(g.Request), slotDecision{engine: g.Engine, running: g.Running})
	}
	for _, r := range rejections {
		p.reject(ticketID(r.Request), slotDecision{
			reason: r.Reason, retryAfter: r.RetryAfter, waiting: r.Waiting, wait: r.ExpectedWait,
			capacity: r.Capacity, likelyRetry: r.LikelyRetry,
		})
	}
	exhausted := p.local.ExhaustedWorkspaces(now)
	p.exhausted.Store(&exhausted)
}

// blockLocally adds what the local placement has blocked to the list of the former allocator.
func (p *placer) blockLocally(now time.Duration) {
	changes := p.local.PartChanges()
	if watchChanged := p.local.WatchChanged(); len(changes) == 0 && !watchChanged {
		return
	}
	parts := p.blocked.List(now)
	for _, change := range changes {
		p.logger.Warn().Str("service", change.Service).Str("part", strconv.FormatUint(uint64(change.Part), 16)).
			Bool("blocked", change.Blocked).Int("crashes", change.Crashes).Msg("block of a request part changed")
		if !change.Blocked {
			parts = slices.DeleteFunc(parts, func(b placement.BlockedPart) bool {
				return b.Service == change.Service && b.Part == change.Part
			})
		}
	}
	for _, b := range p.local.BlockedParts(now) {
		known := func(other placement.BlockedPart) bool { return other.Service == b.Service && other.Part == b.Part }
		if !slices.ContainsFunc(parts, known) {
			parts = append(parts, b)
		}
	}
	p.blocked.Set(now, parts, p.local.WatchedParts(now))
}

func ticketID(id placement.RequestID) uint64 {
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return 0 // not reached: placementID formats a number
	}
	return n
}
