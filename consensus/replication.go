package consensus

// progressState tells how a leader sends entries to a follower.
type progressState uint8

const (
	probing     progressState = iota // one append at a time, until the matching index is found
	replicating                      // appends are pipelined
	restoring                        // a snapshot was sent
)

var progressNames = [...]string{"probing", "replicating", "restoring"}

// progress is what a leader knows about a member. Invariants: match < next; entries up to match are
// synced at the follower and equal to the leader's; paused holds only outside of replicating.
type progress struct {
	state         progressState
	match         uint64 // highest entry known to be held
	next          uint64 // next entry to send
	paused        bool   // a probe or snapshot is on its way; a heartbeat reply lifts the pause of a probe
	inflight      []uint64
	contactTick   uint64 // tick at which the newest answered message was sent
	ackedRound    uint64 // newest answered read round
	sentCommit    uint64 // highest commit index that was sent
	snapshotIndex uint64 // index of the snapshot on its way
	snapshotTick  uint64 // when that snapshot was sent
}

func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = next
	p.paused = false
	p.inflight = p.inflight[:0]
}

// reconcileProgress makes progress hold exactly the other members of the configuration. A removed
// replica disappears here and no longer receives or counts.
func (n *Node) reconcileProgress() {
	configuration := n.log.configuration().configuration
	for id := range n.progress {
		if !configuration.Contains(id) {
			delete(n.progress, id)
		}
	}
	for _, id := range configuration.members() {
		if id != n.self && n.progress[id] == nil {
			// The lease of a new leader starts when it asked for votes.
			n.progress[id] = &progress{next: n.log.last() + 1, contactTick: n.leaseStart()}
		}
	}
}

// leaseStart is the tick from which a member counts as heard before its first reply: the vote
// request for the members at an election, the present for members added later.
func (n *Node) leaseStart() uint64 {
	if n.log.last() < n.termStartIndex {
		return n.campaignTick
	}
	return n.ticks
}

// appendOwn adds an entry of the leader's own term and starts to send it.
func (n *Node) appendOwn(e Entry) {
	e.Index = n.log.last() + 1
	e.Term = n.hard.Term
	n.log.append([]Entry{e})
	n.broadcastAppend()
}

// broadcastAppend visits members in a fixed order, so that equal inputs give equal outputs.
func (n *Node) broadcastAppend() {
	for _, id := range n.log.configuration().configuration.members() {
		if p := n.progress[id]; p != nil {
			n.sendAppends(id, p)
		}
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.log.configuration().configuration.members() {
		if p := n.progress[id]; p != nil {
			n.sendHeartbeat(id, p)
		}
	}
}

// sendHeartbeat tells at most as much as the follower is known to hold as committed.
func (n *Node) sendHeartbeat(id ID, p *progress) {
	p.sentCommit = min(n.log.commit, p.match)
	n.send(Message{Kind: KindHeartbeat, To: id, Commit: p.sentCommit, Round: n.readRound, Tick: n.ticks})
}

// sendCommitUpdates informs the followers that do not know how far entries are committed. Without it they
// would apply an entry only after the next regular heartbeat.
func (n *Node) sendCommitUpdates() {
	for _, id := range n.log.configuration().configuration.members() {
		if p := n.progress[id]; p != nil && p.sentCommit < min(n.log.commit, p.match) {
			n.sendHeartbeat(id, p)
		}
	}
}

// sendAppends sends what flow control allows.
func (n *Node) sendAppends(id ID, p *progress) {
	for n.sendAppend(id, p, false) {
	}
}

// sendAppend sends one append, or a snapshot when the entries were compacted, and reports whether
// more can follow. With force, an append without entries goes out as well, as a probe.
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

// stepFromLeader handles append, heartbeat and snapshot.
func (n *Node) stepFromLeader(m Message) {
	if m.Term < n.hard.Term {
		// The sender was replaced, or this replica promised a later term while it was cut off. The
		// reply lets the sender move on to that term; it confirms nothing, as it echoes no tick.
		n.send(Message{Kind: KindHeartbeatReply, To: m.From})
		return
	}
	if m.Term > n.hard.Term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.hard.Log = m.Log
	n.electionElapsed = 0
	n.contactElapsed = 0
	switch m.Kind {
	case KindHeartbeat:
		n.commitUpTo(m.Commit)
		n.send(Message{Kind: KindHeartbeatReply, To: m.From, Index: n.log.last(), Round: m.Round, Tick: m.Tick})
	case KindAppend:
		n.acceptAppend(m)
	case KindSnapshot:
		n.acceptSnapshot(m)
	}
}

// acceptAppend stores entries that follow on an entry which this replica holds. The reply leaves
// after they were synced.
func (n *Node) acceptAppend(m Message) {
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Tick: m.Tick}
	if m.Index < n.log.base {
		reply.Index = n.log.commit // Everything up to here is committed, hence equal to the leader's.
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
	held := m.Index + uint64(len(m.Entries))
	n.commitUpTo(min(m.Commit, held))
	reply.Index = held
	n.send(reply)
}

// stepFromFollower handles the replies to append, heartbeat and snapshot.
func (n *Node) stepFromFollower(m Message) {
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, ID{})
		return
	}
	p := n.progress[m.From]
	if m.Term < n.hard.Term || n.role != Leader || p == nil {
		return
	}
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

func (n *Node) handleAppendAccept(m Message, p *progress) {
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= m.Index {
		answered++
	}
	p.inflight = append(p.inflight[:0], p.inflight[answered:]...)
	if p.state == probing || p.state == restoring && p.match >= p.snapshotIndex {
		p.startProbing(p.match + 1)
		p.state = replicating
	}
	if n.maybeCommit() {
		n.broadcastAppend()
	}
	n.sendAppends(m.From, p)
}

// handleAppendReject moves next back to the highest entry that may match. Late replies are recognised by
// their index and ignored.
func (n *Node) handleAppendReject(m Message, p *progress) {
	if p.state == restoring || m.Index <= p.match {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	// The bound is below the refused index, so every refusal makes progress. Below base only the
	// snapshot helps, which sendAppend finds out.
	bound := min(m.Hint, m.Index-1)
	if bound > n.log.base {
		bound, _ = n.log.conflictHint(bound, m.HintTerm)
	}
	p.startProbing(max(p.match, bound) + 1)
	n.sendAppend(m.From, p, true)
}

// handleHeartbeatReply resumes a follower whose appends or replies may have been lost.
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
