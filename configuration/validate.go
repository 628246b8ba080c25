package configuration

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Reasons of the faults that validation reports, in addition to those of strictjson.
const (
	ReasonEmptySelection          strictjson.Reason = "selector matches no engine"
	ReasonInvalidSelector         strictjson.Reason = "invalid selector"
	ReasonMissing                 strictjson.Reason = "missing"
	ReasonInvalidName             strictjson.Reason = "invalid name"
	ReasonDuplicate               strictjson.Reason = "duplicate"
	ReasonUnknownReference        strictjson.Reason = "refers to nothing"
	ReasonOutOfRange              strictjson.Reason = "out of range"
	ReasonTooMany                 strictjson.Reason = "too many"
	ReasonTooLong                 strictjson.Reason = "too long"
	ReasonInvalidLabels           strictjson.Reason = "invalid labels"
	ReasonReserved                strictjson.Reason = "reserved"
	ReasonInvalidURL              strictjson.Reason = "invalid URL"
	ReasonInvalidTokenHash        strictjson.Reason = "invalid token hash"
	ReasonUnknownKind             strictjson.Reason = "unknown kind"
	ReasonInvalidPath             strictjson.Reason = "invalid path"
	ReasonInvalidMethod           strictjson.Reason = "invalid method"
	ReasonRedispatchNotIdempotent strictjson.Reason = "redispatch on a route that is not idempotent"
	ReasonOverlap                 strictjson.Reason = "overlaps another route"
	ReasonInvalidEdit             strictjson.Reason = "invalid edit"
)

// Validate adds every fault of document to decoded, which determines the lines of the faults. The paths of
// fields are prefixed with prefix, which is empty or ends in a dot. When there is no source text, decoded may
// be the zero value.
func Validate(document *Document, decoded *strictjson.Document, prefix string) {
	v := &validator{document: document, decoded: decoded, prefix: prefix}
	v.listLengths()
	v.tiers()
	v.tierRules()
	v.workspaces()
	v.engines()
	v.services()
	v.links()
}

type validator struct {
	document *Document
	decoded  *strictjson.Document
	prefix   string
}

// fieldPath identifies a field of a document. It is formatted only when there is a fault: a replica validates
// the complete document with every change, and most documents have no fault.
type fieldPath struct {
	outer *fieldPath
	list  string // field that holds the list; empty when the field is not in a list
	index int
	name  string // name of the field; empty for the list element itself
}

func documentField(name string) fieldPath { return fieldPath{name: name} }

func elementField(list string, index int, name string) fieldPath {
	return fieldPath{list: list, index: index, name: name}
}

// in returns the path with outer prepended, for a list that is itself a field of a list element.
func (p fieldPath) in(outer fieldPath) fieldPath {
	p.outer = &outer
	return p
}

func (p fieldPath) String() string {
	text := p.name
	if p.list != "" {
		text = fmt.Sprintf("%s[%d]", p.list, p.index)
		if p.name != "" {
			text += "." + p.name
		}
	}
	if p.outer != nil {
		return p.outer.String() + "." + text
	}
	return text
}

func (v *validator) add(at fieldPath, reason strictjson.Reason, format string, args ...any) {
	v.decoded.AddFault(v.prefix+at.String(), reason, fmt.Sprintf(format, args...))
}

func (v *validator) listLengths() {
	v.maxCount(documentField("tiers"), len(v.document.Tiers), MaxTiers)
	v.maxCount(documentField("tierRules"), len(v.document.TierRules), MaxTierRules)
	v.maxCount(documentField("workspaces"), len(v.document.Workspaces), MaxWorkspaces)
	v.maxCount(documentField("services"), len(v.document.Services), MaxServices)
	v.maxCount(documentField("engines"), len(v.document.Engines), MaxEngines)
	v.maxCount(documentField("links"), len(v.document.Links), MaxLinks)
	if len(v.document.Tiers) == 0 {
		v.add(documentField("tiers"), ReasonMissing, "at least one tier is needed")
	}
}

func (v *validator) maxCount(at fieldPath, got, limit int) {
	if got > limit {
		v.add(at, ReasonTooMany, "%d, at most %d", got, limit)
	}
}

// name checks the form of a name. Unless seen is nil, it also checks that seen does not contain the name and
// adds it.
func (v *validator) name(at fieldPath, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.add(at, ReasonMissing, "")
	case len(name) > MaxNameBytes:
		v.add(at, ReasonTooLong, "%d bytes, at most %d", len(name), MaxNameBytes)
	case !isValidName(name):
		v.add(at, ReasonInvalidName, "%q: want letters, digits, '-', '_' and '.', starting with a letter or digit", name)
	case seen[name]:
		v.add(at, ReasonDuplicate, "%q", name)
	}
	if seen != nil {
		seen[name] = true
	}
}

func isValidName(name string) bool {
	for i, c := range []byte(name) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return name != ""
}

func (v *validator) duration(at fieldPath, d strictjson.Duration, limit time.Duration) {
	if d < 0 || d.Std() > limit {
		v.add(at, ReasonOutOfRange, "%s, want 0s to %s", d.Std(), limit)
	}
}

// numberRange checks that a number is between low and high; NaN is refused.
func (v *validator) numberRange(at fieldPath, got, low, high float64) {
	if !(got >= low && got <= high) {
		v.add(at, ReasonOutOfRange, "%v, want %v to %v", got, low, high)
	}
}

func (v *validator) selector(at fieldPath, text string) (label.Selector, bool) {
	if len(text) > MaxSelectorBytes {
		v.add(at, ReasonTooLong, "%d bytes, at most %d", len(text), MaxSelectorBytes)
		return label.Selector{}, false
	}
	selector, err := label.ParseSelector(text)
	if err != nil {
		v.add(at, ReasonInvalidSelector, "%v", err)
		return label.Selector{}, false
	}
	return selector, true
}

// labels checks the labels in the order of their keys. All replicas store the results of changes, so the
// faults must not depend on the iteration order of a map.
func (v *validator) labels(at fieldPath, labels label.Set) {
	if labels.Check() == nil {
		return
	}
	v.maxCount(at, len(labels), label.MaxLabels)
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		if err := (label.Set{key: labels[key]}).Check(); err != nil {
			v.add(at, ReasonInvalidLabels, "%v", err)
		}
	}
}

func (v *validator) tiers() {
	seen := map[string]bool{}
	total := 0.0
	for i, tier := range v.document.Tiers {
		v.name(elementField("tiers", i, "name"), tier.Name, seen)
		v.duration(elementField("tiers", i, "firstToken"), tier.FirstToken, MaxDuration)
		v.duration(elementField("tiers", i, "betweenTokens"), tier.BetweenTokens, MaxDuration)
		v.duration(elementField("tiers", i, "deadline"), tier.Deadline, MaxDuration)
		if tier.QueueLimit < 1 || tier.QueueLimit > MaxQueueLimit {
			v.add(elementField("tiers", i, "queueLimit"), ReasonOutOfRange, "%d, want 1 to %d", tier.QueueLimit, MaxQueueLimit)
		}
		v.numberRange(elementField("tiers", i, "minimumShare"), tier.MinimumShare, 0, 1)
		total += tier.MinimumShare
	}
	if total >= 1 || math.IsNaN(total) {
		v.add(documentField("tiers"), ReasonOutOfRange, "minimum shares add up to %v, want less than 1", total)
	}
}

func (v *validator) tierRules() {
	known := map[string]bool{}
	for _, tier := range v.document.Tiers {
		known[tier.Name] = true
	}
	for i, rule := range v.document.TierRules {
		v.selector(elementField("tierRules", i, "when"), rule.When)
		switch {
		case rule.Tier == "":
			v.add(elementField("tierRules", i, "tier"), ReasonMissing, "")
		case !known[rule.Tier]:
			v.add(elementField("tierRules", i, "tier"), ReasonUnknownReference, "no tier %q", rule.Tier)
		}
	}
}

func (v *validator) workspaces() {
	seen := make(map[string]bool, len(v.document.Workspaces))
	owners := make(map[[sha256.Size]byte]string, len(v.document.Workspaces))
	for i, workspace := range v.document.Workspaces {
		v.name(elementField("workspaces", i, "name"), workspace.Name, seen)
		v.numberRange(elementField("workspaces", i, "weight"), workspace.Weight, 0, MaxWeight)
		v.labels(elementField("workspaces", i, "labels"), workspace.Labels)
		for _, key := range reservedLabels {
			if _, exists := workspace.Labels[key]; exists {
				v.add(elementField("workspaces", i, "labels."+key), ReasonReserved, "set by the instance")
			}
		}
		v.maxCount(elementField("workspaces", i, "tokenSHA256"), len(workspace.TokenSHA256), MaxWorkspaceTokens)
		for j, hash := range workspace.TokenSHA256 {
			v.tokenHash(elementField("tokenSHA256", j, "").in(elementField("workspaces", i, "")), hash, workspace.Name, owners)
		}
	}
}

var reservedLabels = [...]string{LabelWorkspace, LabelService, LabelRoute}

// tokenHash checks the hash of a token. Its faults never contain the hash, since faults are logged.
func (v *validator) tokenHash(at fieldPath, hash, workspace string, owners map[[sha256.Size]byte]string) {
	parsed, ok := parseHash(hash)
	if !ok {
		v.add(at, ReasonInvalidTokenHash, "want 64 hexadecimal digits")
		return
	}
	if owner, taken := owners[parsed]; taken {
		v.add(at, ReasonDuplicate, "workspace %q has the same token", owner)
		return
	}
	owners[parsed] = workspace
}

func (v *validator) links() {
	dataCentres := map[string]bool{}
	for _, engine := range v.document.Engines {
		dataCentres[engine.DataCentre] = true
	}
	seen := map[[2]string]bool{}
	for i, link := range v.document.Links {
		v.duration(elementField("links", i, "latency"), link.Latency, MaxLinkLatency)
		if len(link.Between) != 2 {
			v.add(elementField("links", i, "between"), ReasonOutOfRange, "%d data centres, want 2", len(link.Between))
			continue
		}
		for j, name := range link.Between {
			if !dataCentres[name] {
				v.add(elementField("between", j, "").in(elementField("links", i, "")), ReasonUnknownReference,
					"no engine is in data centre %q", name)
			}
		}
		pair := [2]string{min(link.Between[0], link.Between[1]), max(link.Between[0], link.Between[1])}
		switch {
		case pair[0] == pair[1]:
			v.add(elementField("links", i, "between"), ReasonDuplicate, "%q twice", pair[0])
		case seen[pair]:
			v.add(elementField("links", i, "between"), ReasonDuplicate, "%q and %q are linked already", pair[0], pair[1])
		}
		seen[pair] = true
	}
}
