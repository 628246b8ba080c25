package membership

import (
	"fmt"
	"slices"
	"time"
)

// Intervals of the protocol. Tests and the design page derive their bounds from them.
const (
	TickInterval      = 100 * time.Millisecond // news that must not wait leaves at the next tick
	HeartbeatInterval = 500 * time.Millisecond
	SuspectAfter      = 2 * time.Second
	FailAfter         = 5 * time.Second
	// PauseThreshold is how late a tick must be to mean that this process stood still.
	PauseThreshold = time.Second

	// rumourFails is how long a claim of suspicion by others stands before it counts as failure here. It is
	// longer than the observers' own wait, so that a refutation has time to spread.
	rumourFails = 2 * (FailAfter - SuspectAfter)
	// unlinkedSlack stretches the intervals for an instance that others hear and this one does not:
	// a single broken link must not make it flap.
	unlinkedSlack = 4
	probesPerBeat = 3
	// burstBeats is how much unused budget an instance may save for the failure of a data centre.
	burstBeats = 4
)

// Defaults of Options. At 400 instances in five data centres an instance has about 17 partners.
const (
	DefaultLocalPartners          = 6
	DefaultRemotePartners         = 4
	DefaultMaxUpdateBytes         = 1024
	DefaultUpdateBytesPerInterval = 4 * 1024 // per HeartbeatInterval: 8 KB/s of the 30 KB/s that an instance may use
	DefaultMaxRecords             = 4096
	DefaultMaxEngines             = 4096
)

// Options configures a Membership. Name, DataCentre and Incarnation are required.
type Options struct {
	Name        string
	DataCentre  string
	Incarnation uint64 // positive; grows with each start
	Roles       []string
	Seeds       []Hint // instances that the settings name

	LocalPartners          int // chosen in the own data centre, besides two successors on the ring
	RemotePartners         int // chosen in all other data centres, but at least one in each
	MaxUpdateBytes         int // of news per heartbeat
	UpdateBytesPerInterval int // of news to all partners per HeartbeatInterval
	MaxRecords             int
	MaxEngines             int
}

// OptionsError reports an option that New cannot work with.
type OptionsError struct{ Option string }

func (e *OptionsError) Error() string {
	return fmt.Sprintf("membership: option %s is missing", e.Option)
}

// Hint is what the settings or the platform's lagging list say of an instance.
type Hint struct {
	Name       string
	DataCentre string // may be empty
	Leaving    bool
}

// Membership is the view of one instance. It is not safe for concurrent use.
type Membership struct {
	o       Options
	self    *record
	records map[string]*record
	sorted  []*record // by name
	engines map[string]*item
	items   []*item

	revision uint64
	digest   uint64
	scratch  []*item

	slots    [maxSlots]*slot
	byName   map[string]*slot
	occupied slotSet
	reselect bool
	waiting  bool     // some partner may lack something
	answers  []string // senders of probes
	probeAt  int

	superseded uint64 // newest incarnation of this instance heard of elsewhere

	now       time.Time
	lastTick  time.Time
	nextBeat  time.Time
	tick      uint64
	beat      uint64
	bytesLeft int // bucket of bytes for news
	suspects  int // instances whose claim is suspicion
	out       Output
}

// New returns the view of an instance that knows only itself and its seeds. It returns *OptionsError.
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
		o:         o,
		records:   map[string]*record{},
		engines:   map[string]*item{},
		byName:    map[string]*slot{},
		now:       now,
		lastTick:  now,
		nextBeat:  now,
		bytesLeft: o.UpdateBytesPerInterval,
	}
	m.self = m.add(o.Name)
	m.self.dataCentre = o.DataCentre
	m.self.roles = slices.Clone(o.Roles)
	m.self.value = value{incarnation: o.Incarnation, state: StateAlive}
	m.self.effective = StateAlive
	m.changed(&m.self.instanceItem, -1)
	for _, seed := range o.Seeds {
		m.hint(seed)
	}
	return m, nil
}

func setDefault(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

// Tick must be called every TickInterval. It returns the heartbeats that are due.
func (m *Membership) Tick(now time.Time) Output {
	m.begin(now)
	m.lastTick = now
	m.tick++
	m.bytesLeft = min(burstBeats*m.o.UpdateBytesPerInterval, m.bytesLeft+m.o.UpdateBytesPerInterval*int(TickInterval)/int(HeartbeatInterval))
	if now.Before(m.nextBeat) {
		m.sendNews()
		return m.out
	}
	m.nextBeat = m.nextBeat.Add(HeartbeatInterval)
	if !m.nextBeat.After(now) {
		m.nextBeat = now.Add(HeartbeatInterval)
	}
	m.beat++
	m.judge()
	if m.reselect {
		m.choosePartners()
	}
	m.dropIdleSlots()
	m.sendBeat()
	return m.out
}

// begin starts a step. A step that comes late means that this process stood still: the silence of
// others meanwhile is not theirs, so all their clocks are moved by the time that was missed.
func (m *Membership) begin(now time.Time) {
	m.out.Messages = m.out.Messages[:0]
	m.out.Events = m.out.Events[:0]
	m.now = now
	late := now.Sub(m.lastTick) - TickInterval
	if late <= PauseThreshold {
		return
	}
	m.lastTick = now
	for _, r := range m.sorted {
		r.heard = shift(r.heard, late)
		r.evidence = shift(r.evidence, late)
		r.accused = shift(r.accused, late)
	}
	for _, s := range m.slots {
		if s != nil {
			s.heardAt = shift(s.heardAt, late)
		}
	}
	m.emit(Resumed{LateNanoseconds: int64(late)})
}

func shift(t time.Time, by time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(by)
}

func (m *Membership) emit(e Event) { m.out.Events = append(m.out.Events, e) }

// SetVersion notes the configuration version that is in force at this instance.
func (m *Membership) SetVersion(now time.Time, version uint64) Output {
	m.begin(now)
	if version > m.self.version {
		m.self.version = version
		m.changed(&m.self.versionItem, -1)
	}
	return m.out
}

// AnnounceLeaving announces that this instance is leaving; the returned heartbeats carry it to all partners.
func (m *Membership) AnnounceLeaving(now time.Time) Output {
	m.begin(now)
	if m.self.value.state != StateLeaving {
		m.self.value.state = StateLeaving
		m.self.effective = StateLeaving
		m.changed(&m.self.instanceItem, -1)
	}
	m.sendNews()
	return m.out
}

// AnnounceEngineLeaving announces that an incarnation of an engine is leaving, which is final for it.
func (m *Membership) AnnounceEngineLeaving(now time.Time, engine string, incarnation uint64) Output {
	m.begin(now)
	m.learnEngine(EngineNotice{Engine: engine, Incarnation: incarnation}, -1)
	m.sendNews()
	return m.out
}

// EngineLeaving reports whether an incarnation of an engine is leaving.
func (m *Membership) EngineLeaving(engine string, incarnation uint64) bool {
	i, known := m.engines[engine]
	return known && incarnation <= i.number
}

// ApplyHints takes the platform's list. It lags, so it only adds instances to look for, and makes an instance
// suspected that is listed as leaving and shows no sign of life.
func (m *Membership) ApplyHints(now time.Time, hints []Hint) Output {
	m.begin(now)
	for _, h := range hints {
		m.hint(h)
	}
	return m.out
}

// Instances returns all known instances by name.
func (m *Membership) Instances() []Instance {
	all := make([]Instance, 0, len(m.sorted))
	for _, r := range m.sorted {
		all = append(all, r.snapshot(m.byName[r.name] != nil))
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

// EngineNotices returns the leaving engines by name.
func (m *Membership) EngineNotices() []EngineNotice {
	notices := make([]EngineNotice, 0, len(m.engines))
	for _, i := range m.engines {
		notices = append(notices, i.engineNotice())
	}
	slices.SortFunc(notices, func(a, b EngineNotice) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	return notices
}

// Digest is equal on instances that know the same.
func (m *Membership) Digest() uint64 { return m.digest }
