package placement

import (
	"slices"
	"sync"
	"time"
)

// Balancer picks engines of plain services for one instance. Their work takes some milliseconds, so
// that asking for a place would take as long; each instance picks by its own requests in flight and
// by the load that engines state in their answers.
type Balancer struct {
	mu      sync.Mutex
	turn    int
	centre  string
	engines map[string][]*backend // by service
	byID    map[string]*backend
}

// backend is an engine as this instance sees it.
type backend struct {
	Engine
	inFlight   int           // requests of this instance
	others     float64       // requests of other instances, as last stated
	statedAt   time.Duration // when it was stated
	restsUntil time.Duration
	failures   float64
}

const (
	// statedFor is how long a stated load is believed; it fades in that time.
	statedFor = 500 * time.Millisecond
	// farPenalty is the load that an engine in another data centre must have less to be preferred, as
	// a part of its places.
	farPenalty = 0.25
	// backendFailureLimit is the share of failed requests from which a backend rests. Up to a seventh
	// of look-ups fail on healthy engines.
	backendFailureLimit = 0.5
	backendPause        = 2 * time.Second
)

// NewBalancer returns a balancer of an instance in a data centre.
func NewBalancer(dataCentre string) *Balancer {
	return &Balancer{centre: dataCentre, engines: map[string][]*backend{}, byID: map[string]*backend{}}
}

// SetEngines replaces the list of engines.
func (b *Balancer) SetEngines(list []Engine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	former := b.byID
	b.byID = make(map[string]*backend, len(list))
	b.engines = map[string][]*backend{}
	for _, e := range list {
		at := former[e.ID]
		if at == nil {
			at = &backend{}
		}
		leaving := at.Leaving || e.Leaving
		at.Engine = e
		at.Leaving = leaving
		b.byID[e.ID] = at
		b.engines[e.Service] = append(b.engines[e.Service], at)
	}
}

// Pick returns the engine of a service with the least load and counts a request there; ok is false
// when there is none. Done must be called for each engine that was picked.
func (b *Balancer) Pick(now time.Duration, service string, excluded []string) (Engine, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	best := b.least(now, service, excluded, false)
	if best == nil {
		best = b.least(now, service, excluded, true)
	}
	if best == nil {
		return Engine{}, false
	}
	best.inFlight++
	return best.Engine, true
}

// least ignores pauses with resting: a resting engine is better than none.
func (b *Balancer) least(now time.Duration, service string, excluded []string, resting bool) *backend {
	var best *backend
	var least float64
	engines := b.engines[service]
	for i := range engines {
		e := engines[(b.turn+i)%len(engines)] // Ties go to a different engine each time.
		if e.Leaving || slices.Contains(excluded, e.ID) || !resting && now < e.restsUntil {
			continue
		}
		load := (float64(e.inFlight) + e.fade(now)) / float64(e.Slots)
		if e.DataCentre != b.centre {
			load += farPenalty
		}
		if best == nil || load < least {
			best, least = e, load
		}
	}
	return best
}

func (e *backend) fade(now time.Duration) float64 {
	age := now - e.statedAt
	if age >= statedFor {
		return 0
	}
	return e.others * (1 - float64(age)/float64(statedFor))
}

// Done ends a request that was picked for an engine.
func (b *Balancer) Done(now time.Duration, id string, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byID[id]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	switch outcome {
	case OutcomeCompleted:
		e.failures -= e.failures / failureWindow
	case OutcomeFailed:
		e.failures += (1 - e.failures) / failureWindow
		if e.failures > backendFailureLimit {
			e.restsUntil = now + backendPause
			e.failures /= 2
		}
	case OutcomeUnreachable:
		e.restsUntil = now + unreachedPause
	case OutcomeRefused:
		e.restsUntil = now + refusedPause
	case OutcomeCancelled, OutcomeUnused:
	}
}

// ReportLoad takes the number of requests that an engine stated to have, this instance's included.
func (b *Balancer) ReportLoad(now time.Duration, id string, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byID[id]; e != nil {
		e.others = max(float64(requests-e.inFlight), 0)
		e.statedAt = now
	}
}
