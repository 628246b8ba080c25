package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/membership"
)

// fullSummaryBytes is the longest summary that names every engine; a longer one is sent in parts.
const fullSummaryBytes = 4 << 10

// messageBytes bounds what one partner is sent per round, apart from a full summary.
const messageBytes = 1 << 10

// partner is what a partner has been sent.
type partner struct {
	refreshed  time.Time // last full summary
	loads      map[string]engineLoad
	reports    map[string]origin // by engine
	nextReport int               // where the engines that did not fit begin
}

// round sends the partners what has changed, within the bytes of the round.
func (e *Exchange) round() {
	e.followPartners()
	e.forgetSilentPeers()
	e.meshed = e.everybodyIsPartner()
	for range e.names {
		if e.bytesLeft < frameBytes+reportBytes {
			return // The next round goes on with this partner.
		}
		e.nextPartner = (e.nextPartner + 1) % len(e.names)
		name := e.names[e.nextPartner]
		p := e.partners[name]
		e.bytesLeft -= e.sendSummary(name, p, min(e.bytesLeft, messageBytes))
		e.bytesLeft -= e.sendReports(name, p, min(e.bytesLeft, messageBytes))
	}
}

// everybodyIsPartner reports whether what an instance sends reaches all others directly.
func (e *Exchange) everybodyIsPartner() bool {
	reachable := 0
	for _, i := range e.Instances() {
		if i.State == membership.StateAlive || i.State == membership.StateSuspected {
			reachable++
		}
	}
	return len(e.names) >= reachable-1
}

func (e *Exchange) followPartners() {
	names := e.core.Partners()
	slices.Sort(names)
	if slices.Equal(names, e.names) {
		return
	}
	e.names = names
	e.refreshView()
	for name := range e.partners {
		if _, found := slices.BinarySearch(e.names, name); !found {
			delete(e.partners, name)
		}
	}
	for _, name := range e.names {
		if e.partners[name] == nil {
			e.partners[name] = &partner{loads: map[string]engineLoad{}, reports: map[string]origin{}}
		}
	}
}

func (e *Exchange) forgetSilentPeers() {
	for name, p := range e.peers {
		if e.now.Sub(p.heard) > forgetAfter {
			e.forgetPeer(name)
		}
	}
}

// sendSummary returns the bytes that it used.
func (e *Exchange) sendSummary(name string, p *partner, budget int) int {
	if e.now.Sub(p.refreshed) >= refreshEvery {
		if m, size := e.fullSummary(); size <= fullSummaryBytes {
			p.refreshed = e.now
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

// sendLoads notes what the partner knows from now on. A message that was dropped is sent again as a change.
func (e *Exchange) sendLoads(name string, p *partner, m summary) {
	if !e.send(name, KindSummary, m) {
		p.refreshed = time.Time{}
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
	for _, l := range e.own {
		m.Engines = append(m.Engines, l)
		size += l.size()
	}
	return m, size
}

// changes returns the largest changes that fit.
func (e *Exchange) changes(p *partner, budget int) (m summary, size int) {
	changed := m.Engines
	for name, l := range e.own {
		if p.loads[name] != l {
			changed = append(changed, l)
		}
	}
	for name := range p.loads {
		if _, loaded := e.own[name]; !loaded {
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

func difference(a, b engineLoad) int {
	return abs(a.InFlight-b.InFlight) + abs(a.Demand-b.Demand) + abs(a.Limit-b.Limit)
}

func abs(n int) int { return max(n, -n) }

// view is the published part of the membership.
type view struct {
	instances []membership.Instance
	pollers   *pollers
}

// refreshView publishes what the core knows; the choice of pollers is kept while the same instances are alive.
func (e *Exchange) refreshView() {
	next := &view{instances: e.core.Instances()}
	old := e.view.Load()
	if old != nil && sameAlive(old.instances, next.instances) {
		next.pollers = old.pollers
	} else {
		next.pollers = &pollers{byEngine: map[string][]string{}}
	}
	e.view.Store(next)
	e.metrics.setStates(next.instances)
}

func sameAlive(a, b []membership.Instance) bool {
	return slices.EqualFunc(a, b, func(a, b membership.Instance) bool {
		return a.Name == b.Name && a.DataCentre == b.DataCentre && (a.State == membership.StateAlive) == (b.State == membership.StateAlive)
	})
}
