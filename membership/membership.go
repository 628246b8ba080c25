package membership

import (
	"fmt"
	"slices"
	"time"
)

// Intervals and timeouts of the protocol. Tests and the design page derive their bounds from them.
const (
	TickInterval      = 100 * time.Millisecond // urgent updates are sent at the next tick
	HeartbeatInterval = 500 * time.Millisecond
	SuspectAfter      = 2 * time.Second // silence after which a partner is suspected
	FailAfter         = 5 * time.Second // silence after which a partner counts as failed
	// PauseThreshold is the delay of a tick above which the process is assumed to have been paused.
	PauseThreshold = time.Second

	// remoteSuspicionTimeout is how long a suspicion claimed by others must remain unrefuted before this
	// instance treats it as a failure. It is longer than the observers' own timeout, so that a refutation has
	// time to spread.
	remoteSuspicionTimeout = 2 * (FailAfter - SuspectAfter)
	// unlinkedTimeoutFactor multiplies the timeouts for an instance whose heartbeats reach others but not
	// this instance, so that a single broken link does not make the state of the instance flap.
	unlinkedTimeoutFactor = 4
	probesPerRound        = 3 // probes per heartbeat round
	// burstRounds is the number of rounds whose unused byte budget an instance may save up for the failure of a
	// data centre.
	burstRounds = 4
)

// Defaults of Options. With 400 instances in five data centres an instance has about 17 partners.
const (
	DefaultLocalPartners          = 6
	DefaultRemotePartners         = 4
	DefaultMaxUpdateBytes         = 1024
	DefaultUpdateBytesPerInterval = 4 * 1024 // 8 KB/s of the 30 KB/s that an instance may use
	DefaultMaxRecords             = 4096
	DefaultMaxEngines             = 4096
)

// Options configures a Membership. Name, DataCentre and Incarnation are required.
type Options struct {
	Name        string
	DataCentre  string
	Incarnation uint64 // positive; grows with each start
	Roles       []string
	Seeds       []Hint // instances named in the settings

	LocalPartners          int // partners in the own data centre, besides two ring successors
	RemotePartners         int // partners in all other data centres together, but at least one in each
	MaxUpdateBytes         int // bytes of updates per heartbeat
	UpdateBytesPerInterval int // bytes of updates to all partners per HeartbeatInterval
	MaxRecords             int // known instances
	MaxEngines             int // known leaving engines
}

// OptionsError reports a required option that is missing.
type OptionsError struct{ Option string }

func (e *OptionsError) Error() string {
	return fmt.Sprintf("membership: option %s is missing", e.Option)
}

// Hint is what the settings or the platform's list, which may be out of date, say about an instance.
type Hint struct {
	Name       string
	DataCentre string // may be empty
	Leaving    bool
}

// Membership is the view that one instance has of all instances. It is not safe for concurrent use.
type Membership struct {
	options        Options
	self           *record
	records        map[string]*record
	sorted         []*record          // by name
	leavingEngines map[string]*update // by engine name
	updates        []*update

	revision uint64    // incremented with each change of an update
	digest   uint64    // XOR of the fingerprints of all updates
	scratch  []*update // reused by collectPending

	slots          [maxSlots]*partnerSlot
	slotByName     map[string]*partnerSlot
	occupied       slotSet  // slots in use
	reselect       bool     // partners must be selected again
	updatesPending bool     // a partner may lack an update
	replyTo        []string // names of instances whose probes await a reply
	lastProbed     int      // index in sorted

	superseded uint64 // newest incarnation of this instance that others have reported

	now            time.Time
	lastTick       time.Time
	nextHeartbeat  time.Time
	tick           uint64 // number of the current tick
	heartbeatRound uint64
	bytesLeft      int // token bucket for updates, in bytes
	suspectCount   int // instances whose spread state is StateSuspected
	output         Output
}

// New returns the view of an instance that knows only itself and its seeds. It returns *OptionsError when a
// required option is missing.
func New(now time.Time, o Options) (*Membership, error) {
	switch {
	case o.Name == "":
		return nil, &OptionsError{Option: "Name"}
	case o.DataCentre == "":
		return nil, &OptionsError{Option: "DataCentre"}
	case o.Incarnation == 0:
		return nil, &OptionsError{Option: "Incarnation"}
	}
	setDefault(&o.LocalPartners, DefaultLocalPartners)
	setDefault(&o.RemotePartners, DefaultRemotePartners)
	setDefault(&o.MaxUpdateBytes, DefaultMaxUpdateBytes)
	setDefault(&o.UpdateBytesPerInterval, DefaultUpdateBytesPerInterval)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
	setDefault(&o.MaxEngines, DefaultMaxEngines)
	m := &Membership{
		options:        o,
		records:        map[string]*record{},
		leavingEngines: map[string]*update{},
		slotByName:     map[string]*partnerSlot{},
		now:            now,
		lastTick:       now,
		nextHeartbeat:  now,
		bytesLeft:      o.UpdateBytesPerInterval,
	}
	m.self = m.add(o.Name)
	m.self.dataCentre = o.DataCentre
	m.self.roles = slices.Clone(o.Roles)
	m.self.value = spreadState{incarnation: o.Incarnation, state: StateAlive}
	m.self.effective = StateAlive
	m.markChanged(&m.self.instanceUpdate, -1)
	for _, seed := range o.Seeds {
		m.applyHint(seed)
	}
	return m, nil
}

func setDefault(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

// Tick advances the protocol and returns the heartbeats that are due. It must be called every TickInterval.
func (m *Membership) Tick(now time.Time) Output {
	m.beginStep(now)
	m.lastTick = now
	m.tick++
	m.bytesLeft = min(burstRounds*m.options.UpdateBytesPerInterval, m.bytesLeft+m.options.UpdateBytesPerInterval*int(TickInterval)/int(HeartbeatInterval))
	if now.Before(m.nextHeartbeat) {
		m.sendUpdates()
		return m.output
	}
	m.nextHeartbeat = m.nextHeartbeat.Add(HeartbeatInterval)
	if !m.nextHeartbeat.After(now) {
		m.nextHeartbeat = now.Add(HeartbeatInterval)
	}
	m.heartbeatRound++
	m.updateSuspicions()
	if m.reselect {
		m.choosePartners()
	}
	m.dropIdleSlots()
	m.sendHeartbeats()
	return m.output
}

// beginStep starts a step. A step that comes late means that this process was paused. The silence of the other
// instances in the meantime says nothing about them, so their timestamps are moved by the length of the pause.
func (m *Membership) beginStep(now time.Time) {
	m.output.Messages = m.output.Messages[:0]
	m.output.Events = m.output.Events[:0]
	m.now = now
	late := now.Sub(m.lastTick) - TickInterval
	if late <= PauseThreshold {
		return
	}
	m.lastTick = now
	for _, r := range m.sorted {
		r.lastHeartbeat = shift(r.lastHeartbeat, late)
		r.lastEvidence = shift(r.lastEvidence, late)
		r.suspectedAt = shift(r.suspectedAt, late)
	}
	for _, s := range m.slots {
		if s != nil {
			s.lastReceivedAt = shift(s.lastReceivedAt, late)
		}
	}
	m.emit(Resumed{LateNanoseconds: int64(late)})
}

// shift moves a time unless it is zero.
func shift(t time.Time, by time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(by)
}

func (m *Membership) emit(e Event) { m.output.Events = append(m.output.Events, e) }

// SetVersion records the configuration version that is in force at this instance.
func (m *Membership) SetVersion(now time.Time, version uint64) Output {
	m.beginStep(now)
	if version > m.self.version {
		m.self.version = version
		m.markChanged(&m.self.versionUpdate, -1)
	}
	return m.output
}

// AnnounceLeaving announces that this instance is leaving; the returned heartbeats carry it to all partners.
func (m *Membership) AnnounceLeaving(now time.Time) Output {
	m.beginStep(now)
	if m.self.value.state != StateLeaving {
		m.self.value.state = StateLeaving
		m.self.effective = StateLeaving
		m.markChanged(&m.self.instanceUpdate, -1)
	}
	m.sendUpdates()
	return m.output
}

// AnnounceEngineLeaving announces that an incarnation of an engine is leaving, which is final for it.
func (m *Membership) AnnounceEngineLeaving(now time.Time, engine string, incarnation uint64) Output {
	m.beginStep(now)
	m.applyEngine(EngineNotice{Engine: engine, Incarnation: incarnation}, -1)
	m.sendUpdates()
	return m.output
}

// EngineLeaving reports whether an incarnation of an engine is leaving.
func (m *Membership) EngineLeaving(engine string, incarnation uint64) bool {
	u, known := m.leavingEngines[engine]
	return known && incarnation <= u.number
}

// ApplyHints processes the platform's list. The list may be out of date, so it only adds instances to probe,
// and marks a partner as suspected that is listed as leaving and has been silent for SuspectAfter.
func (m *Membership) ApplyHints(now time.Time, hints []Hint) Output {
	m.beginStep(now)
	for _, h := range hints {
		m.applyHint(h)
	}
	return m.output
}

// Instances returns all known instances, sorted by name.
func (m *Membership) Instances() []Instance {
	all := make([]Instance, 0, len(m.sorted))
	for _, r := range m.sorted {
		all = append(all, r.snapshot(m.slotByName[r.name] != nil))
	}
	return all
}

// Partners returns the names of the partners, in the order of their slots.
func (m *Membership) Partners() []string {
	var names []string
	for _, s := range m.slots {
		if s != nil {
			names = append(names, s.record.name)
		}
	}
	return names
}

// EngineNotices returns the leaving engines, sorted by name.
func (m *Membership) EngineNotices() []EngineNotice {
	notices := make([]EngineNotice, 0, len(m.leavingEngines))
	for _, u := range m.leavingEngines {
		notices = append(notices, u.engineNotice())
	}
	slices.SortFunc(notices, func(a, b EngineNotice) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	return notices
}

// Digest returns a hash of the view; it is equal on instances that have the same updates.
func (m *Membership) Digest() uint64 { return m.digest }
