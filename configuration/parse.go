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

// Parse reads JSON with comments. It returns *strictjson.FaultsError with every fault found, in
// the order of lines. A syntax error or a field of a wrong type hides the faults of content,
// since the fields around it cannot be judged; unknown and repeated fields do not.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		detail := fmt.Sprintf("%d bytes, at most %d", len(data), MaxDocumentBytes)
		return nil, &strictjson.FaultsError{Faults: []strictjson.Fault{{Line: 1, Reason: ReasonTooLong, Detail: detail}}}
	}
	document := &Document{}
	decoded := strictjson.Decode(data, document)
	if decoded.Valid() || decodeLeniently(data, document, decoded.Err()) {
		Validate(document, decoded, "")
	}
	if err := SortFaults(decoded.Err()); err != nil {
		return nil, err
	}
	return document, nil
}

// decodeLeniently fills document in spite of unknown and repeated fields and reports whether it did.
func decodeLeniently(data []byte, document *Document, structural error) bool {
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

// SortFaults orders the faults of a *strictjson.FaultsError by line and returns err.
func SortFaults(err error) error {
	var faults *strictjson.FaultsError
	if errors.As(err, &faults) {
		slices.SortStableFunc(faults.Faults, func(a, b strictjson.Fault) int { return a.Line - b.Line })
	}
	return err
}

// Format returns the document as indented JSON, the text that operators read and edit.
func Format(document *Document) ([]byte, error) {
	text, err := json.MarshalIndent(withoutNulls(document), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("configuration: format: %w", err)
	}
	return append(text, '\n'), nil
}

// withoutNulls returns a copy whose required lists are empty instead of null, since Parse refuses null.
func withoutNulls(document *Document) *Document {
	d := *document
	d.Tiers = orEmpty(d.Tiers)
	d.Workspaces = slices.Clone(orEmpty(d.Workspaces))
	for i := range d.Workspaces {
		d.Workspaces[i].TokenSHA256 = orEmpty(d.Workspaces[i].TokenSHA256)
	}
	d.Services = slices.Clone(orEmpty(d.Services))
	for i := range d.Services {
		d.Services[i].Routes = orEmpty(d.Services[i].Routes)
	}
	d.Engines = orEmpty(d.Engines)
	d.Links = slices.Clone(d.Links)
	for i := range d.Links {
		d.Links[i].Between = orEmpty(d.Links[i].Between)
	}
	return &d
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// faultsOf returns every fault of a document that has no source text. Lines refer to the text of Format.
func faultsOf(document *Document) []strictjson.Fault {
	quick := &strictjson.Document{}
	Validate(document, quick, "")
	if quick.Valid() {
		return nil
	}
	faults := &strictjson.FaultsError{}
	if text, err := Format(document); err == nil {
		decoded := strictjson.Decode(text, &Document{})
		Validate(document, decoded, "")
		errors.As(SortFaults(decoded.Err()), &faults)
		return faults.Faults
	}
	errors.As(quick.Err(), &faults)
	return faults.Faults
}
