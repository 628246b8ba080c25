package configuration

import "time"

// Bounds on a document. The design size is 600 engines, 280 workspaces, 7 models and 5 data
// centres; the counts leave about a factor of four for growth and keep the memory that one
// document can claim bounded.
const (
	MaxTiers           = 8
	MaxTierRules       = 256
	MaxWorkspaces      = 1024
	MaxServices        = 64
	MaxRoutes          = 64 // of one service
	MaxEngines         = 2048
	MaxLinks           = 256
	MaxWorkspaceTokens = 8 // of one workspace
	MaxMethods         = 16
	MaxNameBytes       = 64 // names are label values
	MaxPathBytes       = 256
	MaxSelectorBytes   = 1024 // bytes
	MaxURLBytes        = 128

	MaxQueueLimit  = 100_000 // requests
	MaxInFlight    = 65_536  // requests
	MaxWeight      = 1000.0
	MaxDuration    = time.Hour
	MaxLinkLatency = 10 * time.Second

	// MaxDocumentBytes bounds the text of a document. A document at the design size takes about 150 KB.
	MaxDocumentBytes = 2 << 20
)

// Bounds on changes and on what is remembered of them.
const (
	// MaxChangeBytes bounds an encoded change.
	MaxChangeBytes = 2 << 20
	// MaxSnapshotBytes bounds an encoded snapshot: a document and the whole table of change IDs.
	MaxSnapshotBytes = 16 << 20
	// MaxChangeIDBytes bounds a change ID.
	MaxChangeIDBytes = 64
	// MaxRememberedChanges is the size of the table of change IDs: a week at 570 changes a day.
	MaxRememberedChanges = 4096
	// MaxResultFaults bounds the faults kept with one remembered result.
	MaxResultFaults = 8
	// MaxFaultDetailBytes bounds the detail of a remembered fault.
	MaxFaultDetailBytes = 128
)

// Labels that the instance sets on every request before the tier rules are evaluated.
const (
	LabelWorkspace = "workspace"
	LabelService   = "service"
	LabelRoute     = "route"
)

// KeysPath is the path of the callers' interface for idempotency keys; no route may claim it.
const KeysPath = "/v1/keys"
