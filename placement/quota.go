package placement

import (
	"time"

	"github.com/primrosebeam/primrosebeam/routing"
)

// QuotaLimit is the quota of a workspace.
type QuotaLimit struct {
	Workspace string
	Rate      float64 // units per second over all instances; 0 means unlimited
	Burst     float64 // units
	// Window is the period in which at most Rate * Window + Burst units may be spent.
	Window time.Duration
	// Slack is what may be spent in a window beyond Rate * Window + Burst, in units. It is spent only while slots
	// are idle, so that it takes nothing from other workspaces.
	Slack float64
}

// slackCapacity returns the size of the bucket for the slack. Half of the slack can be spent at once; the rest is
// spread over the window.
func (l *QuotaLimit) slackCapacity() float64 { return l.Slack / 2 }

// immediateBurstShare is the fraction of a burst that can be spent at once. The rest is spread over the
// window, so that a workspace that exceeds its rate for a long time receives its complete quota in each
// window but cannot occupy all engines at once.
const immediateBurstShare = 0.5

// refillRate returns the rate at which the token bucket is refilled, in units per second. Together with
// capacity it limits the spending in any window to Rate * Window + Burst.
func (l *QuotaLimit) refillRate() float64 {
	if l.Window <= 0 {
		return l.Rate
	}
	return l.Rate + (1-immediateBurstShare)*l.Burst/l.Window.Seconds()
}

// capacity returns the size of the token bucket, in units.
func (l *QuotaLimit) capacity() float64 {
	if l.Window <= 0 {
		return l.Burst
	}
	return immediateBurstShare * l.Burst
}

// slackShare is the fraction of the users' tolerance that is used as slack. The rest, and the overrun that they
// accept, is left for the time in which a former allocator still spends.
const slackShare = 0.4

// QuotaLimits returns the quota limits of the given workspaces. tolerance is the number of units that the users
// accept in a window beyond the quota.
func QuotaLimits(workspaces []routing.Workspace, window time.Duration, tolerance float64) []QuotaLimit {
	limits := make([]QuotaLimit, 0, len(workspaces))
	for _, w := range workspaces {
		limits = append(limits, QuotaLimit{
			Workspace: w.Name, Rate: w.Rate, Burst: w.Burst, Window: window, Slack: slackShare * tolerance,
		})
	}
	return limits
}

// tokenBucket limits the spending of a workspace.
type tokenBucket struct {
	QuotaLimit
	level         float64 // units available; negative after charges by other instances
	slack         float64 // units of the slack available; 0 at first, as a former allocator may have spent it
	updated       time.Duration
	reservedUntil time.Duration // the refill up to this time is reserved for rejected callers
	former        formerSpending
}

// SetQuotas replaces the quota limits. A bucket keeps its level as far as its new capacity allows.
func (c *Core) SetQuotas(now time.Duration, limits []QuotaLimit) {
	former := c.quotas
	c.quotas = make(map[string]*tokenBucket, len(limits))
	for _, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		q := former[l.Workspace]
		if q == nil {
			q = &tokenBucket{QuotaLimit: l, level: l.capacity() * c.quotaShare, updated: now}
		}
		c.refill(now, q)
		q.QuotaLimit = l
		q.level = min(q.level, l.capacity()*c.quotaShare)
		c.quotas[l.Workspace] = q
	}
	c.quotasKnown = true
	c.updateShareWeights()
	for _, e := range c.early {
		c.TakeOverSpending(e.at, e.list)
	}
	c.early = nil
}

// QuotasKnown reports whether SetQuotas was called.
func (c *Core) QuotasKnown() bool { return c.quotasKnown }

// SetQuotaShare sets the fraction of each quota, and of the rate limit of each engine, that this core may spend. The shares of cores that cannot
// communicate with each other must add up to at most 1.
func (c *Core) SetQuotaShare(now time.Duration, share float64) {
	if share == c.quotaShare {
		return
	}
	for _, q := range c.quotas {
		c.refill(now, q)
		// A larger share includes its part of the bucket; otherwise a new leader would reject everything
		// at first. Its predecessor may already have spent that part, but one additional burst stays
		// within the users' bound.
		q.level += max(share-c.quotaShare, 0) * q.capacity()
		q.level = min(q.level, q.capacity()*share)
	}
	for _, p := range c.pacers {
		p.refill(now, c.quotaShare)
		p.level = min(p.level, p.burst(share))
	}
	c.quotaShare = share
}

func (c *Core) refill(now time.Duration, q *tokenBucket) {
	elapsed := (now - q.updated).Seconds()
	q.level = min(q.level+q.refillRate()*c.quotaShare*elapsed, q.capacity()*c.quotaShare)
	if q.Window > 0 && c.spendsWholeQuota() {
		q.slack = min(q.slack+q.slackCapacity()*elapsed/q.Window.Seconds(), q.slackCapacity())
	}
	q.updated = now
}

// spendsWholeQuota reports whether this core spends for all instances, so that no other one uses the slack.
func (c *Core) spendsWholeQuota() bool { return c.quotaShare == 1 }

// spend takes a charge from the quota of a workspace and, if slots are idle, from the slack. If they do not
// suffice, it returns the time until the quota will.
func (c *Core) spend(now time.Duration, workspace string, charge float64, idle bool) (wait time.Duration, ok bool) {
	q := c.quotas[workspace]
	if q == nil || charge <= 0 {
		return 0, true // no quota applies, or the request is a retry by the instance, which is not charged again
	}
	c.refill(now, q)
	// A request that is larger than the burst passes when the bucket is full.
	need := min(charge, q.capacity()*c.quotaShare)
	if missing := need - q.level; missing > 0 && missing <= q.slack && idle && c.spendsWholeQuota() {
		q.slack -= missing
		q.level += missing
	}
	if q.level < need || !q.permits(now, charge, c.quotaShare) {
		return q.reserve(now, need, max(q.refillRate()*c.quotaShare, 1)), false
	}
	q.level -= charge
	q.former.add(now, q.Window, charge)
	return 0, true
}

// reserve reserves a charge for a rejected caller behind those of callers rejected earlier, and returns
// the time until the quota covers it.
func (q *tokenBucket) reserve(now time.Duration, charge, rate float64) time.Duration {
	missing := time.Duration(max(charge-q.level, 0) / rate * float64(time.Second))
	q.reservedUntil = min(
		max(q.reservedUntil+time.Duration(charge/rate*float64(time.Second)), now+missing), now+maxQuotaRetryAfter)
	return max(q.reservedUntil-now, minRetryAfter)
}

// maxQuotaRetryAfter bounds the retry delay of a caller without quota. It is half of the time that callers
// wait for the first event of a stream.
const maxQuotaRetryAfter = 1500 * time.Millisecond

// Charge deducts units that an instance spent without asking the allocator. The level may become negative.
func (c *Core) Charge(now time.Duration, workspace string, charge float64) {
	if q := c.quotas[workspace]; q != nil {
		c.refill(now, q)
		q.level -= charge
		q.former.add(now, q.Window, charge)
	}
}

func (c *Core) refund(workspace string, charge float64) {
	if q := c.quotas[workspace]; q != nil {
		q.level += charge
		q.former.add(q.updated, q.Window, -charge)
	}
}

// ExhaustedWorkspaces returns the names of the workspaces that have no quota left.
func (c *Core) ExhaustedWorkspaces(now time.Duration) []string {
	var names []string
	for name, q := range c.quotas {
		c.refill(now, q)
		if q.level <= 0 {
			names = append(names, name)
		}
	}
	return names
}
