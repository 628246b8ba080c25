package exchange

import (
	"slices"
	"sync"

	"github.com/primrosebeam/primrosebeam/membership"
)

// State is a dump of the duty, at most SummaryInterval old.
type State struct {
	Partners  []string
	Waiting   int // items in the ring
	Left      bool
	Version   uint64
	Digest    uint64 // equal on instances that know the same
	Summaries int    // instances whose load is known
	Reports   int    // engines with a report
	Engines   []membership.EngineNotice
	BytesLeft int // of the current round; negative after a full summary
}

// State returns a dump without stopping the duty.
func (e *Exchange) State() State {
	s := *e.state.Load()
	s.Waiting = e.inputs.Len()
	return s
}

func (e *Exchange) dump() {
	e.state.Store(&State{
		Partners:  e.names,
		Left:      e.left,
		Version:   e.version.Load(),
		Digest:    e.core.Digest(),
		Summaries: len(e.peers),
		Reports:   len(e.reports),
		Engines:   e.core.EngineNotices(),
		BytesLeft: e.bytesLeft,
	})
}

// Instances returns all known instances by name, this one included. The slice must not be modified.
func (e *Exchange) Instances() []membership.Instance { return e.view.Load().instances }

// InForce tells for each data centre where a configuration version is in force, as far as known here.
func (e *Exchange) InForce(version uint64) map[string]membership.Coverage {
	return membership.InForce(version, e.Instances())
}

// pollers caches choices for one set of alive instances.
type pollers struct {
	mu       sync.Mutex
	byEngine map[string][]string
}

// IsPoller reports whether this instance is one of the few that poll an engine and pass on its reports.
func (e *Exchange) IsPoller(engine, dataCentre string) bool {
	v := e.view.Load()
	key := engine + "\x00" + dataCentre
	v.pollers.mu.Lock()
	defer v.pollers.mu.Unlock()
	names, known := v.pollers.byEngine[key]
	if !known {
		names = membership.Pollers(engine, dataCentre, v.instances, e.o.PollersPerEngine)
		v.pollers.byEngine[key] = names
	}
	return slices.Contains(names, e.o.Name)
}
