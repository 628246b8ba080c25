package edge

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/placement"
)

// Without any allocator this instance places its requests by itself. It then uses its part of the
// places of each engine and of the quotas, as the other instances may be in the same situation.

// localSpread is how many times its equal part of an engine an instance uses: the instances that are
// cut off together rarely reach the engines of all data centres.
const localSpread = 2

func localID(t *ticket) placement.RequestID {
	return placement.RequestID(strconv.FormatUint(t.id, 10))
}

func localRequest(t *ticket) placement.Request {
	r := t.request
	r.ID = localID(t)
	return r
}

func (p *placer) setLocalEngines() {
	part := make([]placement.Engine, len(p.engines))
	for i, e := range p.engines {
		e.Slots = max(1, localSpread*e.Slots/p.entries())
		part[i] = e
	}
	p.local.SetEngines(part)
}

func (p *placer) startLocal(now time.Duration) {
	p.setLocalEngines()
	p.local.SetQuotaShare(now, 1/float64(p.entries()))
	for _, t := range p.tickets {
		if t.engine == "" {
			p.arriveHere(now, t)
		}
	}
}

func (p *placer) arriveHere(now time.Duration, t *ticket) { p.local.Enqueue(now, localRequest(t)) }

// stopLocal takes the requests that wait back, to hand them to an allocator.
func (p *placer) stopLocal() {
	for _, t := range p.tickets {
		if t.engine == "" {
			p.local.Withdraw(localID(t))
		}
	}
}

func (p *placer) decideHere(now time.Duration) {
	level := zerolog.InfoLevel
	if p.allocator() != "" {
		level = zerolog.DebugLevel // the allocator's belief counts
	}
	for _, h := range p.local.HealthChanges() {
		p.logger.WithLevel(level).EmbedObject(&h).Msg(placement.HealthMessage)
	}
	if p.allocator() != "" {
		return
	}
	grants, rejections := p.local.Decide(now)
	for _, g := range grants {
		p.grant(now, localNumber(g.Request), placed{engine: g.Engine, runs: g.Running})
	}
	for _, r := range rejections {
		p.reject(localNumber(r.Request), placed{
			reason: r.Reason, retryAfter: r.RetryAfter, waiting: r.Waiting, wait: r.ExpectedWait, capacity: r.Capacity, returning: r.LikelyRetry,
		})
	}
	exhausted := p.local.ExhaustedWorkspaces(now)
	p.exhausted.Store(&exhausted)
}

func localNumber(id placement.RequestID) uint64 {
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return 0 // localID wrote a number, so this is not reached
	}
	return n
}
