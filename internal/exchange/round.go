package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/membership"
)

// fullSummaryBytes is the size limit for a summary of all engines. If it would be longer, only the changes are
// sent, over several rounds if necessary.
const fullSummaryBytes = 4 << 10

// messageBytes limits what one partner is sent per round, apart from a full summary.
const messageBytes = 1 << 10

// partner records what a partner has been sent.
type partner struct {
	lastFullSummary time.Time // time of the last full summary
	loads           map[string]engineLoad
	reports         map[string]origin // origin of the last report sent, by engine
	nextReport      int               // index of the first engine whose report did not fit
}

// sendRound sends the partners what has changed, within the byte budget of the round.
func (e *Exchange) sendRound() {
	e.updatePartners()
	e.removeExpiredSummaries()
	e.fullMesh = e.isFullMesh()
	for range e.partnerNames {
		if e.bytesLeft < frameBytes+reportBytes {
			return // The next round continues with this partner.
		}
		e.nextPartner = (e.nextPartner + 1) % len(e.partnerNames)
		name := e.partnerNames[e.nextPartner]
		p := e.partners[name]
		e.bytesLeft -= e.sendSummary(name, p, min(e.bytesLeft, messageBytes))
		e.bytesLeft -= e.sendReports(name, p, min(e.bytesLeft, messageBytes))
	}
}

// isFullMesh reports whether a message of an instance reaches all others directly.
func (e *Exchange) isFullMesh() bool {
	reachable := 0
	for _, i := range e.Instances() {
		if i.State == membership.StateAlive || i.State == membership.StateSuspected {
			reachable++
		}
	}
	return len(e.partnerNames) >= reachable-1
}

func (e *Exchange) updatePartners() {
	names := e.core.Partners()
	slices.Sort(names)
	if slices.Equal(names, e.partnerNames) {
		return
	}
	e.partnerNames = names
	e.refreshView()
	for name := range e.partners {
		if _, found := slices.BinarySearch(e.partnerNames, name); !found {
			delete(e.partners, name)
		}
	}
	for _, name := range e.partnerNames {
		if e.partners[name] == nil {
			e.partners[name] = &partner{loads: map[string]engineLoad{}, reports: map[string]origin{}}
		}
	}
}

// removeExpiredSummaries removes the load of instances that have sent no summary for peerSummaryLifetime.
func (e *Exchange) removeExpiredSummaries() {
	for name, p := range e.peers {
		if e.now.Sub(p.receivedAt) > peerSummaryLifetime {
			e.removePeerSummary(name)
		}
	}
}

// sendSummary sends a full summary when one is due, and changes otherwise. It returns the number of bytes used.
func (e *Exchange) sendSummary(name string, p *partner, budget int) int {
	if e.now.Sub(p.lastFullSummary) >= fullSummaryInterval {
		if m, size := e.fullSummary(); size <= fullSummaryBytes {
			p.lastFullSummary = e.now
			clear(p.loads)
			e.sendLoads(name, p, m)
			return size
		}
	}
	m, size := e.changes(p, budget)
	if len(m.Engines) == 0 {
		return 0
	}
	e.sendLoads(name, p, m)
	return size
}

// sendLoads sends a summary and records the loads that the partner has from then on. After a dropped message
// the next summary is a full one, or the changes again if a full one is too long.
func (e *Exchange) sendLoads(name string, p *partner, m summary) {
	if !e.send(name, KindSummary, m) {
		p.lastFullSummary = time.Time{}
		return
	}
	for _, l := range m.Engines {
		if l.InFlight == 0 && l.Demand == 0 {
			delete(p.loads, l.Engine)
			continue
		}
		p.loads[l.Engine] = l
	}
}

func (e *Exchange) fullSummary() (m summary, size int) {
	m.Full = true
	size = frameBytes
	for _, l := range e.ownLoads {
		m.Engines = append(m.Engines, l)
		size += l.size()
	}
	return m, size
}

// changes returns the largest changes that fit into the budget.
func (e *Exchange) changes(p *partner, budget int) (m summary, size int) {
	changed := m.Engines
	for name, l := range e.ownLoads {
		if p.loads[name] != l {
			changed = append(changed, l)
		}
	}
	for name := range p.loads {
		if _, loaded := e.ownLoads[name]; !loaded {
			changed = append(changed, engineLoad{Engine: name})
		}
	}
	if len(changed) == 0 {
		return m, 0
	}
	slices.SortFunc(changed, func(a, b engineLoad) int {
		return cmp.Or(cmp.Compare(difference(b, p.loads[b.Engine]), difference(a, p.loads[a.Engine])), cmp.Compare(a.Engine, b.Engine))
	})
	size = frameBytes
	for n, l := range changed {
		if size+l.size() > budget {
			changed = changed[:n]
			break
		}
		size += l.size()
	}
	m.Engines = changed
	return m, size
}

// difference returns how much two loads differ, for sorting changes.
func difference(a, b engineLoad) int {
	return abs(a.InFlight-b.InFlight) + abs(a.Demand-b.Demand) + abs(a.Limit-b.Limit)
}

func abs(n int) int { return max(n, -n) }

// view is the part of the membership that is published to other goroutines.
type view struct {
	instances []membership.Instance
	pollers   *pollers
}

// refreshView publishes the instances known to core. The selection of pollers is kept while the same
// instances are alive.
func (e *Exchange) refreshView() {
	next := &view{instances: e.core.Instances()}
	old := e.view.Load()
	if old != nil && sameAliveInstances(old.instances, next.instances) {
		next.pollers = old.pollers
	} else {
		next.pollers = &pollers{byEngine: map[string][]string{}}
	}
	e.view.Store(next)
	e.metrics.setStates(next.instances)
}

func sameAliveInstances(a, b []membership.Instance) bool {
	return slices.EqualFunc(a, b, func(a, b membership.Instance) bool {
		return a.Name == b.Name && a.DataCentre == b.DataCentre && (a.State == membership.StateAlive) == (b.State == membership.StateAlive)
	})
}
