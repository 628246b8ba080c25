package edge

import (
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
)

// progressInterval is the interval at which the progress of streams is reported. Five reports fit into the time in
// which the allocator has to notice that an engine has become slower.
const progressInterval = 400 * time.Millisecond

// progress counts the events of a response that were relayed. The request's goroutine adds to it, the placer reads it.
type progress struct {
	events   atomic.Int64 // number of events
	firstAt  atomic.Int64 // time of the first event, by clock()
	lastAt   atomic.Int64 // time of the last event, by clock()
	reported int64        // value of events that was reported last; used by the placer only
}

// add counts an event. Responses that are no streams have no progress.
func (p *progress) add(now time.Duration) {
	if p == nil {
		return
	}
	if p.events.Load() == 0 {
		p.firstAt.Store(int64(now))
	}
	p.lastAt.Store(int64(now))
	p.events.Add(1)
}

// sinceFirst returns the number of events after the first one, and the time from the first event to the last one.
func (p *progress) sinceFirst() (events int, took time.Duration) {
	return int(p.events.Load()) - 1, time.Duration(p.lastAt.Load() - p.firstAt.Load())
}

// reportProgress adds the streams that have come further since the last report to the next update, and tells the
// local placement.
func (p *placer) reportProgress(now time.Duration) {
	if !p.learnsLimits || now-p.progressAt < progressInterval {
		return
	}
	p.progressAt = now
	for id, t := range p.tickets {
		seen := t.progress.events.Load()
		if t.firstEventAt == 0 || seen == t.progress.reported {
			continue
		}
		t.progress.reported = seen
		events, took := t.progress.sinceFirst()
		tokens := events * t.request.TokensPerEvent
		if tokens <= 0 || took <= 0 {
			continue
		}
		p.local.Progress(now, placementID(t), tokens, took)
		if p.allocator() != "" {
			p.pendingUpdate().Progress = append(p.pendingUpdate().Progress, fleet.Progress{
				ID: id, Tokens: tokens, TookMS: took.Milliseconds(),
			})
		}
	}
}
