package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/label"
)

// Policy is the part of the configuration that the scheduler uses.
type Policy struct {
	DataCentre string // data centre of this instance
	Tiers      []Tier // most urgent first
	Workspaces []Workspace
	Services   []Service
	Engines    []Engine
	// OneWayLatency is the network latency from this instance to each data centre.
	OneWayLatency map[string]time.Duration
}

// Tier is a priority class of requests.
type Tier struct {
	Name          string
	FirstToken    time.Duration // objective for the time to the first token; 0 means none
	BetweenTokens time.Duration // objective for the time between tokens; 0 means none
	Deadline      time.Duration // default time from arrival to the complete response; 0 means none
	QueueLimit    int           // maximum number of waiting requests of this tier; 0 means the default
	MinimumShare  float64       // fraction of engine time reserved for this tier under a flood of higher tiers
}

// Workspace is a tenant, with its weight in fair queueing.
type Workspace struct {
	Name   string
	Weight float64 // relative share of engine time; 0 means 1
}

// Kind is the type of engine that a service runs on.
type Kind int

// Kinds of services.
const (
	KindPlain Kind = iota
	KindModel
)

// Service is a group of engines that serve the same requests.
type Service struct {
	Name        string
	Kind        Kind
	Selector    label.Selector // selects the engines of the service by label
	RetryBudget float64        // retries per request, 0 to 1
}

// Engine is a backend server that runs requests.
type Engine struct {
	Name        string
	DataCentre  string
	Labels      label.Set
	MaxInFlight int  // hard limit over all instances in requests; 0 means only the adaptive limit
	Drained     bool // the operator has drained the engine; it gets no new requests
}
