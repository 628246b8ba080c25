// Package scheduler decides for one instance which waiting request is dispatched to which engine, and
// which request is rejected. It has no clock, goroutines or I/O: the caller passes events with the
// time and carries out the returned actions, in real or in virtual time.
package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/label"
)

// RequestID identifies a request within one instance.
type RequestID string

// Request describes a request to the scheduler. It must not change after Arrive.
type Request struct {
	ID           RequestID
	Workspace    string
	Service      string
	Tier         int       // index into Policy.Tiers; 0 is the most urgent
	Labels       label.Set // labels that the caller sent
	Idempotent   bool
	Redispatch   bool      // the route allows a second attempt once the first has ended without success
	Deadline     time.Time // zero means the tier's default, counted from arrival
	PromptTokens int       // estimated prompt length; 0 for plain services
	OutputTokens int       // expected output length; 0 when unknown
	Prefix       []uint64  // chained hashes of the prompt's blocks, first block first
}

// Event is an input of the scheduler.
type Event interface{ isEvent() }

// Configure replaces the policy. Waiting requests are kept and queued under the new policy.
type Configure struct{ Policy Policy }

// Arrive adds a request to the queue.
type Arrive struct{ Request Request }

// Abandon reports that the caller has disconnected.
type Abandon struct{ ID RequestID }

// BytesSent reports that the first byte of a request may have reached the engine it was dispatched to.
// The request is not dispatched again afterwards, unless its route allows redispatch.
type BytesSent struct{ ID RequestID }

// Refused reports that an attempt has ended without a complete response: either no byte of the request
// reached the engine, or the attempt is known to have ended on a route that allows redispatch. The
// request waits again or is rejected.
type Refused struct{ ID RequestID }

// FirstToken reports the first byte of the response.
type FirstToken struct{ ID RequestID }

// Progress reports the output tokens that the engine has returned since the last Progress.
type Progress struct {
	ID     RequestID
	Tokens int
}

// Result describes how a dispatched request ended.
type Result int

// Results of a dispatched request.
const (
	ResultSuccess   Result = iota // complete response
	ResultFailed                  // the engine returned an error or broke off the response
	ResultCancelled               // the caller disconnected
)

// Finish reports the end of a dispatched request.
type Finish struct {
	ID           RequestID
	Result       Result
	CachedTokens int // prompt tokens that the engine had cached; -1 when unknown
	OutputTokens int
}

// LoadReport is the load that an engine reported for the past time At.
type LoadReport struct {
	Engine  string
	At      time.Time
	Running int
	Waiting int
	KVUsed  float64 // fraction of the KV cache in use, 0 to 1
}

// CacheEvents reports changes of an engine's prefix cache. The sequence numbers are consecutive unless
// events were lost.
type CacheEvents struct {
	Engine  string
	First   uint64 // sequence number of the first change
	Changes []CacheChange
}

// CacheChange is one change of a prefix cache.
type CacheChange struct {
	Stored  []uint64
	Removed []uint64
	Cleared bool
}

// EngineState reports the lifecycle of one incarnation of an engine.
type EngineState struct {
	Engine      string
	Incarnation uint64
	Leaving     bool // final for this incarnation
	Reachable   bool
}

// PeerSummary is the load of another instance on the engines, as published by that instance.
type PeerSummary struct {
	Instance string
	At       time.Time
	Engines  map[string]PeerLoad
}

// PeerLoad is the load of another instance on one engine.
type PeerLoad struct {
	InFlight int
	Demand   int     // waiting requests of the services that this engine serves, weighted by tier
	Limit    float64 // adaptive concurrency limit over all instances; 0 when unknown
}

// PeerFloor is a request of another instance to admit no work of a tier below Tier until Expires.
type PeerFloor struct {
	Instance string
	Tier     int // lowest tier that is still admitted
	Expires  time.Time
}

// Wake makes the scheduler process everything that has become due; see Scheduler.NextWake.
type Wake struct{}

func (Configure) isEvent()   {}
func (Arrive) isEvent()      {}
func (Abandon) isEvent()     {}
func (BytesSent) isEvent()   {}
func (Refused) isEvent()     {}
func (FirstToken) isEvent()  {}
func (Progress) isEvent()    {}
func (Finish) isEvent()      {}
func (LoadReport) isEvent()  {}
func (CacheEvents) isEvent() {}
func (EngineState) isEvent() {}
func (PeerSummary) isEvent() {}
func (PeerFloor) isEvent()   {}
func (Wake) isEvent()        {}
