// Package fleet defines the messages between entry instances and control instances, and the options that
// both roles share. The messages distribute the configuration and the list of engines to the entry
// instances, and carry requests for engine slots to the allocator.
package fleet

import (
	"time"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/origin"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/rollout"
)

// Kinds of messages.
const (
	KindConsensus link.Kind = "consensus"        // between control instances
	KindAttach    link.Kind = "fleet.attach"     // call from an entry instance to a control instance
	KindFetch     link.Kind = "fleet.fetch"      // call from an entry instance to a control instance
	KindChanged   link.Kind = "fleet.changed"    // asks attached entry instances to send Attach immediately
	KindConfirm   link.Kind = "fleet.confirm"    // call from a control instance to the leader
	KindSubmit    link.Kind = "fleet.submit"     // call from a control instance to the leader
	KindUpdate    link.Kind = "placement.update" // from an entry instance to the allocator
	KindDecisions link.Kind = "placement.answer" // from the allocator to an entry instance
	KindOrigin    link.Kind = "origin.query"     // call from an entry instance to a control instance
	KindOrigins   link.Kind = "origin.records"   // between control instances
	KindOrder     link.Kind = "rollout.order"    // call from a control instance to the leader
)

// Attach is sent periodically by entry instances and serves as their heartbeat.
type Attach struct {
	Number        uint64 `cbor:"1,keyasint,omitempty"` // configuration in force at the sender
	EnginesDigest uint64 `cbor:"2,keyasint,omitempty"` // digest of the sender's list of engines
}

// Attached is the reply to Attach.
type Attached struct {
	Number           uint64     `cbor:"1,keyasint,omitempty"` // configuration held here, if the caller has an older one
	Content          []byte     `cbor:"2,keyasint,omitempty"` // set by releases that do not know Fetch
	Confirmed        uint64     `cbor:"3,keyasint,omitempty"` // newest number confirmed by a quorum after the call
	IsConfirmed      bool       `cbor:"4,keyasint,omitempty"`
	Leader           string     `cbor:"5,keyasint,omitempty"` // name of the leading control instance; empty if unknown
	ControlInstances []string   `cbor:"6,keyasint,omitempty"` // all control instances
	DataCentre       string     `cbor:"7,keyasint,omitempty"` // data centre of the replying instance
	Engines          EngineList `cbor:"8,keyasint,omitempty"`
	EntryInstances   int        `cbor:"9,keyasint,omitempty"` // number of known entry instances
	// Rollouts holds the last orders of all services. They take effect before Engines.
	Rollouts []rollout.Rollout `cbor:"20,keyasint,omitempty"`
}

// MaxPartBytes is the size of the parts in which a configuration is transferred. A part takes 26 ms on a link
// of 10 Mbit/s, so the other messages on the link are not delayed for long.
const MaxPartBytes = 32 << 10

// Fetch asks for the part of a configuration that begins at Offset.
type Fetch struct {
	Number uint64 `cbor:"1,keyasint,omitempty"` // 0 asks for the newest configuration
	Offset int    `cbor:"2,keyasint,omitempty"`
}

// Fetched is the reply to Fetch. If the configuration asked for is not held any more, it is the first part of
// the newest one.
type Fetched struct {
	Number uint64 `cbor:"1,keyasint,omitempty"` // 0 if there is no configuration
	Offset int    `cbor:"2,keyasint,omitempty"`
	Size   int    `cbor:"3,keyasint,omitempty"` // of the whole configuration, in bytes
	Part   []byte `cbor:"4,keyasint,omitempty"`
}

// Confirm asks the leader for the newest configuration number. A quorum confirms the number after the
// call.
type Confirm struct {
	EntryInstances []string `cbor:"1,keyasint,omitempty"` // entry instances attached to the sender; sent now and then
	WithContent    bool     `cbor:"2,keyasint,omitempty"` // requests the content of the configuration as well
	// EnginesDigest is the digest of the sender's list of engines. Only the leader reads the platform's
	// list, because the platform limits the calls and charges for them.
	EnginesDigest uint64 `cbor:"3,keyasint,omitempty"`
	WithLearned   bool   `cbor:"4,keyasint,omitempty"` // requests what the leader's allocator has learned
}

// Confirmed is the reply to Confirm.
type Confirmed struct {
	Number         uint64     `cbor:"1,keyasint,omitempty"`
	EntryInstances int        `cbor:"2,keyasint,omitempty"`
	Content        []byte     `cbor:"3,keyasint,omitempty"` // set if Confirm.WithContent is set
	Engines        EngineList `cbor:"4,keyasint,omitempty"`
	// Learned is set if Confirm.WithLearned is set.
	Learned *placement.Learned `cbor:"5,keyasint,omitempty"`
	// Rollouts holds the last orders of all services. They take effect before Engines.
	Rollouts []rollout.Rollout `cbor:"20,keyasint,omitempty"`
}

// EngineList is a list of engines, or the difference to a list that the receiver already has.
type EngineList struct {
	Digest  uint64             `cbor:"1,keyasint,omitempty"`
	Engines []placement.Engine `cbor:"2,keyasint,omitempty"` // empty if the receiver already has this list
	AgeMS   int64              `cbor:"3,keyasint,omitempty"` // time since the list was read from the platform
	// Base is the digest of the list to which Engines and Removed are applied; 0 means that Engines is the
	// complete list.
	Base    uint64   `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"` // engine IDs
}

// Submit asks the leader to store a configuration.
type Submit struct {
	Number  uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// Submitted is the reply to Submit.
type Submitted struct {
	Stored bool   `cbor:"1,keyasint,omitempty"` // false if a configuration with this or a higher number was stored
	Number uint64 `cbor:"2,keyasint,omitempty"` // number of the configuration that is stored now
}

// Update reports the events at an entry instance since its last update. The updates of a stream are
// numbered consecutively; an allocator that misses one requests a full update.
type Update struct {
	Sequence    uint64    `cbor:"1,keyasint"`
	Full        bool      `cbor:"2,keyasint,omitempty"` // Arrivals and Runs list all requests of the instance
	Leave       bool      `cbor:"3,keyasint,omitempty"` // the instance switches to another allocator
	Arrivals    []Request `cbor:"4,keyasint,omitempty"`
	Runs        []Run     `cbor:"5,keyasint,omitempty"`
	Withdrawals []uint64  `cbor:"6,keyasint,omitempty"`
	Starts      []uint64  `cbor:"7,keyasint,omitempty"`
	Ends        []End     `cbor:"8,keyasint,omitempty"`
	Charges     []Charge  `cbor:"9,keyasint,omitempty"`
	Answered    uint64    `cbor:"10,keyasint,omitempty"` // sequence number of the last Decisions received
	Leaving     []string  `cbor:"11,keyasint,omitempty"` // IDs of engines that stated that they are leaving
	Rests       []Rest    `cbor:"12,keyasint,omitempty"`
	// Blocked holds the blocked parts of prompts that the sender knows of. Set in full updates.
	Blocked []placement.BlockedPart `cbor:"13,keyasint,omitempty"`
	// RateLimits holds the changes of what engines state, or all that is known in full updates.
	RateLimits []RateLimit `cbor:"14,keyasint,omitempty"`
	// PermitDemand holds the permits that the instance can use, which replace those of the last update.
	PermitDemand []placement.PermitDemand `cbor:"15,keyasint,omitempty"`
	// Events of requests to plain services, which the allocator does not track otherwise.
	Losses      []Loss     `cbor:"16,keyasint,omitempty"`
	Unreachable []string   `cbor:"17,keyasint,omitempty"` // IDs of engines that accepted no connection
	Responses   []Response `cbor:"18,keyasint,omitempty"` // to requests with a part of BlockList.Watched
	// Begun holds the origins of the streams that began, or of all that are known in full updates.
	Begun []origin.Record `cbor:"19,keyasint,omitempty"`
	// Served states in full updates that an allocator, or the instance itself, has decided about its requests before.
	Served bool `cbor:"20,keyasint,omitempty"`
	// LeavingBorn holds the times of birth of the engines in Leaving; empty from releases that do not know them.
	LeavingBorn []int64 `cbor:"21,keyasint,omitempty"`
	// Spent holds in full updates what the instance has spent of the quotas lately.
	Spent []placement.Spending `cbor:"22,keyasint,omitempty"`
	// Progress of streams under way, sent at intervals if limits are learned.
	Progress []Progress `cbor:"23,keyasint,omitempty"`
	// Backends holds what was measured at engines of plain services since the last update.
	Backends []placement.BackendReport `cbor:"24,keyasint,omitempty"`
	// Measured holds the plain requests to services with an order in progress.
	Measured []Measured `cbor:"40,keyasint,omitempty"`
}

// Progress reports how far the response to a running request has come since its first event.
type Progress struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"` // output tokens after the first event
	TookMS int64  `cbor:"3,keyasint"` // time from the first event to the last one that was relayed
}

// AddLeaving adds a notice of an engine that is leaving.
func (u *Update) AddLeaving(notice placement.LeavingNotice) {
	u.Leaving, u.LeavingBorn = append(u.Leaving, notice.Engine), append(u.LeavingBorn, notice.Born)
}

// LeavingNotices returns the notices of engines that are leaving.
func (u *Update) LeavingNotices() []placement.LeavingNotice {
	return leavingNotices(u.Leaving, u.LeavingBorn)
}

func leavingNotices(engines []string, born []int64) []placement.LeavingNotice {
	notices := make([]placement.LeavingNotice, len(engines))
	for i, engine := range engines {
		notices[i].Engine = engine
		if i < len(born) {
			notices[i].Born = born[i]
		}
	}
	return notices
}

// OriginQuery asks for the origin of the stream that an attempt began.
type OriginQuery struct {
	Attempt origin.Attempt `cbor:"1,keyasint"` // 0 if the caller does not name it
	Service string         `cbor:"2,keyasint"`
	// WindowMS is the time before which no stream began that a caller may still take up.
	WindowMS int64 `cbor:"3,keyasint,omitempty"`
}

// OriginReply is the reply to OriginQuery.
type OriginReply struct {
	Known    bool              `cbor:"1,keyasint,omitempty"`
	Origin   origin.Origin     `cbor:"2,keyasint,omitempty"`
	Versions origin.VersionSet `cbor:"3,keyasint,omitempty"` // of the service; set if the origin is not known
}

// Origins carries the origins of streams to another control instance.
type Origins struct {
	Records []origin.Record `cbor:"1,keyasint"`
}

// Loss reports a request to an engine of a plain service whose connection was lost before a response. Ages are
// relative to the creation of the update.
type Loss struct {
	Engine    string             `cbor:"1,keyasint"`
	Parts     []placement.PartID `cbor:"2,keyasint,omitempty"`
	SentAgeMS int64              `cbor:"3,keyasint,omitempty"`
	LostAgeMS int64              `cbor:"4,keyasint,omitempty"`
}

// Response reports that a plain service responded to a request.
type Response struct {
	Service string             `cbor:"1,keyasint"`
	Parts   []placement.PartID `cbor:"2,keyasint,omitempty"`
}

// RateLimit is what is known about the rate limit of an engine.
type RateLimit struct {
	Engine    string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	Lifted    bool    `cbor:"3,keyasint,omitempty"`
	AgeMS     int64   `cbor:"4,keyasint,omitempty"` // age of the evidence at the creation of the message
}

// NewRateLimit returns the message form of a rate limit.
func NewRateLimit(now time.Duration, l *placement.RateLimit) RateLimit {
	return RateLimit{Engine: l.Engine, PerSecond: l.PerSecond, Lifted: l.Lifted, AgeMS: (now - l.At).Milliseconds()}
}

// NewRateLimits returns the message form of a list of rate limits.
func NewRateLimits(now time.Duration, list []placement.RateLimit) []RateLimit {
	var out []RateLimit
	for i := range list {
		out = append(out, NewRateLimit(now, &list[i]))
	}
	return out
}

// Received returns the rate limit of a message that arrived at the given time.
func (l *RateLimit) Received(now time.Duration) placement.RateLimit {
	return placement.RateLimit{
		Engine: l.Engine, PerSecond: l.PerSecond, Lifted: l.Lifted, At: now - time.Duration(l.AgeMS)*time.Millisecond,
	}
}

// Rest reports that an engine wants no requests from the sender for some time.
type Rest struct {
	Engine string `cbor:"1,keyasint"`
	LeftMS int64  `cbor:"2,keyasint"` // remaining time at the creation of the update
}

// Request is a request as its entry instance reports it. Durations are relative to the creation of the
// update.
type Request struct {
	ID                   uint64   `cbor:"1,keyasint"`
	Service              string   `cbor:"2,keyasint"`
	Workspace            string   `cbor:"3,keyasint,omitempty"`
	Charge               float64  `cbor:"4,keyasint,omitempty"`
	Tier                 int      `cbor:"5,keyasint,omitempty"`
	PromptTokens         int      `cbor:"6,keyasint,omitempty"`
	ExpectedOutputTokens int      `cbor:"7,keyasint,omitempty"`  // the caller's estimate; 0 if it gives none
	AgeMS                int64    `cbor:"9,keyasint,omitempty"`  // time since the request arrived
	FirstEventDueMS      int64    `cbor:"10,keyasint,omitempty"` // the first event is on time until then
	DeadlineMS           int64    `cbor:"11,keyasint,omitempty"` // the response is useless afterwards
	ExcludedEngines      []string `cbor:"12,keyasint,omitempty"`
	MaxOutputTokens      int      `cbor:"13,keyasint,omitempty"`
	FirstEventDeadlineMS int64    `cbor:"14,keyasint,omitempty"` // the caller disconnects if no event came by then
	Route                string   `cbor:"15,keyasint,omitempty"`
	CallerTimeoutMS      int64    `cbor:"16,keyasint,omitempty"` // timeout stated by the caller
	EventGapMS           int64    `cbor:"18,keyasint,omitempty"`
	TokensPerEvent       int      `cbor:"19,keyasint,omitempty"`
	PartlyDelivered      bool     `cbor:"17,keyasint,omitempty"` // the caller has the first part of the response
	// Parts are the parts of the prompt that other requests may share, and the fingerprints of the request.
	Parts   []placement.PartID `cbor:"20,keyasint,omitempty"`
	Version string             `cbor:"21,keyasint,omitempty"` // software version of the engines that may run it; empty if any may
}

// Run is a request that runs on an engine.
type Run struct {
	Request Request `cbor:"1,keyasint"`
	Engine  string  `cbor:"2,keyasint"`
	Started bool    `cbor:"3,keyasint,omitempty"` // the first event has arrived
	// Times at the creation of the update: since the grant, and since the first event if Started is set.
	GrantAgeMS      int64 `cbor:"4,keyasint,omitempty"`
	FirstEventAgeMS int64 `cbor:"5,keyasint,omitempty"`
}

// End reports the end of a run.
type End struct {
	ID      uint64            `cbor:"1,keyasint"`
	Outcome placement.Outcome `cbor:"2,keyasint,omitempty"`
	Tokens  int               `cbor:"3,keyasint,omitempty"`
	// ServerError states that the complete response was a server error.
	ServerError bool `cbor:"40,keyasint,omitempty"`
}

// Charge is quota that an instance spent without asking the allocator.
type Charge struct {
	Workspace string  `cbor:"1,keyasint"`
	Amount    float64 `cbor:"2,keyasint"`
}

// Decisions carries the decisions of an allocator to an entry instance. The messages to one instance are
// numbered consecutively.
type Decisions struct {
	Sequence            uint64      `cbor:"1,keyasint"`
	LastUpdate          uint64      `cbor:"2,keyasint,omitempty"` // sequence number of the last applied update
	FullUpdateNeeded    bool        `cbor:"3,keyasint,omitempty"` // the next update must be full
	Grants              []Grant     `cbor:"4,keyasint,omitempty"`
	Rejections          []Rejection `cbor:"5,keyasint,omitempty"`
	ExhaustedWorkspaces []string    `cbor:"6,keyasint,omitempty"` // workspaces without remaining quota
	Leaving             []string    `cbor:"7,keyasint,omitempty"` // IDs of engines that stated that they are leaving
	Blocked             *BlockList  `cbor:"8,keyasint,omitempty"` // set if it has changed, or after a full update
	RateLimits          []RateLimit `cbor:"9,keyasint,omitempty"` // changes, or all after a full update
	Permits             []Permits   `cbor:"10,keyasint,omitempty"`
	LeavingBorn         []int64     `cbor:"11,keyasint,omitempty"` // see Update.LeavingBorn
	// Backends holds what all instances have measured lately at engines of plain services.
	Backends []placement.BackendReport `cbor:"12,keyasint,omitempty"`
}

// AddLeaving adds a notice of an engine that is leaving.
func (d *Decisions) AddLeaving(notice placement.LeavingNotice) {
	d.Leaving, d.LeavingBorn = append(d.Leaving, notice.Engine), append(d.LeavingBorn, notice.Born)
}

// LeavingNotices returns the notices of engines that are leaving.
func (d *Decisions) LeavingNotices() []placement.LeavingNotice {
	return leavingNotices(d.Leaving, d.LeavingBorn)
}

// Permits allow the receiver to send requests to an engine of a plain service that states a rate limit.
type Permits struct {
	Engine string `cbor:"1,keyasint"`
	Count  int    `cbor:"2,keyasint"`
}

// AddPermit adds a permit for an engine to a list.
func AddPermit(list []Permits, engine string) []Permits {
	for i := range list {
		if list[i].Engine == engine {
			list[i].Count++
			return list
		}
	}
	return append(list, Permits{Engine: engine, Count: 1})
}

// BlockList holds all parts of prompts and all requests that are blocked.
type BlockList struct {
	Parts []placement.BlockedPart `cbor:"1,keyasint,omitempty"`
	// Watched holds the parts whose responses entry instances report in Update.Responses.
	Watched []placement.PartID `cbor:"2,keyasint,omitempty"`
}

// Grant assigns a slot of an engine to a request.
type Grant struct {
	ID      uint64           `cbor:"1,keyasint"`
	Engine  placement.Engine `cbor:"2,keyasint"`
	Running int              `cbor:"3,keyasint,omitempty"` // requests on the engine, including this one
}

// Rejection reports a request that is dropped without having been sent to an engine.
type Rejection struct {
	ID             uint64           `cbor:"1,keyasint"`
	Reason         placement.Reason `cbor:"2,keyasint"`
	RetryAfterMS   int64            `cbor:"3,keyasint,omitempty"`
	Waiting        int              `cbor:"4,keyasint,omitempty"` // number of waiting requests of the service
	ExpectedWaitMS int64            `cbor:"5,keyasint,omitempty"` // estimated wait of this request
	Capacity       float64          `cbor:"6,keyasint,omitempty"` // of the service, in engines of average speed
	LikelyRetry    bool             `cbor:"7,keyasint,omitempty"` // classified as a retry of a rejected request
}
