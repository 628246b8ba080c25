package configuration_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// Guards against a parser that panics, or that accepts a document which Resolve refuses or which cannot be
// parsed again after Format.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(smallText, hashOf("token"))))
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

// Guards against a decoder that panics, and against changes that differ after encoding and decoding.
func FuzzDecodeChange(f *testing.F) {
	f.Add(encodeChange(f, applyChange("a", 0, smallDocument(f))))
	f.Add(encodeChange(f, drainChange("b", 1, "o1", true)))
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

// Guards against a decoder that panics, and against a refused snapshot that modifies the store.
func FuzzRestore(f *testing.F) {
	store := configuration.NewStore(configuration.StoreOptions{})
	store.Apply(1, encodeChange(f, applyChange("a", 0, smallDocument(f))))
	store.Apply(2, encodeChange(f, drainChange("b", 0, "o1", true)))
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
		restored.Apply(0, encodeChange(t, drainChange("next", 1, "o1", true)))
		if _, err := restored.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a decoder that panics or returns a document that cannot be resolved.
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

// Guards against a decoder that panics, and against edits that panic when they do not match the document.
func FuzzDecodeEdits(f *testing.F) {
	f.Add(must(configuration.EncodeEdits([]configuration.Edit{drainChange("a", 1, "o1", true).Edit})))
	document := smallDocument(f)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if edits, err := configuration.DecodeEdits(data); err == nil {
			_, _ = configuration.ApplyEdits(document, edits)
		}
	})
}
