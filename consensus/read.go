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
	if len(n.reads) >= n.options.MaxPendingReads {
		return &OverloadedError{Resource: "reads", Limit: n.options.MaxPendingReads}
	}
	// The round is started when the next Ready is taken, so that reads of one batch share it. The
	// number is reserved here: an answer to an earlier heartbeat must not confirm this read.
	read := pendingRead{id: id, round: n.round + 1}
	if n.committedOwnTerm() {
		read.index = n.log.commit
	}
	n.readDirty = true
	n.reads = append(n.reads, read)
	return nil
}

// startRound sends the heartbeats that confirm the reads accepted since the last one.
func (n *Node) startRound() {
	if !n.readDirty {
		return
	}
	n.readDirty = false
	n.round++
	n.broadcastHeartbeat()
	n.confirmReads()
}

// releaseReads gives an index to the reads that came before an entry of the own term was committed.
func (n *Node) releaseReads() {
	if !n.committedOwnTerm() {
		return
	}
	for i := range n.reads {
		if n.reads[i].index == 0 {
			n.reads[i].index = n.log.commit
		}
	}
	n.confirmReads()
}

// confirmReads hands out the reads whose round a quorum answered. Rounds and indexes grow with the
// order of arrival, so the first unconfirmed read ends the search.
func (n *Node) confirmReads() {
	confirmed := n.quorumOf(n.round, func(p *progress) uint64 { return p.round })
	count := 0
	for count < len(n.reads) && n.reads[count].index != 0 && n.reads[count].round <= confirmed {
		n.done = append(n.done, Read{ID: n.reads[count].id, Index: n.reads[count].index})
		count++
	}
	n.reads = append(n.reads[:0], n.reads[count:]...)
}

func (n *Node) abortReads() {
	for _, read := range n.reads {
		n.aborted = append(n.aborted, read.id)
	}
	n.reads = nil
	n.readDirty = false
}
