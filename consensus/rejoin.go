package consensus

import "slices"

// This file implements how an instance rejoins the log after it lost its disk. It returns with a newer
// incarnation and sends join requests to the instances that it knows from its settings, and to those that it
// discovers: other members reply with the instances of all members, and a message to its former incarnation comes
// from a member. The leader then proposes these changes, each after the previous one
// is committed:
//
//  1. AddLearner of the new ID, which starts to receive the log without counting towards a quorum.
//  2. Remove of the old ID, once the new one is caught up. The old replica is lost and cannot contribute to a
//     quorum, so the number of voters that must respond does not increase.
//  3. Promote of the new ID.
//
// Each step is an ordinary change of at most one voter. A new leader continues from the configuration in
// its log, which determines the next step.

// SupersedingIncarnation returns the newest incarnation of this instance that other replicas know, when it
// is newer than that of this replica and this replica has no log; otherwise it returns 0. A nonzero result
// means that a disk was lost and that the new incarnation is too low, which happens when the wall clock
// stepped back. The driver must then start the node again with a higher incarnation, because other replicas
// ignore the present one.
func (n *Node) SupersedingIncarnation() uint64 {
	if n.hasLog() || n.supersededBy <= n.self.Incarnation {
		return 0
	}
	return n.supersededBy
}

// replyIfSuperseded informs the replica from when a newer incarnation of its instance is known, as a member
// or as the bootstrap coordinator whose request this replica has accepted. It reports whether this is the
// case.
func (n *Node) replyIfSuperseded(from ID) bool {
	newest, _ := n.log.configuration().configuration.Newest(from.Instance)
	if own := n.hardState.Log; own.Instance == from.Instance && own.Incarnation > newest.Incarnation {
		newest = own
	}
	if newest.Incarnation <= from.Incarnation {
		return false
	}
	n.send(Message{Kind: KindJoin, To: from, Reject: true, Index: newest.Incarnation})
	return true
}

// sendJoinRequests sends a join request to every instance that may hold the log. A replica that is a member
// according to its own log also sends requests while it has no leader: the entry that added it may be lost.
func (n *Node) sendJoinRequests() {
	for _, name := range n.joinTargets() {
		n.send(Message{Kind: KindJoin, To: ID{Instance: name}})
	}
}

// sendMembers tells a replica that is no member which instances may lead the log.
func (n *Node) sendMembers(to ID) {
	var names []string
	if !n.leader.IsZero() {
		names = append(names, n.leader.Instance)
	}
	for _, id := range n.log.configuration().configuration.members() {
		if !slices.Contains(names, id.Instance) && len(names) < maxDiscovered {
			names = append(names, id.Instance)
		}
	}
	if len(names) > 0 {
		n.send(Message{Kind: KindMembers, To: to, Instances: names})
	}
}

// stepMisdirected learns from a message to another incarnation of this instance that its sender holds the log, and
// whether that incarnation is higher than that of this replica.
func (n *Node) stepMisdirected(m *Message) {
	if m.To.Instance != n.self.Instance || m.To.Incarnation == 0 || m.To == n.self || m.From.Instance == "" {
		return
	}
	n.supersededBy = max(n.supersededBy, m.To.Incarnation)
	n.discover([]string{m.From.Instance})
}

// discover adds instances that may hold the log to those that receive join requests, until a leader is known, and
// sends requests to the new ones at once. The oldest ones make room for them.
func (n *Node) discover(names []string) {
	if !n.leader.IsZero() {
		return
	}
	asked := n.joinTargets()
	for _, name := range names {
		if name == n.self.Instance || slices.Contains(asked, name) {
			continue
		}
		if len(n.discovered) == maxDiscovered {
			n.discovered = n.discovered[1:]
		}
		n.discovered = append(n.discovered, name)
		asked = append(asked, name)
		n.send(Message{Kind: KindJoin, To: ID{Instance: name}})
	}
}

// stepJoin handles a join request, or the reply to one. The leader adds the sender as a learner when its
// instance is a member with an older incarnation, or when the membership policy allows a new member.
func (n *Node) stepJoin(m Message) error {
	if m.Reject {
		n.supersededBy = max(n.supersededBy, m.Index)
		return nil
	}
	if n.replyIfSuperseded(m.From) {
		return nil
	}
	n.adoptExistingLog(m)
	n.redirectToExistingLog(m)
	configuration := n.log.configuration().configuration
	if configuration.Contains(m.From) {
		return nil
	}
	if n.role != Leader {
		n.sendMembers(m.From)
		return nil
	}
	if _, known := configuration.Newest(m.From.Instance); !known && !n.canAdmitLearner(configuration) {
		// Without a membership policy, an instance that is not a member must be added by an operator.
		return &UnknownSenderError{From: m.From, Kind: m.Kind}
	}
	if n.changeAllowed() {
		return n.ProposeChange(Change{Kind: AddLearner, ID: m.From})
	}
	return nil // The replica repeats its request.
}

// reconcileMembership proposes the membership change that is needed next, if any: the removal of a surplus
// voter, the next change for a caught-up learner, or the removal of a lost learner.
func (n *Node) reconcileMembership() {
	configuration := n.log.configuration().configuration
	if !n.changeAllowed() || n.removeSurplusVoter(configuration) {
		return
	}
	for _, learner := range configuration.Learners {
		if n.checkCaughtUp(learner) != nil {
			continue
		}
		change, wanted := n.nextChangeFor(configuration, learner)
		if wanted && n.ProposeChange(change) == nil {
			return
		}
	}
	n.removeLostLearner(configuration)
}

// nextChangeFor returns the next change on the way from a caught-up learner to a voter, and whether it is
// wanted.
func (n *Node) nextChangeFor(configuration Configuration, learner ID) (change Change, wanted bool) {
	for _, voter := range configuration.Voters {
		if voter.Instance == learner.Instance {
			return Change{Kind: Remove, ID: voter}, true
		}
	}
	if !n.options.MembershipPolicy.enabled() || len(configuration.Voters) < n.options.MembershipPolicy.TargetVoters {
		return Change{Kind: Promote, ID: learner}, true
	}
	// A lost voter is removed only after its replacement is promoted: if another disk is lost in between, the
	// lost voter can still return and complete a quorum.
	_, replaces := n.lostVoter(configuration)
	return Change{Kind: Promote, ID: learner}, replaces &&
		len(configuration.Voters) == n.options.MembershipPolicy.TargetVoters
}
