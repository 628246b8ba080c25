package consensus

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Role is what a replica does at the moment.
type Role uint8

// Roles.
const (
	Follower     Role = iota
	PreCandidate      // asks whether it would win, without changing its term
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

// Defaults of Options.
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

// leaseMarginTicks is how many ticks before its followers may vote again a leader gives up. It
// covers the difference between the phases of two tickers.
const leaseMarginTicks = 2

// Options configure a Node. Zero values of the limits mean the defaults.
type Options struct {
	Self                  ID
	InitialVoters         []string         // instances of the initial voters; only read while no log exists
	Peers                 []string         // further instances that may hold the log; asked before one is founded
	ElectionTicks         int              // a follower waits one to two times this long for a leader
	HeartbeatTicks        int              // must be less than half of ElectionTicks
	MaxMessageBytes       int              // of entries in one append; a larger entry travels alone
	MaxInflight           int              // unanswered appends per follower
	MaxUncommittedEntries int              // entries
	MaxEntryBytes         int              // of one command; the driver's files and frames must take it
	MaxUncommittedBytes   int              // of all uncommitted commands
	MaxPendingReads       int              // reads that wait for confirmation
	MembershipPolicy      MembershipPolicy // zero leaves the membership to operators
	Random                *rand.Rand
	Storage               Storage
}

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
// Invariants: hard.Term never decreases; hard.Vote changes within a term only from none to a
// replica; leader is known only while a message of the current term came from it.
type Node struct {
	options Options
	self    ID
	hard    HardState
	synced  HardState // as the driver last confirmed it
	log     *entryLog

	role   Role
	leader ID
	ticks  uint64 // since the start

	electionElapsed int // ticks since the last sign of life of an election or a leader
	electionTimeout int // randomized bound of electionElapsed
	contactElapsed  int // ticks since a leader was heard or a vote was granted
	votes           map[ID]bool
	campaignTick    uint64

	progress         map[ID]*progress // leader only; every member but self
	heartbeatElapsed int
	pendingChange    uint64 // index of the newest membership entry known to this leader
	heartbeatCommit  uint64 // commit index at the last heartbeat; see caughtUp
	termStart        uint64 // index of the first entry of this leader's term
	pendingBytes     int    // of this leader's uncommitted commands

	round     uint64 // read round, part of every heartbeat
	readDirty bool   // reads were accepted since the last round started
	reads     []pendingRead
	done      []Read
	aborted   []uint64

	contacts        []string      // see SetContacts
	pledges         map[string]ID // founder only
	superseded      uint64        // see Superseded
	pendingSnapshot *Snapshot     // received, not yet handed out
	outbox          []Message
}

// New returns a replica with the state of its storage, as a follower.
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
		return nil, &InvalidStateError{Detail: "the log is of a later term than the hard state"}
	}
	log.commit = max(log.commit, min(hard.Commit, log.last()))
	n := &Node{options: o, self: o.Self, hard: hard, synced: hard, log: log}
	if hard.Term == 0 {
		n.contactElapsed = o.ElectionTicks // Nothing was promised before the first start.
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
	if n.tickFounder() {
		return
	}
	if n.electionElapsed < n.electionTimeout {
		return
	}
	n.resetElection()
	// With staffing a voter may have been removed while it was out of reach, without an entry that
	// tells it so.
	if n.options.MembershipPolicy.enabled() || !n.log.configuration().configuration.IsVoter(n.self) {
		n.askToJoin()
	}
	if n.mayCampaign() {
		n.campaign(PreCandidate)
	}
}

// Propose appends a command to the leader's log; it is at LastIndex then. It returns
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
	if n.pendingBytes > 0 && n.pendingBytes+len(data) > n.options.MaxUncommittedBytes {
		return &OverloadedError{Resource: "uncommitted bytes", Limit: n.options.MaxUncommittedBytes}
	}
	n.pendingBytes += len(data)
	n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return nil
}

// Step consumes one message. A message that no correct replica sends, or that comes from a replica
// that is not known, gives an error and changes nothing.
func (n *Node) Step(m Message) error {
	if err := n.check(&m); err != nil {
		return err
	}
	switch m.Kind {
	case KindBootstrap:
		n.stepFound(m)
	case KindBootstrapReply:
		n.stepPledge(m)
	case KindJoin:
		return n.stepJoin(m)
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

// StepDown makes a leader a follower of the same term. The driver calls it after a freeze, before
// anything else: another leader may have been elected meanwhile.
func (n *Node) StepDown() {
	if n.role != Follower {
		n.becomeFollower(n.hard.Term, ID{})
	}
	n.resetElection()
}

// becomeFollower enters a term as follower; leader is zero while it is unknown.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = ID{}
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

func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.options.ElectionTicks + n.options.Random.IntN(n.options.ElectionTicks)
}

// send queues a message of the current term.
func (n *Node) send(m Message) {
	m.Log = n.hard.Log
	m.From = n.self
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.outbox = append(n.outbox, m)
}

// peers returns the instances to ask about the log while this replica is not a member of it.
func (n *Node) peers() []string {
	names := slices.Concat(n.options.InitialVoters, n.options.Peers)
	for _, id := range n.log.configuration().configuration.members() {
		names = append(names, id.Instance)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == n.self.Instance })
}
