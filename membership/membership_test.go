package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newPair(t testing.TB) (*Membership, Source) {
	t.Helper()
	m, err := New(epoch, Options{Name: "a", DataCentre: "bern", Incarnation: 1, Seeds: []Hint{{Name: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	b := Source{Name: "b", DataCentre: "bern", Incarnation: 5}
	m.Receive(epoch, b, Heartbeat{Purpose: PurposeChosen, Number: 1})
	return m, b
}

func stateOf(m *Membership, name string) State {
	for _, i := range m.Instances() {
		if i.Name == name {
			return i.State
		}
	}
	return StateUnknown
}

// Guards against the platform's list, which may be out of date, changing a leaving instance back to alive.
func TestListDoesNotReviveLeavingInstance(t *testing.T) {
	run := func(hint func(m *Membership, h Hint)) State {
		m, b := newPair(t)
		m.Receive(epoch, b, Heartbeat{Purpose: PurposeChosen, Number: 2, Leaving: true})
		hint(m, Hint{Name: "b", DataCentre: "bern"})
		m.Tick(epoch.Add(TickInterval))
		return stateOf(m, "b")
	}
	guarded := run(func(m *Membership, h Hint) { m.ApplyHints(epoch, []Hint{h}) })
	if guarded != StateLeaving {
		t.Errorf("b is %s", guarded)
	}
	// The faulty variant takes the state from the list.
	if run(func(m *Membership, h Hint) { m.records[h.Name].value.state = StateAlive }) != StateAlive {
		t.Error("the check does not detect a list that revives an instance")
	}
}

// Guards against the platform's list making an instance suspected whose heartbeats still arrive.
func TestListDoesNotOverrideDirectEvidence(t *testing.T) {
	is := is.New(t)
	m, _ := newPair(t)
	m.ApplyHints(epoch.Add(time.Second), []Hint{{Name: "b", Leaving: true}})
	is.Equal(stateOf(m, "b"), StateAlive)
	m, _ = newPair(t)
	for at := TickInterval; at < SuspectAfter+HeartbeatInterval; at += TickInterval {
		m.Tick(epoch.Add(at))
	}
	is.Equal(stateOf(m, "b"), StateSuspected)
}

// Guards against a leaving engine that no longer counts as leaving, either after a notice of an earlier
// incarnation or without any cause.
func TestLeavingEngineIsFinal(t *testing.T) {
	is := is.New(t)
	m, b := newPair(t)
	m.AnnounceEngineLeaving(epoch, "e", 5)
	m.Receive(epoch, b, Heartbeat{Purpose: PurposeChosen, Engines: []EngineNotice{{Engine: "e", Incarnation: 4}}})
	is.True(m.EngineLeaving("e", 5))
	is.True(m.EngineLeaving("e", 4))
	is.True(!m.EngineLeaving("e", 6)) // a restarted engine
	// The faulty variant keeps the last notice instead of the one with the highest incarnation.
	m.leavingEngines["e"].number = 4
	is.True(!m.EngineLeaving("e", 5))
}

// Guards against a late heartbeat or a late record of an old incarnation replacing the state of a newer one.
func TestOldIncarnationIsIgnored(t *testing.T) {
	run := func(m *Membership, receive func(from Source, h Heartbeat)) bool {
		b6 := Source{Name: "b", DataCentre: "bern", Incarnation: 6}
		m.Receive(epoch, b6, Heartbeat{Purpose: PurposeChosen, Number: 1})
		m.Receive(epoch, b6, Heartbeat{Purpose: PurposeChosen, Number: 2, Leaving: true})
		receive(Source{Name: "b", DataCentre: "bern", Incarnation: 5}, Heartbeat{Purpose: PurposeChosen, Number: 9})
		m.applyRecords([]Record{{Name: "b", Incarnation: 5, Sequence: 99, State: StateAlive}}, -1)
		return m.records["b"].value == spreadState{incarnation: 6, state: StateLeaving}
	}
	m, _ := newPair(t)
	if !run(m, func(from Source, h Heartbeat) { m.Receive(epoch, from, h) }) {
		t.Error("a heartbeat of an old incarnation was accepted")
	}
	m, _ = newPair(t)
	acceptLast := func(from Source, _ Heartbeat) { // accepts the last heartbeat
		m.records["b"].value = spreadState{incarnation: from.Incarnation, state: StateAlive}
	}
	if run(m, acceptLast) {
		t.Error("the check does not detect that an old incarnation is accepted")
	}
}

// Guards against an instance that declares all others failed after its process was paused, and against one that
// continues without a Resumed event, which makes the owners of leases check them.
func TestPausedInstanceSuspectsNobody(t *testing.T) {
	run := func(guarded bool) (suspected, resumed int) {
		n := newNetwork(t, 9, 3, 5)
		n.exchangeRecords()
		n.run(2 * time.Second)
		pausedName := n.names[0]
		n.paused[pausedName] = true
		n.run(30 * time.Second)
		if !n.allKnow(pausedName, StateFailed)() {
			t.Fatal("the others did not detect the paused instance")
		}
		n.paused[pausedName] = false
		m := n.nodes[pausedName]
		if !guarded {
			m.lastTick = n.now
		}
		n.events[pausedName] = nil
		n.handleOutput(pausedName, m.Tick(n.now))
		for _, i := range m.Instances() {
			if i.State != StateAlive {
				suspected++
			}
		}
		for _, e := range n.events[pausedName] {
			if _, ok := e.(Resumed); ok {
				resumed++
			}
		}
		n.waitFor("alive again everywhere", 5*time.Second, n.allKnow(pausedName, StateAlive))
		return suspected, resumed
	}
	if suspected, resumed := run(true); suspected != 0 || resumed != 1 {
		t.Errorf("%d instances suspected, %d Resumed events", suspected, resumed)
	}
	if suspected, _ := run(false); suspected == 0 {
		t.Error("the check does not detect that the guard is missing")
	}
}

// Guards against a single broken connection that makes one of its ends consider the other failed permanently,
// or any other instance consider it failed at all.
func TestOneBrokenConnectionIsRefuted(t *testing.T) {
	n := newNetwork(t, 9, 3, 5)
	n.exchangeRecords()
	n.run(time.Second)
	a := n.names[0]
	b := n.nodes[a].Partners()[0]
	n.blocked = func(from, to string) bool { return from == a && to == b || from == b && to == a }
	for range 600 {
		n.run(100 * time.Millisecond)
		if !n.everywhere(a, func(name string) bool { return name == b || n.state(name, b) != StateFailed }) {
			t.Fatal("an instance is declared failed although seven others receive its heartbeats")
		}
	}
}

// Guards against updates that an instance does not get after it restarts under a new incarnation.
func TestRestartedInstance(t *testing.T) {
	n := newNetwork(t, 9, 3, 5)
	n.exchangeRecords()
	n.handleOutput(n.names[1], n.nodes[n.names[1]].AnnounceEngineLeaving(n.now, "e", 3))
	n.run(2 * time.Second)
	name := n.names[0]
	n.handleOutput(name, n.nodes[name].AnnounceLeaving(n.now))
	n.run(time.Second)
	n.stopped[name] = true
	n.run(time.Second)
	n.start(name, dataCentreOf(0, 3), 2)
	n.waitFor("new incarnation alive everywhere", 3*time.Second, func() bool {
		return n.everywhere(name, func(other string) bool {
			return n.state(other, name) == StateAlive && n.nodes[other].records[name].value.incarnation == 2
		})
	})
	n.waitFor("engine notice known to it", 3*time.Second, func() bool { return n.nodes[name].EngineLeaving("e", 3) })
}

func drawRecord(t *rapid.T, name string) Record {
	return Record{
		Name:        name,
		DataCentre:  "bern",
		Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
		Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
		State:       State(rapid.IntRange(int(StateAlive), int(StateLeaving)).Draw(t, "state")),
	}
}

// Guards against instances that received the same updates in different orders and disagree permanently.
func TestOrderOfUpdatesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record { return drawRecord(t, "b") }), 1, 12).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, _ := New(epoch, Options{Name: "a", DataCentre: "bern", Incarnation: 1})
		b, _ := New(epoch, Options{Name: "a", DataCentre: "bern", Incarnation: 1})
		a.applyRecords(records, -1)
		b.applyRecords(shuffled, -1)
		if a.records["b"].value != b.records["b"].value || a.Digest() != b.Digest() {
			t.Fatalf("%v and %v", a.records["b"].value, b.records["b"].value)
		}
	})
}

// Guards the invariants under any sequence of events: an incarnation never decreases, leaving is final for
// it, and within an incarnation the version never decreases.
func TestInvariantsUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := New(epoch, Options{Name: "a", DataCentre: "bern", Incarnation: 3})
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			before := map[string]Instance{}
			for _, i := range m.Instances() {
				before[i.Name] = i
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				m.Tick(now)
			case 1:
				m.Receive(now, Source{Name: name, DataCentre: "bern", Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation")}, Heartbeat{
					Purpose: Purpose(rapid.IntRange(1, 3).Draw(t, "purpose")),
					Number:  rapid.Uint64Range(0, 100).Draw(t, "number"),
					Leaving: rapid.Bool().Draw(t, "leaving"),
					Version: rapid.Uint64Range(0, 3).Draw(t, "version"),
					Records: []Record{drawRecord(t, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "about"))},
				})
			case 2:
				m.ApplyHints(now, []Hint{{Name: name, Leaving: rapid.Bool().Draw(t, "leaving")}})
			case 3:
				m.applyVersion(VersionNotice{Name: name, Incarnation: uint16(rapid.IntRange(0, 4).Draw(t, "low")), Version: rapid.Uint64Range(0, 5).Draw(t, "version")}, -1)
			case 4:
				m.SetVersion(now, rapid.Uint64Range(0, 5).Draw(t, "version"))
			}
			for _, i := range m.Instances() {
				old := before[i.Name]
				switch {
				case i.Incarnation < old.Incarnation:
					t.Fatalf("%s: incarnation went back", i.Name)
				case i.Incarnation > old.Incarnation:
				case old.State == StateLeaving && i.State != StateLeaving:
					t.Fatalf("%s: leaving was undone", i.Name)
				case i.Version < old.Version:
					t.Fatalf("%s: version went back", i.Name)
				}
			}
			digest := uint64(0)
			for _, i := range m.updates {
				digest ^= i.fingerprint()
			}
			if digest != m.digest {
				t.Fatal("the digest does not match the known updates; partners would exchange all of them again")
			}
			if stateOf(m, "a") != StateAlive {
				t.Fatal("the instance does not consider itself alive")
			}
		}
	})
}

// Guards against a heartbeat that counts as acknowledged although it was lost. Its updates would never be
// sent again.
func TestAcknowledgements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &record{}
		received := map[uint64]bool{}
		for _, number := range rapid.SliceOf(rapid.Uint64Range(1, 200)).Draw(t, "numbers") {
			r.recordNumber(number)
			received[number] = true
		}
		for number := uint64(1); number <= 200; number++ {
			if isAcknowledged(number, r.ackHigh, r.ackMask) && !received[number] {
				t.Fatalf("%d counts as acknowledged but was never received", number)
			}
			if received[number] && r.ackHigh-number <= 64 && !isAcknowledged(number, r.ackHigh, r.ackMask) && number+64 > r.ackHigh {
				t.Fatalf("%d was received but is not acknowledged", number)
			}
		}
	})
}

// Guards against an engine that no instance polls, and against one polled from another data centre although
// enough instances of its own are alive.
func TestPollers(t *testing.T) {
	is := is.New(t)
	instances := []Instance{
		{Name: "b1", DataCentre: "bern", State: StateAlive},
		{Name: "b2", DataCentre: "bern", State: StateFailed},
		{Name: "b3", DataCentre: "bern", State: StateAlive},
		{Name: "o1", DataCentre: "olten", State: StateAlive},
		{Name: "o2", DataCentre: "olten", State: StateLeaving},
	}
	near := Pollers("e", "bern", instances, 2)
	is.Equal(len(near), 2)
	for _, name := range near {
		is.True(name == "b1" || name == "b3")
	}
	instances[0].State = StateFailed
	mixed := Pollers("e", "bern", instances, 2)
	is.Equal(mixed, []string{"b3", "o1"})
	instances[2].State = StateLeaving
	is.Equal(Pollers("e", "bern", instances, 2), []string{"o1"})
	is.Equal(len(Pollers("e", "bern", nil, 2)), 0)
}
