package placement

import "time"

// RemoveOwner removes all requests of an owner that left, was restarted or was lost.
func (c *Core) RemoveOwner(owner string) {
	delete(c.permitOwners, owner)
	for _, id := range c.RequestsOf(owner) {
		r := c.requests[id]
		if r.engine != nil {
			r.engine.remove(r)
		} else {
			c.removeWaiting(r)
		}
		delete(c.requests, id)
		delete(c.detached, id)
	}
}

// detachedRunFactor is how long the run of a silent owner occupies its slot at most, in multiples of its expected
// duration.
const detachedRunFactor = 2

// DetachOwner removes the waiting requests of an owner that is silent. Its runs may continue, so their slots stay
// occupied until they are expected to have ended, or until the owner reports again.
func (c *Core) DetachOwner(owner string) {
	delete(c.permitOwners, owner)
	for _, id := range c.RequestsOf(owner) {
		r := c.requests[id]
		if r.engine == nil {
			c.Withdraw(id)
			continue
		}
		r.releaseAt = min(r.grantedAt+detachedRunFactor*c.latency.timeToFinish(r.engine, r), r.Deadline)
		c.detached[id] = r
	}
}

// releaseDetached frees the slots of the runs of silent owners that are expected to have ended.
func (c *Core) releaseDetached(now time.Duration) {
	for id, r := range c.detached {
		if now >= r.releaseAt {
			r.engine.remove(r)
			delete(c.requests, id)
			delete(c.detached, id)
		}
	}
}
