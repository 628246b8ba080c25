package consensus

// Read is a confirmed linearizable read: the state after applying the entry at Index contains everything
// that was committed when the read was accepted.
type Read struct {
	ID    uint64 // ID that was passed to ReadIndex
	Index uint64
}

// pendingRead is a read that waits until a quorum has replied to a heartbeat of its round or of a later
// one. The index is 0 until an entry of the leader's own term is committed.
type pendingRead struct {
	id, index, round uint64
}

// ReadIndex requests a linearizable read. The read appears in Ready.Reads once a quorum has confirmed,
// after this call, that this replica is still the leader, or in Ready.AbortedReads when the leadership ends
// first. Errors are *NotLeaderError or *OverloadedError.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if len(n.pendingReads) >= n.options.MaxPendingReads {
		return &OverloadedError{Resource: "reads", Limit: n.options.MaxPendingReads}
	}
	// The round starts when the next Ready is taken, so that all reads of one batch share it. Its number is
	// assigned here already: a reply to an earlier heartbeat must not confirm this read.
	read := pendingRead{id: id, round: n.readRound + 1}
	if n.committedOwnTerm() {
		read.index = n.log.commit
	}
	n.readRoundNeeded = true
	n.pendingReads = append(n.pendingReads, read)
	return nil
}

// startReadRound sends the heartbeats that confirm the reads which were accepted since the last round.
func (n *Node) startReadRound() {
	if !n.readRoundNeeded {
		return
	}
	n.readRoundNeeded = false
	n.readRound++
	n.broadcastHeartbeat()
	n.confirmReads()
}

// assignReadIndexes assigns an index to the reads that were accepted before an entry of the leader's own
// term was committed, and confirms the reads whose round is complete.
func (n *Node) assignReadIndexes() {
	if !n.committedOwnTerm() {
		return
	}
	for i := range n.pendingReads {
		if n.pendingReads[i].index == 0 {
			n.pendingReads[i].index = n.log.commit
		}
	}
	n.confirmReads()
}

// confirmReads adds the reads whose round a quorum has replied to to the next Ready. Rounds and indexes
// increase in the order of arrival, so the search ends at the first unconfirmed read.
func (n *Node) confirmReads() {
	confirmed := n.quorumValue(n.readRound, func(p *progress) uint64 { return p.ackedRound })
	count := 0
	for count < len(n.pendingReads) && n.pendingReads[count].index != 0 && n.pendingReads[count].round <= confirmed {
		n.confirmedReads = append(n.confirmedReads,
			Read{ID: n.pendingReads[count].id, Index: n.pendingReads[count].index})
		count++
	}
	n.pendingReads = append(n.pendingReads[:0], n.pendingReads[count:]...)
}

// abortReads aborts all pending reads when the leadership ends.
func (n *Node) abortReads() {
	for _, read := range n.pendingReads {
		n.abortedReads = append(n.abortedReads, read.id)
	}
	n.pendingReads = nil
	n.readRoundNeeded = false
}
