package configuration

import "time"

// Limits on a document. The design size is 600 engines, 280 workspaces, 7 models and 5 data centres. The
// counts leave about a factor of four for growth and bound the memory that one document can use.
const (
	MaxTiers           = 8
	MaxTierRules       = 256
	MaxWorkspaces      = 1024
	MaxServices        = 64
	MaxRoutes          = 64 // per service
	MaxEngines         = 2048
	MaxLinks           = 256
	MaxWorkspaceTokens = 8
	MaxMethods         = 16 // methods per route; also the maximum length of a method name
	MaxNameBytes       = 64 // equal to the limit on label values, since names are used as label values
	MaxPathBytes       = 256
	MaxSelectorBytes   = 1024
	MaxURLBytes        = 128

	MaxQueueLimit  = 100_000 // requests
	MaxInFlight    = 65_536  // requests
	MaxWeight      = 1000.0
	MaxDuration    = time.Hour
	MaxLinkLatency = 10 * time.Second

	// MaxDocumentBytes is the maximum size of a document as text and of an encoded document. A document at the
	// design size has about 150 KB.
	MaxDocumentBytes = 2 << 20
)

// Limits on changes and on the results that are remembered.
const (
	// MaxChangeBytes is the maximum size of an encoded change.
	MaxChangeBytes = 2 << 20
	// MaxSnapshotBytes is the maximum size of an encoded snapshot, which holds a document and the complete
	// table of change IDs.
	MaxSnapshotBytes = 16 << 20
	// MaxChangeIDBytes is the maximum length of a change ID.
	MaxChangeIDBytes = 64
	// MaxRememberedChanges is the default size of the table of change IDs. It covers a week at 570 changes a
	// day.
	MaxRememberedChanges = 4096
	// MaxResultFaults is the maximum number of faults in one remembered result.
	MaxResultFaults = 8
	// MaxFaultDetailBytes is the maximum length of the detail of a remembered fault.
	MaxFaultDetailBytes = 128
)

// Labels that the instance sets on every request before the tier rules are evaluated.
const (
	LabelWorkspace = "workspace"
	LabelService   = "service"
	LabelRoute     = "route"
)

// KeysPath is the path of the API for idempotency keys. It is reserved: no route may use it.
const KeysPath = "/v1/keys"
