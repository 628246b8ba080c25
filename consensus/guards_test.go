package consensus

import (
	"strings"
	"testing"
)

// Each scenario runs twice: with the guard, where every invariant must hold, and on a variant in
// which the test takes the guard away, where a check must fail. The second run shows that the first
// one would notice.
func TestGuards(t *testing.T) {
	cases := []struct {
		name     string
		scenario func(t *testing.T, guarded bool) *sim
		failure  string // of the variant
	}{
		{"a replica with a lost disk does not vote again", voteAfterDiskLoss, "lacks committed entry"},
		{"a frozen leader answers no read after its successor was elected", readByFrozenLeader, "stale read"},
		{"an acknowledgement leaves after the sync", acknowledgeBeforeSync, "lacks committed entry"},
		{"a second loss right after a repair", secondFailureAfterRejoin, "lacks committed entry"},
		{"a replica that is not caught up does not count", countLaggingReplica, "lacks committed entry"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if s := c.scenario(t, true); s.violation != "" {
				t.Errorf("with the guard: %s", s.violation)
			}
			if s := c.scenario(t, false); !strings.Contains(s.violation, c.failure) {
				t.Errorf("without the guard the failure is %q, want %q", s.violation, c.failure)
			}
		})
	}
}

// commitWithoutOneFollower elects a leader and commits entries that one follower does not get. It returns the
// leader, the follower that has them, and the one that lags and is isolated.
func commitWithoutOneFollower(s *sim) (leader, holder, behind *host) {
	leader = s.elect()
	holder, behind = s.followers(leader)[0], s.followers(leader)[1]
	s.isolate(behind.name, true)
	for range 5 {
		s.propose(leader, "committed")
		s.deliverAll()
	}
	return leader, holder, behind
}

func (s *sim) tickTimeouts(timeouts int) {
	for range timeouts * testElectionTicks {
		if s.violation == "" {
			s.tickAll()
		}
	}
}

// mustRecover restarts a crashed host; then the group must work and hold everything again.
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
			s.t.Errorf("%s is not repaired: %d of %d entries", id, s.hosts[id.Instance].node.Commit(), s.highestCommit)
		}
	}
}

// voteAfterDiskLoss: entries are committed by two of three. One of the two loses its disk, the other
// stops. The variant lets the lost one return under its old identity.
func voteAfterDiskLoss(t *testing.T, guarded bool) *sim {
	s := newSim(t, 11, "a", "b", "c")
	leader, holder, behind := commitWithoutOneFollower(s)
	if !guarded {
		s.storageAfterLoss = func(h *host) *MemoryStorage {
			return &MemoryStorage{hard: HardState{Log: h.store.hard.Log}}
		}
	}
	s.crash(leader)
	s.loseDisk(holder)
	s.start(holder)
	s.isolate(behind.name, false)
	s.tickTimeouts(20)
	s.mustRecover(leader)
	return s
}

// readByFrozenLeader: a leader freezes, its successor commits, and the frozen one wakes up with a
// read to serve. The variant serves it from its own commit index. Neither run calls StepDown on
// waking, so that the confirmation alone is tested.
func readByFrozenLeader(t *testing.T, guarded bool) *sim {
	s := newSim(t, 12, "a", "b", "c")
	old := s.elect()
	old.frozen = true
	s.propose(s.elect(), "newer")
	s.deliverAll()
	old.frozen = false
	if old.node.role != Leader {
		t.Fatal("the frozen replica should still take itself for the leader")
	}
	s.read(old)
	if !guarded {
		s.apply(old, Ready{Reads: []Read{{ID: old.nextReadID, Index: old.node.Commit()}}})
	}
	s.tickTimeouts(3)
	if guarded && s.reads != 0 {
		t.Error("the outdated leader answered a read")
	}
	return s
}

// acknowledgeBeforeSync: a follower crashes in the middle of storing an entry that the third one
// does not get. The variant sends the acknowledgement first.
func acknowledgeBeforeSync(t *testing.T, guarded bool) *sim {
	s := newSim(t, 13, "a", "b", "c")
	s.sendBeforeSync = !guarded
	s.skipDurabilityCheck = true // Only the loss itself shall be noticed.
	leader, holder, behind := commitWithoutOneFollower(s)
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
	s.isolate(behind.name, false)
	s.tickTimeouts(20)
	return s
}

// secondFailureAfterRejoin: a replica lost its disk and returned; right after, the other holder of the
// committed entries stops. The variant replaces the old identity in place, in the configuration of
// every replica, instead of through the log and only after it caught up.
func secondFailureAfterRejoin(t *testing.T, guarded bool) *sim {
	s := newSim(t, 14, "a", "b", "c")
	leader, holder, behind := commitWithoutOneFollower(s)
	old := holder.id
	s.loseDisk(holder)
	if !guarded {
		log := leader.node.hard.Log
		replaced := Configuration{}
		for _, id := range leader.node.Configuration().Voters {
			if id == old {
				id = holder.id
			}
			replaced.Voters = with(replaced.Voters, id)
		}
		behind.node.log.configurations[0].configuration = replaced
		behind.node.log.configurations = behind.node.log.configurations[:1]
		holder.store.hard.Log = log
	}
	s.start(holder)
	s.crash(leader)
	s.isolate(behind.name, false)
	s.tickTimeouts(20)
	s.mustRecover(leader)
	return s
}

// countLaggingReplica: the returned replica gets heartbeats but no entries. The variant takes each
// of its answers for an acknowledgement of the whole log.
func countLaggingReplica(t *testing.T, guarded bool) *sim {
	s := newSim(t, 15, "a", "b", "c")
	s.skipDurabilityCheck = true // Only the loss itself shall be noticed.
	leader := s.elect()
	repaired, third := s.followers(leader)[0], s.followers(leader)[1]
	s.loseDisk(repaired)
	s.start(repaired)
	s.mutate = func(h *host, m *Message) {
		if h == repaired && (m.Kind == KindAppend || m.Kind == KindSnapshot) {
			m.To.Incarnation = 99 // refused
		}
		if h == repaired && m.Kind == KindHeartbeat && !guarded {
			m.Commit = 0 // A follower refuses a commit index beyond its log, which would end the variant early.
		}
		if h == leader && m.From == repaired.id && m.Kind == KindHeartbeatReply && !guarded {
			m.Kind, m.Index = KindAppendReply, leader.node.LastIndex()
		}
	}
	s.tickTimeouts(10)
	s.isolate(third.name, true)
	if promoted := leader.node.Configuration().IsVoter(repaired.id); promoted == guarded {
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

// Guards against a repair that is finished in name only: right after it, the disk of another replica
// is lost, and the repaired one must carry on with the third.
func TestDiskLossRightAfterRejoin(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, "a", "b", "c")
		leader, holder, behind := commitWithoutOneFollower(s)
		s.isolate(behind.name, false)
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
			t.Fatalf("seed %d: not repaired a second time", seed)
		}
		if len(s.committed) < 6 || leader.stateHash != next.stateHash {
			t.Fatalf("seed %d: entries are missing", seed)
		}
	}
}

// Guards against randomized schedules that are too tame to notice a missing guard: with each guard
// removed, one of the first seeds must violate an invariant.
func TestSchedulesDetectMissingGuards(t *testing.T) {
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
		{"lost disk under the old identity", func(s *schedule) {
			s.storageAfterLoss = func(h *host) *MemoryStorage {
				return &MemoryStorage{hard: HardState{Log: h.store.hard.Log}}
			}
		}},
		{"refusal taken for an acknowledgement", func(s *schedule) {
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
			t.Errorf("%d schedules noticed nothing", seeds)
		})
	}
}
