package consensus

// EntryKind tells what an entry is for.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand       EntryKind = iota // Data is a command for the state machine
	EntryEmpty                          // first entry of a leader's term
	EntryConfiguration                  // Configuration is in force from the moment the entry is in the log
)

// Entry is one record of the replicated log.
type Entry struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Kind          EntryKind      `cbor:"3,keyasint,omitempty"`
	Data          []byte         `cbor:"4,keyasint,omitempty"`
	Configuration *Configuration `cbor:"5,keyasint,omitempty"`
}

// entryOverheadBytes approximates the size of an entry without its data, for limits on messages.
const entryOverheadBytes = 16

func (e *Entry) size() int {
	size := entryOverheadBytes + len(e.Data)
	if e.Configuration != nil {
		for _, id := range e.Configuration.members() {
			size += len(id.Instance) + entryOverheadBytes
		}
	}
	return size
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"` // term of the entry at Index
	Configuration Configuration `cbor:"3,keyasint"` // in force at Index
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// HardState is what a replica must remember across restarts. Log, Term and Vote must be synced before
// a message that depends on them leaves. Commit is a hint that shortens a restart; it may be stale.
type HardState struct {
	Log    ID     `cbor:"1,keyasint,omitempty"` // the log this replica belongs to, named by its founder
	Term   uint64 `cbor:"2,keyasint,omitempty"`
	Vote   ID     `cbor:"3,keyasint,omitempty"`
	Commit uint64 `cbor:"4,keyasint,omitempty"`
}

// sameDurable reports whether both states agree in everything that must be synced.
func (h HardState) sameDurable(other HardState) bool {
	return h.Log == other.Log && h.Term == other.Term && h.Vote == other.Vote
}

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	KindPreVote      Kind = iota + 1 // would you vote for me in Term? Index and LogTerm describe my last entry
	KindPreVoteReply                 // Reject tells the answer
	KindVote                         // vote for me in Term
	KindVoteReply                    // Reject tells the answer
	KindAppend                       // Entries follow the entry at Index with LogTerm
	KindAppendReply                  // Index is the last matching entry, or with Reject the refused one and a hint
	KindHeartbeat                    // no entries; keeps followers and confirms leadership
	KindHeartbeatReply
	KindSnapshot       // Snapshot replaces the receiver's log; answered by KindAppendReply
	KindBootstrap      // the founder asks an initial voter to belong to its log
	KindBootstrapReply // answer to KindFound; Reject means that a log exists already
	KindJoin           // a replica that hears no leader asks to be added; Reject answers one whose instance is known with the newer incarnation Index
)

var kindNames = [...]string{"", "prevote", "prevote-reply", "vote", "vote-reply", "append", "append-reply",
	"heartbeat", "heartbeat-reply", "snapshot", "found", "pledge", "join"}

func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Message travels between replicas. Which fields count depends on Kind.
type Message struct {
	Kind     Kind      `cbor:"1,keyasint"`
	Log      ID        `cbor:"2,keyasint,omitempty"`
	From     ID        `cbor:"3,keyasint"`
	To       ID        `cbor:"4,keyasint"`
	Term     uint64    `cbor:"5,keyasint,omitempty"`
	Index    uint64    `cbor:"6,keyasint,omitempty"`
	LogTerm  uint64    `cbor:"7,keyasint,omitempty"`
	Commit   uint64    `cbor:"8,keyasint,omitempty"`
	Entries  []Entry   `cbor:"9,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	Reject   bool      `cbor:"11,keyasint,omitempty"`
	Hint     uint64    `cbor:"12,keyasint,omitempty"` // with Reject: highest index that may match
	HintTerm uint64    `cbor:"13,keyasint,omitempty"` // with Reject: the receiver's term at Hint
	Round    uint64    `cbor:"14,keyasint,omitempty"` // leader's read round, echoed in replies
	Tick     uint64    `cbor:"15,keyasint,omitempty"` // leader's tick count when sent, echoed in replies
}
