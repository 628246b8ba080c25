package configuration_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// Guards against a parser that panics, or accepts what Resolve refuses or Format cannot give back.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(small, hashOf("token"))))
	f.Add([]byte(`{"tiers":[{"name":"a","queueLimit":1}]}`))
	f.Add([]byte(`{"tiers":[{"name":"a","queueLimit":1,"queueLimit":2}],"x":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := configuration.Parse(data)
		if err != nil {
			return
		}
		view, err := configuration.Resolve(1, document)
		if err != nil {
			t.Fatal(err)
		}
		view.Policy("bern")
		text, err := configuration.Format(document)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configuration.Parse(text); err != nil && len(text) <= configuration.MaxDocumentBytes {
			t.Fatalf("%s: %v", text, err)
		}
	})
}

// Guards against a decoder that panics, and against changes that do not survive a round trip.
func FuzzDecodeChange(f *testing.F) {
	f.Add(encodeChange(f, apply("a", 0, smallDocument(f))))
	f.Add(encodeChange(f, drain("b", 1, "o1", true)))
	f.Add([]byte{0xa1, 0x66, 'f', 'o', 'r', 'm', 'a', 't', 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		configuration.NewStore(configuration.StoreOptions{}).Apply(1, data)
		change, err := configuration.DecodeChange(data)
		if err != nil {
			return
		}
		encoded := encodeChange(t, change)
		again, err := configuration.DecodeChange(encoded)
		if err != nil || !bytes.Equal(encodeChange(t, again), encoded) {
			t.Fatalf("round trip of %x: %v", data, err)
		}
	})
}

// Guards against a decoder that panics, and against a refused snapshot that leaves a trace.
func FuzzRestore(f *testing.F) {
	store := configuration.NewStore(configuration.StoreOptions{})
	store.Apply(1, encodeChange(f, apply("a", 0, smallDocument(f))))
	store.Apply(2, encodeChange(f, drain("b", 0, "o1", true)))
	valid := must(store.Snapshot())
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := configuration.NewStore(configuration.StoreOptions{})
		if restored.Restore(data) != nil {
			if version, _ := restored.Current(); version != 0 {
				t.Fatalf("version %d after a refused snapshot", version)
			}
			return
		}
		restored.Apply(0, encodeChange(t, drain("next", 1, "o1", true)))
		if _, err := restored.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a decoder that panics, or hands on a document that cannot be resolved.
func FuzzDecodeDocument(f *testing.F) {
	f.Add(must(configuration.EncodeDocument(3, smallDocument(f))))
	f.Fuzz(func(t *testing.T, data []byte) {
		version, document, err := configuration.DecodeDocument(data)
		if err != nil {
			return
		}
		if _, err := configuration.Resolve(version, document); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a decoder that panics, or edits that panic on a document they do not fit.
func FuzzDecodeEdits(f *testing.F) {
	f.Add(must(configuration.EncodeEdits([]configuration.Edit{drain("a", 1, "o1", true).Edit})))
	document := smallDocument(f)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if edits, err := configuration.DecodeEdits(data); err == nil {
			_, _ = configuration.ApplyEdits(document, edits)
		}
	})
}
