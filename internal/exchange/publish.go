package exchange

import (
	"maps"
	"math"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/membership"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// ownLoads is the complete load of this instance, by engine.
type ownLoads struct{ loads map[string]engineLoad }

// leaveRequest asks the worker to announce that the instance is leaving.
type leaveRequest struct{}

// PublishSummary publishes the load of this instance on all engines; engines that are left out have none.
// Changes are sent to the partners at most once per SummaryInterval.
func (e *Exchange) PublishSummary(engines map[string]scheduler.PeerLoad) error {
	loads := make(map[string]engineLoad, len(engines))
	for name, load := range engines {
		if load.InFlight != 0 || load.Demand != 0 {
			loads[name] = engineLoad{
				Engine: name, InFlight: load.InFlight, Demand: load.Demand, Limit: int(math.Round(load.Limit)),
			}
		}
	}
	return e.offer(input{message: ownLoads{loads: loads}})
}

// PublishFloor asks all instances not to admit requests below a tier.
func (e *Exchange) PublishFloor(f scheduler.PublishFloor) error { return e.offer(input{message: f}) }

// PublishReport sends the partners a load report that this instance has polled. It is not delivered locally.
func (e *Exchange) PublishReport(r scheduler.LoadReport) error { return e.offer(input{message: r}) }

// PublishCache sends the partners cache events that this instance has polled. They are not delivered locally.
// The changes must not be modified afterwards.
func (e *Exchange) PublishCache(c scheduler.CacheEvents) error { return e.offer(input{message: c}) }

// AnnounceEngineLeaving announces that an incarnation of an engine is leaving, which is final. The
// announcement is delivered locally too. The caller retries when the ring is full.
func (e *Exchange) AnnounceEngineLeaving(engine string, incarnation uint64) error {
	return e.offer(input{message: membership.EngineNotice{Engine: engine, Incarnation: incarnation}})
}

// ApplyHints processes the platform's list of instances, which may be out of date.
func (e *Exchange) ApplyHints(hints []membership.Hint) error { return e.offer(input{message: hints}) }

// AnnounceLeaving announces a planned stop of this instance. The worker runs until the context of Run ends.
func (e *Exchange) AnnounceLeaving() error { return e.offer(input{message: leaveRequest{}}) }

// SetVersion records the configuration version in force at this instance. It is spread with the next tick.
func (e *Exchange) SetVersion(version uint64) {
	for {
		old := e.version.Load()
		if version <= old || e.version.CompareAndSwap(old, version) {
			return
		}
	}
}

// announceEngine sends a leave notice to the partners at once, in addition to the heartbeats.
func (e *Exchange) announceEngine(n membership.EngineNotice) {
	if e.core.EngineLeaving(n.Engine, n.Incarnation) {
		return
	}
	e.applyOutput(e.core.AnnounceEngineLeaving(e.now, n.Engine, n.Incarnation))
	for _, name := range e.core.Partners() {
		e.send(name, KindLeaving, leaving{Engines: []membership.EngineNotice{n}})
	}
}

// maxEngines limits the number of engines that are tracked, in total and per peer.
const maxEngines = 4096

// peerSummary is the load that another instance has reported.
type peerSummary struct {
	incarnation uint64
	receivedAt  time.Time
	engines     map[string]scheduler.PeerLoad
}

func (e *Exchange) handleSummary(from link.Sender, m summary) {
	p, known := e.peers[from.Name]
	if known && from.Incarnation < p.incarnation {
		return
	}
	if !known || from.Incarnation > p.incarnation || m.Full {
		p = &peerSummary{incarnation: from.Incarnation, engines: map[string]scheduler.PeerLoad{}}
		e.peers[from.Name] = p
	}
	p.receivedAt = e.now
	for _, l := range m.Engines {
		switch {
		case l.InFlight <= 0 && l.Demand <= 0:
			delete(p.engines, l.Engine)
		case len(p.engines) < maxEngines:
			p.engines[l.Engine] = scheduler.PeerLoad{
				InFlight: max(0, l.InFlight), Demand: max(0, l.Demand), Limit: float64(max(0, l.Limit)),
			}
		}
	}
	e.options.Deliver(scheduler.PeerSummary{Instance: from.Name, At: e.now, Engines: maps.Clone(p.engines)})
}

// removePeerSummary removes the load of an instance that has failed or become silent, and delivers an empty
// one.
func (e *Exchange) removePeerSummary(name string) {
	if _, known := e.peers[name]; !known {
		return
	}
	delete(e.peers, name)
	e.options.Deliver(scheduler.PeerSummary{Instance: name, At: e.now, Engines: map[string]scheduler.PeerLoad{}})
}
