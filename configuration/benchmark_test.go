package configuration_test

import (
	"fmt"
	"testing"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
)

// Measures a change of one label at the design size, as every replica applies it.
func BenchmarkApplyLabel(b *testing.B) {
	store := configuration.NewStore(configuration.StoreOptions{})
	store.Apply(0, encodeChange(b, applyChange("first", 0, designSizeDocument())))
	for i := 0; b.Loop(); i++ {
		version, _ := store.Current()
		edit := configuration.Edit{Label: &configuration.LabelEdit{
			Engine: "engine-300", Set: label.Set{"round": fmt.Sprint(i % 100)},
		}}
		change := configuration.Change{ID: fmt.Sprintf("id-%d", i), Base: version, Edit: edit}
		if result, ok := store.Apply(0, encodeChange(b, change)).(configuration.Result); !ok || result.Status != configuration.StatusAccepted {
			b.Fatal(result)
		}
	}
}

// Measures a change that replaces the complete document at the design size.
func BenchmarkApplyDocument(b *testing.B) {
	store := configuration.NewStore(configuration.StoreOptions{})
	document := designSizeDocument()
	for i := 0; b.Loop(); i++ {
		version, _ := store.Current()
		if result, ok := store.Apply(0, encodeChange(b, applyChange(fmt.Sprintf("id-%d", i), version, document))).(configuration.Result); !ok || result.Status != configuration.StatusAccepted {
			b.Fatal(result)
		}
	}
}

// Measures the lookups for one request: workspace, route and tier.
func BenchmarkLookup(b *testing.B) {
	view := must(configuration.Resolve(1, designSizeDocument()))
	labels := label.Set{"class": "normal", "kind": "summary"}
	b.ReportAllocs()
	for b.Loop() {
		workspace, _ := view.Workspace("workspace-140")
		route, err := view.Route("POST", "/model-3/v1/chat/completions")
		if err != nil || view.Tier(labels, workspace, route) != 1 {
			b.Fatal(err)
		}
	}
}

// Measures the compilation of a new version and its policy on an instance.
func BenchmarkResolve(b *testing.B) {
	document := designSizeDocument()
	for b.Loop() {
		must(configuration.Resolve(1, document)).Policy("centre-0")
	}
}

// Measures the encoding of a snapshot with a full table of change IDs.
func BenchmarkSnapshot(b *testing.B) {
	store := configuration.NewStore(configuration.StoreOptions{})
	store.Apply(0, encodeChange(b, applyChange("first", 0, designSizeDocument())))
	for i := range configuration.MaxRememberedChanges {
		store.Apply(0, encodeChange(b, drainChange(fmt.Sprintf("0123456789abcdef0123456789ab-%d", i), 0, "engine-1", true)))
	}
	size := 0
	for b.Loop() {
		size = len(must(store.Snapshot()))
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(len(must(configuration.EncodeDocument(1, designSizeDocument())))), "document-bytes")
}

// Measures the restart of a replica that has to apply 1,000 changes of labels at the design size. The target
// is less than 1 s including the reading of the journal.
func BenchmarkReplay1000(b *testing.B) {
	log := [][]byte{encodeChange(b, applyChange("first", 0, designSizeDocument()))}
	for i := range configuration.Version(1000) {
		edit := configuration.Edit{Label: &configuration.LabelEdit{Engine: "engine-300", Set: label.Set{"round": fmt.Sprint(i)}}}
		log = append(log, encodeChange(b, configuration.Change{ID: fmt.Sprintf("id-%d", i), Base: i + 1, Edit: edit}))
	}
	for b.Loop() {
		store := configuration.NewStore(configuration.StoreOptions{})
		for i, entry := range log {
			store.Apply(uint64(i+1), entry)
		}
		if version, _ := store.Current(); version != 1001 {
			b.Fatal(version)
		}
	}
}
