package consensus

// Read is a confirmed read: the state after applying Index holds everything that was committed when
// the read was accepted.
type Read struct {
	ID    uint64 // as passed to ReadIndex
	Index uint64
}

// pendingRead waits until a quorum answered a heartbeat of its round or a later one. index is 0
// until an entry of the leader's own term is committed.
type pendingRead struct {
	id, index, round uint64
}

// ReadIndex asks for a linearizable read. It appears in Ready.Reads once a quorum confirmed, after
// this call, that this replica still leads, or in Ready.Aborted when the leadership ends before. It
// returns *NotLeaderError or *OverloadedError.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if len(n.pendingReads) >= n.options.MaxPendingReads {
		return &OverloadedError{Resource: "reads", Limit: n.options.MaxPendingReads}
	}
	// The round is started when the next Ready is taken, so that reads of one batch share it. The
	// number is reserved here: an answer to an earlier heartbeat must not confirm this read.
	read := pendingRead{id: id, round: n.readRound + 1}
	if n.committedOwnTerm() {
		read.index = n.log.commit
	}
	n.readRoundNeeded = true
	n.pendingReads = append(n.pendingReads, read)
	return nil
}

// startReadRound sends the heartbeats that confirm the reads accepted since the last one.
func (n *Node) startReadRound() {
	if !n.readRoundNeeded {
		return
	}
	n.readRoundNeeded = false
	n.readRound++
	n.broadcastHeartbeat()
	n.confirmReads()
}

// assignReadIndexes gives an index to the reads that came before an entry of the own term was committed.
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

// confirmReads hands out the reads whose round a quorum answered. Rounds and indexes grow with the
// order of arrival, so the first unconfirmed read ends the search.
func (n *Node) confirmReads() {
	confirmed := n.quorumValue(n.readRound, func(p *progress) uint64 { return p.ackedRound })
	count := 0
	for count < len(n.pendingReads) && n.pendingReads[count].index != 0 && n.pendingReads[count].round <= confirmed {
		n.confirmedReads = append(n.confirmedReads, Read{ID: n.pendingReads[count].id, Index: n.pendingReads[count].index})
		count++
	}
	n.pendingReads = append(n.pendingReads[:0], n.pendingReads[count:]...)
}

func (n *Node) abortReads() {
	for _, read := range n.pendingReads {
		n.abortedReads = append(n.abortedReads, read.id)
	}
	n.pendingReads = nil
	n.readRoundNeeded = false
}
