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

// Reasons that validation adds to those of strictjson.
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

// Validate adds every fault of document to at. Fields are reported below prefix, which is empty
// or ends in a dot; at may be the zero value when there is no source text.
func Validate(document *Document, at *strictjson.Document, prefix string) {
	v := &validator{document: document, at: at, prefix: prefix}
	v.counts()
	v.tiers()
	v.tierRules()
	v.workspaces()
	v.engines()
	v.services()
	v.links()
}

type validator struct {
	document *Document
	at       *strictjson.Document
	prefix   string
}

// place is a field of a document. Its text is only written for a fault: a replica validates the
// whole document with every change, and most documents have no fault.
type place struct {
	outer *place
	list  string // field that holds the list; empty when the field is in none
	index int
	name  string // field of the element; empty for the element itself
}

func field(name string) place { return place{name: name} }

func element(list string, index int, name string) place {
	return place{list: list, index: index, name: name}
}

// in returns an element of a list that is itself a field of an element.
func (p place) in(outer place) place {
	p.outer = &outer
	return p
}

func (p place) String() string {
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

func (v *validator) add(at place, reason strictjson.Reason, format string, args ...any) {
	v.at.AddFault(v.prefix+at.String(), reason, fmt.Sprintf(format, args...))
}

func (v *validator) counts() {
	v.count(field("tiers"), len(v.document.Tiers), MaxTiers)
	v.count(field("tierRules"), len(v.document.TierRules), MaxTierRules)
	v.count(field("workspaces"), len(v.document.Workspaces), MaxWorkspaces)
	v.count(field("services"), len(v.document.Services), MaxServices)
	v.count(field("engines"), len(v.document.Engines), MaxEngines)
	v.count(field("links"), len(v.document.Links), MaxLinks)
	if len(v.document.Tiers) == 0 {
		v.add(field("tiers"), ReasonMissing, "at least one tier is needed")
	}
}

func (v *validator) count(at place, got, limit int) {
	if got > limit {
		v.add(at, ReasonTooMany, "%d, at most %d", got, limit)
	}
}

// name checks a name and that seen, unless nil, does not contain it yet.
func (v *validator) name(at place, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.add(at, ReasonMissing, "")
	case len(name) > MaxNameBytes:
		v.add(at, ReasonTooLong, "%d bytes, at most %d", len(name), MaxNameBytes)
	case !validName(name):
		v.add(at, ReasonInvalidName, "%q: want letters, digits, '-', '_' and '.', starting with a letter or digit", name)
	case seen[name]:
		v.add(at, ReasonDuplicate, "%q", name)
	}
	if seen != nil {
		seen[name] = true
	}
}

func validName(name string) bool {
	for i, c := range []byte(name) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return name != ""
}

func (v *validator) duration(at place, d strictjson.Duration, limit time.Duration) {
	if d < 0 || d.Std() > limit {
		v.add(at, ReasonOutOfRange, "%s, want 0s to %s", d.Std(), limit)
	}
}

// fraction checks that a number lies between low and high; NaN never does.
func (v *validator) fraction(at place, got, low, high float64) {
	if !(got >= low && got <= high) {
		v.add(at, ReasonOutOfRange, "%v, want %v to %v", got, low, high)
	}
}

func (v *validator) selector(at place, text string) (label.Selector, bool) {
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

// labels checks one label after the other in the order of keys: results of changes are kept by
// all replicas, so faults must not depend on the order of a map.
func (v *validator) labels(at place, labels label.Set) {
	if labels.Check() == nil {
		return
	}
	v.count(at, len(labels), label.MaxLabels)
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
		v.name(element("tiers", i, "name"), tier.Name, seen)
		v.duration(element("tiers", i, "firstToken"), tier.FirstToken, MaxDuration)
		v.duration(element("tiers", i, "betweenTokens"), tier.BetweenTokens, MaxDuration)
		v.duration(element("tiers", i, "deadline"), tier.Deadline, MaxDuration)
		if tier.QueueLimit < 1 || tier.QueueLimit > MaxQueueLimit {
			v.add(element("tiers", i, "queueLimit"), ReasonOutOfRange, "%d, want 1 to %d", tier.QueueLimit, MaxQueueLimit)
		}
		v.fraction(element("tiers", i, "minimumShare"), tier.MinimumShare, 0, 1)
		total += tier.MinimumShare
	}
	if total >= 1 || math.IsNaN(total) {
		v.add(field("tiers"), ReasonOutOfRange, "minimum shares add up to %v, want less than 1", total)
	}
}

func (v *validator) tierRules() {
	known := map[string]bool{}
	for _, tier := range v.document.Tiers {
		known[tier.Name] = true
	}
	for i, rule := range v.document.TierRules {
		v.selector(element("tierRules", i, "when"), rule.When)
		switch {
		case rule.Tier == "":
			v.add(element("tierRules", i, "tier"), ReasonMissing, "")
		case !known[rule.Tier]:
			v.add(element("tierRules", i, "tier"), ReasonUnknownReference, "no tier %q", rule.Tier)
		}
	}
}

func (v *validator) workspaces() {
	seen := make(map[string]bool, len(v.document.Workspaces))
	owners := make(map[[sha256.Size]byte]string, len(v.document.Workspaces))
	for i, workspace := range v.document.Workspaces {
		v.name(element("workspaces", i, "name"), workspace.Name, seen)
		v.fraction(element("workspaces", i, "weight"), workspace.Weight, 0, MaxWeight)
		v.labels(element("workspaces", i, "labels"), workspace.Labels)
		for _, key := range reservedLabels {
			if _, exists := workspace.Labels[key]; exists {
				v.add(element("workspaces", i, "labels."+key), ReasonReserved, "set by the instance")
			}
		}
		v.count(element("workspaces", i, "tokenSHA256"), len(workspace.TokenSHA256), MaxWorkspaceTokens)
		for j, hash := range workspace.TokenSHA256 {
			v.tokenHash(element("tokenSHA256", j, "").in(element("workspaces", i, "")), hash, workspace.Name, owners)
		}
	}
}

var reservedLabels = [...]string{LabelWorkspace, LabelService, LabelRoute}

// tokenHash never repeats the hash in a fault, since faults are logged.
func (v *validator) tokenHash(at place, hash, workspace string, owners map[[sha256.Size]byte]string) {
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
	centres := map[string]bool{}
	for _, engine := range v.document.Engines {
		centres[engine.DataCentre] = true
	}
	seen := map[[2]string]bool{}
	for i, link := range v.document.Links {
		v.duration(element("links", i, "latency"), link.Latency, MaxLinkLatency)
		if len(link.Between) != 2 {
			v.add(element("links", i, "between"), ReasonOutOfRange, "%d data centres, want 2", len(link.Between))
			continue
		}
		for j, name := range link.Between {
			if !centres[name] {
				v.add(element("between", j, "").in(element("links", i, "")), ReasonUnknownReference, "no engine is in data centre %q", name)
			}
		}
		pair := [2]string{min(link.Between[0], link.Between[1]), max(link.Between[0], link.Between[1])}
		switch {
		case pair[0] == pair[1]:
			v.add(element("links", i, "between"), ReasonDuplicate, "%q twice", pair[0])
		case seen[pair]:
			v.add(element("links", i, "between"), ReasonDuplicate, "%q and %q are linked already", pair[0], pair[1])
		}
		seen[pair] = true
	}
}
