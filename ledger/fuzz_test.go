package ledger

import (
	"strings"
	"testing"
)

// Guards against a key parser that panics or gives one key several texts.
func FuzzParseKey(f *testing.F) {
	w := newWorld(intact)
	genuine := w.mint("w").key
	f.Add(string(genuine))
	f.Add(string(genuine[:len(genuine)-1]))
	f.Add("pbk1.AAAA.AAAA")
	f.Add(strings.Repeat("x", maxKeyBytes+1))
	f.Fuzz(func(t *testing.T, text string) {
		parts, payload, mac, err := Key(text).decode()
		if err != nil {
			return
		}
		again := keyPrefix + keyEncoding.EncodeToString(parts.appendPayload(nil)) + "." + keyEncoding.EncodeToString(mac)
		if again != text || len(payload) == 0 {
			t.Fatalf("%q encodes as %q", text, again)
		}
		if _, err := w.ledger.verify(Key(text), "w"); err == nil && Key(text) != genuine {
			t.Fatal("a forged key was accepted")
		}
	})
}

// Guards against a decoder that panics, or accepts a record that a replay cannot write back.
func FuzzReplay(f *testing.F) {
	w := newWorld(intact)
	w.beginAndSettle(w.claim(w.mint("w"), "a"))
	for _, data := range w.disk.records {
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := New("owner", testLimits)
		if err != nil {
			t.Fatal(err)
		}
		if l.Replay(data) != nil {
			return
		}
		l.incarnation, l.epoch = l.StoredIdentity()
		snapshot, err := l.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again, err := New("owner", testLimits)
		if err != nil {
			t.Fatal(err)
		}
		if err := again.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a snapshot decoder that panics or reserves memory for entries that are not there.
func FuzzRestore(f *testing.F) {
	w := newWorld(intact)
	w.beginAndSettle(w.claim(w.mint("w"), "a"))
	data, err := w.ledger.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := New("owner", testLimits)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Restore(data) // Any error is right as long as it returns.
	})
}
