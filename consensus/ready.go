package consensus

// Ready contains the work that the driver must carry out, in this order:
//
//  1. Send MessagesBeforeSync. These messages of a leader do not depend on anything that step 2 persists.
//  2. Persist HardState, Snapshot and Entries, and sync them when MustSync is set. Entries replace all stored
//     entries from the index of the first one; Snapshot replaces the complete stored log.
//  3. Send MessagesAfterSync. They contain votes and acknowledgements, which require that step 2 is durable.
//  4. Restore Snapshot, then apply Committed, then serve Reads whose Index is applied.
//  5. Call Advance.
//
// When step 2 fails, the driver must not carry out any of the later steps, and must not use the node again.
type Ready struct {
	MessagesBeforeSync []Message
	HardState          *HardState // nil when unchanged
	Snapshot           *Snapshot  // snapshot received from the leader; nil when there is none
	Entries            []Entry
	MustSync           bool
	MessagesAfterSync  []Message
	Committed          []Entry
	Reads              []Read   // confirmed reads
	AbortedReads       []uint64 // IDs of reads that were not confirmed before the leadership ended
}

// IsEmpty reports whether there is no work to carry out.
func (r *Ready) IsEmpty() bool {
	return len(r.MessagesBeforeSync) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.MessagesAfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.AbortedReads) == 0
}

// maxCommittedBytes limits the size of the entries that one Ready contains for applying.
const maxCommittedBytes = 4 << 20

// Ready returns the work that has accumulated since the last call. The driver must call Advance with the
// result before it calls Ready again.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.startReadRound()
		n.sendCommitUpdates()
	}
	r := Ready{
		Snapshot:     n.pendingSnapshot,
		Entries:      n.log.slice(n.log.persisted+1, n.log.last(), maxReadyBytes),
		Committed:    nil,
		Reads:        n.confirmedReads,
		AbortedReads: n.abortedReads,
	}
	if n.hardState != n.syncedState {
		hard := n.hardState
		r.HardState = &hard
	}
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || !n.hardState.sameDurableState(n.syncedState)
	r.MessagesBeforeSync, r.MessagesAfterSync = n.splitOutbox()
	r.Committed = n.log.slice(n.log.applied+1, n.log.commit, maxCommittedBytes)
	n.confirmedReads, n.abortedReads = nil, nil
	return r
}

// maxReadyBytes is higher than the size of any log: a Ready contains all entries that are to be persisted,
// because its messages may acknowledge any of them.
const maxReadyBytes = 1 << 62

// splitOutbox separates the queued messages that may be sent before the sync from the others. A leader's
// appends, heartbeats and snapshots do not depend on its own disk, because it counts itself only for
// entries that it has synced. Its term must be durable, however: otherwise it could restart and send other
// entries in the same term.
func (n *Node) splitOutbox() (beforeSync, afterSync []Message) {
	termDurable := n.role == Leader && n.syncedState.Term == n.hardState.Term && n.syncedState.Log == n.hardState.Log
	all := n.outbox
	n.outbox = nil
	for _, m := range all {
		fromLeader := m.Kind == KindAppend || m.Kind == KindHeartbeat || m.Kind == KindSnapshot
		if fromLeader && termDurable && m.Term == n.hardState.Term {
			beforeSync = append(beforeSync, m)
		} else {
			afterSync = append(afterSync, m)
		}
	}
	return beforeSync, afterSync
}

// Advance confirms that the driver has carried out everything in r.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.syncedState = *r.HardState
	}
	if r.Snapshot != nil && r.Snapshot == n.pendingSnapshot {
		n.pendingSnapshot = nil
	}
	if count := len(r.Entries); count > 0 {
		last := r.Entries[count-1]
		if n.log.matches(last.Index, last.Term) {
			n.log.persisted = max(n.log.persisted, last.Index)
		}
	}
	if count := len(r.Committed); count > 0 {
		n.log.applied = max(n.log.applied, r.Committed[count-1].Index)
	}
	n.maybeCommit()
	n.stepDownIfRemoved()
}
