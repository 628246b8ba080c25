// Package fairshare divides a resource between flows by start-time fair queueing. Each flow has a start tag, the
// virtual time from which its next request counts, and each request advances the tag by its cost divided by the weight of
// the flow. Who is served next among the flows with waiting requests is up to the caller: one that always serves the
// flow with the least tag calls Set.Serve, one that orders by something else within a bound calls Set.Advance with the
// least tag and Set.Charge for the flow that it serves.
//
// The package performs no I/O, starts no goroutines and reads no clock. Its values are not safe for concurrent use.
package fairshare

import "math"

// Set is the virtual time of the flows that share a resource. The zero value is ready for use.
//
// Invariant: the virtual time never decreases.
type Set struct {
	virtualTime float64
}

// Flow is one of the flows that share a resource, with the weight of its share. The zero value has weight 1 and starts
// at virtual time 0.
type Flow struct {
	weight   float64 // 0 counts as 1
	startTag float64
}

// VirtualTime returns the virtual time, in units of cost per unit of weight.
func (s *Set) VirtualTime() float64 { return s.virtualTime }

// Start returns the virtual time at which the next request of a flow would start. A flow that had nothing waiting for a
// while starts at the virtual time: what it did not use in the past is neither owed nor charged.
func (s *Set) Start(f *Flow) float64 { return max(f.startTag, s.virtualTime) }

// Lead returns how far a flow is ahead of the virtual time, in units of cost per unit of weight.
func (s *Set) Lead(f *Flow) float64 { return s.Start(f) - s.virtualTime }

// CatchUp advances the tag of a flow to the virtual time. It is called when a flow gets its first waiting request.
func (s *Set) CatchUp(f *Flow) { f.startTag = s.Start(f) }

// Advance advances the virtual time to a tag. An earlier tag changes nothing.
func (s *Set) Advance(tag float64) { s.virtualTime = max(s.virtualTime, tag) }

// Charge advances the tag of a flow by the cost of a request that is served.
func (s *Set) Charge(f *Flow, cost float64) { f.startTag = s.Start(f) + cost/f.Weight() }

// Serve charges a flow for a request and advances the virtual time to the start of that request.
func (s *Set) Serve(f *Flow, cost float64) {
	s.Advance(s.Start(f))
	s.Charge(f, cost)
}

// Weight returns the weight of the flow.
func (f *Flow) Weight() float64 {
	if f.weight == 0 {
		return 1
	}
	return f.weight
}

// SetWeight sets the weight of the flow. One that is not a positive finite number counts as 1.
func (f *Flow) SetWeight(weight float64) {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	f.weight = weight
}

// Tag returns the start tag of the flow as of its last request, in units of cost per unit of weight.
func (f *Flow) Tag() float64 { return f.startTag }

// Correct adds the difference between the cost of an earlier request and what was charged for it.
func (f *Flow) Correct(difference float64) { f.startTag += difference / f.Weight() }
