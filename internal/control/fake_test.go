package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/label"
)

// fakeNet connects the instances of one test and cuts data centres off. A call into a cut data
// centre gets no reply until its context ends, as in a network that drops packets.
type fakeNet struct {
	mu          sync.Mutex
	nodes       map[string]*fakeNode
	order       []string
	cut         map[string]bool // by data centre; each is cut off from all others
	failed      map[string]bool // instances that the membership takes for failed
	unknown     bool            // the membership knows nobody yet
	leader      string
	replicating sync.Mutex // orders the log
	log         [][]byte
	dropReply   atomic.Int32 // answers to submissions that are still to be lost
	rewrite     func(kind link.Kind, body []byte) []byte
	bytes       atomic.Int64 // payload of all messages and replies
	messages    atomic.Int64
}

type fakeNode struct {
	net        *fakeNet
	name       string
	dataCentre string
	control    *Control
	handlers   map[link.Kind]link.Handler
	applied    int // log entries
	mu         sync.Mutex
	versions   []configuration.Version // put in force
	stop       context.CancelFunc
	done       chan struct{}
}

type notLeaderError struct{ leader string }

func (e *notLeaderError) Error() string { return "not the leader" }

func newNet() *fakeNet {
	return &fakeNet{nodes: map[string]*fakeNode{}, cut: map[string]bool{}, failed: map[string]bool{}}
}

// start adds an instance; names that begin with "r" are control replicas, the first one leads.
func (n *fakeNet) start(t testing.TB, replicas []Peer, name, centre, directory string, adjust func(*Control)) *fakeNode {
	t.Helper()
	node := &fakeNode{net: n, name: name, dataCentre: centre, done: make(chan struct{})}
	control, err := New(Options{
		Name: name, DataCentre: centre, Replicas: replicas, Caller: node, Directory: directory,
		Members:    n.members,
		Neighbours: func() []string { return n.neighbours(node) },
		OnVersion: func(version configuration.Version, _ *configuration.Document) {
			node.mu.Lock()
			defer node.mu.Unlock()
			node.versions = append(node.versions, version)
		},
		NotLeader: func(err error) (string, bool) {
			refused, ok := err.(*notLeaderError)
			if !ok {
				return "", false
			}
			return refused.leader, true
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	node.control = control
	if control.Store() != nil {
		control.Attach(node)
	}
	if adjust != nil {
		adjust(control)
	}
	node.handlers = control.Handlers()
	n.mu.Lock()
	n.nodes[name] = node
	n.order = append(n.order, name)
	if n.leader == "" {
		n.leader = name
	}
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = cancel
	go func() {
		defer close(node.done)
		_ = control.Run(ctx)
	}()
	return node
}

func (n *fakeNet) stopAll() {
	for _, node := range n.nodes {
		node.stop()
		<-node.done
	}
}

func (n *fakeNet) setCut(centre string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[centre] = on
}

func (n *fakeNet) setFailed(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.failed)
	for _, name := range names {
		n.failed[name] = true
	}
}

func (n *fakeNet) setUnknown(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unknown = on
}

// remove takes an instance away, as if its machine were gone.
func (n *fakeNet) remove(name string) {
	n.mu.Lock()
	node := n.nodes[name]
	delete(n.nodes, name)
	n.order = slices.DeleteFunc(n.order, func(other string) bool { return other == name })
	n.mu.Unlock()
	node.stop()
	<-node.done
}

func (f *fakeNode) history() []configuration.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.versions)
}

func (n *fakeNet) members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unknown {
		return nil
	}
	members := make([]Member, 0, len(n.order))
	for _, name := range n.order {
		members = append(members, Member{Name: name, DataCentre: n.nodes[name].dataCentre, Live: !n.failed[name]})
	}
	return members
}

func (n *fakeNet) neighbours(of *fakeNode) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for _, name := range n.order {
		if name != of.name && n.nodes[name].dataCentre == of.dataCentre {
			names = append(names, name)
		}
	}
	return names
}

func (n *fakeNet) reach(from *fakeNode, to string) (*fakeNode, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target, known := n.nodes[to]
	if !known {
		return nil, false
	}
	return target, from.dataCentre == target.dataCentre || !n.cut[from.dataCentre] && !n.cut[target.dataCentre]
}

func (f *fakeNode) sender() link.Sender { return link.Sender{Name: f.name, DataCentre: f.dataCentre} }

func (f *fakeNode) Send(to string, kind link.Kind, body any) error {
	target, reachable := f.net.reach(f, to)
	if target == nil {
		return &link.UnknownPeerError{Peer: to}
	}
	if !reachable {
		return nil // lost
	}
	_, err := f.deliver(context.Background(), target, kind, body)
	return err
}

func (f *fakeNode) Call(ctx context.Context, to string, kind link.Kind, body, reply any) error {
	target, reachable := f.net.reach(f, to)
	if target == nil {
		return &link.UnknownPeerError{Peer: to}
	}
	if !reachable {
		<-ctx.Done()
		return &link.UnreachableError{Peer: to, Sent: true}
	}
	answer, err := f.deliver(ctx, target, kind, body)
	if err != nil {
		return &link.RemoteError{Peer: to, Code: "test", Detail: err.Error()}
	}
	if kind == KindSubmit && f.net.dropReply.Add(-1) >= 0 {
		return &link.UnreachableError{Peer: to, Sent: true}
	}
	return cbor.Unmarshal(answer, reply)
}

func (f *fakeNode) deliver(ctx context.Context, target *fakeNode, kind link.Kind, body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	if f.net.rewrite != nil {
		data = f.net.rewrite(kind, data)
	}
	answer, err := target.handlers[kind](ctx, f.sender(), data)
	if err != nil {
		return nil, err
	}
	encoded, err := cbor.Marshal(answer)
	f.net.bytes.Add(int64(len(data) + len(encoded)))
	f.net.messages.Add(1)
	return encoded, err
}

// Propose commits at once when a majority of replicas is reachable.
func (f *fakeNode) Propose(ctx context.Context, data []byte) (any, error) {
	if leader, _ := f.Leader(); leader != f.name {
		return nil, &notLeaderError{leader: leader}
	}
	if !f.quorum() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.net.replicate(f, data), nil
}

func (f *fakeNode) Barrier(ctx context.Context) error {
	if !f.quorum() {
		<-ctx.Done()
		return ctx.Err()
	}
	f.net.replicate(f)
	return nil
}

// replicate appends entries and applies the log at all replicas that the leader reaches. It
// returns the leader's result for the last entry.
func (n *fakeNet) replicate(leader *fakeNode, entries ...[]byte) (last any) {
	n.replicating.Lock()
	defer n.replicating.Unlock()
	n.log = append(n.log, entries...)
	for _, node := range n.replicas(leader) {
		for ; node.applied < len(n.log); node.applied++ {
			result := node.control.Store().Apply(uint64(node.applied), n.log[node.applied])
			if node == leader {
				last = result
			}
		}
	}
	return last
}

func (n *fakeNet) replicas(leader *fakeNode) (reached []*fakeNode) {
	for _, peer := range leader.control.options.Replicas {
		if node, reachable := n.reach(leader, peer.Name); reachable {
			reached = append(reached, node)
		}
	}
	return reached
}

func (f *fakeNode) quorum() bool {
	reached, all := 0, 0
	for _, peer := range f.control.options.Replicas {
		all++
		if _, reachable := f.net.reach(f, peer.Name); reachable {
			reached++
		}
	}
	return 2*reached > all
}

func (f *fakeNode) Leader() (string, bool) {
	f.net.mu.Lock()
	leader := f.net.leader
	f.net.mu.Unlock()
	if !f.quorum() {
		return "", false
	}
	return leader, true
}

// settledCentres starts threeCentres and lets every instance subscribe.
func settledCentres(t testing.TB, net *fakeNet) {
	threeCentres(t, net, nil)
	time.Sleep(3 * time.Second)
}

// threeCentres starts one replica and two other instances in each of bern, olten and aarau.
func threeCentres(t testing.TB, net *fakeNet, adjust func(*Control)) {
	replicas := []Peer{{"r-bern", "bern"}, {"r-olten", "olten"}, {"r-aarau", "aarau"}}
	for _, replica := range replicas {
		net.start(t, replicas, replica.Name, replica.DataCentre, "", adjust)
	}
	for _, replica := range replicas {
		for i := range 2 {
			net.start(t, replicas, fmt.Sprintf("i%d-%s", i, replica.DataCentre), replica.DataCentre, "", adjust)
		}
	}
}

func document(engines, workspaces int) *configuration.Document {
	d := &configuration.Document{
		Tiers:      []configuration.Tier{{Name: "urgent", QueueLimit: 100}, {Name: "reports", QueueLimit: 100}},
		Workspaces: make([]configuration.Workspace, 0, workspaces),
	}
	for i := range workspaces {
		hash := fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
		d.Workspaces = append(d.Workspaces, configuration.Workspace{Name: fmt.Sprintf("workspace-%d", i), TokenSHA256: []string{hash}})
	}
	for i := range 7 {
		model := fmt.Sprintf("model-%d", i)
		d.Services = append(d.Services, configuration.Service{
			Name: model, Kind: configuration.KindModel, Engines: "model=" + model,
			Routes: []configuration.Route{{Path: "/" + model + "/"}},
		})
	}
	for i := range engines {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)})
		d.Engines = append(d.Engines, configuration.Engine{
			Name: fmt.Sprintf("engine-%d", i), URL: fmt.Sprintf("http://%s:8000", address), DataCentre: fmt.Sprintf("centre-%d", i%5),
			Labels: label.Set{"model": fmt.Sprintf("model-%d", i%7), "hardware": fmt.Sprintf("generation-%d", i%4)},
		})
	}
	return d
}

func applyChange(id string, base configuration.Version) configuration.Change {
	return configuration.Change{ID: id, Base: base, Edit: configuration.Edit{Apply: document(7, 1)}}
}
