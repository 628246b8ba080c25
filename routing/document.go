// Package routing maps a request to a service and a workspace. It holds the routes, which match a host
// and a path prefix and have weighted targets, the keys of the workspaces, and the limits on callers'
// requests. The package does no I/O and reads no clock.
package routing

import "time"

// Number is the version number of a document. The document with the highest number is in force.
type Number uint64

// Document is one complete configuration. Compile validates it.
type Document struct {
	Number     Number
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Kind determines how often the requests of a route may run and how they are answered.
type Kind uint8

// Kinds of routes.
const (
	KindIdempotent    Kind = iota + 1 // requests may run more than once
	KindNonIdempotent                 // requests run at most once
	KindStream                        // responses are event streams; requests run once unless Resume is set
)

// Route maps a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time until the complete response has been sent to the caller
	Objective   time.Duration // target latency of the response, or of the first event of a stream
	EventGap    time.Duration // target for the longest pause between two events of a stream
	Tier        int           // priority; 0 is the most urgent
	Targets     []Target
	MaxAttempts int  // engines to which one request may be sent
	Anonymous   bool // requests need no key
	Resume      bool // a stream may continue on another engine after the last event that was received
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resume
}

// A caller disconnects from a stream when it has received no event, neither the first nor a later one, for
// the longest of these times.
const (
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4 // multiple of Route.Objective
	eventTimeoutGaps       = 8 // multiple of Route.EventGap
)

// EventTimeout returns how long a caller waits for the first or the next event of a stream. On other
// routes it is the timeout of the route.
func (r *Route) EventTimeout() time.Duration {
	if r.Kind != KindStream {
		return r.Timeout
	}
	return max(minEventTimeout, eventTimeoutObjectives*r.Objective, eventTimeoutGaps*r.EventGap)
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of engines that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int    // connections that one engine accepts from all instances together
	Model          *Model // nil for a plain service
}

// Model describes the engines of a service that runs a language model.
type Model struct {
	BatchSize      int // requests that an engine runs at once
	CacheTokens    int // tokens that fit in an engine's KV cache
	TokensPerEvent int // output tokens in one event of a stream
}

// Workspace is a tenant with the keys that identify it.
type Workspace struct {
	Name          string
	Keys          []string
	Tier          int  // priority, which takes precedence over the tier of the route
	ChargesTokens bool // the quota counts tokens, not requests
	// PlainTokens is the charge of a request that states no number of tokens.
	PlainTokens float64
	Rate        float64 // quota in tokens or requests per second over all instances; 0 means no limit
	Burst       float64 // tokens or requests that may be used at once
}

// Charge returns the amount that a request with the given number of tokens takes from the quota. 0 tokens
// means that the request states no number.
func (w *Workspace) Charge(tokens int) float64 {
	switch {
	case !w.ChargesTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return w.PlainTokens
}

// Limits holds the limits on the size of callers' requests and on the time that sending them may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
