package consensus

// Ready is what the driver must do, in this order:
//
//  1. Send Early. These messages of a leader depend on nothing that is persisted below.
//  2. Persist HardState, Snapshot and Entries, and sync them when MustSync is set. Entries replace
//     everything stored from the first one's index on; Snapshot replaces the whole stored log.
//  3. Send Messages. They hold votes and acknowledgements, which promise that step 2 is durable.
//  4. Restore Snapshot, then apply Committed, then serve Reads whose Index is applied.
//  5. Call Advance.
//
// When step 2 fails, nothing of the later steps may happen, and the node must not be used again.
type Ready struct {
	MessagesBeforeSync []Message
	HardState          *HardState // nil when unchanged
	Snapshot           *Snapshot  // from the leader
	Entries            []Entry
	MustSync           bool
	MessagesAfterSync  []Message
	Committed          []Entry
	Reads              []Read   // confirmed
	AbortedReads       []uint64 // reads that ended with the leadership
}

// IsEmpty reports whether there is nothing to do.
func (r *Ready) IsEmpty() bool {
	return len(r.MessagesBeforeSync) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.MessagesAfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.AbortedReads) == 0
}

// maxCommittedBytes bounds the entries that one Ready hands out for applying.
const maxCommittedBytes = 4 << 20

// Ready returns the work that accumulated. The next call must follow the Advance of this one.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.startRound()
		n.tellCommit()
	}
	r := Ready{
		Snapshot:     n.pendingSnapshot,
		Entries:      n.log.slice(n.log.persisted+1, n.log.last(), maxReadyBytes),
		Committed:    nil,
		Reads:        n.done,
		AbortedReads: n.aborted,
	}
	if n.hard != n.synced {
		hard := n.hard
		r.HardState = &hard
	}
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || !n.hard.sameDurable(n.synced)
	r.MessagesBeforeSync, r.MessagesAfterSync = n.splitOutbox()
	r.Committed = n.log.slice(n.log.applied+1, n.log.commit, maxCommittedBytes)
	n.done, n.aborted = nil, nil
	return r
}

// maxReadyBytes is no limit in practice: all entries of a Ready are persisted together, since its
// messages may acknowledge any of them.
const maxReadyBytes = 1 << 62

// splitOutbox separates the messages that may leave before the sync. A leader's appends and
// heartbeats promise nothing about its own disk: it counts itself only for what it synced. Its term
// must be durable though, or a restarted replica could send other entries in the same term.
func (n *Node) splitOutbox() (early, late []Message) {
	termDurable := n.role == Leader && n.synced.Term == n.hard.Term && n.synced.Log == n.hard.Log
	all := n.outbox
	n.outbox = nil
	for _, m := range all {
		fromLeader := m.Kind == KindAppend || m.Kind == KindHeartbeat || m.Kind == KindSnapshot
		if fromLeader && termDurable && m.Term == n.hard.Term {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	return early, late
}

// Advance confirms that everything in r was carried out.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.synced = *r.HardState
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
	n.leaveWhenRemoved()
}
