package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// network simulates instances in virtual time. Every message is delivered after one step.
type network struct {
	t             testing.TB
	rand          *rand.Rand
	now           time.Time
	names         []string
	nodes         map[string]*Membership
	tickPhase     map[string]int
	stopped       map[string]bool
	paused        map[string]bool
	loss          float64
	blocked       func(from, to string) bool
	inTransit     []inTransit
	events        map[string][]Event
	sentBytes     map[string]int
	receivedBytes map[string]int
	largest       int
	steps         int
}

// inTransit is a heartbeat that is delivered in the next step.
type inTransit struct {
	from, to  string
	heartbeat Heartbeat
}

const step = 10 * time.Millisecond

// frameBytes is the overhead that the link adds to a heartbeat: frame, WebSocket header and pings.
const frameBytes = 60

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func dataCentreOf(i, dataCentres int) string { return fmt.Sprintf("dc%d", i%dataCentres) }

func nameOf(i, dataCentres int) string { return fmt.Sprintf("dc%d-%03d", i%dataCentres, i) }

func newNetwork(t testing.TB, size, dataCentres int, seed uint64) *network {
	n := &network{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, nodes: map[string]*Membership{}, tickPhase: map[string]int{},
		stopped: map[string]bool{}, paused: map[string]bool{}, events: map[string][]Event{}, sentBytes: map[string]int{}, receivedBytes: map[string]int{},
	}
	for i := range size {
		n.names = append(n.names, nameOf(i, dataCentres))
	}
	for i, name := range n.names {
		n.tickPhase[name] = n.rand.IntN(int(TickInterval / step))
		n.start(name, dataCentreOf(i, dataCentres), 1)
	}
	return n
}

// start starts an incarnation that knows the names of all instances, as if from the settings.
func (n *network) start(name, centre string, incarnation uint64) {
	var seeds []Hint
	for _, other := range n.names {
		seeds = append(seeds, Hint{Name: other})
	}
	m, err := New(n.now, Options{Name: name, DataCentre: centre, Incarnation: incarnation, Seeds: seeds})
	if err != nil {
		n.t.Fatal(err)
	}
	n.nodes[name] = m
	delete(n.stopped, name)
}

// exchangeRecords gives every instance the records of all others, so that a test need not wait for the start
// phase.
func (n *network) exchangeRecords() {
	for _, name := range n.names {
		m := n.nodes[name]
		for _, other := range n.names {
			if name != other {
				m.applyRecords([]Record{n.nodes[other].self.notice()}, -1)
			}
		}
		m.choosePartners()
	}
	for _, m := range n.nodes {
		for _, partner := range m.Partners() {
			for _, u := range m.updates {
				u.markKnown(m.slotByName[partner].index)
			}
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.step()
	}
}

// waitFor runs the network until ok, which is checked every 50 ms, and returns the virtual time that it took.
func (n *network) waitFor(what string, limit time.Duration, ok func() bool) time.Duration {
	n.t.Helper()
	begin := n.now
	for !ok() {
		if n.now.Sub(begin) > limit {
			n.t.Fatalf("not within %s: %s", limit, what)
		}
		n.run(50 * time.Millisecond)
	}
	return n.now.Sub(begin)
}

func (n *network) step() {
	n.now = n.now.Add(step)
	n.steps++
	arriving := n.inTransit
	n.inTransit = nil
	for _, message := range arriving {
		if n.stopped[message.to] || n.paused[message.to] {
			continue
		}
		n.receivedBytes[message.to] += message.heartbeat.Size() + frameBytes
		from := n.nodes[message.from].self
		source := Source{Name: message.from, DataCentre: from.dataCentre, Incarnation: from.value.incarnation}
		n.handleOutput(message.to, n.nodes[message.to].Receive(n.now, source, message.heartbeat))
	}
	for _, name := range n.names {
		if (n.steps+n.tickPhase[name])%int(TickInterval/step) == 0 && !n.stopped[name] && !n.paused[name] {
			n.handleOutput(name, n.nodes[name].Tick(n.now))
		}
	}
}

func (n *network) handleOutput(name string, out Output) {
	n.events[name] = append(n.events[name], out.Events...)
	for _, message := range out.Messages {
		n.sentBytes[name] += message.Heartbeat.Size() + frameBytes
		n.largest = max(n.largest, message.Heartbeat.Size())
		if n.rand.Float64() < n.loss || n.blocked != nil && n.blocked(name, message.To) {
			continue
		}
		n.inTransit = append(n.inTransit, inTransit{from: name, to: message.To, heartbeat: message.Heartbeat})
	}
}

func (n *network) state(at, of string) State {
	if r, known := n.nodes[at].records[of]; known {
		return r.effective
	}
	return StateUnknown
}

// everywhere reports whether ok holds at all running instances except the subject.
func (n *network) everywhere(subject string, ok func(name string) bool) bool {
	for _, name := range n.names {
		if name != subject && !n.stopped[name] && !ok(name) {
			return false
		}
	}
	return true
}

// allKnow returns a check that all running instances have the subject in state s.
func (n *network) allKnow(subject string, s State) func() bool {
	return func() bool {
		return n.everywhere(subject, func(name string) bool { return n.state(name, subject) == s })
	}
}

// rates resets the byte counters and returns the highest and mean bytes per second sent plus received.
func (n *network) rates(d time.Duration) (highest, mean float64) {
	for _, name := range n.names {
		rate := float64(n.sentBytes[name]+n.receivedBytes[name]) / d.Seconds()
		highest = max(highest, rate)
		mean += rate / float64(len(n.names))
	}
	clear(n.sentBytes)
	clear(n.receivedBytes)
	return highest, mean
}
