package consensus

import "slices"

// This file implements the bootstrap of a log. Only one replica, the bootstrap coordinator, may create the
// log: the initial voter with the lowest instance name. It creates the log once every other initial voter
// and every other configured peer has accepted the bootstrap request. By accepting, a replica confirms that
// its current disk holds no log, and that it will belong to the log of this coordinator. The first entry
// then records the IDs of the voters.
//
// This cannot create a second log beside an existing one: an entry of a log is committed only when a quorum
// of its voters holds it, and every replica that holds an entry rejects bootstrap requests as long as its
// disk exists. The peers are asked because they may have replaced the initial voters. A replica that has
// voted but holds no entry also rejects the request: entries that its vote made possible may be committed
// on disks that are not asked. An acceptance is durable, so a message of an earlier coordinator that
// arrives after it is rejected because it belongs to another log. A coordinator that was rejected once
// belongs to the other log from then on.

// hasLog reports whether this replica holds at least one entry or a snapshot.
func (n *Node) hasLog() bool { return n.log.last() > 0 }

// isBootstrapCoordinator reports whether this replica is to create the log, which it neither holds nor has
// accepted from another coordinator.
func (n *Node) isBootstrapCoordinator() bool {
	return !n.hasLog() && n.hardState.Log.IsZero() && len(n.options.InitialVoters) > 0 &&
		n.self.Instance == slices.Min(n.options.InitialVoters)
}

// tickBootstrap repeats the bootstrap requests that have not been accepted yet. It reports whether this
// replica is the bootstrap coordinator.
func (n *Node) tickBootstrap() bool {
	if !n.isBootstrapCoordinator() {
		return false
	}
	if n.ticks%uint64(n.options.HeartbeatTicks) == 1 {
		n.tryBootstrap()
	}
	return true
}

// tryBootstrap sends a bootstrap request to each instance whose acceptance is missing. When none is missing,
// it creates the log.
func (n *Node) tryBootstrap() {
	missing := 0
	for _, name := range n.peers() {
		if _, accepted := n.bootstrapAcks[name]; !accepted {
			missing++
			n.send(Message{Kind: KindBootstrap, To: ID{Instance: name}})
		}
	}
	if missing == 0 {
		n.bootstrapLog()
	}
}

// bootstrapLog appends the first entry. No message is sent before the entry and the ID of the log are synced.
func (n *Node) bootstrapLog() {
	voters := []ID{n.self}
	for _, id := range n.bootstrapAcks {
		if slices.Contains(n.options.InitialVoters, id.Instance) {
			voters = with(voters, id)
		}
	}
	n.hardState.Log = n.self
	n.hardState.Term++
	n.hardState.Vote = n.self
	first := Entry{Index: 1, Term: n.hardState.Term, Kind: EntryConfiguration, Configuration: &Configuration{Voters: voters}}
	n.log.append([]Entry{first})
	n.bootstrapAcks = nil
	n.campaign(PreCandidate)
}

// stepBootstrap replies to a bootstrap request. The reply is sent after the acceptance is synced.
func (n *Node) stepBootstrap(m Message) {
	if n.replyIfSuperseded(m.From) {
		return
	}
	own := n.hardState.Log
	canAccept := own.IsZero() || own.Instance == m.From.Instance && own.Incarnation <= m.From.Incarnation
	if n.hasLog() || n.hardState.Term > 0 || !canAccept {
		n.send(Message{Kind: KindBootstrapReply, To: m.From, Reject: true})
		return
	}
	n.hardState.Log = m.From
	n.send(Message{Kind: KindBootstrapReply, To: m.From})
}

// stepBootstrapReply records the acceptance of a bootstrap request. A rejection makes this replica belong
// to the log that exists already.
func (n *Node) stepBootstrapReply(m Message) {
	if !n.isBootstrapCoordinator() {
		return
	}
	if m.Reject {
		n.hardState.Log = m.Log
		n.bootstrapAcks = nil
		return
	}
	if n.bootstrapAcks == nil {
		n.bootstrapAcks = make(map[string]ID)
	}
	if m.From.Incarnation > n.bootstrapAcks[m.From.Instance].Incarnation {
		n.bootstrapAcks[m.From.Instance] = m.From
	}
	if len(n.bootstrapAcks) == len(n.peers()) {
		n.bootstrapLog()
	}
}

// adoptExistingLog handles a join request of the bootstrap coordinator whose request this replica has
// accepted. When the coordinator was rejected because a log exists already, this replica changes to that
// log too.
func (n *Node) adoptExistingLog(m Message) {
	own := n.hardState.Log
	accepted := !n.hasLog() && own.Instance == m.From.Instance && own.Incarnation <= m.From.Incarnation
	if accepted && !m.Log.IsZero() && m.Log != m.From {
		n.hardState.Log = m.Log
	}
}

// redirectToExistingLog sends the ID of the existing log to a replica that has accepted the bootstrap
// request of this instance, while this instance belongs to another log. Without this message, a replica
// that missed this instance's own join request would wait forever.
func (n *Node) redirectToExistingLog(m Message) {
	accepted := m.Log.Instance == n.self.Instance && m.Log.Incarnation <= n.self.Incarnation
	if accepted && !n.hardState.Log.IsZero() && n.hardState.Log != m.Log && n.hardState.Log != n.self {
		n.send(Message{Kind: KindJoin, To: m.From})
	}
}
