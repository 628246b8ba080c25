package exchange

import (
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	// floorStep is by how much a floor must outlast the strictest known one to be passed on: many
	// instances that shed at once cause a few messages, not one per pair.
	floorStep = 250 * time.Millisecond
	// cacheChunk is the number of changes passed on in one message.
	cacheChunk = 64
	// sequenceReset is how far the numbers of cache events must go back to mean that the engine has restarted.
	sequenceReset = 4096
	maxPollers    = 8 // origins remembered per engine
)

// Classes of origins, whose numbers are independent.
const (
	classFloor = "floor:"
	classCache = "cache:"
)

// activeFloor is a floor that has been passed on.
type activeFloor struct {
	tier    int
	expires time.Time
}

func (e *Exchange) publishFloor(f scheduler.PublishFloor) {
	if e.coveredFloor(f.Tier, f.Expires) {
		return
	}
	e.passFloor("", floor{Origin: e.nextOrigin(), Tier: f.Tier, Remaining: milliseconds(f.Expires.Sub(e.now))})
}

func (e *Exchange) takeFloor(from string, m floor) {
	if m.Tier < 0 || !e.fresh(classFloor, m.Origin) {
		return
	}
	expires := e.now.Add(duration(m.Remaining))
	e.o.Deliver(scheduler.PeerFloor{Instance: m.Origin.Instance, Tier: m.Tier, Expires: expires})
	if !e.coveredFloor(m.Tier, expires) {
		e.passFloor(from, m)
	}
}

// coveredFloor reports whether others know a floor that is as strict and lasts about as long. Otherwise it notes this one.
func (e *Exchange) coveredFloor(tier int, expires time.Time) bool {
	e.floors = slices.DeleteFunc(e.floors, func(f activeFloor) bool { return !f.expires.After(e.now) })
	for _, f := range e.floors {
		if f.tier <= tier && expires.Sub(f.expires) < floorStep {
			return true
		}
	}
	e.floors = slices.DeleteFunc(e.floors, func(f activeFloor) bool { return f.tier >= tier && !f.expires.After(expires) })
	e.floors = append(e.floors, activeFloor{tier: tier, expires: expires})
	return false
}

func (e *Exchange) passFloor(from string, m floor) {
	for _, name := range e.partnersBut(from) {
		e.send(name, KindFloor, m)
	}
}

// engineReport is the newest report on an engine.
type engineReport struct {
	report  report
	at      time.Time
	from    string            // partner that sent it; empty for an own one
	origins map[string]origin // newest taken, by poller
}

func (e *Exchange) publishReport(r scheduler.LoadReport) {
	share := r.KVUsed
	if !(share >= 0 && share <= 1) { // also false for NaN, which cannot be sent
		share = 0
	}
	e.storeReport("", report{
		Origin: e.nextOrigin(), Engine: r.Engine, Running: r.Running, Waiting: r.Waiting, KVUsed: float32(share),
	}, r.At)
}

func (e *Exchange) takeReport(from string, r report) {
	if r.Engine == "" || r.Origin.Instance == "" || r.Origin.Instance == e.o.Name {
		return
	}
	at := e.now.Add(-duration(r.Age))
	if !e.storeReport(from, r, at) {
		return
	}
	e.o.Deliver(scheduler.LoadReport{Engine: r.Engine, At: at, Running: max(0, r.Running), Waiting: max(0, r.Waiting), KVUsed: float64(r.KVUsed)})
}

// storeReport keeps a report that is newer than the known one. A report is taken once per poller and
// number, so it does not circulate.
func (e *Exchange) storeReport(from string, r report, at time.Time) bool {
	known := e.reports[r.Engine]
	if known == nil {
		if len(e.reports) >= maxEngines {
			return false
		}
		known = &engineReport{origins: map[string]origin{}}
		e.reports[r.Engine] = known
		place, _ := slices.BinarySearch(e.engines, r.Engine)
		e.engines = slices.Insert(e.engines, place, r.Engine)
	}
	last, heard := known.origins[r.Origin.Instance]
	if heard && (r.Origin.Incarnation < last.Incarnation || r.Origin.Incarnation == last.Incarnation && r.Origin.Number <= last.Number) {
		return false
	}
	if !heard && len(known.origins) >= maxPollers {
		clear(known.origins) // Pollers change rarely; the times below still keep old reports out.
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

// sendReports sends the reports that the partner has not been sent, starting with another engine each time.
func (e *Exchange) sendReports(name string, p *partner, budget int) (size int) {
	var m reports
	size = frameBytes
	for n := range e.engines {
		engine := e.engines[(n+p.nextReport)%len(e.engines)]
		known := e.reports[engine]
		if known.from != "" && e.meshed || known.from == name || known.report.Origin.Instance == name || p.reports[engine] == known.report.Origin || known.at.IsZero() {
			continue
		}
		if size+known.report.size() > budget {
			p.nextReport = (n + p.nextReport) % len(e.engines)
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
	for first := 0; first < len(c.Changes); first += cacheChunk {
		part := c.Changes[first:min(first+cacheChunk, len(c.Changes))]
		m := cache{Origin: e.nextOrigin(), Engine: c.Engine, First: c.First + uint64(first)}
		for _, change := range part {
			m.Changes = append(m.Changes, cacheChange{Stored: change.Stored, Removed: change.Removed, Cleared: change.Cleared})
		}
		if m, fresh := e.trimCache(m); fresh {
			e.passCache("", m)
		}
	}
}

func (e *Exchange) takeCache(from string, m cache) {
	if m.Engine == "" || !e.fresh(classCache, m.Origin) {
		return
	}
	m, fresh := e.trimCache(m)
	if !fresh {
		return
	}
	events := scheduler.CacheEvents{Engine: m.Engine, First: m.First, Changes: make([]scheduler.CacheChange, 0, len(m.Changes))}
	for _, change := range m.Changes {
		events.Changes = append(events.Changes, scheduler.CacheChange{Stored: change.Stored, Removed: change.Removed, Cleared: change.Cleared})
	}
	e.o.Deliver(events)
	e.passCache(from, m)
}

// cacheStream is what was taken of one engine's cache events.
type cacheStream struct {
	next    uint64            // number after the last change taken
	origins map[string]uint64 // the same by poller
}

// trimCache removes changes that another poller has already passed on. Numbers of one poller that go
// back, or that go back far, mean that the engine has restarted.
func (e *Exchange) trimCache(m cache) (rest cache, fresh bool) {
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
	restarted := m.First < s.origins[m.Origin.Instance] || end+sequenceReset < s.next
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

// passCache drops what exceeds the budget; the receivers see a gap in the numbers.
func (e *Exchange) passCache(from string, m cache) {
	if from != "" && e.meshed {
		return
	}
	size := m.size() + frameBytes
	for _, name := range e.partnersBut(from) {
		if size > e.cacheLeft {
			e.metrics.cacheDropped.Inc()
			continue
		}
		e.cacheLeft -= size
		e.send(name, KindCache, m)
	}
}
