package instance

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// Options configures an Instance.
type Options struct {
	Name          string
	DataCentre    string
	Listen        Listen
	Roles         Roles
	DataFolder    string // required if the instance has any role
	Peers         []Peer
	SharedKey     []byte // key that authenticates connections between instances
	OperatorToken string // bearer token of operators
	// Configuration is proposed as the first version while the configuration log is empty. If no instance
	// has the control role, it is in force until the process exits.
	Configuration *configuration.Document
	Limits        Limits
	Logger        zerolog.Logger
}

// Listen holds the addresses of the listeners. Each is an IP address with a port; port 0 selects a free port.
type Listen struct {
	Callers   string
	Operators string
	Instances string // empty if there are no peers
}

// Roles holds the optional roles of an instance. Every instance is an entry instance as well.
type Roles struct {
	Control bool // replica of the configuration log
	Ledger  bool // owner of idempotency keys
}

// Peer describes another instance.
type Peer struct {
	Name       string
	DataCentre string
	Address    string // address of its listener for instances
	Roles      Roles
}

// Limits holds the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int           // maximum size of a request's header
	BodyBytes     int           // maximum size of a request's body
	ResponseBytes int           // maximum size of a response that is buffered until it is complete
	Connections   int           // maximum number of open connections per listener
	Requests      int           // maximum number of requests that wait or are in flight
	MemoryMB      int           // memory of the process in MiB, from which the budget for callers follows; 0 see intake.MemoryMB
	ReadTimeout   time.Duration // timeout for reading a request's header, and again for its body
}
