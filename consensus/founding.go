package consensus

import "slices"

// Founding a log. Only one replica may found it: the initial voter with the lowest instance name.
// It does so once every other initial voter and every other configured peer has pledged, from its
// current disk, that it holds no log and that it will belong to the log of this founder. The first
// entry then fixes the identities of the voters.
//
// This cannot found a second log beside an existing one: an entry of a log is committed only when a
// quorum of its voters holds it, and every holder refuses to pledge as long as its disk exists. The
// peers are asked because the voters may have been replaced by them. A replica that only voted
// refuses as well: what its vote made possible may be committed on disks that are not asked.
// A pledge is durable, so a message of an earlier founder that arrives after it is refused as one of
// another log. A founder that was refused once belongs to the other log from then on.

func (n *Node) hasLog() bool { return n.log.last() > 0 }

func (n *Node) isFounder() bool {
	return !n.hasLog() && n.hard.Log.IsZero() && len(n.options.InitialVoters) > 0 &&
		n.self.Instance == slices.Min(n.options.InitialVoters)
}

// tickFounder asks for the pledges that are missing; it reports whether this replica is the founder.
func (n *Node) tickFounder() bool {
	if !n.isFounder() {
		return false
	}
	if n.ticks%uint64(n.options.HeartbeatTicks) == 1 {
		n.tryFound()
	}
	return true
}

func (n *Node) tryFound() {
	missing := 0
	for _, name := range n.peers() {
		if _, pledged := n.pledges[name]; !pledged {
			missing++
			n.send(Message{Kind: KindBootstrap, To: ID{Instance: name}})
		}
	}
	if missing == 0 {
		n.found()
	}
}

// found writes the first entry. Nothing leaves before it is synced together with the name of the log.
func (n *Node) found() {
	voters := []ID{n.self}
	for _, id := range n.pledges {
		if slices.Contains(n.options.InitialVoters, id.Instance) {
			voters = with(voters, id)
		}
	}
	n.hard.Log = n.self
	n.hard.Term++
	n.hard.Vote = n.self
	first := Entry{Index: 1, Term: n.hard.Term, Kind: EntryConfiguration, Configuration: &Configuration{Voters: voters}}
	n.log.append([]Entry{first})
	n.pledges = nil
	n.campaign(PreCandidate)
}

// stepFound answers a founder. The answer leaves after the pledge was synced.
func (n *Node) stepFound(m Message) {
	if n.answerSuperseded(m.From) {
		return
	}
	own := n.hard.Log
	free := own.IsZero() || own.Instance == m.From.Instance && own.Incarnation <= m.From.Incarnation
	if n.hasLog() || n.hard.Term > 0 || !free {
		n.send(Message{Kind: KindBootstrapReply, To: m.From, Reject: true})
		return
	}
	n.hard.Log = m.From
	n.send(Message{Kind: KindBootstrapReply, To: m.From})
}

func (n *Node) stepPledge(m Message) {
	if !n.isFounder() {
		return
	}
	if m.Reject {
		n.hard.Log = m.Log
		n.pledges = nil
		return
	}
	if n.pledges == nil {
		n.pledges = make(map[string]ID)
	}
	if m.From.Incarnation > n.pledges[m.From.Instance].Incarnation {
		n.pledges[m.From.Instance] = m.From
	}
	if len(n.pledges) == len(n.peers()) {
		n.found()
	}
}

// releasePledge follows a founder that was refused to the log that exists already.
func (n *Node) releasePledge(m Message) {
	own := n.hard.Log
	pledged := !n.hasLog() && own.Instance == m.From.Instance && own.Incarnation <= m.From.Incarnation
	if pledged && !m.Log.IsZero() && m.Log != m.From {
		n.hard.Log = m.Log
	}
}

// returnPledge tells a replica that pledged to this instance as founder that it belongs to another
// log. Without the answer a replica that missed this instance's own request would wait for ever.
func (n *Node) returnPledge(m Message) {
	pledged := m.Log.Instance == n.self.Instance && m.Log.Incarnation <= n.self.Incarnation
	if pledged && !n.hard.Log.IsZero() && n.hard.Log != m.Log && n.hard.Log != n.self {
		n.send(Message{Kind: KindJoin, To: m.From})
	}
}
