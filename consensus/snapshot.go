package consensus

// SnapshotAt returns a snapshot that contains data, the state of the state machine after applying the entry
// at index. This entry must be applied and not compacted. The driver must store the snapshot and then call
// Compact.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, &CompactedError{Index: index, First: n.log.base, Last: n.log.applied}
	}
	return Snapshot{Index: index, Term: term, Configuration: n.log.configurationAt(index), Data: data}, nil
}

// Compact removes the entries up to index, which a durable snapshot must cover. Followers that still need
// these entries receive the snapshot.
func (n *Node) Compact(index uint64) error {
	if index < n.log.base || index > min(n.log.applied, n.log.persisted) {
		return &CompactedError{Index: index, First: n.log.base, Last: n.log.applied}
	}
	n.log.compact(index)
	return nil
}

// sendSnapshot sends the newest stored snapshot to a follower that needs compacted entries.
func (n *Node) sendSnapshot(id ID, p *progress) {
	s, err := n.options.Storage.Snapshot()
	if err != nil || s == nil {
		p.paused = true // The next heartbeat reply triggers another attempt.
		return
	}
	p.state = restoring
	p.snapshotIndex = s.Index
	p.snapshotTick = n.ticks
	n.send(Message{Kind: KindSnapshot, To: id, Snapshot: s, Round: n.readRound, Tick: n.ticks})
}

// acceptSnapshot replaces the log with the leader's snapshot, unless the log already contains all entries
// that the snapshot covers. The reply is sent after the snapshot is synced.
func (n *Node) acceptSnapshot(m Message) {
	s := m.Snapshot
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Tick: m.Tick}
	switch {
	case s.Index <= n.log.commit:
		reply.Index = n.log.commit
	case n.log.matches(s.Index, s.Term):
		// The log matches the snapshot and may contain later entries, so it is kept.
		n.commitUpTo(s.Index)
		reply.Index = s.Index
	default:
		n.log.restore(s)
		n.hardState.Commit = s.Index
		n.pendingSnapshot = s
		reply.Index = s.Index
	}
	n.send(reply)
}

// EntriesAfter returns the entries after index. The driver stores them together with a snapshot.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.slice(max(index, n.log.base)+1, n.log.last(), maxReadyBytes)
}
