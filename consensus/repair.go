package consensus

// The repair of a lost disk. A replica that lost its disk returns under a newer incarnation of its
// instance and asks to join. The leader then proposes, one at a time and each after the previous one
// is committed:
//
//  1. AddLearner of the new identity, which starts to receive the log without counting.
//  2. Remove of the old identity, once the new one is caught up. The old one is lost, so it could
//     only be missing in a quorum: the voters that must answer are no more than before.
//  3. Promote of the new identity.
//
// Each step is an ordinary change of at most one voter. A new leader continues from the
// configuration in its log, which tells which step is next.

// SupersedingIncarnation returns the incarnation of this instance that the log knows, when it is newer than that
// of this replica and this replica has no log; otherwise 0. A disk was lost and the new incarnation
// was chosen too low, which happens when the wall clock stepped back. The driver must then start the
// node again under a higher incarnation; nobody counts the present one.
func (n *Node) SupersedingIncarnation() uint64 {
	if n.hasLog() || n.superseded <= n.self.Incarnation {
		return 0
	}
	return n.superseded
}

// answerSuperseded tells a replica without a log that a newer incarnation of its instance is known,
// as a member or as the founder that this replica pledged to. It reports whether that is so.
func (n *Node) answerSuperseded(from ID) bool {
	newest, _ := n.log.configuration().configuration.Newest(from.Instance)
	if own := n.hard.Log; own.Instance == from.Instance && own.Incarnation > newest.Incarnation {
		newest = own
	}
	if newest.Incarnation <= from.Incarnation {
		return false
	}
	n.send(Message{Kind: KindJoin, To: from, Reject: true, Index: newest.Incarnation})
	return true
}

// askToJoin asks every replica that may know the log to be added to it. A replica that finds itself
// in its own log asks as well, when it hears no leader: the entry that added it may be lost.
func (n *Node) askToJoin() {
	for _, name := range n.joinContacts() {
		n.send(Message{Kind: KindJoin, To: ID{Instance: name}})
	}
}

// stepJoin starts the repair of an instance whose old identity is a member.
func (n *Node) stepJoin(m Message) error {
	if m.Reject {
		n.superseded = max(n.superseded, m.Index)
		return nil
	}
	if n.answerSuperseded(m.From) {
		return nil
	}
	n.releasePledge(m)
	n.returnPledge(m)
	if n.role != Leader {
		return nil
	}
	configuration := n.log.configuration().configuration
	if configuration.Contains(m.From) {
		return nil
	}
	if _, known := configuration.Newest(m.From.Instance); !known && !n.admits(configuration) {
		// Without staffing an instance that was never a member is added by an operator, not by its own wish.
		return &UnknownSenderError{From: m.From, Kind: m.Kind}
	}
	if n.changeAllowed() {
		return n.ProposeChange(Change{Kind: AddLearner, ID: m.From})
	}
	return nil // The request is repeated.
}

// repair proposes the next change for a learner that is caught up.
func (n *Node) repair() {
	configuration := n.log.configuration().configuration
	if !n.changeAllowed() || n.removeSurplus(configuration) {
		return
	}
	for _, learner := range configuration.Learners {
		if n.caughtUp(learner) != nil {
			continue
		}
		change, wanted := n.changeFor(configuration, learner)
		if wanted && n.ProposeChange(change) == nil {
			return
		}
	}
	n.dropLostLearner(configuration)
}

// changeFor returns the change that brings a learner that is caught up closer to a vote.
func (n *Node) changeFor(configuration Configuration, learner ID) (change Change, wanted bool) {
	for _, voter := range configuration.Voters {
		if voter.Instance == learner.Instance {
			return Change{Kind: Remove, ID: voter}, true
		}
	}
	if !n.options.MembershipPolicy.enabled() || len(configuration.Voters) < n.options.MembershipPolicy.TargetVoters {
		return Change{Kind: Promote, ID: learner}, true
	}
	// The successor of a lost voter is promoted before that one is removed: should another disk be lost
	// in between, the lost voter can still return and complete a quorum.
	_, replaces := n.lostVoter(configuration)
	return Change{Kind: Promote, ID: learner}, replaces && len(configuration.Voters) == n.options.MembershipPolicy.TargetVoters
}
