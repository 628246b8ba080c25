// Package placement decides which waiting request goes to which place of which engine, for all
// instances together. The same core runs at the elected allocator, which sees every request, and for
// one data centre at a control instance while the allocator is out of reach.
//
// The load that it answers: model engines that run a fixed number of requests at once, admit them in
// order of arrival and know no priorities, at and beyond saturation, with engines of unlike speed.
// Requests wait here rather than at the engines, so that the most valuable use of the next free place
// can still be chosen.
//
// The package has no I/O, no goroutines and no clock: times are durations since an origin of the caller.
package placement

import "time"

// RequestID identifies a request among all instances.
type RequestID string

// Engine is a back end as the platform lists it.
type Engine struct {
	ID         string `cbor:"1,keyasint"` // changes with every start of the engine
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"` // IP address with port
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty" json:"Places"` // requests that run at once
	Leaving    bool   `cbor:"6,keyasint,omitempty"`               // gets no new requests
}

// Request is a request that waits for a place.
type Request struct {
	ID                   RequestID
	Owner                string // instance that sends it to the engine
	DataCentre           string // of the owner
	Service              string
	Workspace            string
	Charge               float64 // against the quota of the workspace
	Tier                 int     // 0 is the most urgent
	Route                string  // requests of a route are alike
	PromptTokens         int     // tokens
	ExpectedOutputTokens int     // expected tokens; 0 when the caller gives no estimate
	MaxOutputTokens      int     // tokens that the caller allows
	ArrivedAt            time.Duration
	FirstEventDue        time.Duration // the first event is on time until then
	FirstEventDeadline   time.Duration // the caller leaves without a first event by then
	Deadline             time.Duration // the answer is of no use afterwards
	CallerTimeout        time.Duration // what the caller stated to wait at most, whatever its route allows; 0 means unknown
	ExcludedEngines      []string      // engines that failed this request
	PartlyDelivered      bool          // the caller has the first part of the answer
}

// Grant gives a request a place.
type Grant struct {
	Request RequestID
	Owner   string
	Engine  Engine
	Running int // of the engine, this one included
}

// Reason tells why a request is rejected.
type Reason string

// Reasons of a rejection.
const (
	ReasonDeadline Reason = "deadline"  // it can't be answered in time any more
	ReasonOverload Reason = "overload"  // too much work of more urgent requests waits before it
	ReasonNoEngine Reason = "no-engine" // no engine of its service may take it
	ReasonQuota    Reason = "quota"     // its workspace has spent its quota
)

// Rejection gives up on a request that was not sent to any engine.
type Rejection struct {
	Request      RequestID
	Owner        string
	Reason       Reason
	RetryAfter   time.Duration
	Waiting      int           // requests of the service that waited
	ExpectedWait time.Duration // that was expected for this one
	Capacity     float64       // of the service, in engines of usual speed
	LikelyRetry  bool          // the caller was taken for one that was refused before
}

// Outcome tells how the run of a request ended.
type Outcome uint8

// Outcomes of a run.
const (
	OutcomeCompleted   Outcome = iota // the whole answer
	OutcomeCancelled                  // the caller left
	OutcomeRefused                    // the engine did not run it: full, leaving or another incarnation
	OutcomeFailed                     // broken off, or no answer
	OutcomeUnreachable                // no connection to the engine
	OutcomeUnused                     // the grant came too late
)

var outcomeNames = [...]string{"answered", "cancelled", "refused", "failed", "unreached", "unused"}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}
