package consensus

import "slices"

// MembershipPolicy lets the leader keep the number of voters by itself: an instance that was never a member
// may join as a learner, a learner takes the place of a voter that has been silent for long, and
// learners that are gone are dropped. Each step is an ordinary change of at most one voter with all
// its guards, so a voter is only removed while a quorum of the remaining ones answers.
type MembershipPolicy struct {
	TargetVoters int // wanted number of voters, odd; 0 disables staffing
	MaxLearners  int // most learners, which bounds what joining instances can cause
	// LostAfterTicks is how long a voter must be silent before a learner takes its place. It must exceed
	// ElectionTicks, so that a voter that only restarts keeps its place.
	LostAfterTicks int
}

func (s MembershipPolicy) enabled() bool { return s.TargetVoters > 0 }

// lostLearnerFactor is how many times longer than a voter a learner may be silent: dropping one
// changes nothing for a quorum, and it has to read the whole log again when it returns.
const lostLearnerFactor = 5

// admits reports whether an instance that was never a member may be added.
func (n *Node) admits(configuration Configuration) bool {
	return n.options.MembershipPolicy.enabled() && len(configuration.Learners) < n.options.MembershipPolicy.MaxLearners
}

func (n *Node) silentFor(id ID) uint64 {
	p := n.progress[id]
	if p == nil {
		return 0
	}
	return n.ticks - p.contactTick
}

// lostVoter returns the voter that has been silent longest, when that is too long.
func (n *Node) lostVoter(configuration Configuration) (ID, bool) {
	var lost ID
	longest := uint64(n.options.MembershipPolicy.LostAfterTicks)
	for _, id := range configuration.Voters {
		if silent := n.silentFor(id); id != n.self && silent > longest {
			lost, longest = id, silent
		}
	}
	return lost, !lost.IsZero()
}

// replacesLost reports whether a promotion to more voters than wanted is the first half of the
// replacement of a lost one, and the voters that are heard are a quorum of the larger number.
func (n *Node) replacesLost(current, next Configuration) bool {
	_, lost := n.lostVoter(current)
	return n.options.MembershipPolicy.enabled() && lost && len(current.Voters) == n.options.MembershipPolicy.TargetVoters &&
		n.heardVoters(next) >= next.Quorum()
}

// removeSurplus removes a voter beyond the wanted number: the lost one, or one that returned before it
// was removed, which then joins as a learner. It reports whether there is a surplus.
func (n *Node) removeSurplus(configuration Configuration) bool {
	if !n.options.MembershipPolicy.enabled() || len(configuration.Voters) <= n.options.MembershipPolicy.TargetVoters {
		return false
	}
	surplus, found := n.lostVoter(configuration)
	for i := len(configuration.Voters) - 1; i >= 0 && !found; i-- {
		surplus = configuration.Voters[i]
		found = surplus != n.self
	}
	// A change that is refused is proposed again with the next tick.
	_ = n.ProposeChange(Change{Kind: Remove, ID: surplus})
	return true
}

// dropLostLearner removes a learner that is silent, so that the places of learners don't fill up with
// instances that were replaced.
func (n *Node) dropLostLearner(configuration Configuration) {
	if !n.options.MembershipPolicy.enabled() || !n.changeAllowed() {
		return
	}
	for _, id := range configuration.Learners {
		if n.silentFor(id) > uint64(n.options.MembershipPolicy.LostAfterTicks*lostLearnerFactor) {
			if n.ProposeChange(Change{Kind: Remove, ID: id}) == nil {
				return
			}
		}
	}
}

// SetJoinPeers names further instances that are asked for membership while no leader is heard. They
// may be learned at run time, and have no say in founding a log.
func (n *Node) SetJoinPeers(names []string) { n.contacts = slices.Clone(names) }

// joinContacts returns the instances to ask for membership.
func (n *Node) joinContacts() []string {
	names := append(n.peers(), n.contacts...)
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == n.self.Instance })
}
