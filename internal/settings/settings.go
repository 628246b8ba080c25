// Package settings reads the static settings of one process: its name, addresses, roles, keys and bounds.
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

// Roles that an instance can have beside that of an entry instance.
const (
	RoleControl = "control" // replica of the configuration log
	RoleLedger  = "ledger"  // owner of idempotency keys
)

// Reasons that validation adds to those of strictjson.
const (
	ReasonMissing  strictjson.Reason = "missing"
	ReasonAddress  strictjson.Reason = "not an IP address with a port"
	ReasonRange    strictjson.Reason = "out of range"
	ReasonChoice   strictjson.Reason = "not one of the allowed values"
	ReasonRepeated strictjson.Reason = "repeated"
)

// Defaults for settings that a file leaves out.
const (
	defaultHeaderBytes  = 32 << 10
	defaultBodyBytes    = 8 << 20
	defaultAnswerBytes  = 1 << 20
	defaultConnections  = 4096
	defaultRequests     = 4096
	defaultReadTimeout  = 10 * time.Second
	defaultStopTimeout  = 30 * time.Second
	defaultLogLevel     = "info"
	maxNameBytes        = 64
	maxConfiguredLength = 1 << 30
)

// Settings are the contents of a settings file.
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
	StopTimeout          strictjson.Duration `json:"stopTimeout,omitempty"` // longest planned stop
	Log                  Log                 `json:"log,omitempty"`
}

// Listen gives the addresses of the listeners, each an IP address with a port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Instances string `json:"instances,omitempty"`
}

// Peer is another instance.
type Peer struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"dataCentre"`
	Address    string   `json:"address"` // of its listener for instances
	Roles      []string `json:"roles,omitempty"`
}

// Limits bounds what callers may ask of the instance.
type Limits struct {
	HeaderBytes int                 `json:"headerBytes,omitempty"`
	BodyBytes   int                 `json:"bodyBytes,omitempty"`
	AnswerBytes int                 `json:"answerBytes,omitempty"` // answers up to this size are held until whole
	Connections int                 `json:"connections,omitempty"`
	Requests    int                 `json:"requests,omitempty"` // waiting and in flight
	ReadTimeout strictjson.Duration `json:"readTimeout,omitempty"`
}

// Log configures the log on standard error.
type Log struct {
	Level string `json:"level,omitempty"` // debug, info, warn or error
}

// Load reads and checks a settings file. Relative paths in it are taken from the file's folder.
// It returns *strictjson.FaultsError with every fault, or the error of reading the file.
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

// Parse reads settings in JSON with comments, fills in defaults and checks them.
// It returns *strictjson.FaultsError with every fault.
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
	s.Limits.AnswerBytes = cmp.Or(s.Limits.AnswerBytes, defaultAnswerBytes)
	s.Limits.Connections = cmp.Or(s.Limits.Connections, defaultConnections)
	s.Limits.Requests = cmp.Or(s.Limits.Requests, defaultRequests)
	s.Limits.ReadTimeout = cmp.Or(s.Limits.ReadTimeout, strictjson.Duration(defaultReadTimeout))
	s.StopTimeout = cmp.Or(s.StopTimeout, strictjson.Duration(defaultStopTimeout))
	s.Log.Level = cmp.Or(s.Log.Level, defaultLogLevel)
}

func (s *Settings) validate(at *strictjson.Document) {
	checkName(at, "name", s.Name)
	checkName(at, "dataCentre", s.DataCentre)
	checkAddress(at, "listen.callers", s.Listen.Callers)
	checkAddress(at, "listen.operators", s.Listen.Operators)
	connected := len(s.Peers) > 0 || len(s.Roles) > 0
	if s.Listen.Instances != "" || connected {
		checkAddress(at, "listen.instances", s.Listen.Instances)
	}
	checkRoles(at, "roles", s.Roles)
	if len(s.Roles) > 0 && s.DataFolder == "" {
		at.AddFault("dataFolder", ReasonMissing, "needed by the roles")
	}
	if (connected || s.Listen.Instances != "") && s.SharedKeyFile == "" {
		at.AddFault("sharedKeyFile", ReasonMissing, "needed by connections between instances")
	}
	if s.OperatorTokenFile == "" {
		at.AddFault("operatorTokenFile", ReasonMissing, "")
	}
	s.validatePeers(at)
	s.validateLimits(at)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		at.AddFault("log.level", ReasonChoice, s.Log.Level)
	}
}

func (s *Settings) validatePeers(at *strictjson.Document) {
	names := map[string]bool{s.Name: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		checkName(at, field+".name", peer.Name)
		checkName(at, field+".dataCentre", peer.DataCentre)
		checkAddress(at, field+".address", peer.Address)
		checkRoles(at, field+".roles", peer.Roles)
		if names[peer.Name] {
			at.AddFault(field+".name", ReasonRepeated, peer.Name)
		}
		names[peer.Name] = true
	}
}

func (s *Settings) validateLimits(at *strictjson.Document) {
	checkRange(at, "limits.headerBytes", s.Limits.HeaderBytes)
	checkRange(at, "limits.bodyBytes", s.Limits.BodyBytes)
	checkRange(at, "limits.answerBytes", s.Limits.AnswerBytes)
	checkRange(at, "limits.connections", s.Limits.Connections)
	checkRange(at, "limits.requests", s.Limits.Requests)
	if s.Limits.ReadTimeout < 0 {
		at.AddFault("limits.readTimeout", ReasonRange, "must be positive")
	}
	if s.StopTimeout < 0 {
		at.AddFault("stopTimeout", ReasonRange, "must be positive")
	}
}

func checkName(at *strictjson.Document, field, name string) {
	switch {
	case name == "":
		at.AddFault(field, ReasonMissing, "")
	case len(name) > maxNameBytes:
		at.AddFault(field, ReasonRange, fmt.Sprintf("longer than %d bytes", maxNameBytes))
	}
}

func checkAddress(at *strictjson.Document, field, address string) {
	if address == "" {
		at.AddFault(field, ReasonMissing, "")
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		at.AddFault(field, ReasonAddress, address)
	}
}

func checkRoles(at *strictjson.Document, field string, roles []string) {
	allowed := []string{RoleControl, RoleLedger}
	for i, role := range roles {
		if !slices.Contains(allowed, role) {
			at.AddFault(fmt.Sprintf("%s[%d]", field, i), ReasonChoice, role)
		}
	}
}

func checkRange(at *strictjson.Document, field string, value int) {
	if value < 0 || value > maxConfiguredLength {
		at.AddFault(field, ReasonRange, "")
	}
}
