package replica

import "github.com/primrosebeam/primrosebeam/consensus"

// State is a copy of the replica's state, for dumps and metrics.
type State struct {
	Node          consensus.Status
	Failed        string // why the replica takes no part in the log; empty while it does
	AppliedIndex  uint64
	Proposals     int    // number of proposals that are not committed yet
	Reads         int    // number of read groups that are not confirmed or not applied yet
	MessageQueue  int    // number of queued messages
	CallQueue     int    // number of queued calls
	CompactedAgo  int    // number of entries applied since the last compaction
	LeadsTerm     uint64 // term in which this replica is the leader, 0 otherwise
	LeaderID      consensus.ID
	leaderCurrent bool
}

// State returns the state after the last completed cycle. It does not wait for the worker.
func (r *Replica) State() State { return *r.state.Load() }

// Leader returns the instance that this replica believes to be the leader.
func (r *Replica) Leader() (instance string, known bool) {
	s := r.state.Load()
	if !s.leaderCurrent {
		return "", false
	}
	return s.LeaderID.Instance, true
}

// Identity returns the identity stored on this replica's disk, which an operator needs to add the replica. It is zero
// until the journal could be opened.
func (r *Replica) Identity() consensus.ID { return r.state.Load().Node.Self }

// publishState makes the current state visible to State, Leader and Identity.
func (r *Replica) publishState() {
	s := &State{
		AppliedIndex: r.appliedIndex,
		Proposals:    len(r.proposals),
		Reads:        len(r.reads),
		MessageQueue: r.messages.Len(),
		CallQueue:    r.calls.Len(),
		CompactedAgo: r.appliedSinceCompaction,
		LeadsTerm:    r.leadingTerm,
	}
	if r.node != nil {
		s.Node, s.LeaderID = r.node.Status(), r.node.Leader()
	}
	if r.failure != nil {
		s.Failed = r.failure.Error()
		s.LeaderID = consensus.ID{}
		s.LeadsTerm = 0
	}
	s.leaderCurrent = !s.LeaderID.IsZero()
	r.state.Store(s)
}
