package routing

import (
	"slices"
	"strings"
)

// Table is the index of a valid document. It is immutable.
type Table struct {
	Number     Number
	Limits     Limits
	hosts      map[string]*hostRoutes
	services   map[string]*Service
	keys       map[string]*Workspace
	workspaces []Workspace
}

// Compile validates a document and builds its table. It returns a *DocumentError for the first fault.
func Compile(d *Document) (*Table, error) {
	t := &Table{
		Number:     d.Number,
		Limits:     d.Limits,
		hosts:      map[string]*hostRoutes{},
		services:   make(map[string]*Service, len(d.Services)),
		keys:       map[string]*Workspace{},
		workspaces: d.Workspaces,
	}
	for i := range d.Services {
		s := &d.Services[i]
		if t.services[s.Name] != nil {
			return nil, &DocumentError{Reason: ReasonDuplicateService, Subject: s.Name}
		}
		t.services[s.Name] = s
	}
	for i := range d.Routes {
		if err := t.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range d.Workspaces {
		if err := t.addWorkspace(&d.Workspaces[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// hostRoutes is the index of the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	longest  int // length of the longest prefix
}

// match returns the route with the longest prefix that matches the path, or nil. As every prefix ends with a
// slash, only the parts of the path up to a slash can be one.
func (h *hostRoutes) match(path string) *Route {
	for end := min(len(path), h.longest); end > 0; {
		end = strings.LastIndexByte(path[:end], '/') + 1
		if r := h.byPrefix[path[:end]]; r != nil {
			return r
		}
		end--
	}
	return nil
}

func (t *Table) addRoute(r *Route) error {
	invalid := func(reason Reason) error { return &DocumentError{Reason: reason, Subject: r.Name} }
	if r.Timeout <= 0 {
		return invalid(ReasonInvalidTimeout)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid(ReasonInvalidPrefix)
	}
	total := 0.0
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return invalid(ReasonUnknownService)
		}
		if target.Weight < 0 {
			return invalid(ReasonInvalidWeights)
		}
		total += target.Weight
	}
	if total <= 0 {
		return invalid(ReasonInvalidWeights)
	}
	host := canonicalHost(r.Host)
	routes := t.hosts[host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: map[string]*Route{}}
		t.hosts[host] = routes
	}
	if routes.byPrefix[r.PathPrefix] != nil {
		return invalid(ReasonDuplicateRoute)
	}
	routes.byPrefix[r.PathPrefix] = r
	routes.longest = max(routes.longest, len(r.PathPrefix))
	return nil
}

func (t *Table) addWorkspace(w *Workspace) error {
	for _, key := range w.Keys {
		if other := t.keys[key]; other != nil && other != w {
			return &DocumentError{Reason: ReasonSharedKey, Subject: w.Name}
		}
		t.keys[key] = w
	}
	return nil
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest path prefix that matches the path, or nil.
func (t *Table) Match(host, path string) *Route {
	routes := t.hosts[canonicalHost(host)]
	if routes == nil {
		return nil
	}
	return routes.match(path)
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that owns the key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Workspaces returns the workspaces of the document.
func (t *Table) Workspaces() []Workspace { return t.workspaces }

// Authenticates reports whether requests need a key. They need none while no workspace is configured.
func (t *Table) Authenticates() bool { return len(t.workspaces) > 0 }

// HasTarget reports whether requests of the route may be sent to a service.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Pick returns the service for a request in proportion to the weights of the targets. u is a random number
// from 0 to 1.
func (r *Route) Pick(u float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	u *= total
	for _, target := range r.Targets {
		if u < target.Weight {
			return target.Service
		}
		u -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
