package configuration

import (
	"reflect"
	"slices"
)

// maxPatchShare bounds the inserted elements of a patch, as one part in so many of all elements of
// the document. Beyond it the compressed document is hardly larger and safer.
const maxPatchShare = 8

// Patch leads from one document to the next. It only travels from a store to subscribers, which
// compare the result with a hash; operators cannot send one.
type Patch struct {
	Tiers      ListPatch[Tier]      `cbor:"tiers"`
	TierRules  ListPatch[TierRule]  `cbor:"tierRules"`
	Workspaces ListPatch[Workspace] `cbor:"workspaces"`
	Services   ListPatch[Service]   `cbor:"services"`
	Engines    ListPatch[Engine]    `cbor:"engines"`
	Links      ListPatch[Link]      `cbor:"links"`
}

// ListPatch replaces Drop elements after the first Keep ones by Insert.
type ListPatch[T any] struct {
	Keep   int `cbor:"keep"`
	Drop   int `cbor:"drop"`
	Insert []T `cbor:"insert,omitempty"`
}

// diff returns the patch from one document to another; ok is false when it would be large.
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
	return patch, inserted*maxPatchShare <= all
}

// diffList replaces everything between the common beginning and the common end of two lists.
func diffList[T any](from, to []T) ListPatch[T] {
	shorter := min(len(from), len(to))
	keep := 0
	for keep < shorter && reflect.DeepEqual(from[keep], to[keep]) {
		keep++
	}
	end := 0
	for end < shorter-keep && reflect.DeepEqual(from[len(from)-1-end], to[len(to)-1-end]) {
		end++
	}
	// The copy lets the rest of the document go while the patch is kept.
	return ListPatch[T]{Keep: keep, Drop: len(from) - end - keep, Insert: slices.Clone(to[keep : len(to)-end])}
}

// apply returns the document after the patch; ok is false when the patch does not fit.
func (p *Patch) apply(document *Document) (patched *Document, ok bool) {
	if document == nil {
		return nil, false
	}
	patched = &Document{}
	fits := []bool{
		applyList(p.Tiers, document.Tiers, &patched.Tiers),
		applyList(p.TierRules, document.TierRules, &patched.TierRules),
		applyList(p.Workspaces, document.Workspaces, &patched.Workspaces),
		applyList(p.Services, document.Services, &patched.Services),
		applyList(p.Engines, document.Engines, &patched.Engines),
		applyList(p.Links, document.Links, &patched.Links),
	}
	return patched, !slices.Contains(fits, false)
}

func applyList[T any](p ListPatch[T], from []T, into *[]T) bool {
	if p.Keep < 0 || p.Drop < 0 || p.Keep > len(from) || p.Drop > len(from)-p.Keep {
		return false
	}
	*into = slices.Concat(from[:p.Keep], p.Insert, from[p.Keep+p.Drop:])
	if *into == nil && from != nil {
		*into = []T{} // an empty list and an absent one are encoded differently
	}
	return true
}
