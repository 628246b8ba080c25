package configuration_test

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
)

const smallText = `{
  "tiers": [{"name": "urgent", "queueLimit": 10}, {"name": "reports", "queueLimit": 10}],
  "tierRules": [{"when": "service=orders,kind in (pickup)", "tier": "urgent"}],
  "workspaces": [{"name": "gredzens", "tokenSHA256": ["%s"]}],
  "services": [{
    "name": "orders", "kind": "plain", "engines": "app=orders",
    "routes": [
      {"path": "/orders/", "methods": ["GET", "POST"]},
      {"path": "/orders/search", "methods": ["POST"], "idempotent": true, "redispatch": true},
      {"path": "/orders/tours/", "methods": ["GET"]}
    ]
  }],
  "engines": [
    {"name": "o1", "url": "http://127.0.0.1:9001", "dataCentre": "bern", "labels": {"app": "orders"}},
    {"name": "o2", "url": "http://[::1]:9002", "dataCentre": "olten", "labels": {"app": "orders"}}
  ],
  "links": [{"between": ["bern", "olten"], "latency": "1ms"}]
}`

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func mustParse(t testing.TB, text string) *configuration.Document {
	t.Helper()
	document, err := configuration.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func smallDocument(t testing.TB) *configuration.Document {
	return mustParse(t, fmt.Sprintf(smallText, hashOf("token")))
}

// designSizeDocument returns a document with 600 engines, 280 workspaces, 7 models and 5 data centres.
func designSizeDocument() *configuration.Document {
	d := &configuration.Document{}
	for _, name := range []string{"urgent", "normal", "reports"} {
		d.Tiers = append(d.Tiers, configuration.Tier{Name: name, QueueLimit: 1000})
		d.TierRules = append(d.TierRules, configuration.TierRule{When: "class=" + name, Tier: name})
	}
	for i := range 280 {
		name := fmt.Sprintf("workspace-%d", i)
		d.Workspaces = append(d.Workspaces, configuration.Workspace{Name: name, TokenSHA256: []string{hashOf(name)}})
	}
	for i := range 7 {
		model := fmt.Sprintf("model-%d", i)
		d.Services = append(d.Services, configuration.Service{
			Name: model, Kind: configuration.KindModel, Engines: "model=" + model,
			Routes: []configuration.Route{{Path: "/" + model + "/v1/", Methods: []string{"GET", "POST"}}},
		})
	}
	for i := range 600 {
		d.Engines = append(d.Engines, configuration.Engine{
			Name:       fmt.Sprintf("engine-%d", i),
			URL:        fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250),
			DataCentre: fmt.Sprintf("centre-%d", i%5),
			Labels: label.Set{
				"model":    fmt.Sprintf("model-%d", i%7),
				"hardware": fmt.Sprintf("generation-%d", i%4),
			},
		})
	}
	return d
}

func encodeChange(t testing.TB, change configuration.Change) []byte {
	t.Helper()
	data, err := configuration.EncodeChange(change)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func applyChange(id string, base configuration.Version, document *configuration.Document) configuration.Change {
	return configuration.Change{ID: id, Base: base, Edit: configuration.Edit{Apply: document}}
}

func drainChange(id string, base configuration.Version, engine string, on bool) configuration.Change {
	edit := configuration.Edit{Drain: &configuration.DrainEdit{Engine: engine, On: on}}
	return configuration.Change{ID: id, Base: base, Edit: edit}
}

// TestMain sets a fixed seed for the property tests unless one is given, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
