package configuration_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
)

// Guards against routes that are selected by order or by method instead of by the longest path, and against
// idempotency that is determined for another method than that of the request.
func TestLongestPathMatches(t *testing.T) {
	view := must(configuration.Resolve(1, smallDocument(t)))
	cases := []struct {
		method, path string
		want         string // path of the route; empty if no route matches
		idempotent   bool
		redispatch   bool
	}{
		{"GET", "/orders/17", "/orders/", true, false},
		{"POST", "/orders/17", "/orders/", false, false},
		{"POST", "/orders/search", "/orders/search", true, true},
		{"GET", "/orders/tours/x/y", "/orders/tours/", true, false},
		{"GET", "/orders/", "/orders/", true, false},
		{"GET", "/orders", "", false, false},
		{"GET", "/", "", false, false},
		{"GET", "", "", false, false},
	}
	for _, c := range cases {
		t.Run(c.method+c.path, func(t *testing.T) {
			is := is.New(t)
			got, err := view.Route(c.method, c.path)
			if c.want == "" {
				var none *configuration.NoRouteError
				is.True(errors.As(err, &none))
				return
			}
			is.NoErr(err)
			is.Equal(got.Route.Path, c.want)
			is.Equal(got.Idempotent, c.idempotent)
			is.Equal(got.Redispatch, c.redispatch)
		})
	}
}

// Guards against a more general route that serves a method which the specific route does not allow.
func TestMethodIsMatchedAfterPath(t *testing.T) {
	is := is.New(t)
	view := must(configuration.Resolve(1, smallDocument(t)))
	_, err := view.Route("POST", "/orders/tours/1")
	var method *configuration.MethodNotAllowedError
	is.True(errors.As(err, &method))
	is.Equal(method.Allowed, []string{"GET"})
}

// Guards against callers that obtain a higher tier by sending labels that the instance or the workspace sets.
func TestCallersCannotOverrideInstanceLabels(t *testing.T) {
	is := is.New(t)
	document := smallDocument(t)
	document.TierRules = []configuration.TierRule{
		{When: "workspace=other", Tier: "urgent"},
		{When: "contract=gold", Tier: "urgent"},
	}
	document.Workspaces[0].Labels = label.Set{"contract": "basic"}
	view := must(configuration.Resolve(1, document))
	workspace, ok := view.Workspace("token")
	is.True(ok)
	route := must(view.Route("GET", "/orders/1"))
	is.Equal(view.Tier(label.Set{"workspace": "other"}, workspace, route), 1)
	is.Equal(view.Tier(label.Set{"contract": "gold"}, workspace, route), 1)
	document.Workspaces[0].Labels = label.Set{}
	is.Equal(view.Tier(label.Set{"contract": "gold"}, workspace, route), 0)
}

// Guards against unknown tokens that are accepted and known ones that are refused.
func TestWorkspaceByToken(t *testing.T) {
	is := is.New(t)
	view := must(configuration.Resolve(1, smallDocument(t)))
	workspace, ok := view.Workspace("token")
	is.True(ok)
	is.Equal(workspace.Name, "gredzens")
	for _, token := range []string{"", "Token", hashOf("token")} {
		_, ok := view.Workspace(token)
		is.True(!ok)
	}
}

// Guards against a policy that lacks fields, and against latencies that ignore chains of links.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	document := smallDocument(t)
	for i, name := range []string{"aarau", "riga"} {
		engine := document.Engines[0]
		engine.Name = name
		engine.DataCentre = name
		engine.URL = "http://127.0.0.2:" + []string{"1", "2"}[i]
		document.Engines = append(document.Engines, engine)
	}
	document.Links = append(document.Links, configuration.Link{Between: []string{"aarau", "olten"}, Latency: 2e6})
	document.Engines[1].Drained = true
	policy := must(configuration.Resolve(1, document)).Policy("bern")
	is.Equal(policy.OneWayLatency, map[string]time.Duration{
		"bern": 0, "olten": time.Millisecond, "aarau": 3 * time.Millisecond, "riga": configuration.DefaultOneWayLatency,
	})
	is.Equal(policy.Engines[1].Drained, true)
	is.Equal(policy.Services[0].Selector.String(), "app=orders")
	is.Equal(policy.Tiers[1].Name, "reports")
}
