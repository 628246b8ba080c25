package consensus

import "slices"

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Kinds of membership changes. Each adds or removes at most one voter, so any quorum before the change and
// any quorum after it have at least one replica in common.
const (
	AddLearner ChangeKind = iota + 1 // adds a learner, which replaces an older learner of the same instance
	Promote                          // turns a caught-up learner into a voter
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

// ProposeChange appends a membership change to the leader's log. The new configuration is in force at each
// replica as soon as the entry is in its log. Errors are *NotLeaderError, *ChangePendingError,
// *NotCaughtUpError or *InvalidChangeError.
//
// A change is rejected until the previous one is committed, so that two logs never differ by more than one
// change. It is also rejected until an entry of the leader's own term is committed, so that an uncommitted
// change of an earlier leader cannot take effect concurrently.
func (n *Node) ProposeChange(change Change) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.changeAllowed() {
		return &ChangePendingError{Index: max(n.pendingChangeIndex, n.termStartIndex)}
	}
	next, err := n.nextConfiguration(change)
	if err != nil {
		return err
	}
	e := Entry{Kind: EntryConfiguration, Configuration: &next, Index: n.log.last() + 1, Term: n.hardState.Term}
	n.log.append([]Entry{e})
	n.pendingChangeIndex = e.Index
	n.reconcileProgress()
	n.broadcastAppend()
	return nil
}

// changeAllowed reports whether the previous membership change and an entry of the leader's own term are
// committed.
func (n *Node) changeAllowed() bool {
	return n.log.commit >= n.pendingChangeIndex && n.committedOwnTerm()
}

// nextConfiguration returns the configuration after a change, or an error when the change is not allowed now.
func (n *Node) nextConfiguration(change Change) (Configuration, error) {
	current := n.log.configuration().configuration
	invalid := func(detail string) (Configuration, error) {
		return Configuration{}, &InvalidChangeError{Change: change, Detail: detail}
	}
	isTarget := func(id ID) bool { return id == change.ID }
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
			return invalid("the voter with an older incarnation of its instance must be removed first")
		}
		if err := n.checkCaughtUp(change.ID); err != nil {
			return Configuration{}, err
		}
		next.Learners = without(current.Learners, isTarget)
		next.Voters = with(current.Voters, change.ID)
		if next.Quorum() > current.Quorum() && n.unresponsiveVoters() > 0 && !n.replacesLostVoter(current, next) {
			return invalid("the change enlarges the quorum while a voter does not respond")
		}
	case Remove:
		if !current.Contains(change.ID) {
			return invalid("not a member")
		}
		next.Learners = without(current.Learners, isTarget)
		next.Voters = without(current.Voters, isTarget)
		if next.IsEmpty() {
			return invalid("the configuration would have no voters")
		}
		if current.IsVoter(change.ID) && n.responsiveVoters(next) < next.Quorum() {
			return invalid("the remaining voters that respond are fewer than a quorum")
		}
		if n.weakens(current, change.ID) {
			return invalid("fewer voters than the membership policy desires would remain")
		}
	default:
		return invalid("unknown kind of change")
	}
	return next, nil
}

// checkCaughtUp returns nil when a learner has replied recently and holds all entries that were committed
// at the last heartbeat, including an entry of this leader's term. If a learner were promoted earlier, it
// would count towards a quorum that cannot commit anything when another voter is lost.
func (n *Node) checkCaughtUp(id ID) error {
	bound := max(n.heartbeatCommit, n.termStartIndex)
	p := n.progress[id]
	if p == nil {
		return &NotCaughtUpError{ID: id, Required: bound}
	}
	if p.match < bound || !n.isResponsive(p) || p.state != replicating {
		return &NotCaughtUpError{ID: id, Match: p.match, Required: bound}
	}
	return nil
}

// isResponsive reports whether a member has replied to a message that was sent within the last election
// timeout.
func (n *Node) isResponsive(p *progress) bool {
	return n.ticks-p.contactTick < uint64(n.options.ElectionTicks)
}

// responsiveVoters returns the number of voters of a configuration that are responsive, including this
// leader.
func (n *Node) responsiveVoters(configuration Configuration) int {
	count := 0
	for _, id := range configuration.Voters {
		if p := n.progress[id]; id == n.self || p != nil && n.isResponsive(p) {
			count++
		}
	}
	return count
}

// unresponsiveVoters returns the number of voters in the current configuration that are not responsive.
func (n *Node) unresponsiveVoters() int {
	current := n.log.configuration().configuration
	return len(current.Voters) - n.responsiveVoters(current)
}

// stepDownIfRemoved makes a leader that is no longer a voter step down once an entry of its term and the
// configuration without it are committed. Until then it remains leader without counting itself, because its
// entries still need a quorum of the voters. Afterwards a voter holds these entries and can be elected.
func (n *Node) stepDownIfRemoved() {
	current := n.log.configuration()
	committed := n.log.commit >= current.index && n.committedOwnTerm()
	if n.role == Leader && !current.configuration.IsVoter(n.self) && committed {
		n.StepDown()
	}
}
