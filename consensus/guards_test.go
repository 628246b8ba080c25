package consensus

import (
	"strings"
	"testing"
)

// Each scenario runs twice: with a safeguard, where every invariant must hold, and in a variant without the
// safeguard, where a check must fail. The second run shows that the first one would detect the fault.
func TestMissingSafeguardsAreDetected(t *testing.T) {
	cases := []struct {
		name      string
		scenario  func(t *testing.T, guarded bool) *sim
		violation string // expected in the variant without the safeguard
	}{
		{"a replica that lost its disk does not vote again with its old ID", voteAfterDiskLoss, "lacks committed entry"},
		{"a frozen leader confirms no read after its successor was elected", readByFrozenLeader, "stale read"},
		{"an acknowledgement is sent after the sync", acknowledgeBeforeSync, "lacks committed entry"},
		{"a second failure right after a rejoin", secondFailureAfterRejoin, "lacks committed entry"},
		{"a replica that is not caught up does not count towards a quorum", countLaggingReplica, "lacks committed entry"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if s := c.scenario(t, true); s.violation != "" {
				t.Errorf("with the safeguard: %s", s.violation)
			}
			if s := c.scenario(t, false); !strings.Contains(s.violation, c.violation) {
				t.Errorf("violated invariant without the safeguard: got %q, want %q", s.violation, c.violation)
			}
		})
	}
}

// commitWithoutOneFollower elects a leader and commits entries that one follower does not receive. It
// returns the leader, the follower that holds the entries, and the lagging follower, which is isolated.
func commitWithoutOneFollower(s *sim) (leader, holder, lagging *host) {
	leader = s.elect()
	holder, lagging = s.followers(leader)[0], s.followers(leader)[1]
	s.isolate(lagging.name, true)
	for range 5 {
		s.propose(leader, "committed")
		s.deliverAll()
	}
	return leader, holder, lagging
}

// tickTimeouts advances the simulation by a number of election timeouts.
func (s *sim) tickTimeouts(timeouts int) {
	for range timeouts * testElectionTicks {
		if s.violation == "" {
			s.tickAll()
		}
	}
}

// mustRecover restarts a crashed host. Until then, there must be no leader, because the host has the only
// copy of committed entries; afterwards, a leader must be elected and all voters must hold all committed
// entries.
func (s *sim) mustRecover(h *host) {
	s.t.Helper()
	if s.violation != "" {
		return
	}
	if leader := s.leader(); leader != nil && leader.node.committedOwnTerm() {
		s.t.Error("a leader was elected without the only replica that holds the committed entries")
	}
	s.start(h)
	s.elect()
	s.tickTimeouts(10)
	for _, id := range s.leader().node.Configuration().Voters {
		if s.lostIDs[id] || s.hosts[id.Instance].node.Commit() != s.highestCommit {
			s.t.Errorf("%s did not recover: it has committed %d of %d entries", id, s.hosts[id.Instance].node.Commit(), s.highestCommit)
		}
	}
}

// voteAfterDiskLoss commits entries on two of three replicas. One of the two loses its disk and the other one
// stops. In the variant, the replica that lost its disk returns with its old ID.
func voteAfterDiskLoss(t *testing.T, guarded bool) *sim {
	s := newSim(t, 11, "a", "b", "c")
	leader, holder, lagging := commitWithoutOneFollower(s)
	if !guarded {
		s.storageAfterLoss = func(h *host) *MemoryStorage {
			return &MemoryStorage{hardState: HardState{Log: h.store.hardState.Log}}
		}
	}
	s.crash(leader)
	s.loseDisk(holder)
	s.start(holder)
	s.isolate(lagging.name, false)
	s.tickTimeouts(20)
	s.mustRecover(leader)
	return s
}

// readByFrozenLeader freezes a leader, lets its successor commit an entry, and then requests a read at the
// old leader. The variant serves the read at the old leader's own commit index. Neither run calls StepDown
// when the freeze ends, so that only the confirmation of reads by a quorum is tested.
func readByFrozenLeader(t *testing.T, guarded bool) *sim {
	s := newSim(t, 12, "a", "b", "c")
	old := s.elect()
	old.frozen = true
	s.propose(s.elect(), "newer")
	s.deliverAll()
	old.frozen = false
	if old.node.role != Leader {
		t.Fatal("the replica is no longer in the leader role after the freeze")
	}
	s.read(old)
	if !guarded {
		s.apply(old, Ready{Reads: []Read{{ID: old.lastReadID, Index: old.node.Commit()}}})
	}
	s.tickTimeouts(3)
	if guarded && s.confirmedReads != 0 {
		t.Error("the old leader confirmed a read")
	}
	return s
}

// acknowledgeBeforeSync crashes a follower while it stores an entry that the third replica does not
// receive. In the variant, the follower sends the acknowledgement before it stores the entry.
func acknowledgeBeforeSync(t *testing.T, guarded bool) *sim {
	s := newSim(t, 13, "a", "b", "c")
	s.sendBeforeSync = !guarded
	s.skipDurabilityCheck = true // Only the loss of the entries is to be detected.
	leader, holder, lagging := commitWithoutOneFollower(s)
	s.crashAt = func(h *host, point string) bool {
		last := len(h.store.entries)
		return h == holder && last > 0 && h.node.LastIndex() > h.store.entries[last-1].Index &&
			(point == "between early send and sync" || guarded && point == "before sync")
	}
	s.propose(leader, "acknowledged")
	s.deliverAll()
	s.crashAt = nil
	if committed := s.highestCommit == leader.node.LastIndex(); committed == guarded {
		t.Errorf("guarded %t, committed %t", guarded, committed)
	}
	s.crash(leader)
	s.start(holder)
	s.isolate(lagging.name, false)
	s.tickTimeouts(20)
	return s
}

// secondFailureAfterRejoin lets a replica lose its disk and return; directly afterwards, the other holder
// of the committed entries stops. The variant does not change the membership through the log after the
// replica has caught up; it replaces the old ID directly in the configuration of every replica instead.
func secondFailureAfterRejoin(t *testing.T, guarded bool) *sim {
	s := newSim(t, 14, "a", "b", "c")
	leader, holder, lagging := commitWithoutOneFollower(s)
	old := holder.id
	s.loseDisk(holder)
	if !guarded {
		log := leader.node.hardState.Log
		replaced := Configuration{}
		for _, id := range leader.node.Configuration().Voters {
			if id == old {
				id = holder.id
			}
			replaced.Voters = with(replaced.Voters, id)
		}
		lagging.node.log.configurations[0].configuration = replaced
		lagging.node.log.configurations = lagging.node.log.configurations[:1]
		holder.store.hardState.Log = log
	}
	s.start(holder)
	s.crash(leader)
	s.isolate(lagging.name, false)
	s.tickTimeouts(20)
	s.mustRecover(leader)
	return s
}

// countLaggingReplica lets a replica that lost its disk receive heartbeats but no entries. The variant
// treats each of its replies as an acknowledgement of the complete log.
func countLaggingReplica(t *testing.T, guarded bool) *sim {
	s := newSim(t, 15, "a", "b", "c")
	s.skipDurabilityCheck = true // Only the loss of the entries is to be detected.
	leader := s.elect()
	rejoined, third := s.followers(leader)[0], s.followers(leader)[1]
	s.loseDisk(rejoined)
	s.start(rejoined)
	s.mutate = func(h *host, m *Message) {
		if h == rejoined && (m.Kind == KindAppend || m.Kind == KindSnapshot) {
			m.To.Incarnation = 99 // The receiver rejects a message for another incarnation.
		}
		if h == rejoined && m.Kind == KindHeartbeat && !guarded {
			m.Commit = 0 // A follower rejects a commit index beyond its log, which would end the variant early.
		}
		if h == leader && m.From == rejoined.id && m.Kind == KindHeartbeatReply && !guarded {
			m.Kind, m.Index = KindAppendReply, leader.node.LastIndex()
		}
	}
	s.tickTimeouts(10)
	s.isolate(third.name, true)
	if promoted := leader.node.Configuration().IsVoter(rejoined.id); promoted == guarded {
		t.Errorf("guarded %t, promoted %t", guarded, promoted)
	}
	before := s.highestCommit
	s.propose(leader, "one copy")
	s.deliverAll()
	for range testHeartbeatTicks + 1 {
		s.tickAll()
	}
	if committed := s.highestCommit > before; committed == guarded {
		t.Errorf("guarded %t, committed %t", guarded, committed)
	}
	s.crash(leader)
	s.mutate = nil
	s.isolate(third.name, false)
	s.tickTimeouts(20)
	if guarded {
		s.mustRecover(leader)
	}
	return s
}

// Guards against a replica that becomes a voter again after a disk loss before it holds all committed
// entries. Directly after it rejoins, another replica loses its disk, and the first one and the third must
// continue with all entries.
func TestDiskLossRightAfterRejoin(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, "a", "b", "c")
		leader, holder, lagging := commitWithoutOneFollower(s)
		s.isolate(lagging.name, false)
		s.tickTimeouts(1)
		s.loseDisk(holder)
		s.start(holder)
		for range 20 * testElectionTicks {
			s.tickAll()
			if leader.node.Configuration().IsVoter(holder.id) && len(leader.node.Configuration().Voters) == 3 {
				break
			}
		}
		s.loseDisk(leader)
		s.start(leader)
		s.tickTimeouts(20)
		s.requireNoViolation()
		next := s.leader()
		if next == nil || len(next.node.Configuration().Voters) != 3 || !next.node.Configuration().IsVoter(leader.id) {
			t.Fatalf("seed %d: the second replica that lost its disk is not a voter again", seed)
		}
		if len(s.committed) < 6 || leader.stateHash != next.stateHash {
			t.Fatalf("seed %d: committed entries are missing", seed)
		}
	}
}

// Guards against randomized schedules that cause too few faults to detect a missing safeguard. Without each
// of the safeguards, one of the first seeds must violate an invariant.
func TestSchedulesDetectMissingSafeguards(t *testing.T) {
	cases := []struct {
		name   string
		remove func(s *schedule)
	}{
		{"acknowledgement before the sync", func(s *schedule) {
			s.sendBeforeSync = true
			s.crashAt = func(_ *host, point string) bool {
				return point == "between early send and sync" && s.random.IntN(100) == 0
			}
		}},
		{"disk loss that keeps the old ID", func(s *schedule) {
			s.storageAfterLoss = func(h *host) *MemoryStorage {
				return &MemoryStorage{hardState: HardState{Log: h.store.hardState.Log}}
			}
		}},
		{"rejection treated as an acknowledgement", func(s *schedule) {
			s.mutate = func(_ *host, m *Message) {
				if m.Kind == KindAppendReply && m.Reject {
					m.Reject, m.Hint, m.HintTerm = false, 0, 0
				}
			}
		}},
	}
	const seeds = 300
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSchedule(t, seed)
				c.remove(s)
				s.run()
				if s.violation != "" {
					t.Logf("seed %d: %s", seed, s.violation)
					return
				}
			}
			t.Errorf("%d schedules detected no violation", seeds)
		})
	}
}
