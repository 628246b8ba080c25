package consensus

import "slices"

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Kinds of membership changes. Each changes at most one voter, so any quorum before it and any
// quorum after it have a replica in common.
const (
	AddLearner ChangeKind = iota + 1 // adds a non-voter; replaces an older learner of its instance
	Promote                          // makes a learner that is caught up a voter
	Remove                           // removes a voter or learner
)

var changeNames = [...]string{"", "add learner", "promote", "remove"}

func (k ChangeKind) String() string {
	if int(k) >= len(changeNames) {
		return "unknown"
	}
	return changeNames[k]
}

// Change is a membership change of one replica.
type Change struct {
	Kind ChangeKind
	ID   ID
}

// ProposeChange appends a membership change to the leader's log. It is in force at each replica as
// soon as the entry is in its log. It returns *NotLeaderError, *ChangePendingError,
// *NotCaughtUpError or *InvalidChangeError.
//
// A change waits until the previous one is committed, so that two logs never differ by more than one
// change, and until an entry of the leader's own term is committed, so that an uncommitted change
// of an earlier leader cannot come into force beside it.
func (n *Node) ProposeChange(change Change) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.changeAllowed() {
		return &ChangePendingError{Index: max(n.pendingChange, n.termStart)}
	}
	next, err := n.changed(change)
	if err != nil {
		return err
	}
	e := Entry{Kind: EntryConfiguration, Configuration: &next, Index: n.log.last() + 1, Term: n.hard.Term}
	n.log.append([]Entry{e})
	n.pendingChange = e.Index
	n.syncProgress()
	n.broadcastAppend()
	return nil
}

func (n *Node) changeAllowed() bool {
	return n.log.commit >= n.pendingChange && n.committedOwnTerm()
}

// changed returns the configuration after a change.
func (n *Node) changed(change Change) (Configuration, error) {
	current := n.log.configuration().configuration
	invalid := func(detail string) (Configuration, error) {
		return Configuration{}, &InvalidChangeError{Change: change, Detail: detail}
	}
	isIt := func(id ID) bool { return id == change.ID }
	next := current
	switch change.Kind {
	case AddLearner:
		if newest, ok := current.Newest(change.ID.Instance); ok && newest.Incarnation >= change.ID.Incarnation {
			return invalid("the instance is a member with the same or a newer incarnation")
		}
		if change.ID.Instance == "" || change.ID.Incarnation == 0 {
			return invalid("instance and incarnation are required")
		}
		sameInstance := func(id ID) bool { return id.Instance == change.ID.Instance }
		next.Learners = with(without(current.Learners, sameInstance), change.ID)
	case Promote:
		if !current.IsLearner(change.ID) {
			return invalid("not a learner")
		}
		if slices.ContainsFunc(current.Voters, func(id ID) bool { return id.Instance == change.ID.Instance }) {
			return invalid("the old identity of its instance must be removed first")
		}
		if err := n.caughtUp(change.ID); err != nil {
			return Configuration{}, err
		}
		next.Learners = without(current.Learners, isIt)
		next.Voters = with(current.Voters, change.ID)
		if next.Quorum() > current.Quorum() && n.silentVoters() > 0 && !n.replacesLost(current, next) {
			return invalid("a larger quorum is needed then, and a voter is silent")
		}
	case Remove:
		if !current.Contains(change.ID) {
			return invalid("not a member")
		}
		next.Learners = without(current.Learners, isIt)
		next.Voters = without(current.Voters, isIt)
		if next.IsEmpty() {
			return invalid("no voter would remain")
		}
		if current.IsVoter(change.ID) && n.heardVoters(next) < next.Quorum() {
			return invalid("too few of the remaining voters answer")
		}
	default:
		return invalid("unknown kind of change")
	}
	return next, nil
}

// caughtUp returns nil when a learner answered recently, and holds everything that was committed at
// the last heartbeat, including an entry of this leader's term. Promoted earlier, it would count
// towards a quorum that cannot commit anything when another voter is lost.
func (n *Node) caughtUp(id ID) error {
	bound := max(n.heartbeatCommit, n.termStart)
	p := n.progress[id]
	if p == nil {
		return &NotCaughtUpError{ID: id, Required: bound}
	}
	if p.match < bound || !n.heard(p) || p.state != replicating {
		return &NotCaughtUpError{ID: id, Match: p.match, Required: bound}
	}
	return nil
}

// heard reports whether a member answered within an election timeout.
func (n *Node) heard(p *progress) bool {
	return n.ticks-p.contactTick < uint64(n.options.ElectionTicks)
}

// heardVoters counts the voters of a configuration that this leader has heard recently, and itself.
func (n *Node) heardVoters(configuration Configuration) int {
	heard := 0
	for _, id := range configuration.Voters {
		if p := n.progress[id]; id == n.self || p != nil && n.heard(p) {
			heard++
		}
	}
	return heard
}

// silentVoters counts the voters that this leader has not heard recently.
func (n *Node) silentVoters() int {
	current := n.log.configuration().configuration
	return len(current.Voters) - n.heardVoters(current)
}

// leaveWhenRemoved ends the leadership of one that is no voter, once an entry of its term and its
// configuration are committed. Until then it leads on without counting itself, as its entries still
// need a quorum of the voters; afterwards a voter holds them and can be elected.
func (n *Node) leaveWhenRemoved() {
	placed := n.log.configuration()
	settled := n.log.commit >= placed.index && n.committedOwnTerm()
	if n.role == Leader && !placed.configuration.IsVoter(n.self) && settled {
		n.StepDown()
	}
}
