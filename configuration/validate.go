package configuration

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Reasons that validation adds to those of strictjson.
const (
	ReasonEmptySelection strictjson.Reason = "selector matches no engine"
	ReasonSelector       strictjson.Reason = "invalid selector"
	ReasonMissing        strictjson.Reason = "missing"
	ReasonName           strictjson.Reason = "invalid name"
	ReasonDuplicateName  strictjson.Reason = "duplicate"
	ReasonUnknownName    strictjson.Reason = "refers to nothing"
	ReasonRange          strictjson.Reason = "out of range"
	ReasonTooMany        strictjson.Reason = "too many"
	ReasonTooLong        strictjson.Reason = "too long"
	ReasonLabels         strictjson.Reason = "invalid labels"
	ReasonReserved       strictjson.Reason = "reserved"
	ReasonURL            strictjson.Reason = "invalid URL"
	ReasonTokenHash      strictjson.Reason = "invalid token hash"
	ReasonKind           strictjson.Reason = "unknown kind"
	ReasonPath           strictjson.Reason = "invalid path"
	ReasonMethod         strictjson.Reason = "invalid method"
	ReasonRedispatch     strictjson.Reason = "redispatch on a route that is not idempotent"
	ReasonOverlap        strictjson.Reason = "overlaps another route"
	ReasonEdit           strictjson.Reason = "invalid edit"
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

func (v *validator) add(field string, reason strictjson.Reason, format string, args ...any) {
	v.at.Add(v.prefix+field, reason, fmt.Sprintf(format, args...))
}

func (v *validator) counts() {
	v.count("tiers", len(v.document.Tiers), MaxTiers)
	v.count("tierRules", len(v.document.TierRules), MaxTierRules)
	v.count("workspaces", len(v.document.Workspaces), MaxWorkspaces)
	v.count("services", len(v.document.Services), MaxServices)
	v.count("engines", len(v.document.Engines), MaxEngines)
	v.count("links", len(v.document.Links), MaxLinks)
	if len(v.document.Tiers) == 0 {
		v.add("tiers", ReasonMissing, "at least one tier is needed")
	}
}

func (v *validator) count(field string, got, limit int) {
	if got > limit {
		v.add(field, ReasonTooMany, "%d, at most %d", got, limit)
	}
}

// name checks a name and that seen does not contain it yet.
func (v *validator) name(field, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.add(field, ReasonMissing, "")
	case len(name) > MaxNameBytes:
		v.add(field, ReasonTooLong, "%d bytes, at most %d", len(name), MaxNameBytes)
	case !validName(name):
		v.add(field, ReasonName, "%q: want letters, digits, '-', '_' and '.', starting with a letter or digit", name)
	case seen[name]:
		v.add(field, ReasonDuplicateName, "%q", name)
	}
	seen[name] = true
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

func (v *validator) duration(field string, d strictjson.Duration, limit time.Duration) {
	if d < 0 || d.Std() > limit {
		v.add(field, ReasonRange, "%s, want 0s to %s", d.Std(), limit)
	}
}

// fraction checks that a number lies between low and high; NaN never does.
func (v *validator) fraction(field string, got, low, high float64) {
	if !(got >= low && got <= high) {
		v.add(field, ReasonRange, "%v, want %v to %v", got, low, high)
	}
}

func (v *validator) selector(field, text string) (label.Selector, bool) {
	if len(text) > MaxSelectorText {
		v.add(field, ReasonTooLong, "%d bytes, at most %d", len(text), MaxSelectorText)
		return label.Selector{}, false
	}
	selector, err := label.ParseSelector(text)
	if err != nil {
		v.add(field, ReasonSelector, "%v", err)
		return label.Selector{}, false
	}
	return selector, true
}

// labels checks one label after the other in the order of keys: results of changes are kept by
// all replicas, so faults must not depend on the order of a map.
func (v *validator) labels(field string, labels label.Set) {
	v.count(field, len(labels), label.MaxLabels)
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		if err := (label.Set{key: labels[key]}).Check(); err != nil {
			v.add(field, ReasonLabels, "%v", err)
		}
	}
}

func (v *validator) tiers() {
	seen := map[string]bool{}
	total := 0.0
	for i, tier := range v.document.Tiers {
		field := fmt.Sprintf("tiers[%d].", i)
		v.name(field+"name", tier.Name, seen)
		v.duration(field+"firstToken", tier.FirstToken, MaxDuration)
		v.duration(field+"betweenTokens", tier.BetweenTokens, MaxDuration)
		v.duration(field+"deadline", tier.Deadline, MaxDuration)
		if tier.QueueLimit < 1 || tier.QueueLimit > MaxQueueLimit {
			v.add(field+"queueLimit", ReasonRange, "%d, want 1 to %d", tier.QueueLimit, MaxQueueLimit)
		}
		v.fraction(field+"minimumShare", tier.MinimumShare, 0, 1)
		total += tier.MinimumShare
	}
	if total >= 1 || math.IsNaN(total) {
		v.add("tiers", ReasonRange, "minimum shares add up to %v, want less than 1", total)
	}
}

func (v *validator) tierRules() {
	known := map[string]bool{}
	for _, tier := range v.document.Tiers {
		known[tier.Name] = true
	}
	for i, rule := range v.document.TierRules {
		field := fmt.Sprintf("tierRules[%d].", i)
		v.selector(field+"when", rule.When)
		switch {
		case rule.Tier == "":
			v.add(field+"tier", ReasonMissing, "")
		case !known[rule.Tier]:
			v.add(field+"tier", ReasonUnknownName, "no tier %q", rule.Tier)
		}
	}
}

func (v *validator) workspaces() {
	seen := map[string]bool{}
	owners := map[string]string{} // by token hash in lower case
	for i, workspace := range v.document.Workspaces {
		field := fmt.Sprintf("workspaces[%d].", i)
		v.name(field+"name", workspace.Name, seen)
		v.fraction(field+"weight", workspace.Weight, 0, MaxWeight)
		v.labels(field+"labels", workspace.Labels)
		for _, key := range []string{LabelWorkspace, LabelService, LabelRoute} {
			if _, exists := workspace.Labels[key]; exists {
				v.add(field+"labels."+key, ReasonReserved, "set by the instance")
			}
		}
		v.count(field+"tokenSHA256", len(workspace.TokenSHA256), MaxTokens)
		for j, hash := range workspace.TokenSHA256 {
			v.tokenHash(fmt.Sprintf("%stokenSHA256[%d]", field, j), hash, workspace.Name, owners)
		}
	}
}

// tokenHash never repeats the hash in a fault, since faults are logged.
func (v *validator) tokenHash(field, hash, workspace string, owners map[string]string) {
	if _, ok := parseHash(hash); !ok {
		v.add(field, ReasonTokenHash, "want 64 hexadecimal digits")
		return
	}
	hash = strings.ToLower(hash)
	if owner, taken := owners[hash]; taken {
		v.add(field, ReasonDuplicateName, "workspace %q has the same token", owner)
		return
	}
	owners[hash] = workspace
}

func (v *validator) links() {
	centres := map[string]bool{}
	for _, engine := range v.document.Engines {
		centres[engine.DataCentre] = true
	}
	seen := map[[2]string]bool{}
	for i, link := range v.document.Links {
		field := fmt.Sprintf("links[%d].", i)
		v.duration(field+"latency", link.Latency, MaxLinkLatency)
		if len(link.Between) != 2 {
			v.add(field+"between", ReasonRange, "%d data centres, want 2", len(link.Between))
			continue
		}
		for j, name := range link.Between {
			if !centres[name] {
				v.add(fmt.Sprintf("%sbetween[%d]", field, j), ReasonUnknownName, "no engine is in data centre %q", name)
			}
		}
		pair := [2]string{min(link.Between[0], link.Between[1]), max(link.Between[0], link.Between[1])}
		switch {
		case pair[0] == pair[1]:
			v.add(field+"between", ReasonDuplicateName, "%q twice", pair[0])
		case seen[pair]:
			v.add(field+"between", ReasonDuplicateName, "%q and %q are linked already", pair[0], pair[1])
		}
		seen[pair] = true
	}
}
