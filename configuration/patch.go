package configuration

import (
	"reflect"
	"slices"
)

// minElementsPerInsert limits the size of a patch: the document must have at least this many elements per
// inserted element. For a larger patch the compressed document is hardly larger, and sending it is safer.
const minElementsPerInsert = 8

// Patch is the difference between two documents. It is only sent by a store to subscribers, which verify the
// result with a hash. Operators cannot send one.
type Patch struct {
	Tiers      ListPatch[Tier]      `cbor:"tiers"`
	TierRules  ListPatch[TierRule]  `cbor:"tierRules"`
	Workspaces ListPatch[Workspace] `cbor:"workspaces"`
	Services   ListPatch[Service]   `cbor:"services"`
	Engines    ListPatch[Engine]    `cbor:"engines"`
	Links      ListPatch[Link]      `cbor:"links"`
}

// ListPatch keeps the first Keep elements of a list and replaces the following Drop elements with Insert.
type ListPatch[T any] struct {
	Keep   int `cbor:"keep"`
	Drop   int `cbor:"drop"`
	Insert []T `cbor:"insert,omitempty"`
}

// diff returns the patch from one document to another. ok is false when the patch would be too large.
func diff(from, to *Document) (patch *Patch, ok bool) {
	patch = &Patch{
		Tiers:      diffList(from.Tiers, to.Tiers),
		TierRules:  diffList(from.TierRules, to.TierRules),
		Workspaces: diffList(from.Workspaces, to.Workspaces),
		Services:   diffList(from.Services, to.Services),
		Engines:    diffList(from.Engines, to.Engines),
		Links:      diffList(from.Links, to.Links),
	}
	inserted := len(patch.Tiers.Insert) + len(patch.TierRules.Insert) + len(patch.Workspaces.Insert) +
		len(patch.Services.Insert) + len(patch.Engines.Insert) + len(patch.Links.Insert)
	all := len(to.Tiers) + len(to.TierRules) + len(to.Workspaces) + len(to.Services) + len(to.Engines) + len(to.Links)
	return patch, inserted*minElementsPerInsert <= all
}

// diffList returns the patch that replaces the elements between the common prefix and the common suffix of
// two lists.
func diffList[T any](from, to []T) ListPatch[T] {
	shorter := min(len(from), len(to))
	keep := 0
	for keep < shorter && reflect.DeepEqual(from[keep], to[keep]) {
		keep++
	}
	suffix := 0
	for suffix < shorter-keep && reflect.DeepEqual(from[len(from)-1-suffix], to[len(to)-1-suffix]) {
		suffix++
	}
	// The copy allows the rest of the document to be freed while the patch is kept.
	return ListPatch[T]{Keep: keep, Drop: len(from) - suffix - keep, Insert: slices.Clone(to[keep : len(to)-suffix])}
}

// apply returns the patched document. ok is false when the patch does not match the document.
func (p *Patch) apply(document *Document) (patched *Document, ok bool) {
	if document == nil {
		return nil, false
	}
	patched = &Document{}
	matches := []bool{
		applyList(p.Tiers, document.Tiers, &patched.Tiers),
		applyList(p.TierRules, document.TierRules, &patched.TierRules),
		applyList(p.Workspaces, document.Workspaces, &patched.Workspaces),
		applyList(p.Services, document.Services, &patched.Services),
		applyList(p.Engines, document.Engines, &patched.Engines),
		applyList(p.Links, document.Links, &patched.Links),
	}
	return patched, !slices.Contains(matches, false)
}

func applyList[T any](p ListPatch[T], from []T, into *[]T) bool {
	if p.Keep < 0 || p.Drop < 0 || p.Keep > len(from) || p.Drop > len(from)-p.Keep {
		return false
	}
	*into = slices.Concat(from[:p.Keep], p.Insert, from[p.Keep+p.Drop:])
	if *into == nil && from != nil {
		*into = []T{} // an empty list and a nil one are encoded differently
	}
	return true
}
