package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

const (
	// backendReportInterval is the least time between two messages with what all instances have measured.
	backendReportInterval = 100 * time.Millisecond
	// maxBackendReports bounds the engines in such a message to some 3 kB. Those with the most new responses go first.
	maxBackendReports = 64
	// maxReported bounds the responses that one instance reports at once.
	maxReported = 1e6
	// backendRetention is how long an engine without new responses is kept.
	backendRetention = 30 * time.Second
)

// BackendSums adds up what all instances have measured at the engines of plain services. The worker of an allocator owns
// it.
type BackendSums struct {
	engines  map[string]*backendSum // by engine ID
	reportAt time.Duration          // earliest time of the next report
	changes  []BackendChange
}

// backendSum is what was measured at one engine.
type backendSum struct {
	backendRecord
	born    int64
	load    int
	loadAt  time.Duration
	changed float64 // responses since the last report
	logged  BackendState
}

// BackendState is what the requests to an engine of a plain service show.
type BackendState string

// States of an engine.
const (
	BackendUsual   BackendState = ""
	BackendSlow    BackendState = "slow"    // requests take slowBackendPace times as long as usual, or more
	BackendFailing BackendState = "failing" // more requests fail than usual, with certainty
)

// slowBackendPace is the pace from which an engine is logged as slow.
const slowBackendPace = 2

// BackendChange reports that an engine of a plain service has become slow, failing or usual.
type BackendChange struct {
	Engine   string
	State    BackendState
	Pace     float64 // duration of requests relative to the usual one
	Failures float64 // share of failures beyond the usual one
}

// BackendMessage is the log message for a BackendChange.
const BackendMessage = "engine of a plain service changed"

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c *BackendChange) MarshalZerologObject(event *zerolog.Event) {
	state := c.State
	if state == BackendUsual {
		state = "usual"
	}
	event.Str("engine", c.Engine).Str("state", string(state)).Float64("pace", c.Pace).Float64("failures", c.Failures)
}

// maxBackendChanges bounds the changes that are kept if the caller does not fetch them.
const maxBackendChanges = 100

// Changes returns the changes since the last call.
func (s *BackendSums) Changes() []BackendChange {
	changes := s.changes
	s.changes = nil
	return changes
}

// recordChange records a change of the state of an engine. A state ends only once its cause is half gone, so that a
// figure near its bound does not fill the log.
func (s *BackendSums) recordChange(id string, sum *backendSum) {
	share, standardError := sum.failures()
	certain, pace := share-failureCertainty*standardError, sum.pace()
	state := BackendUsual
	switch {
	case certain > 0 || sum.logged == BackendFailing && share > standardError:
		state = BackendFailing
	case pace >= slowBackendPace || sum.logged == BackendSlow && pace >= 1+(slowBackendPace-1)/2.0:
		state = BackendSlow
	}
	if state == sum.logged || len(s.changes) >= maxBackendChanges {
		return
	}
	sum.logged = state
	s.changes = append(s.changes, BackendChange{Engine: id, State: state, Pace: pace, Failures: share})
}

// NewBackendSums returns sums without an engine.
func NewBackendSums() *BackendSums { return &BackendSums{engines: map[string]*backendSum{}} }

// Add adds what an instance has measured since its last report. What it reports about a former start of an engine is
// ignored, as far as the start is known.
func (s *BackendSums) Add(now time.Duration, list []BackendReport) {
	for i := range list {
		report := &list[i]
		if !report.isPlausible() {
			continue
		}
		sum := s.engines[report.Engine]
		switch {
		case sum != nil && isOtherStart(sum.born, report.Born) && report.Born < sum.born:
			continue
		case sum == nil || isOtherStart(sum.born, report.Born):
			sum = &backendSum{born: report.Born, loadAt: -time.Hour}
			s.engines[report.Engine] = sum
		}
		sum.add(now, report)
		sum.changed += report.Responses + report.Durations
		if at := now - time.Duration(report.LoadAgeMS)*time.Millisecond; at > sum.loadAt {
			sum.load, sum.loadAt = report.Load, at
		}
	}
}

// SetEngines drops what was measured at engines that are no longer listed, or at former starts of them.
func (s *BackendSums) SetEngines(list []Engine) {
	born := make(map[string]int64, len(list))
	for i := range list {
		born[list[i].ID] = list[i].Born
	}
	maps.DeleteFunc(s.engines, func(id string, sum *backendSum) bool {
		listed, known := born[id]
		return !known || isOtherStart(listed, sum.born)
	})
}

// isPlausible reports whether the sums of a report can be those of some responses.
func (r *BackendReport) isPlausible() bool {
	return r.Durations >= 0 && r.Durations <= maxReported && r.Responses >= 0 && r.Responses <= maxReported && r.PaceSum >= 0 && r.PaceSum <= maxBackendPace*r.Durations &&
		r.FailureSum >= -r.Responses && r.FailureSum <= r.Responses && r.Load >= 0 && r.LoadAgeMS >= 0
}

// Report returns what is known about the engines with new responses, or nothing if the last report was made shortly
// before.
func (s *BackendSums) Report(now time.Duration) []BackendReport {
	if now < s.reportAt {
		return nil
	}
	maps.DeleteFunc(s.engines, func(_ string, sum *backendSum) bool { return now-sum.updated > backendRetention })
	var list []BackendReport
	for id, sum := range s.engines {
		if sum.changed == 0 {
			continue
		}
		sum.decay(now)
		s.recordChange(id, sum)
		list = append(list, BackendReport{
			Engine: id, Born: sum.born, Durations: sum.paceWeight, PaceSum: sum.paceSum, Responses: sum.failureWeight,
			FailureSum: sum.failureSum, Load: sum.load, LoadAgeMS: (now - sum.loadAt).Milliseconds(),
		})
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b BackendReport) int {
		return cmp.Or(cmp.Compare(s.engines[b.Engine].changed, s.engines[a.Engine].changed), cmp.Compare(a.Engine, b.Engine))
	})
	list = list[:min(len(list), maxBackendReports)]
	for i := range list {
		s.engines[list[i].Engine].changed = 0
	}
	s.reportAt = now + backendReportInterval
	return list
}
