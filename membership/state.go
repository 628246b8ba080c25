// Package membership decides which instances are alive, suspected, failed or leaving, which few of them
// an instance exchanges heartbeats with, and how news reaches everybody through them. It has no clock,
// goroutines, I/O or randomness: the caller passes the time, and sends the returned heartbeats.
//
// What is known of an instance is a value (incarnation, sequence, state) with a total order, so that
// instances which hear the same news in any order agree. An instance that hears itself called
// suspected or failed raises its own sequence, which outdates the claim everywhere.
package membership

import (
	"slices"
	"strings"
	"time"
)

// State is what is known of one incarnation of an instance.
type State uint8

// States, in the order in which a later one outdates an earlier one of the same sequence.
const (
	StateUnknown   State = iota // named by the settings or the platform, never heard of
	StateAlive                  // heard within SuspectAfter, directly or through others
	StateSuspected              // silent for SuspectAfter
	StateFailed                 // silent for FailAfter
	StateLeaving                // announced its leave; final for the incarnation
)

// String returns the name used in dumps and status pages.
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

// Instance is what is known of one instance.
type Instance struct {
	Name        string
	DataCentre  string // empty until known
	Roles       []string
	Incarnation uint64 // 0 until heard of
	State       State
	Version     uint64 // newest configuration version in force there; 0 when none is known
	Partner     bool   // exchanges heartbeats with this instance
}

// value is the part of a record that is spread; newer gives its order.
type value struct {
	incarnation uint64
	sequence    uint64
	state       State
}

// newer reports whether v outdates w. Leaving is final: no sequence of the same incarnation outdates it.
func (v value) newer(w value) bool {
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

// record is what this instance knows of one instance, itself included.
type record struct {
	name       string
	dataCentre string
	roles      []string
	value      value
	version    uint64
	effective  State // value.state, unless direct evidence is newer

	heard     time.Time // last direct heartbeat of this incarnation
	evidence  time.Time // last sign of life, direct or a raised sequence
	accused   time.Time // when the value became suspected
	failed    time.Time // when the value became failed
	outOfLink bool      // a claim of this instance was refuted although it hears nothing directly

	numberSent uint64 // of heartbeats to it; never restarts, so that acknowledgements stay unambiguous
	ackHigh    uint64 // highest number received from this incarnation
	ackMask    uint64 // bit i: number ackHigh-1-i was received

	instanceItem item
	versionItem  item
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

// reachable reports whether the instance is worth choosing as a partner.
func (r *record) reachable() bool {
	return r.effective == StateAlive || r.effective == StateSuspected
}

func (r *record) noteReceived(number uint64) {
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
