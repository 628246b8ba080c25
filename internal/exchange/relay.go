package exchange

import (
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	// minFloorExtension is how much longer than the strictest known floor a floor must last to be forwarded.
	// Many instances that shed load at once then cause a few messages instead of one per pair.
	minFloorExtension = 250 * time.Millisecond
	// maxCacheChanges is the maximum number of changes in one message.
	maxCacheChanges = 64
	// restartGap is how far the sequence numbers of cache events must go back to indicate a restart of the
	// engine.
	restartGap = 4096
	maxPollers = 8 // origins remembered per engine
)

// Classes of origins, each with its own sequence of numbers.
const (
	classFloor = "floor:"
	classCache = "cache:"
)

// activeFloor is a floor that has been forwarded.
type activeFloor struct {
	tier    int
	expires time.Time
}

func (e *Exchange) publishFloor(f scheduler.PublishFloor) {
	if e.recordFloor(f.Tier, f.Expires) {
		return
	}
	e.forwardFloor("", floor{Origin: e.nextOrigin(), Tier: f.Tier, Remaining: milliseconds(f.Expires.Sub(e.now))})
}

func (e *Exchange) handleFloor(from string, m floor) {
	if m.Tier < 0 || !e.accept(classFloor, m.Origin) {
		return
	}
	expires := e.now.Add(duration(m.Remaining))
	e.options.Deliver(scheduler.PeerFloor{Instance: m.Origin.Instance, Tier: m.Tier, Expires: expires})
	if !e.recordFloor(m.Tier, expires) {
		e.forwardFloor(from, m)
	}
}

// recordFloor reports whether the other instances know a floor that is as strict and lasts about as long.
// Otherwise it records the new floor.
func (e *Exchange) recordFloor(tier int, expires time.Time) bool {
	e.floors = slices.DeleteFunc(e.floors, func(f activeFloor) bool { return !f.expires.After(e.now) })
	for _, f := range e.floors {
		if f.tier <= tier && expires.Sub(f.expires) < minFloorExtension {
			return true
		}
	}
	e.floors = slices.DeleteFunc(e.floors, func(f activeFloor) bool { return f.tier >= tier && !f.expires.After(expires) })
	e.floors = append(e.floors, activeFloor{tier: tier, expires: expires})
	return false
}

// forwardFloor sends a floor to all partners except the one that sent it.
func (e *Exchange) forwardFloor(from string, m floor) {
	for _, name := range e.partnersExcept(from) {
		e.send(name, KindFloor, m)
	}
}

// engineReport is the newest report on an engine.
type engineReport struct {
	report  report
	at      time.Time
	from    string            // partner that sent the report; empty for a local one
	origins map[string]origin // origin of the newest accepted report, by poller
}

func (e *Exchange) publishReport(r scheduler.LoadReport) {
	kvUsed := r.KVUsed
	if !(kvUsed >= 0 && kvUsed <= 1) { // also false for NaN, which cannot be sent
		kvUsed = 0
	}
	e.storeReport("", report{
		Origin: e.nextOrigin(), Engine: r.Engine, Running: r.Running, Waiting: r.Waiting, KVUsed: float32(kvUsed),
	}, r.At)
}

func (e *Exchange) handleReport(from string, r report) {
	if r.Engine == "" || r.Origin.Instance == "" || r.Origin.Instance == e.options.Name {
		return
	}
	at := e.now.Add(-duration(r.Age))
	if !e.storeReport(from, r, at) {
		return
	}
	e.options.Deliver(scheduler.LoadReport{Engine: r.Engine, At: at, Running: max(0, r.Running), Waiting: max(0, r.Waiting), KVUsed: float64(r.KVUsed)})
}

// storeReport stores a report that is newer than the known one. Each report is accepted once per poller and
// number, so it does not circulate.
func (e *Exchange) storeReport(from string, r report, at time.Time) bool {
	known := e.reports[r.Engine]
	if known == nil {
		if len(e.reports) >= maxEngines {
			return false
		}
		known = &engineReport{origins: map[string]origin{}}
		e.reports[r.Engine] = known
		position, _ := slices.BinarySearch(e.reportedEngines, r.Engine)
		e.reportedEngines = slices.Insert(e.reportedEngines, position, r.Engine)
	}
	last, seen := known.origins[r.Origin.Instance]
	if seen && (r.Origin.Incarnation < last.Incarnation || r.Origin.Incarnation == last.Incarnation && r.Origin.Number <= last.Number) {
		return false
	}
	if !seen && len(known.origins) >= maxPollers {
		// Pollers change rarely, and the comparison of times below still rejects old reports.
		clear(known.origins)
	}
	known.origins[r.Origin.Instance] = r.Origin
	if !at.After(known.at) {
		return false
	}
	known.report = r
	known.at = at
	known.from = from
	return true
}

// sendReports sends the reports that the partner lacks. It starts at the first engine that did not fit last
// time, and returns the number of bytes used.
func (e *Exchange) sendReports(name string, p *partner, budget int) (size int) {
	var m reports
	size = frameBytes
	for n := range e.reportedEngines {
		engine := e.reportedEngines[(n+p.nextReport)%len(e.reportedEngines)]
		known := e.reports[engine]
		if known.from != "" && e.fullMesh || known.from == name || known.report.Origin.Instance == name || p.reports[engine] == known.report.Origin || known.at.IsZero() {
			continue
		}
		if size+known.report.size() > budget {
			p.nextReport = (n + p.nextReport) % len(e.reportedEngines)
			break
		}
		r := known.report
		r.Age = milliseconds(e.now.Sub(known.at))
		size += r.size()
		m.Reports = append(m.Reports, r)
		p.reports[engine] = r.Origin
	}
	if len(m.Reports) == 0 {
		return 0
	}
	e.send(name, KindReports, m) // A lost report is superseded by the next one.
	return size
}

func (e *Exchange) publishCache(c scheduler.CacheEvents) {
	for first := 0; first < len(c.Changes); first += maxCacheChanges {
		chunk := c.Changes[first:min(first+maxCacheChanges, len(c.Changes))]
		m := cache{Origin: e.nextOrigin(), Engine: c.Engine, First: c.First + uint64(first)}
		for _, change := range chunk {
			m.Changes = append(m.Changes, cacheChange{Stored: change.Stored, Removed: change.Removed, Cleared: change.Cleared})
		}
		if m, fresh := e.removeKnownChanges(m); fresh {
			e.forwardCache("", m)
		}
	}
}

func (e *Exchange) handleCache(from string, m cache) {
	if m.Engine == "" || !e.accept(classCache, m.Origin) {
		return
	}
	m, fresh := e.removeKnownChanges(m)
	if !fresh {
		return
	}
	events := scheduler.CacheEvents{Engine: m.Engine, First: m.First, Changes: make([]scheduler.CacheChange, 0, len(m.Changes))}
	for _, change := range m.Changes {
		events.Changes = append(events.Changes, scheduler.CacheChange{Stored: change.Stored, Removed: change.Removed, Cleared: change.Cleared})
	}
	e.options.Deliver(events)
	e.forwardCache(from, m)
}

// cacheStream records which cache events of an engine have been accepted.
type cacheStream struct {
	next    uint64            // number after the last accepted change
	origins map[string]uint64 // the same, by poller
}

// removeKnownChanges removes changes that another poller has already forwarded. The engine has restarted when
// the numbers from one poller go back, or when those from any poller go back by more than restartGap.
func (e *Exchange) removeKnownChanges(m cache) (rest cache, fresh bool) {
	end := m.First + uint64(len(m.Changes))
	if len(m.Changes) == 0 || end < m.First {
		return m, false
	}
	s := e.streams[m.Engine]
	if s == nil {
		if len(e.streams) >= maxEngines {
			return m, false
		}
		s = &cacheStream{origins: map[string]uint64{}}
		e.streams[m.Engine] = s
	}
	restarted := m.First < s.origins[m.Origin.Instance] || end+restartGap < s.next
	if restarted || len(s.origins) >= maxPollers {
		clear(s.origins)
	}
	s.origins[m.Origin.Instance] = end
	switch {
	case restarted || m.First >= s.next:
	case end <= s.next:
		return m, false
	default:
		m.Changes = m.Changes[s.next-m.First:]
		m.First = s.next
	}
	s.next = end
	return m, true
}

// forwardCache drops messages that exceed the byte budget. The receivers detect the gap in the sequence
// numbers.
func (e *Exchange) forwardCache(from string, m cache) {
	if from != "" && e.fullMesh {
		return
	}
	size := m.size() + frameBytes
	for _, name := range e.partnersExcept(from) {
		if size > e.cacheBytesLeft {
			e.metrics.cacheDropped.Inc()
			continue
		}
		e.cacheBytesLeft -= size
		e.send(name, KindCache, m)
	}
}
