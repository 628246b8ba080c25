// Package fleet holds the messages between entry instances and control instances: the configuration
// and the list of engines on their way to the entry instances, and the requests for places on their
// way to the allocator.
package fleet

import (
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/placement"
)

// Kinds of messages.
const (
	KindConsensus link.Kind = "consensus"        // between control instances
	KindAttach    link.Kind = "fleet.attach"     // call of an entry instance to a control instance
	KindChanged   link.Kind = "fleet.changed"    // tells attached instances to call again at once
	KindConfirm   link.Kind = "fleet.confirm"    // call of a control instance to the leader
	KindSubmit    link.Kind = "fleet.submit"     // call of a control instance to the leader
	KindUpdate    link.Kind = "placement.update" // entry instance to allocator
	KindDecisions link.Kind = "placement.answer" // allocator to entry instance
)

// Attach is sent regularly; it doubles as the heartbeat of an entry instance.
type Attach struct {
	Number        uint64 `cbor:"1,keyasint,omitempty"` // of the configuration in force at the sender
	EnginesDigest uint64 `cbor:"2,keyasint,omitempty"` // digest of the list of engines that the sender has
}

// Attached answers Attach.
type Attached struct {
	Number           uint64     `cbor:"1,keyasint,omitempty"` // of Content
	Content          []byte     `cbor:"2,keyasint,omitempty"` // configuration, when the sender has an older one
	Confirmed        uint64     `cbor:"3,keyasint,omitempty"` // newest number that a quorum confirmed after the call
	IsConfirmed      bool       `cbor:"4,keyasint,omitempty"`
	Leader           string     `cbor:"5,keyasint,omitempty"`
	ControlInstances []string   `cbor:"6,keyasint,omitempty"` // all control instances
	DataCentre       string     `cbor:"7,keyasint,omitempty"` // of the answering instance
	Engines          EngineList `cbor:"8,keyasint,omitempty"`
	EntryInstances   int        `cbor:"9,keyasint,omitempty"` // entry instances that are known
}

// Confirm asks the leader for the newest number, confirmed by a quorum after the call.
type Confirm struct {
	EntryInstances []string `cbor:"1,keyasint,omitempty"` // entry instances attached to the sender
	WithContent    bool     `cbor:"2,keyasint,omitempty"` // the content is asked for as well
	// EnginesDigest is the digest of the sender's list of engines. The leader reads the platform's list
	// for all, since the platform limits and charges the calls.
	EnginesDigest uint64 `cbor:"3,keyasint,omitempty"`
}

// Confirmed answers Confirm.
type Confirmed struct {
	Number         uint64     `cbor:"1,keyasint,omitempty"`
	EntryInstances int        `cbor:"2,keyasint,omitempty"`
	Content        []byte     `cbor:"3,keyasint,omitempty"` // when Confirm.Read is set
	Engines        EngineList `cbor:"4,keyasint,omitempty"`
}

// EngineList is a list of engines on its way to another instance.
type EngineList struct {
	Digest  uint64             `cbor:"1,keyasint,omitempty"`
	Engines []placement.Engine `cbor:"2,keyasint,omitempty"` // when the receiver has another list
	AgeMS   int64              `cbor:"3,keyasint,omitempty"`
	// Base is the digest of the list that Engines and Removed change; 0 means that Engines is the whole.
	Base    uint64   `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"` // IDs
}

// Submit asks the leader to store a configuration.
type Submit struct {
	Number  uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// Submitted answers Submit.
type Submitted struct {
	Stored bool   `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Update carries what happened at an entry instance since the last update. Updates of one stream are
// numbered without gaps; an allocator that misses one asks for a Whole one.
type Update struct {
	Sequence    uint64    `cbor:"1,keyasint"`
	Full        bool      `cbor:"2,keyasint,omitempty"` // Arrivals and Runs are everything that the instance has
	Leave       bool      `cbor:"3,keyasint,omitempty"` // the instance goes to another allocator
	Arrivals    []Request `cbor:"4,keyasint,omitempty"`
	Runs        []Run     `cbor:"5,keyasint,omitempty"`
	Withdrawals []uint64  `cbor:"6,keyasint,omitempty"`
	Starts      []uint64  `cbor:"7,keyasint,omitempty"`
	Ends        []End     `cbor:"8,keyasint,omitempty"`
	Charges     []Charge  `cbor:"9,keyasint,omitempty"`
	Answered    uint64    `cbor:"10,keyasint,omitempty"` // newest answer that was received
}

// Request is a request that waits for a place. Times are relative to the sending of the update.
type Request struct {
	ID                   uint64   `cbor:"1,keyasint"`
	Service              string   `cbor:"2,keyasint"`
	Workspace            string   `cbor:"3,keyasint,omitempty"`
	Charge               float64  `cbor:"4,keyasint,omitempty"`
	Tier                 int      `cbor:"5,keyasint,omitempty"`
	PromptTokens         int      `cbor:"6,keyasint,omitempty"`
	ExpectedOutputTokens int      `cbor:"7,keyasint,omitempty"`
	AgeMS                int64    `cbor:"9,keyasint,omitempty"`
	FirstEventDueMS      int64    `cbor:"10,keyasint,omitempty"`
	DeadlineMS           int64    `cbor:"11,keyasint,omitempty"`
	ExcludedEngines      []string `cbor:"12,keyasint,omitempty"`
	MaxOutputTokens      int      `cbor:"13,keyasint,omitempty"`
	FirstEventDeadlineMS int64    `cbor:"14,keyasint,omitempty"`
	Route                string   `cbor:"15,keyasint,omitempty"`
	CallerTimeoutMS      int64    `cbor:"16,keyasint,omitempty"` // what the caller stated to wait at most
	PartlyDelivered      bool     `cbor:"17,keyasint,omitempty"` // the caller has the first part of the answer
}

// Run is a request that runs at an engine.
type Run struct {
	Request Request `cbor:"1,keyasint"`
	Engine  string  `cbor:"2,keyasint"`
	Started bool    `cbor:"3,keyasint,omitempty"`
}

// End is the end of a run.
type End struct {
	ID      uint64            `cbor:"1,keyasint"`
	Outcome placement.Outcome `cbor:"2,keyasint,omitempty"`
	Tokens  int               `cbor:"3,keyasint,omitempty"`
}

// Charge is what an instance spent of a quota without asking.
type Charge struct {
	Workspace string  `cbor:"1,keyasint"`
	Amount    float64 `cbor:"2,keyasint"`
}

// Decisions carries the decisions of an allocator. Answers to one instance are numbered without gaps.
type Decisions struct {
	Sequence            uint64      `cbor:"1,keyasint"`
	LastUpdate          uint64      `cbor:"2,keyasint,omitempty"` // newest update that was taken in
	FullUpdateNeeded    bool        `cbor:"3,keyasint,omitempty"` // a Whole update is needed
	Grants              []Grant     `cbor:"4,keyasint,omitempty"`
	Rejections          []Rejection `cbor:"5,keyasint,omitempty"`
	ExhaustedWorkspaces []string    `cbor:"6,keyasint,omitempty"` // workspaces without quota
}

// Grant gives a request a place.
type Grant struct {
	ID      uint64           `cbor:"1,keyasint"`
	Engine  placement.Engine `cbor:"2,keyasint"`
	Running int              `cbor:"3,keyasint,omitempty"` // of the engine, this one included
}

// Rejection gives up on a request that was not sent.
type Rejection struct {
	ID             uint64           `cbor:"1,keyasint"`
	Reason         placement.Reason `cbor:"2,keyasint"`
	RetryAfterMS   int64            `cbor:"3,keyasint,omitempty"`
	Waiting        int              `cbor:"4,keyasint,omitempty"` // requests of the service that waited
	ExpectedWaitMS int64            `cbor:"5,keyasint,omitempty"` // that was expected for this one
	Capacity       float64          `cbor:"6,keyasint,omitempty"` // of the service, in engines of usual speed
	LikelyRetry    bool             `cbor:"7,keyasint,omitempty"` // the caller was taken for one that was refused before
}
