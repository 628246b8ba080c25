package consensus

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Role is the current role of a replica in the protocol.
type Role uint8

// Roles of a replica.
const (
	Follower     Role = iota
	PreCandidate      // asks the voters whether it would win an election, without changing its term
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

func (r Role) String() string {
	if int(r) >= len(roleNames) {
		return "unknown"
	}
	return roleNames[r]
}

// Defaults for the fields of Options.
const (
	DefaultElectionTicks         = 12
	DefaultHeartbeatTicks        = 4
	DefaultMaxMessageBytes       = 256 << 10
	DefaultMaxInflight           = 64
	DefaultMaxUncommittedEntries = 4096
	DefaultMaxEntryBytes         = 1 << 20
	DefaultMaxUncommittedBytes   = 8 << 20 // a quarter of the memory target of an idle instance
	DefaultMaxPendingReads       = 4096
)

// maxDiscovered bounds the instances that a replica without a leader learns from others.
const maxDiscovered = 64

// leaseMarginTicks is the number of ticks by which a leader steps down before its followers may vote again.
// It covers the phase difference between the tickers of two replicas.
const leaseMarginTicks = 2

// Options configure a Node. A zero tick count or limit means the default.
type Options struct {
	Self                  ID
	InitialVoters         []string         // instances of the initial voters; used only while no log exists
	Peers                 []string         // other instances that may hold the log; asked before a bootstrap
	ElectionTicks         int              // minimum election timeout in ticks; the maximum is twice as long
	HeartbeatTicks        int              // heartbeat interval in ticks; less than half of ElectionTicks
	MaxMessageBytes       int              // limit on the entries of one append; a larger entry is sent alone
	MaxInflight           int              // limit on unacknowledged appends per follower
	MaxUncommittedEntries int              // limit on the number of uncommitted entries
	MaxEntryBytes         int              // limit on one command; must fit the driver's files and frames
	MaxUncommittedBytes   int              // limit on the total size of all uncommitted commands
	MaxPendingReads       int              // limit on the number of reads that wait for confirmation
	MembershipPolicy      MembershipPolicy // the zero value leaves membership changes to operators
	Random                *rand.Rand
	Storage               Storage
}

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
	o.ElectionTicks = cmp.Or(o.ElectionTicks, DefaultElectionTicks)
	o.HeartbeatTicks = cmp.Or(o.HeartbeatTicks, DefaultHeartbeatTicks)
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, DefaultMaxMessageBytes)
	o.MaxInflight = cmp.Or(o.MaxInflight, DefaultMaxInflight)
	o.MaxUncommittedEntries = cmp.Or(o.MaxUncommittedEntries, DefaultMaxUncommittedEntries)
	o.MaxEntryBytes = cmp.Or(o.MaxEntryBytes, DefaultMaxEntryBytes)
	o.MaxUncommittedBytes = cmp.Or(o.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	o.MaxPendingReads = cmp.Or(o.MaxPendingReads, DefaultMaxPendingReads)
}

// Node is one replica of the log. It is not safe for concurrent use.
//
// Invariants: hardState.Term never decreases; within a term, hardState.Vote changes only once, from zero to a
// replica; leader is set only if it is this replica or has sent a message in the current term.
type Node struct {
	options     Options
	self        ID
	hardState   HardState
	syncedState HardState // hard state that the driver last confirmed as synced
	log         *entryLog

	role   Role
	leader ID
	ticks  uint64 // ticks since the start

	electionElapsed int // ticks since the election timeout was reset or a leader's message arrived
	electionTimeout int // randomized election timeout in ticks, compared with electionElapsed
	contactElapsed  int // ticks since a leader's message arrived or a vote was granted
	votes           map[ID]bool
	campaignTick    uint64 // tick at which the last campaign started

	progress           map[ID]*progress // members other than this replica; only set on the leader
	silentSince        map[ID]uint64    // voters that are silent as far as known, with the tick of their last contact
	heartbeatElapsed   int              // ticks since the last regular heartbeat
	pendingChangeIndex uint64           // index of the newest membership entry known to this leader
	heartbeatCommit    uint64           // commit index at the last regular heartbeat; see checkCaughtUp
	termStartIndex     uint64           // index of the first entry of this leader's term
	uncommittedBytes   int              // total size of this leader's uncommitted commands

	readRound       uint64 // number of the current read round, sent with every heartbeat
	readRoundNeeded bool   // whether reads were accepted since the last round started
	pendingReads    []pendingRead
	confirmedReads  []Read
	abortedReads    []uint64

	joinPeers       []string      // see SetJoinPeers
	discovered      []string      // see discover
	bootstrapAcks   map[string]ID // accepted bootstrap requests by instance; only set on the coordinator
	supersededBy    uint64        // see SupersedingIncarnation
	pendingSnapshot *Snapshot     // snapshot that was received but is not yet restored by the driver
	outbox          []Message
}

// New returns a replica that starts as a follower with the state loaded from its storage.
func New(o Options) (*Node, error) {
	o.setDefaults()
	hard, snapshot, entries, err := o.Storage.Load()
	if err != nil {
		return nil, err
	}
	if hard.Term > maxTerm || snapshot != nil && (snapshot.Index == 0 || snapshot.Index > maxIndex) {
		return nil, &InvalidStateError{Detail: "term or index out of range"}
	}
	log, err := loadLog(snapshot, entries)
	if err != nil {
		return nil, err
	}
	if log.lastTerm() > hard.Term {
		return nil, &InvalidStateError{Detail: "the last entry has a later term than the hard state"}
	}
	log.commit = max(log.commit, min(hard.Commit, log.last()))
	n := &Node{options: o, self: o.Self, hardState: hard, syncedState: hard, log: log}
	if hard.Term == 0 {
		n.contactElapsed = o.ElectionTicks // No leader relies on this replica before its first start.
	}
	n.resetElection()
	return n, nil
}

// Tick advances the node's time by one tick.
func (n *Node) Tick() {
	n.ticks++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	n.contactElapsed++
	if n.tickBootstrap() {
		return
	}
	if n.electionElapsed < n.electionTimeout {
		n.tickCampaign()
		return
	}
	n.resetElection()
	n.recordSilentLeader()
	n.leader = ID{} // It has been silent, whether this replica may campaign or not.
	// With a membership policy, a voter may have been removed while it was unreachable, so that its log lacks
	// the entry that removes it.
	if n.options.MembershipPolicy.enabled() || !n.log.configuration().configuration.IsVoter(n.self) {
		n.sendJoinRequests()
	}
	if n.mayCampaign() {
		n.campaign(PreCandidate)
	}
}

// Propose appends a command to the leader's log, at the index that LastIndex returns afterwards. Errors are
// *NotLeaderError, *TooLargeError or *OverloadedError.
func (n *Node) Propose(data []byte) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if len(data) > n.options.MaxEntryBytes {
		return &TooLargeError{Bytes: len(data), Limit: n.options.MaxEntryBytes}
	}
	if n.log.last()-n.log.commit >= uint64(n.options.MaxUncommittedEntries) {
		return &OverloadedError{Resource: "uncommitted entries", Limit: n.options.MaxUncommittedEntries}
	}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+len(data) > n.options.MaxUncommittedBytes {
		return &OverloadedError{Resource: "uncommitted bytes", Limit: n.options.MaxUncommittedBytes}
	}
	n.uncommittedBytes += len(data)
	n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return nil
}

// Step processes one message. For a message that no correct replica sends, that comes from an unknown replica, or that
// is addressed to another incarnation, it returns an error and changes nothing but whom this replica asks to join.
func (n *Node) Step(m Message) error {
	if err := n.checkMessage(&m); err != nil {
		n.stepMisdirected(&m)
		return err
	}
	switch m.Kind {
	case KindBootstrap:
		n.stepBootstrap(m)
	case KindBootstrapReply:
		n.stepBootstrapReply(m)
	case KindJoin:
		return n.stepJoin(m)
	case KindMembers:
		n.discover(m.Instances)
	case KindPreVote:
		n.stepPreVote(m)
	case KindVote:
		n.stepVote(m)
	case KindPreVoteReply, KindVoteReply:
		n.stepVoteReply(m)
	case KindAppend, KindHeartbeat, KindSnapshot:
		n.stepFromLeader(m)
	case KindAppendReply, KindHeartbeatReply:
		n.stepFromFollower(m)
	}
	return nil
}

// StepDown makes this replica a follower in the same term. After the process was paused, the driver must
// call it before any other method: another leader may have been elected in the meantime.
func (n *Node) StepDown() {
	if n.role != Follower {
		n.becomeFollower(n.hardState.Term, ID{})
	}
	n.resetElection()
}

// becomeFollower makes this replica a follower in a term; leader is zero when it is unknown.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hardState.Term {
		n.hardState.Term = term
		n.hardState.Vote = ID{}
	}
	if n.role == Leader {
		n.abortReads()
		n.progress = nil
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.resetElection()
}

// resetElection restarts the election timer with a random timeout of one to two times ElectionTicks.
func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.options.ElectionTicks + n.options.Random.IntN(n.options.ElectionTicks)
}

// send queues a message. Its term is the current one, unless the message has a term already.
func (n *Node) send(m Message) {
	m.Log = n.hardState.Log
	m.From = n.self
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.outbox = append(n.outbox, m)
}

// peers returns the other instances that may hold the log: the configured ones and the members in this
// replica's log.
func (n *Node) peers() []string {
	names := slices.Concat(n.options.InitialVoters, n.options.Peers)
	for _, id := range n.log.configuration().configuration.members() {
		names = append(names, id.Instance)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == n.self.Instance })
}
