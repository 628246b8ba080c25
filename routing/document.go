// Package routing decides which service and workspace a request belongs to: routes by host and path
// prefix with weighted targets, keys of workspaces, and the limits on what callers may send. It has
// no I/O and no clock.
package routing

import "time"

// Number orders documents; the highest one is in force.
type Number uint64

// Document is one complete configuration of routes. Compile checks it.
type Document struct {
	Number     Number
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Kind tells what may be done with a request of a route.
type Kind uint8

// Kinds of routes.
const (
	KindIdempotent    Kind = iota + 1 // may run more than once
	KindNonIdempotent                 // runs at most once
	KindStream                        // answered with events; runs once unless Resume is set
)

// Route maps a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller is kept waiting for the whole answer
	Objective   time.Duration // to the answer, or to the first event of a stream
	EventGap    time.Duration // longest pause between events that is on time
	Tier        int           // 0 is the most urgent
	Targets     []Target
	MaxAttempts int  // engines to which one request may be sent
	Anonymous   bool // needs no key
	Resume      bool // a stream may go on at another engine after the last event that was received
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resume
}

// Callers of streams leave after a pause, also before the first event, that is the longest of these.
const (
	leastPatience      = 2 * time.Second
	objectivesPatience = 4 // objectives
	gapsPatience       = 8 // longest pauses that are on time
)

// CallerTimeout is how long a caller waits for the first event of a stream, or for the next one.
func (r *Route) CallerTimeout() time.Duration {
	if r.Kind != KindStream {
		return r.Timeout
	}
	return max(leastPatience, objectivesPatience*r.Objective, gapsPatience*r.EventGap)
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of engines that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int    // connections that each engine accepts from all instances together
	Model          *Model // nil for a plain service
}

// Model describes the engines of a model service.
type Model struct {
	BatchSize      int // requests that an engine runs at once
	CacheTokens    int // tokens that an engine keeps
	TokensPerEvent int // tokens in one event of a stream
}

// Workspace is a customer with the keys that identify it.
type Workspace struct {
	Name          string
	Keys          []string
	Tier          int // goes before the tier of the route
	ChargesTokens bool
	// PlainTokens is the charge of a request that states no number of tokens.
	PlainTokens float64
	Rate        float64 // tokens or requests a second over all instances; 0 means no limit
	Burst       float64 // tokens or requests
}

// Charge returns what a request with this number of tokens takes from the quota; 0 tokens mean that
// the request states none.
func (w *Workspace) Charge(tokens int) float64 {
	switch {
	case !w.ChargesTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return w.PlainTokens
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
