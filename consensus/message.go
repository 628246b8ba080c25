package consensus

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryCommand       EntryKind = iota // Data contains a command for the state machine
	EntryEmpty                          // first entry of a leader's term
	EntryConfiguration                  // Configuration is in force as soon as the entry is in the log
)

// Entry is one record of the replicated log.
type Entry struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Kind          EntryKind      `cbor:"3,keyasint,omitempty"`
	Data          []byte         `cbor:"4,keyasint,omitempty"`
	Configuration *Configuration `cbor:"5,keyasint,omitempty"`
}

// entryOverheadBytes is the approximate encoded size in bytes of an entry without its data. It is used to
// limit the size of messages.
const entryOverheadBytes = 16

// size returns the approximate encoded size of the entry in bytes.
func (e *Entry) size() int {
	size := entryOverheadBytes + len(e.Data)
	if e.Configuration != nil {
		for _, id := range e.Configuration.members() {
			size += len(id.Instance) + entryOverheadBytes
		}
	}
	return size
}

// Snapshot is the state of the replicated log up to and including Index. It replaces the entries up to there.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"` // term of the entry at Index
	Configuration Configuration `cbor:"3,keyasint"` // configuration in force at Index
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that a replica must keep across restarts, besides its log. Log, Term and Vote must
// be synced before a message that depends on them is sent. Commit is a hint that shortens a restart; it may
// be stale.
type HardState struct {
	Log    ID     `cbor:"1,keyasint,omitempty"` // log of this replica, named after its bootstrap coordinator
	Term   uint64 `cbor:"2,keyasint,omitempty"` // current term
	Vote   ID     `cbor:"3,keyasint,omitempty"` // candidate that received the vote in Term; zero when none did
	Commit uint64 `cbor:"4,keyasint,omitempty"`
}

// sameDurableState reports whether both states are equal in the fields that must be synced.
func (h HardState) sameDurableState(other HardState) bool {
	return h.Log == other.Log && h.Term == other.Term && h.Vote == other.Vote
}

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindPreVote asks whether the receiver would vote for the sender in Term. Index and LogTerm describe the
	// sender's last entry.
	KindPreVote Kind = iota + 1
	// KindPreVoteReply replies to KindPreVote. Reject means that the receiver would not vote for the sender.
	KindPreVoteReply
	// KindVote requests a vote in Term. Index and LogTerm describe the sender's last entry.
	KindVote
	// KindVoteReply replies to KindVote. Reject means that the vote is not granted.
	KindVoteReply
	// KindAppend contains the Entries that follow the entry at Index, whose term is LogTerm.
	KindAppend
	// KindAppendReply replies to KindAppend and KindSnapshot. Index is the last matching entry; with Reject
	// it is the index that did not match, and Hint and HintTerm say where the logs may match.
	KindAppendReply
	// KindHeartbeat contains no entries. It resets the election timeout of followers and confirms leadership.
	KindHeartbeat
	// KindHeartbeatReply replies to KindHeartbeat.
	KindHeartbeatReply
	// KindSnapshot replaces the receiver's log with Snapshot. The reply is a KindAppendReply.
	KindSnapshot
	// KindBootstrap is sent by the bootstrap coordinator. It asks the receiver to belong to the sender's log.
	KindBootstrap
	// KindBootstrapReply replies to KindBootstrap. Reject means that a log exists already.
	KindBootstrapReply
	// KindJoin is sent by a replica without a leader, which asks to be added to the log. With Reject it
	// replies to such a replica that its instance is known with the newer incarnation Index.
	KindJoin
	// KindMembers replies to KindJoin when the receiver holds the log and does not lead: Instances are those that may.
	KindMembers
)

var kindNames = [...]string{"", "prevote", "prevote-reply", "vote", "vote-reply", "append", "append-reply",
	"heartbeat", "heartbeat-reply", "snapshot", "found", "pledge", "join", "members"}

func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Message is sent from one replica to another. Kind determines which fields are used.
type Message struct {
	Kind     Kind      `cbor:"1,keyasint"`
	Log      ID        `cbor:"2,keyasint,omitempty"` // ID of the sender's log; see HardState.Log
	From     ID        `cbor:"3,keyasint"`
	To       ID        `cbor:"4,keyasint"`
	Term     uint64    `cbor:"5,keyasint,omitempty"`
	Index    uint64    `cbor:"6,keyasint,omitempty"`
	LogTerm  uint64    `cbor:"7,keyasint,omitempty"`
	Commit   uint64    `cbor:"8,keyasint,omitempty"`
	Entries  []Entry   `cbor:"9,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	Reject   bool      `cbor:"11,keyasint,omitempty"`
	Hint     uint64    `cbor:"12,keyasint,omitempty"` // with Reject: highest index at which the logs may match
	HintTerm uint64    `cbor:"13,keyasint,omitempty"` // with Reject: the receiver's term at Hint
	Round    uint64    `cbor:"14,keyasint,omitempty"` // leader's read round when sent, echoed in replies
	Tick     uint64    `cbor:"15,keyasint,omitempty"` // leader's tick count when sent, echoed in replies
	// Instances of the members, the leader's first if it is known.
	Instances []string `cbor:"16,keyasint,omitempty"`
	// Silent are the voters that have not replied to the leader for longer than an election timeout.
	Silent []SilentVoter `cbor:"17,keyasint,omitempty"`
}

// SilentVoter is a voter with the age in ticks of the newest message to which it has replied.
type SilentVoter struct {
	ID    ID     `cbor:"1,keyasint"`
	Ticks uint64 `cbor:"2,keyasint"`
}
