package consensus

import (
	"testing"

	"github.com/matryer/is"
)

var testMembershipPolicy = MembershipPolicy{TargetVoters: 3, MaxLearners: 4, LostAfterTicks: 3 * testElectionTicks}

// newPolicySim returns a simulation of three initial voters with the membership policy testMembershipPolicy.
func newPolicySim(t *testing.T, seed uint64) *sim {
	s := &sim{}
	*s = *newSim(t, seed)
	s.membershipPolicy = testMembershipPolicy
	s.initialVoters = []string{"a", "b", "c"}
	for _, name := range s.initialVoters {
		s.add(name)
	}
	return s
}

// waitForVoters advances the simulation until the leader's committed configuration has exactly these voters.
func (s *sim) waitForVoters(names ...string) {
	s.t.Helper()
	want := map[string]bool{}
	for _, name := range names {
		want[name] = true
	}
	for range 60 * testElectionTicks {
		s.tickAll()
		h := s.leader()
		if h == nil {
			continue
		}
		got := h.node.Configuration().Voters
		same := len(got) == len(want) && h.node.log.commit >= h.node.log.configuration().index
		for _, id := range got {
			same = same && want[id.Instance]
		}
		if same {
			return
		}
	}
	s.t.Fatalf("the voters did not become %v; leader %v", names, s.leader())
}

// Guards against a permanently lost replica that remains a voter. After several such losses, no quorum
// would be left.
func TestReplacementsKeepQuorum(t *testing.T) {
	s := newPolicySim(t, 1)
	s.elect()
	current := []string{"a", "b", "c"}
	for i, successor := range []string{"d", "e", "f", "g"} {
		lost := current[0]
		s.crash(s.hosts[lost])
		s.add(successor)
		current = append(current[1:], successor)
		s.waitForVoters(current...)
		s.propose(s.elect(), "after replacement")
		s.deliverAll()
		s.requireNoViolation()
		if i == 0 {
			s.propose(s.elect(), "once more")
		}
	}
}

// Guards against a voter that was replaced while it was partitioned, and does not join again as a learner.
func TestReplacedVoterReturnsAsLearner(t *testing.T) {
	is := is.New(t)
	s := newPolicySim(t, 2)
	s.add("d")
	s.elect()
	s.waitForVoters("a", "b", "c")
	s.isolate("c", true)
	s.waitForVoters("a", "b", "d")
	s.isolate("c", false)
	for range 20 * testElectionTicks {
		s.tickAll()
	}
	leader := s.elect()
	is.Equal(len(leader.node.Configuration().Voters), 3)
	is.True(leader.node.Configuration().Contains(s.hosts["c"].id))
	s.requireNoViolation()
}

// Guards against the replacement of a voter that only restarts.
func TestRestartedVoterKeepsVote(t *testing.T) {
	is := is.New(t)
	s := newPolicySim(t, 3)
	s.add("d")
	s.elect()
	s.waitForVoters("a", "b", "c")
	s.crash(s.hosts["b"])
	for range testElectionTicks {
		s.tickAll()
	}
	s.start(s.hosts["b"])
	s.waitForVoters("a", "b", "c")
	is.True(s.elect().node.Configuration().IsVoter(s.hosts["b"].id))
}

// Guards against an instance that adds itself to a log without a membership policy, where only operators add
// members.
func TestUnknownInstanceNotAdmittedWithoutPolicy(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4, "a", "b", "c")
	s.elect()
	s.add("d")
	for range 20 * testElectionTicks {
		s.tickAll()
	}
	is.True(!s.elect().node.Configuration().Contains(s.hosts["d"].id))
}

// Guards against lost committed entries, two leaders in a term, and stale reads, under randomized sequences
// of faults while the leader changes the membership automatically.
func TestRandomizedSchedulesWithMembershipPolicy(t *testing.T) {
	commits, diskLosses := uint64(0), 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*schedules)/2; seed++ {
		s := newSchedule(t, seed)
		s.membershipPolicy = testMembershipPolicy
		for _, name := range s.hostNames {
			s.start(s.hosts[name])
		}
		s.add("y")
		s.run()
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		s.heal()
		if s.violation != "" {
			t.Fatalf("seed %d, after healing: %s", seed, s.violation)
		}
		commits += s.highestCommit
		diskLosses += s.diskLosses
	}
	t.Logf("%d entries committed, %d disks lost", commits, diskLosses)
	if commits == 0 || diskLosses == 0 {
		t.Error("the schedules caused no commits or no disk losses")
	}
}
