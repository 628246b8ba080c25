package consensus

// Status describes a node, for dumps and metrics.
type Status struct {
	Self          ID
	Log           ID
	Role          string
	Leader        ID
	Term          uint64
	Vote          ID
	First, Last   uint64 // entries in memory; First-1 is covered by the snapshot
	Persisted     uint64
	Commit        uint64
	Applied       uint64
	Configuration Configuration
	PendingReads  int
	Members       []MemberStatus // leader only
}

// MemberStatus is what a leader knows about a member.
type MemberStatus struct {
	ID          ID
	State       string
	Match, Next uint64
	SilentTicks uint64 // age of the newest message that it answered
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{
		Self: n.self, Log: n.hard.Log, Role: n.role.String(), Leader: n.leader, Term: n.hard.Term, Vote: n.hard.Vote,
		First: n.log.base + 1, Last: n.log.last(), Persisted: n.log.persisted,
		Commit: n.log.commit, Applied: n.log.applied,
		Configuration: n.log.configuration().configuration, PendingReads: len(n.pendingReads),
	}
	for _, id := range s.Configuration.members() {
		if p := n.progress[id]; p != nil {
			s.Members = append(s.Members, MemberStatus{
				ID: id, State: progressNames[p.state], Match: p.match, Next: p.next, SilentTicks: n.ticks - p.contactTick,
			})
		}
	}
	return s
}

// Self returns the node's identity.
func (n *Node) Self() ID { return n.self }

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, zero when it is not known.
func (n *Node) Leader() ID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// LastIndex returns the index of the last entry, persisted or not.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.log.commit }

// Configuration returns the newest configuration in the log.
func (n *Node) Configuration() Configuration { return n.log.configuration().configuration }
