package placement

import (
	"cmp"
	"slices"
	"time"
)

// Instances choose the engines of plain services by themselves. An engine that states a rate limit takes their
// requests together, so a request to it needs a permit, which the core of the allocator grants within the limit.
// Instances tell how many permits they can use and get them in advance, because a request takes no longer than
// asking for one.

// PermitDemand states how many permits an instance can use for the engines of a service that state rate limits.
type PermitDemand struct {
	Service  string `cbor:"1,keyasint"`
	Waiting  int    `cbor:"2,keyasint,omitempty"` // requests that wait for a permit
	Expected int    `cbor:"3,keyasint,omitempty"` // further requests that are expected soon
}

// Permit allows an instance to send one request to an engine within permitTTL.
type Permit struct {
	Owner  string
	Engine string
}

// permitTTL is how long a permit may be used. Longer, and more requests than the limit allows could be sent at
// once; shorter, and permits of instances with few requests would be lost.
const permitTTL = time.Second

// permitOwner is an instance and the permits that it can use.
type permitOwner struct {
	name       string
	dataCentre string
	demand     []PermitDemand
	granted    uint64 // number of the last permit, to take turns
}

func (o *permitOwner) demandFor(service string) *PermitDemand {
	for i := range o.demand {
		if o.demand[i].Service == service {
			return &o.demand[i]
		}
	}
	return nil
}

// SetPermitDemand replaces the demand of an instance.
func (c *Core) SetPermitDemand(owner, dataCentre string, demand []PermitDemand) {
	o := c.permitOwners[owner]
	switch {
	case len(demand) == 0:
		delete(c.permitOwners, owner)
		return
	case o == nil:
		o = &permitOwner{name: owner}
		c.permitOwners[owner] = o
	}
	o.dataCentre = dataCentre
	o.demand = slices.Clone(demand)
}

// WantsPermits reports whether an instance can use permits.
func (c *Core) WantsPermits() bool {
	return (len(c.pacers) > 0 || c.isExposing()) && len(c.permitOwners) > 0
}

// GrantPermits grants the permits that the rate limits and the exposure of new versions allow now.
func (c *Core) GrantPermits(now time.Duration) []Permit {
	if !c.WantsPermits() {
		return nil
	}
	permits := c.grantTrialPermits(now)
	for id := range c.pacers {
		e := c.engines[id]
		if e == nil || e.Leaving || e.access != accessFree || c.scope != "" && e.DataCentre != c.scope {
			continue
		}
		for c.isWithinRate(now, id) {
			o := c.nextPermitOwner(e)
			if o == nil {
				break
			}
			c.addToRate(id, -1)
			c.permitCount++
			o.granted = c.permitCount
			permits = append(permits, Permit{Owner: o.name, Engine: id})
		}
	}
	return permits
}

// nextPermitOwner returns the instance that gets the next permit for an engine and takes it off its demand: one with
// the most requests that wait, else one that expects requests, in the engine's data centre if possible.
func (c *Core) nextPermitOwner(e *engine) *permitOwner {
	var best *permitOwner
	var bestDemand *PermitDemand
	for _, o := range c.permitOwners {
		demand := o.demandFor(e.Service)
		if demand == nil || demand.Waiting+demand.Expected <= 0 {
			continue
		}
		if best == nil || precedes(e, o, demand, best, bestDemand) {
			best, bestDemand = o, demand
		}
	}
	if best == nil {
		return nil
	}
	if bestDemand.Waiting > 0 {
		bestDemand.Waiting--
	} else {
		bestDemand.Expected--
	}
	return best
}

// precedes reports whether instance a gets a permit before instance b.
func precedes(e *engine, a *permitOwner, demandA *PermitDemand, b *permitOwner, demandB *PermitDemand) bool {
	if order := cmp.Compare(demandA.Waiting, demandB.Waiting); order != 0 {
		return order > 0
	}
	if nearA, nearB := a.dataCentre == e.DataCentre, b.dataCentre == e.DataCentre; demandA.Waiting == 0 && nearA != nearB {
		return nearA
	}
	if a.granted != b.granted {
		return a.granted < b.granted
	}
	return a.name < b.name
}
