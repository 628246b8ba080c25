// Package membership decides which instances are alive, suspected, failed or leaving, selects the few
// partners with which an instance exchanges heartbeats, and spreads updates to all instances through them. It
// has no clock, goroutines, I/O or randomness: the caller passes the time and sends the returned heartbeats.
//
// The state of an instance is a triple (incarnation, sequence, state) with a total order, so instances that
// receive the same updates in any order agree. An instance that receives a claim that it is suspected or
// failed increments its own sequence, which supersedes the claim everywhere.
package membership

import (
	"slices"
	"strings"
	"time"
)

// State is the liveness of one incarnation of an instance.
type State uint8

// States, in ascending order: among values of the same sequence, the later state supersedes the earlier one.
const (
	StateUnknown   State = iota // listed in the settings or by the platform, but no heartbeat or update received
	StateAlive                  // sign of life within SuspectAfter, received directly or through others
	StateSuspected              // silent for SuspectAfter
	StateFailed                 // silent for FailAfter
	StateLeaving                // announced its departure; final for the incarnation
)

// String returns the name used in dumps and on status pages.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspected:
		return "suspected"
	case StateFailed:
		return "failed"
	case StateLeaving:
		return "leaving"
	}
	return "unknown"
}

// Instance is a snapshot of what is known about one instance.
type Instance struct {
	Name        string
	DataCentre  string // empty until known
	Roles       []string
	Incarnation uint64 // 0 until a heartbeat or an update about the instance arrives
	State       State
	Version     uint64 // newest configuration version in force at the instance; 0 when unknown
	Partner     bool   // the instance exchanges heartbeats with this one
}

// spreadState is the part of a record that is spread to other instances, ordered by newer.
type spreadState struct {
	incarnation uint64
	sequence    uint64
	state       State
}

// newer reports whether v supersedes w. StateLeaving is final: no sequence of the same incarnation supersedes
// it.
func (v spreadState) newer(w spreadState) bool {
	if v.incarnation != w.incarnation {
		return v.incarnation > w.incarnation
	}
	if (v.state == StateLeaving) != (w.state == StateLeaving) {
		return v.state == StateLeaving
	}
	if v.sequence != w.sequence {
		return v.sequence > w.sequence
	}
	return v.state > w.state
}

// record is what this instance knows about one instance, itself included.
type record struct {
	name       string
	dataCentre string
	roles      []string
	value      spreadState
	version    uint64
	effective  State // state acted on: value.state, unless direct evidence is newer

	lastHeartbeat time.Time // arrival of the last direct heartbeat of this incarnation
	lastEvidence  time.Time // last sign of life: a direct heartbeat or a higher sequence
	suspectedAt   time.Time // when value.state became StateSuspected
	failedAt      time.Time // when value.state became StateFailed
	unlinked      bool      // the instance refuted a claim although no heartbeat from it arrives here

	// lastSent is the number of the last heartbeat to the instance. It never restarts, so that acknowledgements
	// stay unambiguous.
	lastSent uint64
	ackHigh  uint64 // highest heartbeat number received from this incarnation
	ackMask  uint64 // bit i: heartbeat ackHigh-1-i was received

	instanceUpdate update
	versionUpdate  update
}

func (r *record) snapshot(partner bool) Instance {
	return Instance{
		Name:        r.name,
		DataCentre:  r.dataCentre,
		Roles:       slices.Clone(r.roles),
		Incarnation: r.value.incarnation,
		State:       r.effective,
		Version:     r.version,
		Partner:     partner,
	}
}

// reachable reports whether the instance may be selected as a partner.
func (r *record) reachable() bool {
	return r.effective == StateAlive || r.effective == StateSuspected
}

// recordNumber records the number of a received heartbeat for the next acknowledgement.
func (r *record) recordNumber(number uint64) {
	const maskBits = 64
	switch {
	case number == 0:
	case number > r.ackHigh:
		shift := number - r.ackHigh
		if shift > maskBits {
			r.ackMask = 0
		} else {
			r.ackMask = r.ackMask<<shift | 1<<(shift-1)
		}
		r.ackHigh = number
	case number < r.ackHigh && r.ackHigh-number <= maskBits:
		r.ackMask |= 1 << (r.ackHigh - number - 1)
	}
}

func byName(a, b *record) int { return strings.Compare(a.name, b.name) }
