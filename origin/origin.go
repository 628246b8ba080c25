// Package origin remembers which software version of an engine began a stream. What two versions write does not fit
// together, so a stream that was interrupted may continue only at the version that began it.
//
// The package performs no I/O and reads no clock: times are durations since an origin that the caller chooses.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosebeam/primrosebeam/placement"
)

// Retention is the time for which the origin of a stream is known at least, unless there are too many.
const Retention = time.Minute

// MaxListAge is the age of a list of engines up to which it is treated as still in force.
const MaxListAge = 2 * time.Second

const (
	// minWindow is the shortest window in which the versions of a service count.
	minWindow = 30 * time.Second
	// maxWindow is the longest such window, and the time for which a History remembers versions.
	maxWindow = 10 * time.Minute
)

// Window returns the time before which no stream began that a caller may still take up. A caller that states a longer
// total deadline than that of its route is given twice as long.
func Window(routeTimeout time.Duration) time.Duration { return max(minWindow, 2*routeTimeout) }

// maxRecords bounds the records that are kept of one period of Retention, about 100 bytes each.
const maxRecords = 100_000

// Attempt identifies an attempt of a caller: a hash of its ID.
type Attempt uint64

// NewAttempt returns the Attempt of an attempt ID.
func NewAttempt(id string) Attempt { return Attempt(xxhash.Sum64String(id)) }

// Origin is what began a stream.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"` // software version of the engine
}

// Record states the origin of the stream whose first event an attempt brought.
type Record struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Origin  Origin  `cbor:"2,keyasint"`
}

// Table holds the origins of recent streams. The zero value is empty. It is not safe for concurrent use.
//
// Invariant: previous holds only records that were added before all of current.
type Table struct {
	current, previous map[Attempt]Origin
	since             time.Duration // time from which records are added to current
}

// Add adds a record and reports whether older records were dropped for it.
func (t *Table) Add(now time.Duration, r Record) (rotated bool) {
	if t.current == nil || now-t.since >= Retention || len(t.current) >= maxRecords {
		t.previous, t.current, t.since = t.current, map[Attempt]Origin{}, now
		rotated = true
	}
	t.current[r.Attempt] = r.Origin
	return rotated
}

// Find returns the origin of the stream that an attempt began.
func (t *Table) Find(a Attempt) (Origin, bool) {
	if o, known := t.current[a]; known {
		return o, true
	}
	o, known := t.previous[a]
	return o, known
}

// Records returns at most limit records, those of the current period first.
func (t *Table) Records(limit int) []Record {
	out := make([]Record, 0, min(len(t.current)+len(t.previous), limit))
	for _, generation := range []map[Attempt]Origin{t.current, t.previous} {
		for a, o := range generation {
			if len(out) == limit {
				return out
			}
			out = append(out, Record{Attempt: a, Origin: o})
		}
	}
	return out
}

// History holds when engines of which versions were listed. The zero value is empty. It is not safe for concurrent use.
type History struct {
	listed  map[Origin]time.Duration // time at which an engine was last listed
	current map[Origin]bool          // what the newest list holds
	since   time.Duration            // time of the first list
}

// Observe records a list of engines that is in force from now on.
func (h *History) Observe(now time.Duration, engines []placement.Engine) {
	if h.listed == nil {
		h.listed, h.since = map[Origin]time.Duration{}, now
	}
	for o := range h.current {
		h.listed[o] = now
	}
	h.current = map[Origin]bool{}
	for _, e := range engines {
		o := Origin{Service: e.Service, Version: e.Version}
		h.current[o] = true
		h.listed[o] = now
	}
	for o, at := range h.listed {
		if now-at > maxWindow {
			delete(h.listed, o)
		}
	}
}

// VersionSet holds the versions of the engines of a service that can have begun a stream which a caller may still take
// up, as far as one instance knows.
type VersionSet struct {
	Versions []string `cbor:"1,keyasint,omitempty"`
	Complete bool     `cbor:"2,keyasint,omitempty"` // the lists of the instance reach back far enough
}

// Versions returns the versions of a service that were listed within a window. isCurrent states whether the newest list
// is still in force.
func (h *History) Versions(now, window time.Duration, service string, isCurrent bool) VersionSet {
	set := VersionSet{Complete: isCurrent && h.listed != nil && now-h.since >= window && window <= maxWindow}
	for o, at := range h.listed {
		if o.Service == service && (h.current[o] || now-at <= window) {
			set.Versions = append(set.Versions, o.Version)
		}
	}
	return set
}

// OnlyVersion returns the version that every stream of a service began at, by what several instances know. It reports
// false if there may have been several versions.
func OnlyVersion(sets []VersionSet) (version string, only bool) {
	complete := false
	for _, set := range sets {
		complete = complete || set.Complete
		for _, other := range set.Versions {
			if version != "" && other != version {
				return "", false
			}
			version = other
		}
	}
	return version, complete && version != ""
}
