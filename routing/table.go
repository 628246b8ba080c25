package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table answers look-ups in a valid document. It is immutable.
type Table struct {
	Number     Number
	Limits     Limits
	hosts      map[string][]*Route // longest prefix first
	services   map[string]*Service
	keys       map[string]*Workspace
	workspaces []Workspace
}

// Compile checks a document and builds its table. It returns *DocumentError for the first fault.
func Compile(d *Document) (*Table, error) {
	t := &Table{
		Number:     d.Number,
		Limits:     d.Limits,
		hosts:      map[string][]*Route{},
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
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	fault := func(reason Reason) error { return &DocumentError{Reason: reason, Subject: r.Name} }
	if r.Timeout <= 0 {
		return fault(ReasonInvalidTimeout)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fault(ReasonInvalidPrefix)
	}
	total := 0.0
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return fault(ReasonUnknownService)
		}
		if target.Weight < 0 {
			return fault(ReasonInvalidWeights)
		}
		total += target.Weight
	}
	if total <= 0 {
		return fault(ReasonInvalidWeights)
	}
	host := canonicalHost(r.Host)
	for _, other := range t.hosts[host] {
		if other.PathPrefix == r.PathPrefix {
			return fault(ReasonDuplicateRoute)
		}
	}
	t.hosts[host] = append(t.hosts[host], r)
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

// canonicalHost drops the port and the case of a host.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []Workspace { return t.workspaces }

// Authenticates reports whether routes need a key.
func (t *Table) Authenticates() bool { return len(t.workspaces) > 0 }

// Pick returns the service for a request; u is a random number from 0 to 1.
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
