// Package configuration defines the dynamic configuration: tiers, workspaces, services, routes, engines and
// the rules by which labels and selectors assign requests to tiers and engines to services. It parses,
// validates and encodes documents, and it implements the replicated store that versions them.
package configuration

import (
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Version is the number of an accepted configuration; 0 means none.
type Version uint64

// Document is a complete configuration.
type Document struct {
	Tiers      []Tier      `json:"tiers"` // most urgent first
	TierRules  []TierRule  `json:"tierRules,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
	Services   []Service   `json:"services"`
	Engines    []Engine    `json:"engines"`
	Links      []Link      `json:"links,omitempty"`
}

// Tier is a class of requests with the same urgency.
type Tier struct {
	Name string `json:"name"`
	// FirstToken is the objective for the time to the first token.
	FirstToken strictjson.Duration `json:"firstToken,omitempty"`
	// BetweenTokens is the objective for the time between two tokens.
	BetweenTokens strictjson.Duration `json:"betweenTokens,omitempty"`
	// Deadline is the limit on the time from arrival to the complete response. For event streams it limits the
	// time to the first event and from each event to the next.
	Deadline strictjson.Duration `json:"deadline,omitempty"`
	// QueueLimit is the maximum number of waiting requests per instance.
	QueueLimit int `json:"queueLimit"`
	// MinimumShare is the fraction of engine time that the tier keeps when requests of higher tiers overload
	// the engines.
	MinimumShare float64 `json:"minimumShare,omitempty"`
}

// TierRule assigns a tier to requests whose labels match. The first matching rule applies. The labels
// "workspace", "service" and "route" are set by the instance.
type TierRule struct {
	When string `json:"when"` // selector over the labels of requests
	Tier string `json:"tier"`
}

// Workspace is one customer with its bearer tokens and its share of the engines.
type Workspace struct {
	Name        string    `json:"name"`
	Weight      float64   `json:"weight,omitempty"` // relative share of engine time; 0 means 1
	TokenSHA256 []string  `json:"tokenSHA256"`      // hexadecimal; more than one while a token is being replaced
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

// Route maps requests to a service. The longest matching path among the routes of all services applies.
type Route struct {
	Path       string   `json:"path"`              // exact path, or a prefix when it ends in "/"
	Methods    []string `json:"methods,omitempty"` // empty means all methods
	Idempotent *bool    `json:"idempotent,omitempty"`
	Redispatch bool     `json:"redispatch,omitempty"` // allows a second dispatch; only on idempotent routes
}

// Engine is a server to which requests are dispatched.
type Engine struct {
	Name       string    `json:"name"`
	URL        string    `json:"url"` // http://IP:port
	DataCentre string    `json:"dataCentre"`
	Labels     label.Set `json:"labels,omitempty"`
	// MaxInFlight is the maximum number of requests at once over all instances; with 0 only the adaptive limit
	// applies.
	MaxInFlight int  `json:"maxInFlight,omitempty"`
	Drained     bool `json:"drained,omitempty"` // no new requests are dispatched to the engine
}

// Link gives the one-way latency between two data centres.
type Link struct {
	Between []string            `json:"between"` // names of the two data centres
	Latency strictjson.Duration `json:"latency"`
}
