package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Parse reads and validates a document in JSON with comments. It returns *strictjson.FaultsError with all
// faults in the order of lines. After a syntax error or a field of a wrong type the content is not
// validated, since the surrounding fields cannot be decoded reliably; unknown and duplicate fields do not
// prevent the validation.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		detail := fmt.Sprintf("%d bytes, at most %d", len(data), MaxDocumentBytes)
		return nil, &strictjson.FaultsError{Faults: []strictjson.Fault{{Line: 1, Reason: ReasonTooLong, Detail: detail}}}
	}
	document := &Document{}
	decoded := strictjson.Decode(data, document)
	if decoded.Valid() || decodeDespiteFieldFaults(data, document, decoded.Err()) {
		Validate(document, decoded, "")
	}
	if err := SortFaults(decoded.Err()); err != nil {
		return nil, err
	}
	return document, nil
}

// decodeDespiteFieldFaults decodes data into document if its only structural faults are unknown and duplicate
// fields, and reports whether it did.
func decodeDespiteFieldFaults(data []byte, document *Document, structural error) bool {
	var faults *strictjson.FaultsError
	if !errors.As(structural, &faults) {
		return false
	}
	for _, fault := range faults.Faults {
		if fault.Reason != strictjson.ReasonUnknownField && fault.Reason != strictjson.ReasonDuplicateField {
			return false
		}
	}
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return false
	}
	return json.Unmarshal(standard, document) == nil
}

// SortFaults sorts the faults of a *strictjson.FaultsError by line, in place, and returns err.
func SortFaults(err error) error {
	var faults *strictjson.FaultsError
	if errors.As(err, &faults) {
		slices.SortStableFunc(faults.Faults, func(a, b strictjson.Fault) int { return a.Line - b.Line })
	}
	return err
}

// Format returns the document as indented JSON, the form in which operators read and edit it.
func Format(document *Document) ([]byte, error) {
	text, err := json.MarshalIndent(withoutNullLists(document), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("configuration: format: %w", err)
	}
	return append(text, '\n'), nil
}

// withoutNullLists returns a copy of the document whose required lists are empty instead of null, since Parse
// refuses null.
func withoutNullLists(document *Document) *Document {
	d := *document
	d.Tiers = emptyIfNil(d.Tiers)
	d.Workspaces = slices.Clone(emptyIfNil(d.Workspaces))
	for i := range d.Workspaces {
		d.Workspaces[i].TokenSHA256 = emptyIfNil(d.Workspaces[i].TokenSHA256)
	}
	d.Services = slices.Clone(emptyIfNil(d.Services))
	for i := range d.Services {
		d.Services[i].Routes = emptyIfNil(d.Services[i].Routes)
	}
	d.Engines = emptyIfNil(d.Engines)
	d.Links = slices.Clone(d.Links)
	for i := range d.Links {
		d.Links[i].Between = emptyIfNil(d.Links[i].Between)
	}
	return &d
}

func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// documentFaults returns all faults of a document that has no source text. Lines refer to the text that
// Format returns.
func documentFaults(document *Document) []strictjson.Fault {
	unlocated := &strictjson.Document{}
	Validate(document, unlocated, "")
	if unlocated.Valid() {
		return nil
	}
	faults := &strictjson.FaultsError{}
	if text, err := Format(document); err == nil {
		decoded := strictjson.Decode(text, &Document{})
		Validate(document, decoded, "")
		errors.As(SortFaults(decoded.Err()), &faults)
		return faults.Faults
	}
	errors.As(unlocated.Err(), &faults)
	return faults.Faults
}
