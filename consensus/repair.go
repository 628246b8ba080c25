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

// askToJoin asks every replica that may know the log to be added to it. A replica that finds itself
// in its own log asks as well, when it hears no leader: the entry that added it may be lost.
func (n *Node) askToJoin() {
	for _, name := range n.peers() {
		n.send(Message{Kind: KindJoin, To: ID{Instance: name}})
	}
}

// stepJoin starts the repair of an instance whose old identity is a member.
func (n *Node) stepJoin(m Message) error {
	n.releasePledge(m)
	n.returnPledge(m)
	if n.role != Leader {
		return nil
	}
	configuration := n.log.configuration().configuration
	if configuration.Contains(m.From) {
		return nil
	}
	if _, known := configuration.Newest(m.From.Instance); !known {
		// An instance that was never a member is added by an operator, not by its own wish.
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
	if len(configuration.Learners) == 0 || !n.changeAllowed() {
		return
	}
	for _, learner := range configuration.Learners {
		if n.caughtUp(learner) != nil {
			continue
		}
		change := Change{Kind: Promote, ID: learner}
		for _, voter := range configuration.Voters {
			if voter.Instance == learner.Instance {
				change = Change{Kind: Remove, ID: voter}
			}
		}
		if n.ProposeChange(change) == nil {
			return
		}
	}
}
