package ledger

import (
	"strings"
	"testing"
)

// FuzzParseKey guards against a key parser that panics, and against several text forms of the same key.
func FuzzParseKey(f *testing.F) {
	sim := newSimulation(noMutation)
	genuine := sim.mint("w").key
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
		if _, err := sim.ledger.verify(Key(text), "w"); err == nil && Key(text) != genuine {
			t.Fatal("a forged key was accepted")
		}
	})
}

// FuzzReplay guards against a decoder that panics, or that accepts a record whose state cannot be restored
// from a snapshot.
func FuzzReplay(f *testing.F) {
	sim := newSimulation(noMutation)
	sim.beginAndDeliver(sim.claim(sim.mint("w"), "a"))
	for _, data := range sim.disk.records {
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

// FuzzRestore guards against a snapshot decoder that panics or allocates memory for entries that do not
// exist.
func FuzzRestore(f *testing.F) {
	sim := newSimulation(noMutation)
	sim.beginAndDeliver(sim.claim(sim.mint("w"), "a"))
	data, err := sim.ledger.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := New("owner", testLimits)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Restore(data) // Any error is acceptable as long as Restore returns.
	})
}
