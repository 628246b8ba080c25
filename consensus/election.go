package consensus

// campaign starts a pre-vote or, after a won one, the vote itself. A pre-vote changes no durable
// state, so a replica that cannot win (partitioned, or behind) disturbs nobody.
func (n *Node) campaign(role Role) {
	kind, term := KindPreVote, n.hard.Term+1
	n.role = role
	n.leader = ID{}
	n.resetElection()
	n.votes = map[ID]bool{n.self: true}
	if role == Candidate {
		kind = KindVote
		n.hard.Term = term
		n.hard.Vote = n.self
	}
	n.campaignTick = n.ticks
	if n.countVotes() {
		return
	}
	for _, id := range n.log.configuration().configuration.Voters {
		if id != n.self {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
}

// learnerCampaignTimeouts is how many election timeouts a learner waits for a leader before it campaigns.
const learnerCampaignTimeouts = 4

// mayCampaign reports whether this replica asks for votes. Besides voters there are two, who do not
// count themselves. Both may hold the longest log, so that they refuse their vote to all others
// while it is needed:
//
//   - one whose removal is in its log but not known to be committed;
//   - a learner without a leader for long, as the entry that promotes it may be in other logs.
//
// Neither can do harm: whoever is elected has the votes of a quorum of voters, and a pre-vote
// disturbs no leader.
func (n *Node) mayCampaign() bool {
	placed := n.log.configuration()
	if placed.configuration.IsLearner(n.self) {
		return n.contactElapsed >= learnerCampaignTimeouts*n.options.ElectionTicks
	}
	return placed.configuration.IsVoter(n.self) ||
		placed.index > n.log.commit && n.log.configurationAt(n.log.commit).IsVoter(n.self)
}

// countVotes moves on when a quorum of voters agreed, and reports whether it did.
func (n *Node) countVotes() bool {
	configuration := n.log.configuration().configuration
	granted := 0
	for _, id := range configuration.Voters {
		if n.votes[id] {
			granted++
		}
	}
	if granted < configuration.Quorum() {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate)
	} else {
		n.becomeLeader()
	}
	return true
}

// inLease reports whether a leader may exist that relies on this replica not voting. A restarted
// replica assumes that it heard a leader right before it stopped.
func (n *Node) inLease() bool {
	return n.role == Leader || n.contactElapsed < n.options.ElectionTicks
}

func (n *Node) stepPreVote(m Message) {
	if m.Term > n.hard.Term && n.inLease() {
		return
	}
	granted := m.Term > n.hard.Term && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) stepVote(m Message) {
	if m.Term > n.hard.Term {
		if n.inLease() {
			return // Neither the term nor the vote changes: the leader keeps its quorum.
		}
		n.becomeFollower(m.Term, ID{})
	}
	free := n.hard.Vote.IsZero() && n.leader.IsZero() || n.hard.Vote == m.From
	granted := m.Term == n.hard.Term && free && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		// The reply leaves after this vote was synced, so a restart cannot vote twice in a term.
		n.hard.Vote = m.From
		n.contactElapsed = 0
		n.resetElection()
	}
	n.send(Message{Kind: KindVoteReply, To: m.From, Reject: !granted})
}

func (n *Node) stepVoteReply(m Message) {
	if m.Reject && m.Term > n.hard.Term {
		n.becomeFollower(m.Term, ID{})
		return
	}
	expected := n.role == PreCandidate && m.Kind == KindPreVoteReply && m.Term == n.hard.Term+1 ||
		n.role == Candidate && m.Kind == KindVoteReply && m.Term == n.hard.Term
	if !expected {
		return
	}
	n.votes[m.From] = !m.Reject
	if !n.countVotes() {
		n.retrySplitVote()
	}
}

// retrySplitVote shortens the wait of a candidate that can no longer win in its term. Two candidates
// that started together would otherwise double the time without a leader.
func (n *Node) retrySplitVote() {
	configuration := n.log.configuration().configuration
	refused := 0
	for _, id := range configuration.Voters {
		if granted, answered := n.votes[id]; answered && !granted {
			refused++
		}
	}
	if n.role == Candidate && len(configuration.Voters)-refused < configuration.Quorum() {
		n.electionTimeout = n.electionElapsed + 1 + n.options.Random.IntN(max(1, n.options.ElectionTicks/2))
	}
}

// becomeLeader starts the term's leadership with an empty entry: entries of earlier terms commit
// only together with it, and reads wait for it.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.self
	n.votes = nil
	n.heartbeatElapsed = 0
	n.heartbeatCommit = n.log.commit
	n.pendingChangeIndex = n.log.configuration().index
	n.progress = make(map[ID]*progress)
	n.termStartIndex = n.log.last() + 1
	n.uncommittedBytes = 0
	n.reconcileProgress()
	n.appendOwn(Entry{Kind: EntryEmpty})
}

// tickLeader gives up leadership when the newest messages that a quorum answered were sent too long
// ago. Followers count their lease from the receipt of those messages, which is later, and theirs is
// longer by leaseMarginTicks; so this leader stops before they elect another.
func (n *Node) tickLeader() {
	contact := n.quorumValue(n.ticks, func(p *progress) uint64 { return p.contactTick })
	if n.ticks-contact >= uint64(n.options.ElectionTicks-leaseMarginTicks) {
		n.StepDown()
		return
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.options.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
		n.heartbeatCommit = n.log.commit
	}
	n.reconcileMembership()
}
