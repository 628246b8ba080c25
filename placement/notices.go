package placement

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRest bounds the rest that an engine can request, so that an absurd value does not remove the
	// engine for good.
	maxRest = 2 * time.Minute
	// noticeRetention is how long a leaving notice is kept at least, even if the engine is no longer
	// listed. A list may lack an engine because its entry could not be decoded.
	noticeRetention = 10 * time.Second
)

// Notices holds what engines have stated about themselves in their responses: that they are leaving, that
// they want no requests from this instance for some time, or how many requests a second they take. It is safe for concurrent use.
//
// Invariant: a leaving notice is final for a start of an engine. What an engine has stated is dropped when the list shows
// that it has started again.
type Notices struct {
	mu      sync.Mutex
	leaving map[string]leavingNotice // by engine ID
	starts  map[string]listedStart   // by engine ID
	rests   map[string]time.Duration // end of the rest by engine ID
	limits  *rateLimits
	brittle map[string]time.Duration // until when the engines of a service count as brittle
}

// LeavingNotice states that an engine, in the start with the given time of birth, is leaving.
type LeavingNotice struct {
	Engine string
	Born   int64 // 0 if unknown
}

type leavingNotice struct {
	born int64
	at   time.Duration // of the notice
}

// listedStart is the start of an engine that the list has shown last.
type listedStart struct {
	born int64
	at   time.Duration
}

// NewNotices returns Notices without an entry.
func NewNotices() *Notices {
	return &Notices{
		leaving: map[string]leavingNotice{}, starts: map[string]listedStart{}, rests: map[string]time.Duration{}, limits: newRateLimits(), brittle: map[string]time.Duration{},
	}
}

// RecordLeaving records that an engine, in the start with the given time of birth, is leaving; 0 stands for the start
// that is listed. It reports whether that was not known before. A notice of a start before the one that is listed is
// ignored.
func (n *Notices) RecordLeaving(now time.Duration, engine string, born int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := n.starts[engine].born
	if born == 0 {
		born = listed
	}
	if isOtherStart(born, listed) && born < listed {
		return false
	}
	if former, known := n.leaving[engine]; known && !isOtherStart(former.born, born) {
		return false
	}
	n.leaving[engine] = leavingNotice{born: born, at: now}
	return true
}

// RecordRest records that an engine wants no requests from this instance for d, which is bounded by maxRest.
// It returns the end of the rest.
func (n *Notices) RecordRest(now time.Duration, engine string, d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.rests, func(_ string, until time.Duration) bool { return now >= until })
	n.rests[engine] = max(n.rests[engine], now+min(d, maxRest))
	return n.rests[engine]
}

// MayUse reports whether this instance may send a new request to an engine.
func (n *Notices) MayUse(now time.Duration, engine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, leaving := n.leaving[engine]
	return !leaving && now >= n.rests[engine]
}

// Leaving returns the notices of the engines that stated that they are leaving, by engine ID.
func (n *Notices) Leaving() []LeavingNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []LeavingNotice
	for _, engine := range slices.Sorted(maps.Keys(n.leaving)) {
		list = append(list, LeavingNotice{Engine: engine, Born: n.leaving[engine].born})
	}
	return list
}

// Rests returns the ends of the current rests by engine ID.
func (n *Notices) Rests(now time.Duration) map[string]time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	rests := map[string]time.Duration{}
	for engine, until := range n.rests {
		if until > now {
			rests[engine] = until
		}
	}
	return rests
}

// Apply returns a copy of a new list of engines in which the engines that stated so are leaving. It removes
// the notices of engines that are no longer listed, and what former starts of engines have stated.
func (n *Notices) Apply(now time.Duration, list []Engine) []Engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := make(map[string]bool, len(list))
	out := slices.Clone(list)
	for i := range out {
		listed[out[i].ID] = true
		n.observeStart(now, out[i].ID, out[i].Born)
		if _, leaving := n.leaving[out[i].ID]; leaving {
			out[i].Leaving = true
		}
	}
	maps.DeleteFunc(n.leaving, func(engine string, notice leavingNotice) bool {
		return !listed[engine] && now-notice.at > noticeRetention
	})
	maps.DeleteFunc(n.starts, func(_ string, start listedStart) bool { return now-start.at > maxRest })
	n.limits.prune(now, listed)
	return out
}

// observeStart drops what an engine has stated if the list shows another start of it than before.
func (n *Notices) observeStart(now time.Duration, engine string, born int64) {
	former := n.starts[engine].born
	if born == 0 {
		born = former
	}
	n.starts[engine] = listedStart{born: born, at: now}
	if !isOtherStart(former, born) {
		return
	}
	if isOtherStart(n.leaving[engine].born, born) {
		delete(n.leaving, engine)
	}
	delete(n.rests, engine)
	// Evidence about the former start may still arrive from other instances.
	n.limits.record(RateLimit{Engine: engine, Lifted: true, At: now})
}
