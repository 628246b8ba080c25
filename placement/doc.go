// Package placement schedules model requests. It decides which waiting request gets which free slot of
// which engine, for all instances together. The elected allocator runs it over the requests of all
// instances; a control instance runs it for its own data centre while the allocator is unreachable.
//
// The package is designed for model engines of different speeds at and beyond saturation. Such engines run
// a fixed number of requests concurrently, admit them in order of arrival and do not support priorities.
// Requests therefore queue here and not at the engines, so that the most valuable request can still be
// chosen when a slot becomes free.
//
// The package performs no I/O, starts no goroutines and reads no clock: times are durations since an
// origin that the caller chooses.
package placement

import "time"

// RequestID identifies a request uniquely across all instances.
type RequestID string

// Engine is an engine (a model server) as listed by the platform.
type Engine struct {
	ID         string `cbor:"1,keyasint"` // an engine may keep it when it starts again, see Born
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"` // IP address and port
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty" json:"Places"` // number of requests that run concurrently
	Leaving    bool   `cbor:"6,keyasint,omitempty"`               // shutting down; gets no new requests
	Version    string `cbor:"7,keyasint,omitempty"`               // of the engine's software
	// Born is the time at which the engine process started, in Unix milliseconds by its own clock; 0 if not stated. With
	// another one the engine holds and knows nothing of before, under whatever ID.
	Born int64 `cbor:"8,keyasint,omitempty"`
}

// isOtherStart reports whether two times of birth are those of different starts of an engine. Clocks may be set back, so
// the later one need not be greater.
func isOtherStart(a, b int64) bool { return a != 0 && b != 0 && a != b }

// Request is a request that waits for a slot.
type Request struct {
	ID                   RequestID
	Owner                string // entry instance that sends the request to the engine
	DataCentre           string // data centre of the owner
	Service              string
	Workspace            string
	Charge               float64       // units charged to the quota of the workspace
	Tier                 int           // priority tier; 0 is the most urgent
	Route                string        // requests of one route share their learned statistics
	PromptTokens         int           // number of prompt tokens
	ExpectedOutputTokens int           // the caller's estimate; 0 if it gives none
	MaxOutputTokens      int           // output limit set by the caller
	ArrivedAt            time.Duration // time of arrival
	FirstEventDue        time.Duration // the first event is on time until then
	FirstEventDeadline   time.Duration // the caller disconnects if there is no first event by then
	Deadline             time.Duration // the response is useless afterwards
	CallerTimeout        time.Duration // as stated by the caller, whatever the route allows; 0 if unknown
	ExcludedEngines      []string      // IDs of engines that were tried without success
	EventGap             time.Duration // longest pause between events with which a response is on time; 0 if unknown
	TokensPerEvent       int           // number of output tokens of an event; 0 if unknown
	PartlyDelivered      bool          // the caller has received the first part of the response
	Version              string        // software version of the engines that may run it; empty if any may
	// Parts are the parts of the prompt that other requests may share. Their number is bounded by the owner.
	Parts []PartID
}

// Grant assigns a slot of an engine to a request.
type Grant struct {
	Request RequestID
	Owner   string
	Engine  Engine
	Running int // requests on the engine, including this one
}

// Reason is the reason for which a request is rejected.
type Reason string

// Reasons for a rejection.
const (
	ReasonDeadline Reason = "deadline"  // the request can no longer be served in time
	ReasonOverload Reason = "overload"  // too much work of more valuable requests is queued ahead of it
	ReasonShare    Reason = "share"     // its workspace asks for more than its fair share of engine time
	ReasonNoEngine Reason = "no-engine" // no engine of the service may run it
	// ReasonNoVersion means that no engine of the software version that began the stream is listed.
	ReasonNoVersion Reason = "no-version"
	ReasonQuota     Reason = "quota" // its workspace has used up its quota
	ReasonRate      Reason = "rate"  // the engines of the service that could run it state rate limits
	// ReasonBlockedPart means that the request, or a part of its prompt, has crashed several engines.
	ReasonBlockedPart Reason = "blocked-part"
)

// Rejection reports a request that is dropped without having been sent to an engine.
type Rejection struct {
	Request      RequestID
	Owner        string
	Reason       Reason
	RetryAfter   time.Duration
	Waiting      int           // number of waiting requests of the service
	ExpectedWait time.Duration // estimated wait of this request
	Capacity     float64       // of the service, in engines of average speed
	LikelyRetry  bool          // classified as a retry of a rejected request
}

// Outcome describes how the run of a request ended.
type Outcome uint8

// Outcomes of a run.
const (
	OutcomeCompleted   Outcome = iota // the response is complete
	OutcomeCancelled                  // the caller disconnected or the deadline passed
	OutcomeRefused                    // the engine did not run it: it is full, leaving or was restarted
	OutcomeFailed                     // the response broke off, or there was none
	OutcomeUnreachable                // no connection to the engine could be opened
	OutcomeUnused                     // the grant arrived too late to be used
	// OutcomeConnectionLost is OutcomeFailed because the engine closed or reset the connection.
	OutcomeConnectionLost
	// OutcomeBrittleRefused is OutcomeRefused by an engine that falls over if it turns away more requests.
	OutcomeBrittleRefused
)

// IsRefunded reports whether a run with this outcome takes nothing from a quota.
func (o Outcome) IsRefunded() bool {
	switch o {
	case OutcomeRefused, OutcomeUnreachable, OutcomeUnused, OutcomeBrittleRefused:
		return true
	}
	return false
}

var outcomeNames = [...]string{"answered", "cancelled", "refused", "failed", "unreached", "unused", "lost", "refused-brittle"}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}
