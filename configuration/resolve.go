package configuration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// View is one version of the configuration, compiled for request handling. It is immutable, so a request
// that keeps its View is processed under a single version. It is safe for concurrent use.
type View struct {
	version   Version
	document  *Document
	tokens    map[uint64][]tokenEntry    // by the first 8 bytes of the token hash
	routes    map[string][]ResolvedRoute // by path
	rules     []compiledRule
	selectors []label.Selector // engine selectors, in the order of the services
}

type tokenEntry struct {
	hash      [sha256.Size]byte
	workspace *Workspace
}

type compiledRule struct {
	when label.Selector
	tier int
}

// ResolvedRoute is the route that applies to a request.
type ResolvedRoute struct {
	Service    *Service
	Route      *Route
	Idempotent bool // the method that was looked up is idempotent on this route
	Redispatch bool
}

// NoRouteError reports a path for which no service has a route.
type NoRouteError struct{ Path string }

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("configuration: no route for path %.120q", e.Path)
}

// MethodNotAllowedError reports a path that is served, but not for the method.
type MethodNotAllowedError struct {
	Method  string
	Allowed []string // sorted
}

func (e *MethodNotAllowedError) Error() string {
	return fmt.Sprintf("configuration: method %.20q is not allowed", e.Method)
}

// Resolve compiles a document into a view. It returns *strictjson.FaultsError when the document is invalid.
func Resolve(version Version, document *Document) (*View, error) {
	if faults := documentFaults(document); len(faults) > 0 {
		return nil, &strictjson.FaultsError{Faults: faults}
	}
	v := &View{
		version:  version,
		document: document,
		tokens:   map[uint64][]tokenEntry{},
		routes:   map[string][]ResolvedRoute{},
	}
	v.compileTokens()
	if err := v.compileRules(); err != nil {
		return nil, err
	}
	return v, v.compileServices()
}

func (v *View) compileTokens() {
	for i := range v.document.Workspaces {
		workspace := &v.document.Workspaces[i]
		for _, text := range workspace.TokenSHA256 {
			hash, _ := parseHash(text)
			bucket := binary.BigEndian.Uint64(hash[:])
			v.tokens[bucket] = append(v.tokens[bucket], tokenEntry{hash: hash, workspace: workspace})
		}
	}
}

func (v *View) compileRules() error {
	for _, rule := range v.document.TierRules {
		when, err := label.ParseSelector(rule.When)
		if err != nil {
			return fmt.Errorf("configuration: tier rule: %w", err)
		}
		tier := slices.IndexFunc(v.document.Tiers, func(t Tier) bool { return t.Name == rule.Tier })
		v.rules = append(v.rules, compiledRule{when: when, tier: tier})
	}
	return nil
}

func (v *View) compileServices() error {
	for i := range v.document.Services {
		service := &v.document.Services[i]
		selector, err := label.ParseSelector(service.Engines)
		if err != nil {
			return fmt.Errorf("configuration: service %q: %w", service.Name, err)
		}
		v.selectors = append(v.selectors, selector)
		for j := range service.Routes {
			route := &service.Routes[j]
			resolved := ResolvedRoute{Service: service, Route: route, Redispatch: route.Redispatch}
			v.routes[route.Path] = append(v.routes[route.Path], resolved)
		}
	}
	return nil
}

// Version returns the version that the view was compiled from.
func (v *View) Version() Version { return v.version }

// Document returns the document that the view was compiled from. It must not be modified.
func (v *View) Document() *Document { return v.document }

// Workspace returns the workspace that a bearer token belongs to. Tokens are compared as SHA-256 hashes in
// constant time. The time of the bucket lookup discloses nothing useful, since a token cannot be chosen by
// its hash.
func (v *View) Workspace(token string) (*Workspace, bool) {
	hash := sha256.Sum256([]byte(token))
	var found *Workspace
	for _, entry := range v.tokens[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			found = entry.workspace
		}
	}
	return found, found != nil
}

// Route returns the route with the longest matching path. The path is matched before the method, so a method
// that a specific route does not allow is never served by a more general route. It returns *NoRouteError or
// *MethodNotAllowedError.
func (v *View) Route(method, path string) (ResolvedRoute, error) {
	candidates := v.longestMatch(path)
	if len(candidates) == 0 {
		return ResolvedRoute{}, &NoRouteError{Path: path}
	}
	var allowed []string
	for _, candidate := range candidates {
		if len(candidate.Route.Methods) == 0 || slices.Contains(candidate.Route.Methods, method) {
			candidate.Idempotent = isIdempotent(candidate.Route, method)
			candidate.Redispatch = candidate.Redispatch && candidate.Idempotent
			return candidate, nil
		}
		allowed = append(allowed, candidate.Route.Methods...)
	}
	slices.Sort(allowed)
	return ResolvedRoute{}, &MethodNotAllowedError{Method: method, Allowed: allowed}
}

func (v *View) longestMatch(path string) []ResolvedRoute {
	if routes, exists := v.routes[path]; exists {
		return routes
	}
	for cut := strings.LastIndexByte(path, '/'); cut >= 0; cut = strings.LastIndexByte(path[:cut], '/') {
		if cut >= MaxPathBytes {
			continue // no route path is longer than MaxPathBytes
		}
		if routes, exists := v.routes[path[:cut+1]]; exists {
			return routes
		}
	}
	return nil
}

func isIdempotent(route *Route, method string) bool {
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	return isSafeMethod(method)
}

// Tier returns the index of the tier that the tier rules assign to a request; 0 is the most urgent. Labels
// of the workspace override labels that the caller sent, and the labels "workspace", "service" and "route"
// override both. Without a matching rule the lowest tier applies, so a higher tier is always granted by a
// rule.
func (v *View) Tier(requested label.Set, workspace *Workspace, route ResolvedRoute) int {
	lowest := len(v.document.Tiers) - 1
	if len(v.rules) == 0 {
		return lowest
	}
	labels := make(label.Set, len(requested)+len(workspace.Labels)+3)
	maps.Copy(labels, requested)
	maps.Copy(labels, workspace.Labels)
	labels[LabelWorkspace] = workspace.Name
	labels[LabelService] = route.Service.Name
	labels[LabelRoute] = route.Route.Path
	for _, rule := range v.rules {
		if rule.when.Matches(labels) {
			return rule.tier
		}
	}
	return lowest
}

// TierIndex returns the index of the tier with the given name and whether there is one.
func (v *View) TierIndex(name string) (int, bool) {
	index := slices.IndexFunc(v.document.Tiers, func(t Tier) bool { return t.Name == name })
	return index, index >= 0
}

func parseHash(text string) (hash [sha256.Size]byte, ok bool) {
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}
