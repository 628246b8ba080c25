package replica

import "github.com/primrosebeam/primrosebeam/consensus"

// State is a copy of the replica's state, for dumps and metrics.
type State struct {
	Node          consensus.Status
	Failed        string // empty while the storage works
	AppliedIndex  uint64
	Proposals     int // that wait for their commit
	Reads         int // groups that wait for their confirmation
	MessageQueue  int
	CallQueue     int
	CompactedAgo  int // entries applied since the last compaction
	LeadsTerm     uint64
	LeaderID      consensus.ID
	leaderCurrent bool
}

// State returns the state after the last completed cycle. It does not wait for the duty.
func (r *Replica) State() State { return *r.state.Load() }

// Leader returns the instance that leads as far as this replica knows.
func (r *Replica) Leader() (instance string, known bool) {
	s := r.state.Load()
	if !s.leaderCurrent {
		return "", false
	}
	return s.LeaderID.Instance, true
}

// Identity returns the identity on this replica's disk, which an operator needs for adding it.
func (r *Replica) Identity() consensus.ID { return r.state.Load().Node.Self }

func (r *Replica) publish() {
	s := &State{
		Node:         r.node.Status(),
		AppliedIndex: r.appliedIndex,
		Proposals:    len(r.proposals),
		Reads:        len(r.reads),
		MessageQueue: r.messages.Len(),
		CallQueue:    r.calls.Len(),
		CompactedAgo: r.sinceCompact,
		LeadsTerm:    r.leading,
		LeaderID:     r.node.Leader(),
	}
	if r.failure != nil {
		s.Failed = r.failure.Error()
		s.LeaderID = consensus.ID{}
		s.LeadsTerm = 0
	}
	s.leaderCurrent = !s.LeaderID.IsZero()
	r.state.Store(s)
}
