package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// network runs instances in virtual time. Every message takes one step.
type network struct {
	t       testing.TB
	rand    *rand.Rand
	now     time.Time
	names   []string
	nodes   map[string]*Membership
	phase   map[string]int
	down    map[string]bool
	frozen  map[string]bool
	loss    float64
	cut     func(from, to string) bool
	flying  []flying
	events  map[string][]Event
	sent    map[string]int // bytes
	got     map[string]int
	largest int
	steps   int
}

type flying struct {
	from, to  string
	heartbeat Heartbeat
}

const step = 10 * time.Millisecond

// frameBytes is what the link adds to a heartbeat: frame, WebSocket header, pings.
const frameBytes = 60

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func centreOf(i, centres int) string { return fmt.Sprintf("dc%d", i%centres) }

func nameOf(i, centres int) string { return fmt.Sprintf("dc%d-%03d", i%centres, i) }

func newNetwork(t testing.TB, size, centres int, seed uint64) *network {
	n := &network{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, nodes: map[string]*Membership{}, phase: map[string]int{},
		down: map[string]bool{}, frozen: map[string]bool{}, events: map[string][]Event{}, sent: map[string]int{}, got: map[string]int{},
	}
	for i := range size {
		n.names = append(n.names, nameOf(i, centres))
	}
	for i, name := range n.names {
		n.phase[name] = n.rand.IntN(int(TickInterval / step))
		n.start(name, centreOf(i, centres), 1)
	}
	return n
}

// start starts an incarnation that knows all names, as from the settings.
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
	delete(n.down, name)
}

// introduce lets everybody know everybody, so that a test need not wait for the start to settle.
func (n *network) introduce() {
	for _, name := range n.names {
		m := n.nodes[name]
		for _, other := range n.names {
			if name != other {
				m.learnRecords([]Record{n.nodes[other].self.notice()}, -1)
			}
		}
		m.choosePartners()
	}
	for _, m := range n.nodes {
		for _, partner := range m.Partners() {
			for _, i := range m.updates {
				i.markKnown(m.slotByName[partner].index)
			}
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.step()
	}
}

// until runs until ok, asked every 50 ms, and returns the time that it took.
func (n *network) until(what string, limit time.Duration, ok func() bool) time.Duration {
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
	arriving := n.flying
	n.flying = nil
	for _, f := range arriving {
		if n.down[f.to] || n.frozen[f.to] {
			continue
		}
		n.got[f.to] += f.heartbeat.Size() + frameBytes
		from := n.nodes[f.from].self
		source := Source{Name: f.from, DataCentre: from.dataCentre, Incarnation: from.value.incarnation}
		n.take(f.to, n.nodes[f.to].Receive(n.now, source, f.heartbeat))
	}
	for _, name := range n.names {
		if (n.steps+n.phase[name])%int(TickInterval/step) == 0 && !n.down[name] && !n.frozen[name] {
			n.take(name, n.nodes[name].Tick(n.now))
		}
	}
}

func (n *network) take(name string, out Output) {
	n.events[name] = append(n.events[name], out.Events...)
	for _, message := range out.Messages {
		n.sent[name] += message.Heartbeat.Size() + frameBytes
		n.largest = max(n.largest, message.Heartbeat.Size())
		if n.rand.Float64() < n.loss || n.cut != nil && n.cut(name, message.To) {
			continue
		}
		n.flying = append(n.flying, flying{from: name, to: message.To, heartbeat: message.Heartbeat})
	}
}

func (n *network) state(at, of string) State {
	if r, known := n.nodes[at].records[of]; known {
		return r.effective
	}
	return StateUnknown
}

// everywhere reports whether all running instances but the subject satisfy ok.
func (n *network) everywhere(subject string, ok func(name string) bool) bool {
	for _, name := range n.names {
		if name != subject && !n.down[name] && !ok(name) {
			return false
		}
	}
	return true
}

func (n *network) allKnow(subject string, s State) func() bool {
	return func() bool {
		return n.everywhere(subject, func(name string) bool { return n.state(name, subject) == s })
	}
}

// rates resets the byte counters and returns the highest and mean bytes per second sent plus received.
func (n *network) rates(d time.Duration) (highest, mean float64) {
	for _, name := range n.names {
		rate := float64(n.sent[name]+n.got[name]) / d.Seconds()
		highest = max(highest, rate)
		mean += rate / float64(len(n.names))
	}
	clear(n.sent)
	clear(n.got)
	return highest, mean
}
