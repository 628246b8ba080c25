package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/label"
)

// Policy is the part of a configuration that the scheduler decides by.
type Policy struct {
	DataCentre string // of this instance
	Tiers      []Tier // most urgent first
	Workspaces []Workspace
	Services   []Service
	Engines    []Engine
	// OneWayLatency is the one-way latency from this instance to a data centre.
	OneWayLatency map[string]time.Duration
}

// Tier is one class of urgency.
type Tier struct {
	Name          string
	FirstToken    time.Duration // objective; 0 means none
	BetweenTokens time.Duration // objective; 0 means none
	Deadline      time.Duration // default time from arrival to the whole answer; 0 means none
	QueueLimit    int           // requests of this tier that may wait
	MinimumShare  float64       // share of dispatches that this tier keeps under a flood of higher tiers
}

// Workspace is a customer.
type Workspace struct {
	Name   string
	Weight float64 // relative share; 0 means 1
}

// Kind tells what a service runs on.
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
	Selector    label.Selector // engines of the service
	RetryBudget float64        // retries per request, 0 to 1
}

// Engine is a back end.
type Engine struct {
	Name        string
	DataCentre  string
	Labels      label.Set
	MaxInFlight int  // hard limit over all instances; 0 means adaptive only
	Drained     bool // the operator asked for no new work
}
