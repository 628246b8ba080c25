package configuration

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/primrosebeam/primrosebeam/label"
)

func (v *validator) engines() {
	names := make(map[string]bool, len(v.document.Engines))
	urls := make(map[string]string, len(v.document.Engines))
	for i, engine := range v.document.Engines {
		v.name(elementField("engines", i, "name"), engine.Name, names)
		v.name(elementField("engines", i, "dataCentre"), engine.DataCentre, nil)
		v.labels(elementField("engines", i, "labels"), engine.Labels)
		if engine.MaxInFlight < 0 || engine.MaxInFlight > MaxInFlight {
			v.add(elementField("engines", i, "maxInFlight"), ReasonOutOfRange, "%d, want 0 to %d", engine.MaxInFlight, MaxInFlight)
		}
		if detail := urlProblem(engine.URL); detail != "" {
			v.add(elementField("engines", i, "url"), ReasonInvalidURL, "%s", detail)
			continue
		}
		if other, taken := urls[engine.URL]; taken {
			v.add(elementField("engines", i, "url"), ReasonDuplicate, "engine %q has the same URL", other)
		}
		urls[engine.URL] = engine.Name
	}
}

// urlProblem describes what is wrong with the URL of an engine, or returns "". Only IP addresses are allowed,
// since instances do not resolve host names.
func urlProblem(text string) string {
	const want = "want http:// or https:// with an IP address and a port, and nothing after it"
	if text == "" {
		return "missing; " + want
	}
	if len(text) > MaxURLBytes {
		return fmt.Sprintf("%d bytes, at most %d", len(text), MaxURLBytes)
	}
	host, found := strings.CutPrefix(text, "http://")
	if !found {
		host, found = strings.CutPrefix(text, "https://")
	}
	address, err := netip.ParseAddrPort(host)
	if !found || err != nil || address.Port() == 0 || address.Addr().Zone() != "" || address.Addr().IsUnspecified() {
		return want
	}
	return ""
}

func (v *validator) services() {
	names := map[string]bool{}
	taken := routeTable{}
	for i, service := range v.document.Services {
		v.name(elementField("services", i, "name"), service.Name, names)
		if service.Kind != KindModel && service.Kind != KindPlain {
			v.add(elementField("services", i, "kind"), ReasonUnknownKind, "%q, want %q or %q", service.Kind, KindModel, KindPlain)
		}
		v.numberRange(elementField("services", i, "retryBudget"), service.RetryBudget, 0, 1)
		if selector, ok := v.selector(elementField("services", i, "engines"), service.Engines); ok && !matchesAnyEngine(selector, v.document.Engines) {
			v.add(elementField("services", i, "engines"), ReasonEmptySelection, "%q", service.Engines)
		}
		v.maxCount(elementField("services", i, "routes"), len(service.Routes), MaxRoutes)
		for j, route := range service.Routes {
			v.route(elementField("services", i, ""), j, service.Name, route, taken)
		}
	}
}

func matchesAnyEngine(selector label.Selector, engines []Engine) bool {
	for _, engine := range engines {
		if selector.Matches(engine.Labels) {
			return true
		}
	}
	return false
}

// routeTable maps each path to its methods and each method to the service that serves it. The method "" means
// all methods.
type routeTable map[string]map[string]string

func (v *validator) route(outer fieldPath, index int, service string, route Route, taken routeTable) {
	at := func(name string) fieldPath { return elementField("routes", index, name).in(outer) }
	if detail := pathProblem(route.Path); detail != "" {
		v.add(at("path"), ReasonInvalidPath, "%s", detail)
	}
	if route.Path == KeysPath || strings.HasPrefix(route.Path, KeysPath+"/") {
		v.add(at("path"), ReasonReserved, "%s serves idempotency keys", KeysPath)
	}
	v.methods(at, route.Methods)
	if route.Redispatch && !isAlwaysIdempotent(route) {
		v.add(at("redispatch"), ReasonRedispatchNotIdempotent, "")
	}
	methods := taken[route.Path]
	if methods == nil {
		methods = map[string]string{}
		taken[route.Path] = methods
	}
	if other, overlaps := overlappingService(methods, route.Methods); overlaps {
		v.add(at("path"), ReasonOverlap, "%q of service %q", route.Path, other)
	}
	if len(route.Methods) == 0 {
		methods[""] = service
	}
	for _, method := range route.Methods {
		methods[method] = service
	}
}

func overlappingService(taken map[string]string, methods []string) (service string, overlaps bool) {
	if other, all := taken[""]; all {
		return other, true
	}
	if len(methods) == 0 {
		for _, other := range taken {
			service = max(service, other) // the result does not depend on the iteration order
		}
		return service, len(taken) > 0
	}
	for _, method := range methods {
		if other, exists := taken[method]; exists {
			return other, true
		}
	}
	return "", false
}

func (v *validator) methods(at func(name string) fieldPath, methods []string) {
	v.maxCount(at("methods"), len(methods), MaxMethods)
	seen := map[string]bool{}
	for i, method := range methods {
		switch {
		case !isValidMethod(method):
			v.add(elementField("methods", i, "").in(at("")), ReasonInvalidMethod, "%q: want upper-case letters", method)
		case seen[method]:
			v.add(elementField("methods", i, "").in(at("")), ReasonDuplicate, "%q", method)
		}
		seen[method] = true
	}
}

func isValidMethod(method string) bool {
	if method == "" || len(method) > MaxMethods {
		return false
	}
	return !strings.ContainsFunc(method, func(c rune) bool { return c < 'A' || c > 'Z' })
}

// pathProblem describes what is wrong with the path of a route, or returns "". Paths are compared with the
// path of a request byte by byte, so only clean paths can match.
func pathProblem(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return fmt.Sprintf("%q: want a leading /", path)
	case len(path) > MaxPathBytes:
		return fmt.Sprintf("%d bytes, at most %d", len(path), MaxPathBytes)
	case strings.ContainsAny(path, "?#%\\") || strings.ContainsFunc(path, func(c rune) bool { return c <= ' ' || c >= 0x7f }):
		return fmt.Sprintf("%q: want printable ASCII without ?, #, %% and \\", path)
	}
	segments := strings.Split(strings.TrimSuffix(path[1:], "/"), "/")
	if path != "/" && slices.Contains(segments, "") {
		return fmt.Sprintf("%q: has an empty segment", path)
	}
	if slices.Contains(segments, ".") || slices.Contains(segments, "..") {
		return fmt.Sprintf("%q: has a dot segment", path)
	}
	return ""
}

func isAlwaysIdempotent(route Route) bool {
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	for _, method := range route.Methods {
		if !isSafeMethod(method) {
			return false
		}
	}
	return len(route.Methods) > 0
}

func isSafeMethod(method string) bool { return method == "GET" || method == "HEAD" }
