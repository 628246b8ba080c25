package exchange

import (
	"slices"
	"sync"

	"github.com/primrosebeam/primrosebeam/membership"
)

// State is a snapshot of the worker for state dumps, at most SummaryInterval old.
type State struct {
	Partners  []string
	Waiting   int // items in the ring
	Left      bool
	Version   uint64
	Digest    uint64 // equal on instances with the same view
	Summaries int    // instances whose load is known
	Reports   int    // engines with a report
	Engines   []membership.EngineNotice
	BytesLeft int // remaining bytes of the current round; negative after a full summary
}

// State returns the last snapshot without interrupting the worker.
func (e *Exchange) State() State {
	s := *e.state.Load()
	s.Waiting = e.inputs.Len()
	return s
}

func (e *Exchange) storeState() {
	e.state.Store(&State{
		Partners:  e.partnerNames,
		Left:      e.leaveAnnounced,
		Version:   e.version.Load(),
		Digest:    e.core.Digest(),
		Summaries: len(e.peers),
		Reports:   len(e.reports),
		Engines:   e.core.EngineNotices(),
		BytesLeft: e.bytesLeft,
	})
}

// Instances returns all known instances sorted by name, including this one. The slice must not be modified.
func (e *Exchange) Instances() []membership.Instance { return e.view.Load().instances }

// InForce returns for each data centre at how many live instances a configuration version is known to be in
// force.
func (e *Exchange) InForce(version uint64) map[string]membership.Coverage {
	return membership.InForce(version, e.Instances())
}

// pollers caches the selected pollers for one set of alive instances.
type pollers struct {
	mu       sync.Mutex
	byEngine map[string][]string
}

// IsPoller reports whether this instance is one of the few that poll an engine and publish its reports.
func (e *Exchange) IsPoller(engine, dataCentre string) bool {
	v := e.view.Load()
	key := engine + "\x00" + dataCentre
	v.pollers.mu.Lock()
	defer v.pollers.mu.Unlock()
	names, known := v.pollers.byEngine[key]
	if !known {
		names = membership.Pollers(engine, dataCentre, v.instances, e.options.PollersPerEngine)
		v.pollers.byEngine[key] = names
	}
	return slices.Contains(names, e.options.Name)
}
