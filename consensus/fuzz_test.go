package consensus

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzStep guards against a message from the network that crashes the process, changes a committed entry,
// or is rejected but changes the state of the node. The fuzzer generates the message. The test replaces
// sender, receiver and log with valid values, because the other checks would never be reached otherwise.
func FuzzStep(f *testing.F) {
	for _, m := range []Message{
		{Kind: KindAppend, Term: 2, Index: 3, LogTerm: 2, Entries: []Entry{{Index: 4, Term: 2, Data: []byte("x")}}},
		{Kind: KindAppendReply, Term: 2, Index: 3, Reject: true, Hint: 2, HintTerm: 1},
		{Kind: KindSnapshot, Term: 3, Snapshot: &Snapshot{Index: 9, Term: 3, Configuration: Configuration{Voters: []ID{{"a", 1}}}}},
		{Kind: KindVote, Term: 3, Index: 9, LogTerm: 2},
		{Kind: KindPreVoteReply, Term: 9, Reject: true},
		{Kind: KindHeartbeat, Term: 2, Commit: 3, Round: 1, Tick: 1},
		{Kind: KindJoin, Index: 7, Reject: true},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, false)
		f.Add(data, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, toLeader bool) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		s := newSim(t, 1, "a", "b", "c")
		leader := s.elect()
		s.propose(leader, "x")
		s.deliverAll()
		from, to := leader, s.followers(leader)[0]
		if toLeader {
			from, to = to, from
		}
		m.From, m.To, m.Log = from.id, to.id, leader.node.hardState.Log
		committed := to.node.log.slice(1, to.node.log.commit, maxReadyBytes)
		before := nodeState(to.node)
		if err := to.node.Step(m); err != nil && nodeState(to.node) != before {
			t.Fatalf("the node rejected the message with %v, but its state changed", err)
		}
		r := to.node.Ready()
		to.store.Persist(r)
		to.node.Advance(r)
		to.node.Tick()
		if l := to.node.log; l.base == 0 {
			for i, e := range l.slice(1, uint64(len(committed)), maxReadyBytes) {
				if e.Term != committed[i].Term || string(e.Data) != string(committed[i].Data) {
					t.Fatalf("committed entry %d changed", e.Index)
				}
			}
		}
		if _, err := New(Options{Self: to.id, Random: s.random, Storage: to.store}); err != nil {
			t.Fatalf("the stored state does not load: %v", err)
		}
	})
}
