package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a log that is never bootstrapped or never commits an entry.
func TestBootstrapElectCommit(t *testing.T) {
	for _, initialVoters := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		s := newSim(t, 1, initialVoters...)
		leader := s.elect()
		s.propose(leader, "x")
		s.deliverAll()
		for range testHeartbeatTicks + 1 {
			s.tickAll()
		}
		s.requireNoViolation()
		for _, name := range initialVoters {
			h := s.hosts[name]
			if h.node.log.applied != s.highestCommit || s.highestCommit < 3 {
				t.Errorf("%s applied entries up to %d of %d", name, h.node.log.applied, s.highestCommit)
			}
		}
	}
}

// Guards against a replica that bootstraps a log before every initial voter has confirmed that its disk is
// empty.
func TestBootstrapNeedsEveryInitialVoter(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, "a", "b", "c")
	s.crash(s.hosts["c"])
	for range 200 {
		s.tickAll()
	}
	is.True(!s.hosts["a"].node.hasLog())
	s.start(s.hosts["c"])
	s.elect()
	s.requireNoViolation()
}

// Guards against a second log: the bootstrap coordinator lost its disk and starts with an empty one, while
// the other replicas hold the log. It must join that log with its new incarnation.
func TestBootstrapCoordinatorRejoinsAfterDiskLoss(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, "a", "b", "c")
	s.propose(s.elect(), "x")
	s.deliverAll()
	first := s.hosts["b"].node.hardState.Log
	s.loseDisk(s.hosts["a"])
	s.start(s.hosts["a"])
	for range 100 {
		s.tickAll()
	}
	s.requireNoViolation()
	is.Equal(s.hosts["a"].node.hardState.Log, first)
	is.Equal(s.leader().node.Configuration().Voters, []ID{{"a", 2}, {"b", 1}, {"c", 1}})
	is.Equal(len(s.leader().node.Configuration().Learners), 0)
	is.Equal(s.hosts["a"].node.Commit(), s.highestCommit)
}

// Guards against a second log when the voters that hold the first one are not initial voters, and an
// initial voter has voted in it but holds no entries. Randomized schedule 305708 found this fault as a
// second leader in a term.
func TestBootstrapAsksPeersAndVoters(t *testing.T) {
	for _, peerReplies := range []bool{false, true} {
		is := is.New(t)
		s := newSim(t, 1, "a", "b", "c")
		x := s.add("x")
		first := s.elect()
		s.propose(first, "x")
		s.deliverAll()
		if err := first.node.ProposeChange(Change{Kind: AddLearner, ID: x.id}); err != nil {
			t.Fatal(err)
		}
		s.process(first)
		s.tickTimeouts(5)
		is.True(s.leader().node.Configuration().IsVoter(x.id))
		log := x.node.hardState.Log
		if !peerReplies {
			s.crash(x) // Now only b has a record of the log: its vote. Its entries are removed.
			b := s.hosts["b"]
			s.crash(b)
			b.store = &MemoryStorage{hardState: HardState{Log: log, Term: 2, Vote: first.id}}
		}
		for _, name := range s.hostNames[:3] {
			if name != "b" || peerReplies {
				s.loseDisk(s.hosts[name])
			}
			s.start(s.hosts[name])
		}
		s.tickTimeouts(20)
		is.Equal(s.hosts["a"].node.hardState.Log, log)
		is.True(!s.hosts["a"].node.hasLog())
		s.requireNoViolation()
	}
}

// Guards against an isolated leader that does not step down before its successor is elected, when all
// clocks run at the same speed.
func TestIsolatedLeaderStepsDownFirst(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(t, seed, "a", "b", "c")
		old := s.elect()
		s.isolate(old.name, true)
		for range 20 * testElectionTicks {
			s.tickAll()
			if next := s.leader(); next != nil && next != old {
				break
			}
			if len(s.leaderOfTerm) > 1 && old.node.role == Leader {
				t.Fatalf("seed %d: two leaders at the same time", seed)
			}
		}
		if old.node.role == Leader || s.leader() == nil {
			t.Fatalf("seed %d: the isolated leader did not step down, or no successor was elected", seed)
		}
		s.requireNoViolation()
	}
}

// Guards against a replica that deposes a working leader with a higher term when it returns after a
// partition.
func TestReturningReplicaKeepsLeader(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 3, "a", "b", "c")
	leader := s.elect()
	term := leader.node.hardState.Term
	follower := s.followers(leader)[0]
	s.isolate(follower.name, true)
	for range 20 * testElectionTicks {
		s.tickAll()
	}
	s.isolate(follower.name, false)
	for range 5 * testElectionTicks {
		s.tickAll()
	}
	is.Equal(s.leader(), leader)
	is.Equal(leader.node.hardState.Term, term)
	s.requireNoViolation()
}

// Guards against a follower that never catches up because the leader has compacted the entries that it needs.
func TestLaggingFollowerReceivesSnapshot(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4, "a", "b", "c")
	leader := s.elect()
	follower := s.followers(leader)[0]
	s.isolate(follower.name, true)
	for range 50 {
		s.propose(leader, "entry")
		s.deliverAll()
	}
	s.compact(leader)
	s.isolate(follower.name, false)
	for range 5 * testElectionTicks {
		s.tickAll()
	}
	s.propose(leader, "more")
	s.deliverAll()
	s.requireNoViolation()
	is.Equal(follower.node.Commit(), leader.node.Commit())
	is.Equal(follower.stateHash, leader.stateHash)
	is.True(follower.node.log.base >= 50)
}

// Guards against a missing conflict hint, or one that moves back only one entry at a time: the log of a
// follower with a long conflicting suffix must match after a few messages.
func TestConflictHintSkipsTerms(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 5, "a", "b", "c")
	old := s.elect()
	s.isolate(old.name, true)
	for range 100 {
		is.NoErr(old.node.Propose([]byte("lost")))
	}
	s.process(old)
	s.deliverAll()
	leader := old
	for range 10 * testElectionTicks {
		s.tickAll()
		if leader = s.leader(); leader != nil && leader != old {
			break
		}
	}
	for range 30 {
		s.propose(leader, "kept")
		s.deliverAll()
	}
	rejected := 0
	s.mutate = func(h *host, m *Message) {
		if m.Kind == KindAppendReply && m.Reject {
			rejected++
		}
	}
	s.isolate(old.name, false)
	for range 3 * testElectionTicks {
		s.tickAll()
	}
	s.requireNoViolation()
	is.Equal(old.node.Commit(), leader.node.Commit())
	is.Equal(old.node.LastIndex(), leader.node.LastIndex())
	is.True(rejected <= 4) // The conflicting suffix has 100 entries of one term.
}

// Guards against a read that a new leader serves before an entry of its own term is committed.
func TestReadWaitsForOwnTerm(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 6, "a", "b", "c")
	s.elect()
	s.crash(s.leader())
	var leader *host
	for leader == nil {
		for _, name := range s.hostNames {
			s.tick(s.hosts[name])
		}
		// Appends are not delivered, so the first entry of the term cannot be committed.
		s.mutate = func(_ *host, m *Message) {
			if m.Kind == KindAppend {
				m.To.Incarnation = 99
			}
		}
		s.deliverAll()
		leader = s.leader()
	}
	s.read(leader)
	s.deliverAll()
	is.Equal(s.confirmedReads, 0)
	s.mutate = nil
	for range 2 * testHeartbeatTicks {
		s.tickAll()
	}
	s.requireNoViolation()
	is.Equal(s.confirmedReads, 1)
}

// Guards against an unlimited number or size of uncommitted proposals in the leader.
func TestProposalsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 7, "a", "b", "c")
	leader := s.elect()
	var err error
	for range DefaultMaxUncommittedEntries + 1 {
		err = leader.node.Propose([]byte("x"))
	}
	var overloaded *OverloadedError
	is.True(asError(err, &overloaded))
	var tooLarge *TooLargeError
	is.True(asError(leader.node.Propose(make([]byte, DefaultMaxEntryBytes+1)), &tooLarge))
	s.process(leader)
	s.deliverAll()
	is.Equal(leader.node.uncommittedBytes, 0) // All entries are committed.
	is.NoErr(leader.node.Propose(make([]byte, DefaultMaxEntryBytes)))
	for err = nil; err == nil; {
		err = leader.node.Propose(make([]byte, DefaultMaxEntryBytes))
	}
	is.True(asError(err, &overloaded))
	is.Equal(leader.node.uncommittedBytes, DefaultMaxUncommittedBytes)
	follower := s.followers(leader)[0]
	var notLeader *NotLeaderError
	is.True(asError(follower.node.Propose(nil), &notLeader))
	is.Equal(notLeader.Leader, leader.id)
}
