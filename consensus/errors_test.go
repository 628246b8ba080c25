package consensus

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

func asError[E error](err error, target *E) bool { return errors.As(err, target) }

// nodeState formats all state of a node that a message could change.
func nodeState(n *Node) string {
	return fmt.Sprintf("%+v %+v %+v %d %d %d %d %v %v %+v", n.hardState, *n.log, n.role, n.electionElapsed, n.electionTimeout,
		n.contactElapsed, n.readRound, n.votes, n.bootstrapAcks, n.outbox)
}

// Guards against invalid messages that change the state of a node, or that are not rejected with a typed
// error.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	s := newSim(t, 8, "a", "b", "c")
	leader := s.elect()
	s.propose(leader, "x")
	s.deliverAll()
	follower := s.followers(leader)[0]
	other := s.followers(leader)[1]
	term, last := leader.node.hardState.Term, leader.node.LastIndex()
	to := func(h *host, m Message) Message {
		m.To = h.id
		if m.From.IsZero() {
			m.From = leader.id
		}
		if m.Log.IsZero() {
			m.Log = leader.node.hardState.Log
		}
		return m
	}
	cases := []struct {
		name string
		at   *host
		m    Message
		want error
	}{
		{"other incarnation", follower, Message{Kind: KindHeartbeat, Term: term, To: ID{follower.name, 9}}, &MisdirectedError{}},
		{"unknown candidate with an older log", follower, Message{Kind: KindVote, From: ID{"x", 1}, Term: term + 1, Index: last, LogTerm: term}, &UnknownSenderError{}},
		{"unknown leader in a term that has a leader", follower, Message{Kind: KindAppend, From: ID{"x", 1}, Term: term, Index: last, LogTerm: term}, &UnknownSenderError{}},
		{"acknowledgement of an unknown replica", leader, Message{Kind: KindAppendReply, From: ID{"x", 1}, Term: term, Index: last}, &UnknownSenderError{}},
		{"join request of an unknown instance", leader, Message{Kind: KindJoin, From: ID{"x", 1}}, &UnknownSenderError{}},
		{"incarnation zero", follower, Message{Kind: KindVote, From: ID{other.name, 0}, Term: term + 1}, &UnknownSenderError{}},
		{"other log", follower, Message{Kind: KindHeartbeat, Log: ID{"z", 7}, Term: term}, &LogMismatchError{}},
		{"no log", follower, Message{Kind: KindHeartbeat, Log: ID{"", 1}, Term: term}, &LogMismatchError{}},
		{"term zero", follower, Message{Kind: KindHeartbeat}, &InvalidMessageError{}},
		{"huge term", follower, Message{Kind: KindVote, Term: 1 << 63}, &InvalidMessageError{}},
		{"unknown kind", follower, Message{Kind: 200, Term: term}, &InvalidMessageError{}},
		{"second leader in the term", follower, Message{Kind: KindAppend, From: other.id, Term: term, Index: last, LogTerm: term}, &InvalidMessageError{}},
		{"append to the leader of the term", leader, Message{Kind: KindAppend, From: other.id, Term: term}, &InvalidMessageError{}},
		{"commit beyond the log", follower, Message{Kind: KindHeartbeat, Term: term, Commit: last + 1}, &InvalidMessageError{}},
		{"gap between entries", follower, Message{Kind: KindAppend, Term: term, Index: last, LogTerm: term, Entries: []Entry{{Index: last + 2, Term: term}}}, &InvalidMessageError{}},
		{"entry of a later term", follower, Message{Kind: KindAppend, Term: term, Index: last, LogTerm: term, Entries: []Entry{{Index: last + 1, Term: term + 1}}}, &InvalidMessageError{}},
		{"decreasing terms", follower, Message{Kind: KindAppend, Term: term, Index: last, LogTerm: term, Entries: []Entry{{Index: last + 1, Term: term - 1}}}, &InvalidMessageError{}},
		{"configuration without voters", follower, Message{Kind: KindAppend, Term: term, Index: last, LogTerm: term, Entries: []Entry{{Index: last + 1, Term: term, Kind: EntryConfiguration}}}, &InvalidMessageError{}},
		{"contradiction of a committed entry", follower, Message{Kind: KindAppend, Term: term + 5, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: term + 5}}}, &InvalidMessageError{}},
		{"empty snapshot", follower, Message{Kind: KindSnapshot, Term: term}, &InvalidMessageError{}},
		{"acknowledgement beyond the log", leader, Message{Kind: KindAppendReply, From: follower.id, Term: term, Index: last + 1}, &InvalidMessageError{}},
		{"echo of a round never started", leader, Message{Kind: KindHeartbeatReply, From: follower.id, Term: term, Round: 1 << 40}, &InvalidMessageError{}},
		{"rejection without an index", leader, Message{Kind: KindAppendReply, From: follower.id, Term: term, Reject: true}, &InvalidMessageError{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := c.m
			if m.To.IsZero() {
				m = to(c.at, m)
			}
			before := nodeState(c.at.node)
			err := c.at.node.Step(m)
			is.Equal(reflect.TypeOf(err), reflect.TypeOf(c.want))
			is.Equal(nodeState(c.at.node), before)
		})
	}
}
