package consensus

// Status is a copy of the state of a node, for state dumps and metrics.
type Status struct {
	Self          ID
	Log           ID
	Role          string
	Leader        ID
	Term          uint64
	Vote          ID
	First, Last   uint64 // range of indexes in memory; the snapshot covers entries up to First-1
	Persisted     uint64
	Commit        uint64
	Applied       uint64
	Configuration Configuration
	PendingReads  int
	Members       []MemberStatus // other members; only set on the leader
	// Responsive is the number of voters that have replied within an election timeout, with the leader itself; only
	// set on the leader.
	Responsive  int
	Votes       int      // votes granted in the current campaign, including those of replicas that are no voters
	JoinTargets []string // instances that receive join requests while no leader is known
}

// MemberStatus is the replication state of a member, as the leader knows it.
type MemberStatus struct {
	ID          ID
	State       string
	Match, Next uint64
	SilentTicks uint64 // age in ticks of the newest message to which the member has replied
	Silent      bool   // whether that is longer than an election timeout
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{
		Self: n.self, Log: n.hardState.Log, Role: n.role.String(), Leader: n.leader, Term: n.hardState.Term, Vote: n.hardState.Vote,
		First: n.log.base + 1, Last: n.log.last(), Persisted: n.log.persisted,
		Commit: n.log.commit, Applied: n.log.applied,
		Configuration: n.log.configuration().configuration, PendingReads: len(n.pendingReads),
	}
	if n.role == Leader {
		s.Responsive = n.responsiveVoters(s.Configuration)
	}
	if n.leader.IsZero() {
		s.JoinTargets = n.joinTargets()
	}
	for _, granted := range n.votes {
		if granted {
			s.Votes++
		}
	}
	for _, id := range s.Configuration.members() {
		if p := n.progress[id]; p != nil {
			s.Members = append(s.Members, MemberStatus{
				ID: id, State: progressNames[p.state], Match: p.match, Next: p.next, SilentTicks: n.silentTicks(id),
				Silent: !n.isResponsive(p),
			})
		}
	}
	return s
}

// Self returns the ID of this replica.
func (n *Node) Self() ID { return n.self }

// Role returns the current role of this replica.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or the zero ID when it is unknown.
func (n *Node) Leader() ID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// LastIndex returns the index of the last entry in the log, whether or not it is persisted.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.log.commit }

// Configuration returns the newest configuration in the log, whether or not it is committed.
func (n *Node) Configuration() Configuration { return n.log.configuration().configuration }
