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
	DataFolder    string // required by the roles
	Peers         []Peer
	SharedKey     []byte // authenticates connections between instances
	OperatorToken string
	// Configuration is proposed as the first version while the log is empty. Without any control
	// replica it is in force for the life of the process.
	Configuration *configuration.Document
	Limits        Limits
	Logger        zerolog.Logger
}

// Listen gives the listeners' addresses, each an IP address with a port; port 0 picks one.
type Listen struct {
	Callers   string
	Operators string
	Instances string // empty when there are no peers
}

// Roles are the duties that an instance has beside that of an entry instance.
type Roles struct {
	Control bool // replica of the configuration log
	Ledger  bool // owner of idempotency keys
}

// Peer is another instance.
type Peer struct {
	Name       string
	DataCentre string
	Address    string
	Roles      Roles
}

// Limits bounds what callers may ask of the instance.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	ResponseBytes int // answers up to this size are held until whole
	Connections   int
	Requests      int           // waiting and in flight
	ReadTimeout   time.Duration // for a request's header, and again for its body
}
