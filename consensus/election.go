package consensus

// campaign starts a pre-vote or, after a successful pre-vote, the election itself. A pre-vote changes no
// durable state, so a replica that cannot win (because it is partitioned or lags behind) does not depose a
// working leader.
func (n *Node) campaign(role Role) {
	n.role = role
	n.leader = ID{}
	n.resetElection()
	n.votes = map[ID]bool{n.self: true}
	if role == Candidate {
		n.hardState.Term++
		n.hardState.Vote = n.self
	}
	n.campaignTick = n.ticks
	if n.countVotes() {
		return
	}
	n.requestVotes()
}

// requestVotes asks the voters that have not replied in this campaign for their votes.
func (n *Node) requestVotes() {
	kind, term := KindPreVote, n.hardState.Term+1
	if n.role == Candidate {
		kind, term = KindVote, n.hardState.Term
	}
	for _, id := range n.log.configuration().configuration.Voters {
		if _, replied := n.votes[id]; !replied {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
}

// tickCampaign repeats the requests for votes at the heartbeat interval. A request or a reply may be lost, and a
// voter ignores a request while it may rely on the lease of the former leader.
func (n *Node) tickCampaign() {
	if n.votes != nil && (n.ticks-n.campaignTick)%uint64(n.options.HeartbeatTicks) == 0 {
		n.requestVotes()
	}
}

// learnerCampaignTimeouts is the number of election timeouts without contact to a leader after which a
// learner campaigns.
const learnerCampaignTimeouts = 4

// mayCampaign reports whether this replica may start an election. Voters may, and so may two other kinds of
// replicas, which do not count their own vote:
//
//   - a replica whose removal is in its log but not known to be committed;
//   - a learner that has had no leader for a long time, because other logs may hold the entry that promotes
//     it.
//
// Either of these may hold the longest log and reject the vote requests of all other replicas, although its
// vote is needed, so that no other replica could be elected. Both cases are safe: an elected leader has the
// votes of a quorum of voters, and a pre-vote does not depose a leader.
func (n *Node) mayCampaign() bool {
	current := n.log.configuration()
	if current.configuration.IsLearner(n.self) {
		return n.contactElapsed >= learnerCampaignTimeouts*n.options.ElectionTicks
	}
	return current.configuration.IsVoter(n.self) ||
		current.index > n.log.commit && n.log.configurationAt(n.log.commit).IsVoter(n.self)
}

// countVotes starts the next step of the election once a quorum of voters has granted its votes: the vote
// after a pre-vote, or the leadership after a vote. It reports whether there is such a quorum.
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

// inLease reports whether a leader may exist whose lease relies on this replica not voting. A restarted
// replica assumes that it received a message from a leader right before it stopped.
func (n *Node) inLease() bool {
	return n.role == Leader || n.contactElapsed < n.options.ElectionTicks
}

// stepPreVote replies to a pre-vote request. It ignores a request for a later term while the lease of a
// leader may be active.
func (n *Node) stepPreVote(m Message) {
	if m.Term > n.hardState.Term && n.inLease() {
		return
	}
	granted := m.Term > n.hardState.Term && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.send(reply)
}

// stepVote handles a vote request. It ignores a request for a later term while the lease of a leader may be
// active.
func (n *Node) stepVote(m Message) {
	if m.Term > n.hardState.Term {
		if n.inLease() {
			return // Term and vote stay unchanged, so that the leader keeps its quorum.
		}
		n.becomeFollower(m.Term, ID{})
	}
	canVote := n.hardState.Vote.IsZero() && n.leader.IsZero() || n.hardState.Vote == m.From
	granted := m.Term == n.hardState.Term && canVote && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		// The reply is sent after this vote is synced, so the replica cannot vote twice in a term after a
		// restart.
		n.hardState.Vote = m.From
		n.contactElapsed = 0
		n.resetElection()
	}
	n.send(Message{Kind: KindVoteReply, To: m.From, Reject: !granted})
}

// stepVoteReply records the reply to a pre-vote or vote request of the current campaign.
func (n *Node) stepVoteReply(m Message) {
	if m.Reject && m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, ID{})
		return
	}
	expected := n.role == PreCandidate && m.Kind == KindPreVoteReply && m.Term == n.hardState.Term+1 ||
		n.role == Candidate && m.Kind == KindVoteReply && m.Term == n.hardState.Term
	if !expected {
		return
	}
	n.votes[m.From] = !m.Reject
	if !n.countVotes() && m.Reject {
		n.retrySplitVote()
	}
}

// retrySplitVote shortens the election timeout of a candidate after a rejection. Otherwise two candidates that
// started at the same time would double the time without a leader. The candidate may still have enough voters
// left, but these are often the ones that are down.
func (n *Node) retrySplitVote() {
	if n.role == Candidate {
		retry := n.electionElapsed + 1 + n.options.Random.IntN(max(1, n.options.ElectionTicks/2))
		n.electionTimeout = min(n.electionTimeout, retry)
	}
}

// becomeLeader makes this replica the leader of its term and appends an empty entry: entries of earlier terms
// are committed only together with it, and reads wait until it is committed.
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

// tickLeader steps down when the newest messages that a quorum has replied to were sent too long ago.
// Followers measure the lease from the receipt of those messages, which is later, and their lease is longer
// by leaseMarginTicks. The leader therefore steps down before the followers elect another one. Otherwise
// tickLeader sends the heartbeats that are due and proposes the next membership change.
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
