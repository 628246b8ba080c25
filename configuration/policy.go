package configuration

import (
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

// DefaultOneWayLatency is the one-way latency assumed for a data centre that no chain of links reaches. It is
// a little higher than the latency between data centres of one region. If it were the latency between regions,
// one missing link would leave the engines of a near data centre idle until all others are overloaded.
const DefaultOneWayLatency = 5 * time.Millisecond

// Policy returns the policy for the scheduler of an instance in the given data centre.
func (v *View) Policy(dataCentre string) scheduler.Policy {
	d := v.document
	p := scheduler.Policy{
		DataCentre:    dataCentre,
		Tiers:         make([]scheduler.Tier, len(d.Tiers)),
		Workspaces:    make([]scheduler.Workspace, len(d.Workspaces)),
		Services:      make([]scheduler.Service, len(d.Services)),
		Engines:       make([]scheduler.Engine, len(d.Engines)),
		OneWayLatency: oneWayLatencies(d, dataCentre),
	}
	for i, t := range d.Tiers {
		p.Tiers[i] = scheduler.Tier{
			Name:          t.Name,
			FirstToken:    t.FirstToken.Std(),
			BetweenTokens: t.BetweenTokens.Std(),
			Deadline:      t.Deadline.Std(),
			QueueLimit:    t.QueueLimit,
			MinimumShare:  t.MinimumShare,
		}
	}
	for i, w := range d.Workspaces {
		p.Workspaces[i] = scheduler.Workspace{Name: w.Name, Weight: w.Weight}
	}
	for i, s := range d.Services {
		p.Services[i] = scheduler.Service{
			Name:        s.Name,
			Kind:        kinds[s.Kind],
			Selector:    v.selectors[i],
			RetryBudget: s.RetryBudget,
		}
	}
	for i, e := range d.Engines {
		p.Engines[i] = scheduler.Engine{
			Name:        e.Name,
			DataCentre:  e.DataCentre,
			Labels:      e.Labels,
			MaxInFlight: e.MaxInFlight,
			Drained:     e.Drained,
		}
	}
	return p
}

var kinds = map[string]scheduler.Kind{KindModel: scheduler.KindModel, KindPlain: scheduler.KindPlain}

// oneWayLatencies returns the shortest one-way latencies over the links from one data centre to all others.
func oneWayLatencies(d *Document, from string) map[string]time.Duration {
	result := map[string]time.Duration{from: 0}
	// Bellman-Ford: each round finalises at least one data centre, and there are only a few data centres.
	for changed := true; changed; {
		changed = false
		for _, link := range d.Links {
			a, b := link.Between[0], link.Between[1]
			changed = relax(result, a, b, link.Latency.Std()) || changed
			changed = relax(result, b, a, link.Latency.Std()) || changed
		}
	}
	for _, engine := range d.Engines {
		if _, known := result[engine.DataCentre]; !known {
			result[engine.DataCentre] = DefaultOneWayLatency
		}
	}
	return result
}

func relax(result map[string]time.Duration, via, to string, latency time.Duration) bool {
	base, reached := result[via]
	if !reached {
		return false
	}
	if old, known := result[to]; known && old <= base+latency {
		return false
	}
	result[to] = base + latency
	return true
}
