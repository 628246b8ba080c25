package replica

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
)

// FuzzOpenStore guards against stored records that cause a panic instead of an error.
func FuzzOpenStore(f *testing.F) {
	hard := consensus.HardState{Log: consensus.ID{Instance: "a", Incarnation: 1}, Term: 2, Commit: 1}
	entries := []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.EntryConfiguration, Configuration: &consensus.Configuration{}}, {Index: 2, Term: 2, Data: []byte("x")}}
	first, _ := cbor.Marshal(journalRecord{Identity: &hard.Log, Hard: &hard, Entries: entries})
	second, _ := cbor.Marshal(journalRecord{Entries: entries[1:]})
	snapshot, _ := cbor.Marshal(snapshotImage{Identity: hard.Log, Hard: hard, Snapshot: &consensus.Snapshot{Index: 1, Term: 1}, Tail: entries[1:]})
	f.Add(first, second, false)
	f.Add(snapshot, second, true)
	f.Fuzz(func(t *testing.T, first, second []byte, asImage bool) {
		files := faultfs.New()
		j, err := journal.Open(journal.Options{Directory: "d", Files: files})
		if err != nil {
			t.Fatal(err)
		}
		if asImage {
			err = j.SaveSnapshot(1, first)
		} else {
			_, err = j.Append(first)
		}
		if err != nil {
			return
		}
		if _, err = j.Append(second); err != nil {
			return
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		r, err := New(Options{Instance: "a", Directory: "d", Files: files, StateMachine: &recordingMachine{}, Transport: testTransport{}})
		if err != nil {
			return
		}
		r.advance()
		if err := r.stop(); err != nil {
			t.Fatal(err)
		}
	})
}
