// Package configuration holds the dynamic configuration: tiers, workspaces, services, routes,
// engines and the rules that operators steer by labels and selectors.
package configuration

import (
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Version numbers the accepted configurations; 0 means none.
type Version uint64

// Document is one whole configuration.
type Document struct {
	Tiers      []Tier      `json:"tiers"` // most urgent first
	TierRules  []TierRule  `json:"tierRules,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
	Services   []Service   `json:"services"`
	Engines    []Engine    `json:"engines"`
	Links      []Link      `json:"links,omitempty"`
}

// Tier is one class of urgency.
type Tier struct {
	Name          string              `json:"name"`
	FirstToken    strictjson.Duration `json:"firstToken,omitempty"`    // objective
	BetweenTokens strictjson.Duration `json:"betweenTokens,omitempty"` // objective
	Deadline      strictjson.Duration `json:"deadline,omitempty"`      // from arrival to the whole answer
	QueueLimit    int                 `json:"queueLimit"`              // waiting requests per instance
	MinimumShare  float64             `json:"minimumShare,omitempty"`  // share of dispatches kept under a flood of higher tiers
}

// TierRule assigns a tier to requests whose labels match. The labels "workspace", "service" and
// "route" are set by the instance; the first rule that matches decides.
type TierRule struct {
	When string `json:"when"` // selector
	Tier string `json:"tier"`
}

// Workspace is a customer.
type Workspace struct {
	Name        string    `json:"name"`
	Weight      float64   `json:"weight,omitempty"` // relative share; 0 means 1
	TokenSHA256 []string  `json:"tokenSHA256"`      // hexadecimal; several while a token is replaced
	Labels      label.Set `json:"labels,omitempty"`
}

// Kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Service is a group of engines that serve the same requests.
type Service struct {
	Name        string  `json:"name"`
	Kind        string  `json:"kind"`                  // KindModel or KindPlain
	Engines     string  `json:"engines"`               // selector over the labels of engines
	RetryBudget float64 `json:"retryBudget,omitempty"` // retries per request, 0 to 1
	Routes      []Route `json:"routes"`
}

// Route maps requests to a service. The longest matching path of all services decides.
type Route struct {
	Path       string   `json:"path"`              // exact, or a prefix when it ends in "/"
	Methods    []string `json:"methods,omitempty"` // empty means all
	Idempotent *bool    `json:"idempotent,omitempty"`
	Redispatch bool     `json:"redispatch,omitempty"` // only on idempotent routes
}

// Engine is a back end.
type Engine struct {
	Name        string    `json:"name"`
	URL         string    `json:"url"` // http://IP:port
	DataCentre  string    `json:"dataCentre"`
	Labels      label.Set `json:"labels,omitempty"`
	MaxInFlight int       `json:"maxInFlight,omitempty"` // over all instances; 0 means adaptive only
	Drained     bool      `json:"drained,omitempty"`
}

// Link gives the one-way latency between two data centres.
type Link struct {
	Between []string            `json:"between"` // two data centres
	Latency strictjson.Duration `json:"latency"`
}
