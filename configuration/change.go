package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Fault describes one error in a document or an edit.
type Fault = strictjson.Fault

// Change is a request to edit the configuration with version Base.
type Change struct {
	ID       string  `json:"changeID"`           // chosen by the operator; identical for every retry
	Base     Version `json:"base"`               // version that the operator read; 0 for the first document
	Operator string  `json:"operator,omitempty"` // for record keeping; not part of the content
	Edit     Edit    `json:"edit"`
}

// Edit is the modification that a change makes. Exactly one field is set.
type Edit struct {
	Apply *Document  `json:"apply,omitempty"` // replaces the complete document
	Label *LabelEdit `json:"label,omitempty"`
	Drain *DrainEdit `json:"drain,omitempty"`

	patch *Patch // replaces Apply in edits that are sent to subscribers; see EncodeEdits
}

// LabelEdit sets and removes labels of one engine.
type LabelEdit struct {
	Engine string    `json:"engine"`
	Set    label.Set `json:"set,omitempty"`
	Remove []string  `json:"remove,omitempty"`
}

// DrainEdit starts or ends the draining of one engine.
type DrainEdit struct {
	Engine string `json:"engine"`
	On     bool   `json:"on"`
}

// Status is the result of a change.
type Status string

// Results of a change.
const (
	StatusAccepted Status = "accepted" // committed; the store does not track where it is in force
	StatusConflict Status = "conflict" // the base is not the current version
	StatusInvalid  Status = "invalid"  // the edited document has faults
)

// Result is the outcome of a change. It is identical for every retry of the change.
type Result struct {
	Status  Status  `json:"status"`
	Version Version `json:"version"`          // new version if accepted, otherwise the version that was current
	Faults  []Fault `json:"faults,omitempty"` // at most MaxResultFaults
}

// Digest identifies the content of a change: its base and edit.
type Digest [sha256.Size]byte

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// ReusedIDError reports a change whose ID was used before with different content. The change had no effect.
type ReusedIDError struct{ ID string }

func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("configuration: change ID %q was used for another change", e.ID)
}

// InvalidIDError reports a change ID that is empty, too long or not printable ASCII.
type InvalidIDError struct{ ID string }

func (e *InvalidIDError) Error() string {
	return fmt.Sprintf("configuration: change ID %.80q: want 1 to %d printable ASCII characters", e.ID, MaxChangeIDBytes)
}

// CheckID returns *InvalidIDError when id is not a valid change ID.
func CheckID(id string) error {
	if id == "" || len(id) > MaxChangeIDBytes {
		return &InvalidIDError{ID: id}
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '/' || c == '%' || c == '?' || c == '#' {
			return &InvalidIDError{ID: id} // IDs are part of URL paths
		}
	}
	return nil
}

// EditError reports an edit that cannot be applied to the document.
type EditError struct{ Fault Fault }

func (e *EditError) Error() string {
	return "configuration: edit cannot be applied: " + e.Fault.String()
}

// ApplyEdits returns the document that results from edits which a store has accepted. It does not modify its
// argument and does not validate the result again. It returns *EditError.
func ApplyEdits(document *Document, edits []Edit) (*Document, error) {
	for i := range edits {
		edited, fault := edits[i].applyOrPatch(document)
		if fault != nil {
			return nil, &EditError{Fault: *fault}
		}
		document = edited
	}
	return document, nil
}

func (e *Edit) applyOrPatch(document *Document) (*Document, *Fault) {
	if e.patch == nil {
		return e.apply(document)
	}
	patched, ok := e.patch.apply(document)
	if !ok {
		return nil, &Fault{Line: 1, Field: "patch", Reason: ReasonInvalidEdit, Detail: "the patch is for another document"}
	}
	return patched, nil
}

// apply returns the document that results from the edit. It does not modify its argument.
func (e *Edit) apply(document *Document) (*Document, *Fault) {
	set := 0
	for _, present := range []bool{e.Apply != nil, e.Label != nil, e.Drain != nil} {
		if present {
			set++
		}
	}
	switch {
	case set != 1:
		return nil, &Fault{Line: 1, Field: "edit", Reason: ReasonInvalidEdit, Detail: "want exactly one of apply, label and drain"}
	case e.Apply != nil:
		return e.Apply, nil
	case e.Label != nil:
		return e.Label.apply(document)
	default:
		return e.Drain.apply(document)
	}
}

// editOverheadBytes bounds what an edit adds to an encoded document apart from its labels: the field
// "drained" or "labels", and the longer encodings of the version and of the size of a map.
const editOverheadBytes = 64

// growth returns the maximum number of bytes that a label or drain edit adds to an encoded document.
func (e *Edit) growth() int {
	growth := editOverheadBytes
	if e.Label != nil {
		for key, value := range e.Label.Set {
			growth += len(key) + len(value) + 2*3 // a CBOR text of up to 64 KiB has a header of at most 3 bytes
		}
	}
	return growth
}

func (e *LabelEdit) apply(document *Document) (*Document, *Fault) {
	if len(e.Set) == 0 && len(e.Remove) == 0 {
		return nil, &Fault{Line: 1, Field: "edit.label", Reason: ReasonInvalidEdit, Detail: "nothing to set or remove"}
	}
	return editEngine(document, "edit.label.engine", e.Engine, func(engine *Engine) {
		labels := label.Set{}
		for key, value := range engine.Labels {
			labels[key] = value
		}
		for _, key := range e.Remove {
			delete(labels, key)
		}
		for key, value := range e.Set {
			labels[key] = value
		}
		engine.Labels = labels
	})
}

func (e *DrainEdit) apply(document *Document) (*Document, *Fault) {
	return editEngine(document, "edit.drain.engine", e.Engine, func(engine *Engine) { engine.Drained = e.On })
}

// editEngine returns a copy of the document in which one engine is edited. It copies only the list of
// engines. The original must not be modified, since the versions in force are shared.
func editEngine(document *Document, field, name string, edit func(*Engine)) (*Document, *Fault) {
	if document != nil {
		for i := range document.Engines {
			if document.Engines[i].Name != name {
				continue
			}
			edited := *document
			edited.Engines = make([]Engine, len(document.Engines))
			copy(edited.Engines, document.Engines)
			edit(&edited.Engines[i])
			return &edited, nil
		}
	}
	return nil, &Fault{Line: 1, Field: field, Reason: ReasonUnknownReference, Detail: fmt.Sprintf("no engine %.80q", name)}
}
