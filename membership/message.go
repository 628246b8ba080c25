package membership

// Source is the authenticated sender of a heartbeat.
type Source struct {
	Name        string
	DataCentre  string
	Incarnation uint64
}

// Purpose is the reason why a heartbeat is sent. It determines how the receiver responds.
type Purpose uint8

// Purposes of a heartbeat.
const (
	PurposeChosen Purpose = iota + 1 // the sender has chosen the receiver as a partner
	PurposeReply                     // the receiver has chosen the sender as a partner, or probed it
	PurposeProbe                     // the sender asks whether the receiver is reachable; one reply is expected
)

// Heartbeat is the message between partners. It is encoded as an array, in the order of its fields.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Purpose  Purpose
	Number   uint64 // consecutive number of the heartbeats to this receiver; 0 on a probe
	AckHigh  uint64 // highest number received from the receiver
	AckMask  uint64 // bit i: number AckHigh-1-i was received
	Digest   uint64 // hash of the sender's view; equal digests mean equal views
	Sequence uint64 // sequence of the sender's own state
	Leaving  bool   // the sender is leaving
	Version  uint64 // configuration version in force at the sender
	Roles    []string
	Records  []Record
	States   []StateNotice
	Versions []VersionNotice
	Engines  []EngineNotice
}

// Record is an update about one instance.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	DataCentre  string
	Roles       []string
	Incarnation uint64
	Sequence    uint64
	State       State
}

// StateNotice is an update about an incarnation that the receiver already knows. It is about half as long as a
// Record, which matters when a whole data centre fails.
type StateNotice struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint16 // the low bits suffice to drop a notice of another incarnation
	Sequence    uint64
	State       State
}

// VersionNotice is the newest configuration version known to be in force at an instance.
type VersionNotice struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint16 // the low bits suffice to drop a notice of another incarnation
	Version     uint64
}

// EngineNotice announces that an incarnation of an engine is leaving, which is final.
type EngineNotice struct {
	_           struct{} `cbor:",toarray"`
	Engine      string
	Incarnation uint64
}

// Upper bounds of encoded sizes in bytes, without the bytes of names. Numbers count with their longest
// encoding, except sequences and versions, which stay below 2^32.
const (
	heartbeatBytes = 48 // two 64-bit numbers, four 32-bit ones, the headers of the lists
	recordBytes    = 17
	stateBytes     = 10
	versionBytes   = 9
	engineBytes    = 10
	textBytes      = 2 // header of a string
)

// Limits on received data, so that a faulty peer cannot exhaust the memory.
const (
	maxNameBytes = 256
	maxRoles     = 8
)

// valid reports whether a received record is complete and within the limits.
func (r Record) valid() bool {
	for _, role := range r.Roles {
		if len(role) > maxNameBytes {
			return false
		}
	}
	bounded := r.Name != "" && len(r.Name) <= maxNameBytes && len(r.DataCentre) <= maxNameBytes && len(r.Roles) <= maxRoles
	return bounded && r.Incarnation != 0 && r.State >= StateAlive && r.State <= StateLeaving
}

func (r Record) size() int {
	n := recordBytes + textBytes + len(r.Name) + textBytes + len(r.DataCentre)
	for _, role := range r.Roles {
		n += textBytes + len(role)
	}
	return n
}

func (n StateNotice) size() int { return stateBytes + textBytes + len(n.Name) }

func (v VersionNotice) size() int { return versionBytes + textBytes + len(v.Name) }

func (e EngineNotice) size() int { return engineBytes + textBytes + len(e.Engine) }

// Size returns an upper bound of the encoded size in bytes.
func (h Heartbeat) Size() int {
	n := heartbeatBytes
	for _, role := range h.Roles {
		n += textBytes + len(role)
	}
	for _, r := range h.Records {
		n += r.size()
	}
	for _, s := range h.States {
		n += s.size()
	}
	for _, v := range h.Versions {
		n += v.size()
	}
	for _, e := range h.Engines {
		n += e.size()
	}
	return n
}

// Outgoing is a heartbeat to be sent.
type Outgoing struct {
	To        string
	Heartbeat Heartbeat
}

// Output holds the messages and events of one step. Its slices are valid until the next step.
type Output struct {
	Messages []Outgoing
	Events   []Event
}

// Event is a change that other parts of the process act on.
type Event interface{ isEvent() }

// InstanceChanged reports a new state, incarnation or version of another instance.
type InstanceChanged struct{ Instance Instance }

// EngineLeaving reports that an incarnation of an engine is leaving.
type EngineLeaving struct {
	Engine      string
	Incarnation uint64
}

// Resumed reports that this process was paused. Every lease must be checked again before it is relied upon.
type Resumed struct{ LateNanoseconds int64 }

// Superseded reports that a newer incarnation of this instance is running elsewhere.
type Superseded struct{ Incarnation uint64 }

func (InstanceChanged) isEvent() {}
func (EngineLeaving) isEvent()   {}
func (Resumed) isEvent()         {}
func (Superseded) isEvent()      {}
