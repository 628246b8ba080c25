package configuration_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
)

// checkCatchUp checks that the edits from Since lead from every known version to the current one, if Since
// has them.
func checkCatchUp(t *rapid.T, store *configuration.Store, documents map[configuration.Version]*configuration.Document) {
	current, document := store.Current()
	for version, old := range documents {
		edits, ok := store.Since(version)
		if !ok {
			continue
		}
		encoded, err := configuration.EncodeEdits(edits)
		if err != nil {
			t.Fatal(err)
		}
		if edits, err = configuration.DecodeEdits(encoded); err != nil {
			t.Fatal(err)
		}
		caughtUp, err := configuration.ApplyEdits(old, edits)
		if err != nil {
			t.Fatal(err)
		}
		want, _ := configuration.EncodeDocument(current, document)
		if got, _ := configuration.EncodeDocument(current, caughtUp); !bytes.Equal(got, want) {
			t.Fatalf("edits from %d do not lead to %d", version, current)
		}
	}
}

// Guards against versions that do not increase by one, two accepted changes with the same base, rejected
// changes that modify the document, snapshots that lose state, and edits from Since that lead to a document
// other than the store's.
func TestStoreProperties(t *testing.T) {
	first := smallDocument(t)
	rapid.Check(t, func(t *rapid.T) {
		options := configuration.StoreOptions{RememberedChanges: rapid.IntRange(1, 8).Draw(t, "remembered")}
		store := configuration.NewStore(options)
		accepted := map[configuration.Version]string{}
		documents := map[configuration.Version]*configuration.Document{}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			before, oldDocument := store.Current()
			change := drawChange(t, before, first)
			data, err := configuration.EncodeChange(change)
			if err != nil {
				t.Fatal(err)
			}
			known, retried := store.Lookup(change.ID)
			applied := store.Apply(0, data)
			after, newDocument := store.Current()
			result, ok := applied.(configuration.Result)
			switch {
			case retried && ok && fmt.Sprint(result) != fmt.Sprint(known):
				t.Fatalf("retry of %q: %v, first %v", change.ID, result, known)
			case !retried && ok && result.Status == configuration.StatusAccepted:
				if other, taken := accepted[change.Base]; taken || after != before+1 || change.Base != before {
					t.Fatalf("base %d: %q and %q accepted, version %d after %d", change.Base, other, change.ID, after, before)
				}
				accepted[change.Base] = change.ID
				documents[after] = newDocument
			case after != before || newDocument != oldDocument:
				t.Fatalf("rejected or retried change modified the store: version %d before, %d after, result %v", before, after, applied)
			}
			checkCatchUp(t, store, documents)
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				store = restoreFromSnapshot(t, store, options)
			}
		}
	})
}

func drawChange(t *rapid.T, current configuration.Version, document *configuration.Document) configuration.Change {
	change := configuration.Change{ID: fmt.Sprintf("id-%d", rapid.IntRange(0, 20).Draw(t, "id"))}
	change.Base = configuration.Version(rapid.IntRange(max(0, int(current)-2), int(current)+1).Draw(t, "base"))
	engine := rapid.SampledFrom([]string{"o1", "o2", "missing"}).Draw(t, "engine")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		change.Edit.Apply = drawDocument(t, document)
	case 1:
		change.Edit.Drain = &configuration.DrainEdit{Engine: engine, On: rapid.Bool().Draw(t, "on")}
	case 2:
		value := rapid.StringMatching(`[a-c]{1,2}`).Draw(t, "value")
		change.Edit.Label = &configuration.LabelEdit{Engine: engine, Set: label.Set{"app": value}}
	default:
		change.Edit.Apply = &configuration.Document{}
	}
	return change
}

// drawDocument varies the lists of a document, so that patches insert, drop and replace.
func drawDocument(t *rapid.T, document *configuration.Document) *configuration.Document {
	varied := *document
	varied.Engines = append([]configuration.Engine{}, document.Engines...)
	for i := range 40 { // enough elements for a patch to be small in comparison
		if i > 30 && rapid.Bool().Draw(t, "skip") {
			continue
		}
		engine := document.Engines[0]
		engine.Name = fmt.Sprintf("extra-%d", i)
		engine.URL = fmt.Sprintf("http://127.0.0.3:%d", i+1)
		engine.Drained = i%10 == 0 && rapid.Bool().Draw(t, "drained")
		varied.Engines = append(varied.Engines, engine)
	}
	varied.Links = document.Links[:rapid.IntRange(0, len(document.Links)).Draw(t, "links")]
	varied.Workspaces = document.Workspaces[:rapid.IntRange(0, len(document.Workspaces)).Draw(t, "workspaces")]
	return &varied
}

func restoreFromSnapshot(t *rapid.T, store *configuration.Store, options configuration.StoreOptions) *configuration.Store {
	before, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := configuration.NewStore(options)
	if err := restored.Restore(before); err != nil {
		t.Fatal(err)
	}
	after, err := restored.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("snapshot changed by a restore (%v)", err)
	}
	return restored
}
