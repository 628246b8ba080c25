package consensus

// progressState determines how a leader sends entries to a follower.
type progressState uint8

const (
	probing     progressState = iota // sends one append at a time until the matching index is found
	replicating                      // sends appends in a pipeline
	restoring                        // waits for the reply to a snapshot
)

var progressNames = [...]string{"probing", "replicating", "restoring"}

// progress is the replication state of a member, as the leader knows it. Invariants: match < next; entries
// up to match are synced at the follower and equal to the leader's; paused is set only in states other than
// replicating.
type progress struct {
	state         progressState
	match         uint64 // index of the highest entry that the member is known to hold
	next          uint64 // index of the next entry to send
	paused        bool   // sending waits for a reply; a heartbeat reply resets it while probing
	inflight      []uint64
	contactTick   uint64 // tick at which the newest message with a reply was sent
	hasReplied    bool   // whether there was a reply in this leader's term
	formerContact uint64 // tick of last contact to this leader or an earlier one, as of this leader's election
	ackedRound    uint64 // newest read round with a reply
	sentCommit    uint64 // highest commit index sent to the member
	snapshotIndex uint64 // index of the snapshot that was sent last
	snapshotTick  uint64 // tick at which that snapshot was sent
}

// startProbing resets the member to one append at a time, beginning with the entry at next.
func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = next
	p.paused = false
	p.inflight = p.inflight[:0]
}

// reconcileProgress makes progress contain exactly the other members of the configuration. A removed
// replica no longer receives entries or counts towards a quorum.
func (n *Node) reconcileProgress() {
	configuration := n.log.configuration().configuration
	for id := range n.progress {
		if !configuration.Contains(id) {
			delete(n.progress, id)
		}
	}
	for _, id := range configuration.members() {
		if id != n.self && n.progress[id] == nil {
			// The lease of a new leader starts when it requested votes.
			start := n.leaseStart()
			former, isSilent := n.silentSince[id]
			if !isSilent {
				former = start
			}
			n.progress[id] = &progress{next: n.log.last() + 1, contactTick: start, formerContact: min(former, start)}
		}
	}
}

// leaseStart returns the tick of last contact that is assumed for a member before its first reply: the tick
// of the vote request for members at the time of the election, and the current tick for members added
// later.
func (n *Node) leaseStart() uint64 {
	if n.log.last() < n.termStartIndex {
		return n.campaignTick
	}
	return n.ticks
}

// appendOwn appends an entry of the leader's own term to the log and sends it to the other members.
func (n *Node) appendOwn(e Entry) {
	e.Index = n.log.last() + 1
	e.Term = n.hardState.Term
	n.log.append([]Entry{e})
	n.broadcastAppend()
}

// broadcastAppend sends pending entries to all members. The order of members is fixed, so that equal inputs
// give equal outputs.
func (n *Node) broadcastAppend() {
	for _, id := range n.log.configuration().configuration.members() {
		if p := n.progress[id]; p != nil {
			n.sendAppends(id, p)
		}
	}
}

// broadcastHeartbeat sends a heartbeat to all members, in a fixed order.
func (n *Node) broadcastHeartbeat() {
	for _, id := range n.log.configuration().configuration.members() {
		if p := n.progress[id]; p != nil {
			n.sendHeartbeat(id, p)
		}
	}
}

// sendHeartbeat sends a heartbeat. Its commit index is limited to the entries that the follower is known to
// hold.
func (n *Node) sendHeartbeat(id ID, p *progress) {
	p.sentCommit = min(n.log.commit, p.match)
	n.send(Message{Kind: KindHeartbeat, To: id, Commit: p.sentCommit, Round: n.readRound, Tick: n.ticks, Silent: n.silentVoters()})
}

// sendCommitUpdates sends a heartbeat to each follower that has not been sent the current commit index.
// Otherwise followers would apply an entry only after the next regular heartbeat.
func (n *Node) sendCommitUpdates() {
	for _, id := range n.log.configuration().configuration.members() {
		if p := n.progress[id]; p != nil && p.sentCommit < min(n.log.commit, p.match) {
			n.sendHeartbeat(id, p)
		}
	}
}

// sendAppends sends as many appends as flow control allows.
func (n *Node) sendAppends(id ID, p *progress) {
	for n.sendAppend(id, p, false) {
	}
}

// sendAppend sends one append, or a snapshot when the entries were compacted, and reports whether another
// append can follow. With force, it also sends an append without entries, as a probe.
func (n *Node) sendAppend(id ID, p *progress, force bool) bool {
	full := p.state == replicating && len(p.inflight) >= n.options.MaxInflight
	if p.paused || p.state == restoring || full {
		return false
	}
	if p.next > n.log.last() && !force {
		return false
	}
	term, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.slice(p.next, n.log.last(), n.options.MaxMessageBytes)
	n.send(Message{
		Kind: KindAppend, To: id, Index: p.next - 1, LogTerm: term, Commit: n.log.commit,
		Entries: entries, Round: n.readRound, Tick: n.ticks,
	})
	if p.state == probing {
		p.paused = true
		return false
	}
	p.sentCommit = max(p.sentCommit, min(n.log.commit, p.next-1+uint64(len(entries))))
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	return len(entries) > 0
}

// stepFromLeader handles append, heartbeat and snapshot messages.
func (n *Node) stepFromLeader(m Message) {
	if m.Term < n.hardState.Term {
		// The sender is no longer the leader, or this replica entered a later term while it was
		// partitioned. The reply makes the sender enter that term; it confirms no lease or read, as it
		// echoes no tick or round.
		n.send(Message{Kind: KindHeartbeatReply, To: m.From})
		return
	}
	if m.Term > n.hardState.Term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.hardState.Log = m.Log
	n.discovered = nil
	n.electionElapsed = 0
	n.contactElapsed = 0
	switch m.Kind {
	case KindHeartbeat:
		n.recordSilence(m.Silent)
		n.commitUpTo(m.Commit)
		n.send(Message{Kind: KindHeartbeatReply, To: m.From, Index: n.log.last(), Round: m.Round, Tick: m.Tick})
	case KindAppend:
		n.acceptAppend(m)
	case KindSnapshot:
		n.acceptSnapshot(m)
	}
}

// acceptAppend appends entries to the log if it contains the entry before them. The reply is sent after
// they are synced.
func (n *Node) acceptAppend(m Message) {
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Tick: m.Tick}
	if m.Index < n.log.base {
		reply.Index = n.log.commit // Entries up to here are committed, so they are equal to the leader's.
		n.send(reply)
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint, reply.HintTerm = n.log.conflictHint(m.Index, m.LogTerm)
		n.send(reply)
		return
	}
	if conflict := n.log.firstConflict(m.Entries); conflict != 0 {
		if conflict <= n.log.last() {
			n.log.truncateAfter(conflict - 1)
		}
		n.log.append(m.Entries[conflict-m.Index-1:])
	}
	lastMatch := m.Index + uint64(len(m.Entries))
	n.commitUpTo(min(m.Commit, lastMatch))
	reply.Index = lastMatch
	n.send(reply)
}

// stepFromFollower handles replies to append, heartbeat and snapshot messages.
func (n *Node) stepFromFollower(m Message) {
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, ID{})
		return
	}
	p := n.progress[m.From]
	if m.Term < n.hardState.Term || n.role != Leader || p == nil {
		return
	}
	p.hasReplied = true
	p.contactTick = max(p.contactTick, m.Tick)
	p.ackedRound = max(p.ackedRound, m.Round)
	switch {
	case m.Kind == KindHeartbeatReply:
		n.handleHeartbeatReply(m.From, p)
	case m.Reject:
		n.handleAppendReject(m, p)
	default:
		n.handleAppendAccept(m, p)
	}
	n.confirmReads()
}

// handleAppendAccept records the entries that a follower has synced, and sends it the next ones.
func (n *Node) handleAppendAccept(m Message, p *progress) {
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	acked := 0
	for acked < len(p.inflight) && p.inflight[acked] <= m.Index {
		acked++
	}
	p.inflight = append(p.inflight[:0], p.inflight[acked:]...)
	if p.state == probing || p.state == restoring && p.match >= p.snapshotIndex {
		p.startProbing(p.match + 1)
		p.state = replicating
	}
	if n.maybeCommit() {
		n.broadcastAppend()
	}
	n.sendAppends(m.From, p)
}

// handleAppendReject moves next back to the entry after the highest one that may match. It recognizes late
// replies by their index and ignores them.
func (n *Node) handleAppendReject(m Message, p *progress) {
	if p.state == restoring || m.Index <= p.match {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	// The bound is lower than the rejected index, so every rejection makes progress. If the follower needs
	// entries below base, sendAppend sends a snapshot.
	bound := min(m.Hint, m.Index-1)
	if bound > n.log.base {
		bound, _ = n.log.conflictHint(bound, m.HintTerm)
	}
	p.startProbing(max(p.match, bound) + 1)
	n.sendAppend(m.From, p, true)
}

// handleHeartbeatReply resumes sending to a follower whose appends or replies may have been lost.
func (n *Node) handleHeartbeatReply(id ID, p *progress) {
	switch p.state {
	case probing:
		p.paused = false
	case restoring:
		if n.ticks-p.snapshotTick >= uint64(n.options.ElectionTicks) {
			p.startProbing(p.match + 1) // The snapshot or its reply was lost.
		}
	case replicating:
		if len(p.inflight) >= n.options.MaxInflight {
			p.inflight = p.inflight[1:]
		}
	}
	if p.match < n.log.last() {
		n.sendAppend(id, p, true)
	}
}
