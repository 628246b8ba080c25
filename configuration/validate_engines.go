package configuration

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/primrosebeam/primrosebeam/label"
)

func (v *validator) engines() {
	names := map[string]bool{}
	urls := map[string]string{}
	for i, engine := range v.document.Engines {
		field := fmt.Sprintf("engines[%d].", i)
		v.name(field+"name", engine.Name, names)
		v.name(field+"dataCentre", engine.DataCentre, map[string]bool{})
		v.labels(field+"labels", engine.Labels)
		if engine.MaxInFlight < 0 || engine.MaxInFlight > MaxInFlight {
			v.add(field+"maxInFlight", ReasonRange, "%d, want 0 to %d", engine.MaxInFlight, MaxInFlight)
		}
		if detail := urlFault(engine.URL); detail != "" {
			v.add(field+"url", ReasonURL, "%s", detail)
			continue
		}
		if other, taken := urls[engine.URL]; taken {
			v.add(field+"url", ReasonDuplicateName, "engine %q has the same URL", other)
		}
		urls[engine.URL] = engine.Name
	}
}

// urlFault returns what is wrong with the URL of an engine, or "". Only an IP address is
// allowed, since instances resolve no names.
func urlFault(text string) string {
	const want = "want http:// or https:// with an IP address and a port, and nothing after it"
	if text == "" {
		return "missing; " + want
	}
	if len(text) > MaxURLBytes {
		return fmt.Sprintf("%d bytes, at most %d", len(text), MaxURLBytes)
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return want
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" || address.Addr().IsUnspecified() {
		return want
	}
	if text != parsed.Scheme+"://"+parsed.Host {
		return want
	}
	return ""
}

func (v *validator) services() {
	names := map[string]bool{}
	taken := routeTable{}
	for i, service := range v.document.Services {
		field := fmt.Sprintf("services[%d].", i)
		v.name(field+"name", service.Name, names)
		if service.Kind != KindModel && service.Kind != KindPlain {
			v.add(field+"kind", ReasonKind, "%q, want %q or %q", service.Kind, KindModel, KindPlain)
		}
		v.fraction(field+"retryBudget", service.RetryBudget, 0, 1)
		if selector, ok := v.selector(field+"engines", service.Engines); ok && !matchesAny(selector, v.document.Engines) {
			v.add(field+"engines", ReasonEmptySelection, "%q", service.Engines)
		}
		v.count(field+"routes", len(service.Routes), MaxRoutes)
		for j, route := range service.Routes {
			v.route(fmt.Sprintf("%sroutes[%d].", field, j), service.Name, route, taken)
		}
	}
}

func matchesAny(selector label.Selector, engines []Engine) bool {
	for _, engine := range engines {
		if selector.Matches(engine.Labels) {
			return true
		}
	}
	return false
}

// routeTable holds by path which service serves which method; the method "" stands for all.
type routeTable map[string]map[string]string

func (v *validator) route(field, service string, route Route, taken routeTable) {
	if detail := pathFault(route.Path); detail != "" {
		v.add(field+"path", ReasonPath, "%s", detail)
	}
	if route.Path == KeysPath || strings.HasPrefix(route.Path, KeysPath+"/") {
		v.add(field+"path", ReasonReserved, "%s serves idempotency keys", KeysPath)
	}
	v.methods(field+"methods", route.Methods)
	if route.Redispatch && !alwaysIdempotent(route) {
		v.add(field+"redispatch", ReasonRedispatch, "")
	}
	methods := taken[route.Path]
	if methods == nil {
		methods = map[string]string{}
		taken[route.Path] = methods
	}
	if other, overlaps := overlap(methods, route.Methods); overlaps {
		v.add(field+"path", ReasonOverlap, "%q of service %q", route.Path, other)
	}
	if len(route.Methods) == 0 {
		methods[""] = service
	}
	for _, method := range route.Methods {
		methods[method] = service
	}
}

func overlap(taken map[string]string, methods []string) (service string, overlaps bool) {
	if other, all := taken[""]; all {
		return other, true
	}
	if len(methods) == 0 {
		for _, other := range taken {
			service = max(service, other) // the same answer in any order of the map
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

func (v *validator) methods(field string, methods []string) {
	v.count(field, len(methods), MaxMethods)
	seen := map[string]bool{}
	for i, method := range methods {
		at := fmt.Sprintf("%s[%d]", field, i)
		switch {
		case !validMethod(method):
			v.add(at, ReasonMethod, "%q: want upper-case letters", method)
		case seen[method]:
			v.add(at, ReasonDuplicateName, "%q", method)
		}
		seen[method] = true
	}
}

func validMethod(method string) bool {
	if method == "" || len(method) > MaxMethods {
		return false
	}
	return !strings.ContainsFunc(method, func(c rune) bool { return c < 'A' || c > 'Z' })
}

// pathFault returns what is wrong with a route's path, or "". Paths are compared with the path
// of a request byte by byte, so only clean paths can match.
func pathFault(path string) string {
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

func alwaysIdempotent(route Route) bool {
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	for _, method := range route.Methods {
		if !safeMethod(method) {
			return false
		}
	}
	return len(route.Methods) > 0
}

func safeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }
