package consensus

import "slices"

// MembershipPolicy lets the leader maintain the number of voters automatically: an instance that was never
// a member may join as a learner, a learner replaces a voter that has not replied for a long time, and lost
// learners are removed. Each step is an ordinary change of at most one voter with all its checks, so a
// voter is removed only while a quorum of the remaining voters responds.
type MembershipPolicy struct {
	TargetVoters int // desired number of voters, which must be odd; 0 disables the policy
	MaxLearners  int // maximum number of learners, which limits the load caused by instances that join
	// LostAfterTicks is the number of ticks without a reply after which a learner replaces a voter. It must
	// exceed ElectionTicks, so that a voter that only restarts remains a voter.
	LostAfterTicks int
}

// enabled reports whether the leader changes the membership automatically.
func (p MembershipPolicy) enabled() bool { return p.TargetVoters > 0 }

// lostLearnerFactor is how many times longer than a voter a learner may stay without a reply: removing a
// learner does not help the quorum, and the learner must receive the complete log again when it returns.
const lostLearnerFactor = 5

// canAdmitLearner reports whether an instance that is not a member may be added as a learner.
func (n *Node) canAdmitLearner(configuration Configuration) bool {
	return n.options.MembershipPolicy.enabled() &&
		len(configuration.Learners) < n.options.MembershipPolicy.MaxLearners
}

// silentTicks returns the age in ticks of the newest message to which a member has replied, to this leader or an
// earlier one; 0 if id has no progress.
func (n *Node) silentTicks(id ID) uint64 {
	p := n.progress[id]
	switch {
	case p == nil:
		return 0
	case !p.hasReplied:
		return n.ticks - p.formerContact
	}
	return n.ticks - p.contactTick
}

// silentVoters returns the voters that are silent, which followers need to know when they become leader.
func (n *Node) silentVoters() []SilentVoter {
	var silent []SilentVoter
	for _, id := range n.log.configuration().configuration.Voters {
		if p := n.progress[id]; p != nil && !n.isResponsive(p) {
			silent = append(silent, SilentVoter{ID: id, Ticks: n.silentTicks(id)})
		}
	}
	return silent
}

// recordSilence replaces what is known of silent voters by what the leader says.
func (n *Node) recordSilence(silent []SilentVoter) {
	n.silentSince = nil
	for _, voter := range silent {
		if n.silentSince == nil {
			n.silentSince = map[ID]uint64{}
		}
		n.silentSince[voter.ID] = n.ticks - min(voter.Ticks, n.ticks)
	}
}

// recordSilentLeader records when the leader that has been silent for an election timeout was last heard.
func (n *Node) recordSilentLeader() {
	if n.leader.IsZero() || n.leader == n.self {
		return
	}
	if n.silentSince == nil {
		n.silentSince = map[ID]uint64{}
	}
	n.silentSince[n.leader] = n.ticks - min(uint64(n.contactElapsed), n.ticks)
}

// lostVoter returns the voter that has been without a reply for the longest time, if that exceeds
// LostAfterTicks. A new leader gives each an election timeout to reply, whatever it knows of the time before.
func (n *Node) lostVoter(configuration Configuration) (ID, bool) {
	var lost ID
	longest := uint64(n.options.MembershipPolicy.LostAfterTicks)
	for _, id := range configuration.Voters {
		p := n.progress[id]
		if p == nil || n.isResponsive(p) {
			continue
		}
		if silent := n.silentTicks(id); silent > longest {
			lost, longest = id, silent
		}
	}
	return lost, !lost.IsZero()
}

// replacesLostVoter reports whether a promotion is the first half of the replacement of a lost voter, at or below the
// desired number of voters, and the responsive voters are a quorum of the larger configuration.
func (n *Node) replacesLostVoter(current, next Configuration) bool {
	_, lost := n.lostVoter(current)
	return n.options.MembershipPolicy.enabled() && lost &&
		len(current.Voters) <= n.options.MembershipPolicy.TargetVoters &&
		n.responsiveVoters(next) >= next.Quorum()
}

// weakens reports whether the removal of a voter leaves fewer voters than desired, although no learner of its instance
// takes its place. The responsive voters are known only as of an election timeout ago: if disks were lost since, too few
// of the remaining voters hold the log.
func (n *Node) weakens(current Configuration, id ID) bool {
	isReplaced := slices.ContainsFunc(current.Learners, func(learner ID) bool { return learner.Instance == id.Instance })
	return n.options.MembershipPolicy.enabled() && current.IsVoter(id) && !isReplaced &&
		len(current.Voters) <= n.options.MembershipPolicy.TargetVoters
}

// removeSurplusVoter removes a voter when there are more than desired. A removed voter that still runs joins
// again as a learner. The result is whether there is a surplus.
func (n *Node) removeSurplusVoter(configuration Configuration) bool {
	if !n.options.MembershipPolicy.enabled() || len(configuration.Voters) <= n.options.MembershipPolicy.TargetVoters {
		return false
	}
	if surplus, known := n.surplusVoter(configuration); known {
		// A rejected change is proposed again at the next tick.
		_ = n.ProposeChange(Change{Kind: Remove, ID: surplus})
	}
	return true
}

// surplusVoter returns the voter to remove when there are more than desired: the one that has been silent for the longest
// time or, if all reply, the last one that is not the leader. A new leader knows neither until each voter has replied to
// it or could have done so.
func (n *Node) surplusVoter(configuration Configuration) (surplus ID, known bool) {
	longest, isWaiting := uint64(0), false
	for _, id := range configuration.Voters {
		p := n.progress[id]
		switch {
		case id == n.self || p == nil:
		case !n.isResponsive(p):
			if silent := n.silentTicks(id); silent > longest {
				surplus, longest = id, silent
			}
		case !p.hasReplied:
			isWaiting = true
		case longest == 0:
			surplus = id
		}
	}
	return surplus, !surplus.IsZero() && (longest > 0 || !isWaiting)
}

// removeLostLearner removes a learner that has not replied for too long, so that replaced instances do not
// use up the maximum number of learners.
func (n *Node) removeLostLearner(configuration Configuration) {
	if !n.options.MembershipPolicy.enabled() || !n.changeAllowed() {
		return
	}
	for _, id := range configuration.Learners {
		if n.silentTicks(id) > uint64(n.options.MembershipPolicy.LostAfterTicks*lostLearnerFactor) {
			if n.ProposeChange(Change{Kind: Remove, ID: id}) == nil {
				return
			}
		}
	}
}

// SetJoinPeers sets further instances that receive join requests while this replica has no leader. They may
// be discovered at run time, and take no part in the bootstrap of a log.
func (n *Node) SetJoinPeers(names []string) { n.joinPeers = slices.Clone(names) }

// joinTargets returns the instances that receive join requests.
func (n *Node) joinTargets() []string {
	names := slices.Concat(n.peers(), n.joinPeers, n.discovered)
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == n.self.Instance })
}
