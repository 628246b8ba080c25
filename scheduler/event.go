// Package scheduler decides for one instance which waiting request goes to which engine, and
// which request is given up on. It has no clock, goroutines or I/O: the caller passes events
// with the time and carries out the returned actions, in real or in virtual time.
package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/label"
)

// RequestID identifies a request within one instance.
type RequestID string

// Request is what the scheduler knows of a request. It must not change after Arrive.
type Request struct {
	ID           RequestID
	Workspace    string
	Service      string
	Tier         int       // index into Policy.Tiers; 0 is the most urgent
	Labels       label.Set // labels that the caller sent
	Idempotent   bool
	Redispatch   bool      // a second attempt is allowed once the first has ended
	Deadline     time.Time // zero means the tier's default after arrival
	PromptTokens int       // estimated; 0 for plain services
	OutputTokens int       // expected; 0 when unknown
	Prefix       []uint64  // chained hashes of the prompt's blocks, first block first
}

// Event is one input of the scheduler.
type Event interface{ isEvent() }

// Configure puts a policy in force. Requests that wait are kept and judged by the new policy.
type Configure struct{ Policy Policy }

// Arrive adds a request to the queue.
type Arrive struct{ Request Request }

// Abandon reports that the caller has gone.
type Abandon struct{ ID RequestID }

// BytesSent reports that the first byte of a request may have reached the engine that it was dispatched to.
// From here on the request is never dispatched again, unless its route allows redispatch.
type BytesSent struct{ ID RequestID }

// Refused reports that a dispatch ended before any byte reached the engine; the request waits again.
type Refused struct{ ID RequestID }

// FirstToken reports the first byte of the answer.
type FirstToken struct{ ID RequestID }

// Progress reports the number of output tokens since the last Progress.
type Progress struct {
	ID     RequestID
	Tokens int
}

// Result tells how a dispatched request ended.
type Result int

// Results of a dispatched request.
const (
	ResultSuccess   Result = iota // whole answer
	ResultFailed                  // the engine answered with an error or broke off
	ResultCancelled               // the caller went away
)

// Finish reports the end of a dispatched request.
type Finish struct {
	ID           RequestID
	Result       Result
	CachedTokens int // prompt tokens that the engine had cached; -1 when unknown
	OutputTokens int
}

// LoadReport is an engine's own report, taken at At, which lies in the past.
type LoadReport struct {
	Engine  string
	At      time.Time
	Running int
	Waiting int
	KVUsed  float64 // share of the KV cache in use, 0 to 1
}

// CacheEvents reports changes of an engine's prefix cache. Sequence numbers are consecutive unless events were lost.
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

// PeerSummary is what another instance says of its load on the engines.
type PeerSummary struct {
	Instance string
	At       time.Time
	Engines  map[string]PeerLoad
}

// PeerLoad is the load of one other instance on one engine.
type PeerLoad struct {
	InFlight int
	Demand   int     // requests that wait for a service that this engine serves, weighted by tier
	Limit    float64 // learned concurrency limit over all instances; 0 when unknown
}

// PeerFloor asks not to admit work of a tier below Tier until Expires.
type PeerFloor struct {
	Instance string
	Tier     int // the lowest tier that is still admitted
	Expires  time.Time
}

// Wake asks for everything that is due by now.
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
