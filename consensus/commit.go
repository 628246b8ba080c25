package consensus

import "slices"

// quorumValue returns the highest value that a quorum of voters has reached. The argument own is the value
// of this replica; value returns that of another member. Voters without progress count as 0.
func (n *Node) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	configuration := n.log.configuration().configuration
	values := make([]uint64, 0, typicalMaxVoters)
	for _, id := range configuration.Voters {
		switch p := n.progress[id]; {
		case id == n.self:
			values = append(values, own)
		case p != nil:
			values = append(values, value(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-configuration.Quorum()]
}

// typicalMaxVoters is the number of voters up to which quorumValue needs no heap allocation.
const typicalMaxVoters = 8

// maybeCommit advances the commit index to what a quorum has synced, and reports whether it moved.
// Only an entry of the leader's own term is committed by counting replicas: an entry of an earlier term that
// a quorum holds could still be overwritten by a leader that never received it. By the log matching property,
// committing an entry also commits all entries before it.
func (n *Node) maybeCommit() bool {
	if n.role != Leader {
		return false
	}
	// The leader counts only entries that it has synced itself.
	index := n.quorumValue(n.log.persisted, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit || !n.log.matches(index, n.hardState.Term) {
		return false
	}
	for i := max(n.log.commit+1, n.termStartIndex); i <= index; i++ {
		n.uncommittedBytes -= len(n.log.entries[i-n.log.base-1].Data)
	}
	n.commitUpTo(index)
	n.assignReadIndexes()
	return true
}

// commitUpTo raises the commit index to index, but not beyond the last entry of the log.
func (n *Node) commitUpTo(index uint64) {
	index = min(index, n.log.last())
	if index > n.log.commit {
		n.log.commit = index
		n.hardState.Commit = index
	}
}

// committedOwnTerm reports whether an entry of the leader's term is committed. Until then the leader may not
// know the commit index of its predecessors.
func (n *Node) committedOwnTerm() bool {
	return n.log.matches(n.log.commit, n.hardState.Term)
}
