package placement

import (
	"time"

	"github.com/primrosebeam/primrosebeam/routing"
)

// QuotaLimit is the quota of a workspace.
type QuotaLimit struct {
	Workspace string
	Rate      float64 // units a second over all instances; 0 means no limit
	Burst     float64 // units
	// Window is the span in which Rate and Burst together may be spent.
	Window time.Duration
}

// burstPart is the part of a burst that can be spent at once. The rest is spread over the window, so
// that a workspace that asks for more than its rate for long gets all that the quota grants in a
// window, and yet can't occupy all engines at once.
const burstPart = 0.5

// refillRate and capacity make a bucket that passes Rate * Window + Burst in any window.
func (l *QuotaLimit) refillRate() float64 {
	if l.Window <= 0 {
		return l.Rate
	}
	return l.Rate + (1-burstPart)*l.Burst/l.Window.Seconds()
}

func (l *QuotaLimit) capacity() float64 {
	if l.Window <= 0 {
		return l.Burst
	}
	return burstPart * l.Burst
}

// QuotaLimits returns the quotas of workspaces.
func QuotaLimits(workspaces []routing.Workspace, window time.Duration) []QuotaLimit {
	limits := make([]QuotaLimit, 0, len(workspaces))
	for _, w := range workspaces {
		limits = append(limits, QuotaLimit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst, Window: window})
	}
	return limits
}

// quota is a token bucket.
type quota struct {
	QuotaLimit
	level   float64 // units that may be spent; below 0 after charges of others
	updated time.Duration
	booked  time.Duration // until then the quota is used up by callers that were told to return
}

// SetQuotas replaces the quotas. A bucket keeps its level as far as the new burst allows.
func (c *Core) SetQuotas(now time.Duration, limits []QuotaLimit) {
	former := c.quotas
	c.quotas = make(map[string]*quota, len(limits))
	for _, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		q := former[l.Workspace]
		if q == nil {
			q = &quota{QuotaLimit: l, level: l.capacity() * c.share, updated: now}
		}
		c.refill(now, q)
		q.QuotaLimit = l
		q.level = min(q.level, l.capacity()*c.share)
		c.quotas[l.Workspace] = q
	}
}

// SetQuotaShare sets the part of each quota that this core may spend. Cores that don't hear of each other
// have shares that add up to at most 1.
func (c *Core) SetQuotaShare(now time.Duration, share float64) {
	if share == c.share {
		return
	}
	for _, q := range c.quotas {
		c.refill(now, q)
		// A larger share comes with its part of the bucket, or a new leader would refuse everything at
		// first. Its predecessor may have spent that part; one burst more stays within the users' bound.
		q.level += max(share-c.share, 0) * q.capacity()
		q.level = min(q.level, q.capacity()*share)
	}
	c.share = share
}

func (c *Core) refill(now time.Duration, q *quota) {
	q.level = min(q.level+q.refillRate()*c.share*(now-q.updated).Seconds(), q.capacity()*c.share)
	q.updated = now
}

// spend takes a charge from the quota of a workspace, or returns the time until there is enough.
func (c *Core) spend(now time.Duration, workspace string, charge float64) (wait time.Duration, ok bool) {
	q := c.quotas[workspace]
	if q == nil || charge <= 0 {
		return 0, true // Nothing is charged for a request that is sent again.
	}
	c.refill(now, q)
	// A request larger than the burst passes when the bucket is full.
	need := min(charge, q.capacity()*c.share)
	if q.level < need {
		return q.book(now, need, max(q.refillRate()*c.share, 1)), false
	}
	q.level -= charge
	return 0, true
}

// book returns the time until a caller that is refused finds its charge in the quota, behind those that
// were refused before.
func (q *quota) book(now time.Duration, charge, rate float64) time.Duration {
	missing := time.Duration(max(charge-q.level, 0) / rate * float64(time.Second))
	q.booked = min(max(q.booked+time.Duration(charge/rate*float64(time.Second)), now+missing), now+bookMost)
	return max(q.booked-now, retryLeast)
}

// bookMost bounds the time after which a caller without quota is told to return: half of the time that
// callers wait for the first event of a stream.
const bookMost = 1500 * time.Millisecond

// Charge takes what an instance spent without asking.
func (c *Core) Charge(now time.Duration, workspace string, charge float64) {
	if q := c.quotas[workspace]; q != nil {
		c.refill(now, q)
		q.level -= charge
	}
}

func (c *Core) refund(workspace string, charge float64) {
	if q := c.quotas[workspace]; q != nil {
		q.level += charge
	}
}

// ExhaustedWorkspaces returns the workspaces that have nothing left to spend.
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
