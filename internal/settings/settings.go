// Package settings reads and validates the static settings of one process: its name, addresses, roles,
// keys and limits.
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Optional roles of an instance. Every instance is an entry instance as well.
const (
	RoleControl = "control" // replica of the configuration log
	RoleLedger  = "ledger"  // owner of idempotency keys
)

// Reasons of validation errors, in addition to those of strictjson.
const (
	ReasonMissing        strictjson.Reason = "missing"
	ReasonInvalidAddress strictjson.Reason = "not an IP address with a port"
	ReasonOutOfRange     strictjson.Reason = "out of range"
	ReasonNotAllowed     strictjson.Reason = "not one of the allowed values"
	ReasonDuplicate      strictjson.Reason = "repeated"
)

// Defaults of optional settings, and limits of values.
const (
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 8 << 20
	defaultResponseBytes = 1 << 20
	defaultConnections   = 4096
	defaultRequests      = 4096
	defaultReadTimeout   = 10 * time.Second
	defaultStopTimeout   = 30 * time.Second
	defaultLogLevel      = "info"
	maxNameBytes         = 64
	maxLimit             = 1 << 30
)

// Settings holds the contents of a settings file.
type Settings struct {
	Name                 string              `json:"name"`
	DataCentre           string              `json:"dataCentre"`
	Listen               Listen              `json:"listen"`
	Roles                []string            `json:"roles,omitempty"`
	DataFolder           string              `json:"dataFolder,omitempty"`
	Peers                []Peer              `json:"peers,omitempty"`
	SharedKeyFile        string              `json:"sharedKeyFile,omitempty"`
	OperatorTokenFile    string              `json:"operatorTokenFile"`
	InitialConfiguration string              `json:"initialConfiguration,omitempty"`
	Limits               Limits              `json:"limits,omitempty"`
	StopTimeout          strictjson.Duration `json:"stopTimeout,omitempty"` // limit of a graceful stop
	Log                  Log                 `json:"log,omitempty"`
}

// Listen holds the addresses of the listeners. Each is an IP address with a port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Instances string `json:"instances,omitempty"`
}

// Peer describes another instance.
type Peer struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"dataCentre"`
	Address    string   `json:"address"` // address of its listener for instances
	Roles      []string `json:"roles,omitempty"`
}

// Limits holds the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int                 `json:"headerBytes,omitempty"`
	BodyBytes     int                 `json:"bodyBytes,omitempty"`
	ResponseBytes int                 `json:"answerBytes,omitempty"` // larger responses are relayed as they arrive
	Connections   int                 `json:"connections,omitempty"`
	Requests      int                 `json:"requests,omitempty"`    // maximum number waiting and in flight
	ReadTimeout   strictjson.Duration `json:"readTimeout,omitempty"` // for the header, and again for the body
	// MemoryMB is the memory of the process, in MiB; 0 means that of GOMEMLIMIT, or 1 GiB without one.
	MemoryMB int `json:"memoryMB,omitempty"`
}

// Log configures logging to standard error.
type Log struct {
	Level string `json:"level,omitempty"` // debug, info, warn or error
}

// Load reads and validates a settings file. Relative paths in it refer to the folder of the file. The
// error is a *strictjson.FaultsError with all faults, or the error of reading the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, err
	}
	folder := filepath.Dir(path)
	for _, file := range []*string{&s.DataFolder, &s.SharedKeyFile, &s.OperatorTokenFile, &s.InitialConfiguration} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(folder, *file)
		}
	}
	return s, nil
}

// Parse decodes settings from JSON with comments, sets defaults and validates the result. The error is a
// *strictjson.FaultsError with all faults.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	document := strictjson.Decode(data, s)
	if document.Valid() {
		s.setDefaults()
		s.validate(document)
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	s.Limits.HeaderBytes = cmp.Or(s.Limits.HeaderBytes, defaultHeaderBytes)
	s.Limits.BodyBytes = cmp.Or(s.Limits.BodyBytes, defaultBodyBytes)
	s.Limits.ResponseBytes = cmp.Or(s.Limits.ResponseBytes, defaultResponseBytes)
	s.Limits.Connections = cmp.Or(s.Limits.Connections, defaultConnections)
	s.Limits.Requests = cmp.Or(s.Limits.Requests, defaultRequests)
	s.Limits.ReadTimeout = cmp.Or(s.Limits.ReadTimeout, strictjson.Duration(defaultReadTimeout))
	s.StopTimeout = cmp.Or(s.StopTimeout, strictjson.Duration(defaultStopTimeout))
	s.Log.Level = cmp.Or(s.Log.Level, defaultLogLevel)
}

func (s *Settings) validate(document *strictjson.Document) {
	checkName(document, "name", s.Name)
	checkName(document, "dataCentre", s.DataCentre)
	checkAddress(document, "listen.callers", s.Listen.Callers)
	checkAddress(document, "listen.operators", s.Listen.Operators)
	connected := len(s.Peers) > 0 || len(s.Roles) > 0
	if s.Listen.Instances != "" || connected {
		checkAddress(document, "listen.instances", s.Listen.Instances)
	}
	checkRoles(document, "roles", s.Roles)
	if len(s.Roles) > 0 && s.DataFolder == "" {
		document.AddFault("dataFolder", ReasonMissing, "needed by the roles")
	}
	if (connected || s.Listen.Instances != "") && s.SharedKeyFile == "" {
		document.AddFault("sharedKeyFile", ReasonMissing, "needed by connections between instances")
	}
	if s.OperatorTokenFile == "" {
		document.AddFault("operatorTokenFile", ReasonMissing, "")
	}
	s.validatePeers(document)
	s.validateLimits(document)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		document.AddFault("log.level", ReasonNotAllowed, s.Log.Level)
	}
}

func (s *Settings) validatePeers(document *strictjson.Document) {
	names := map[string]bool{s.Name: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		checkName(document, field+".name", peer.Name)
		checkName(document, field+".dataCentre", peer.DataCentre)
		checkAddress(document, field+".address", peer.Address)
		checkRoles(document, field+".roles", peer.Roles)
		if names[peer.Name] {
			document.AddFault(field+".name", ReasonDuplicate, peer.Name)
		}
		names[peer.Name] = true
	}
}

func (s *Settings) validateLimits(document *strictjson.Document) {
	checkRange(document, "limits.headerBytes", s.Limits.HeaderBytes)
	checkRange(document, "limits.bodyBytes", s.Limits.BodyBytes)
	checkRange(document, "limits.answerBytes", s.Limits.ResponseBytes)
	checkRange(document, "limits.connections", s.Limits.Connections)
	checkRange(document, "limits.requests", s.Limits.Requests)
	checkRange(document, "limits.memoryMB", s.Limits.MemoryMB)
	if s.Limits.ReadTimeout < 0 {
		document.AddFault("limits.readTimeout", ReasonOutOfRange, "must be positive")
	}
	if s.StopTimeout < 0 {
		document.AddFault("stopTimeout", ReasonOutOfRange, "must be positive")
	}
}

func checkName(document *strictjson.Document, field, name string) {
	switch {
	case name == "":
		document.AddFault(field, ReasonMissing, "")
	case len(name) > maxNameBytes:
		document.AddFault(field, ReasonOutOfRange, fmt.Sprintf("longer than %d bytes", maxNameBytes))
	}
}

func checkAddress(document *strictjson.Document, field, address string) {
	if address == "" {
		document.AddFault(field, ReasonMissing, "")
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		document.AddFault(field, ReasonInvalidAddress, address)
	}
}

func checkRoles(document *strictjson.Document, field string, roles []string) {
	allowed := []string{RoleControl, RoleLedger}
	for i, role := range roles {
		if !slices.Contains(allowed, role) {
			document.AddFault(fmt.Sprintf("%s[%d]", field, i), ReasonNotAllowed, role)
		}
	}
}

func checkRange(document *strictjson.Document, field string, value int) {
	if value < 0 || value > maxLimit {
		document.AddFault(field, ReasonOutOfRange, "")
	}
}
