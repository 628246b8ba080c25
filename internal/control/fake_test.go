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

// fakeNetwork connects the instances of one test and can partition data centres. A call into a partitioned
// data centre gets no reply until its context ends, as in a network that drops packets.
type fakeNetwork struct {
	mu              sync.Mutex
	nodes           map[string]*fakeNode
	order           []string
	partitioned     map[string]bool // by data centre; each of these is isolated from all others
	failed          map[string]bool // instances that the membership considers failed
	membershipEmpty bool            // the membership does not know any instance yet
	leader          string
	replicating     sync.Mutex // serializes appends to the log
	log             [][]byte
	repliesToDrop   atomic.Int32 // number of replies to submissions that are still to be dropped
	rewrite         func(kind link.Kind, body []byte) []byte
	bytes           atomic.Int64 // payload size of all messages and replies
	messages        atomic.Int64
}

type fakeNode struct {
	net        *fakeNetwork
	name       string
	dataCentre string
	control    *Control
	handlers   map[link.Kind]link.Handler
	applied    int // number of applied log entries
	mu         sync.Mutex
	versions   []configuration.Version // versions put in force, in order
	stop       context.CancelFunc
	done       chan struct{}
}

type notLeaderError struct{ leader string }

func (e *notLeaderError) Error() string { return "not the leader" }

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{nodes: map[string]*fakeNode{}, partitioned: map[string]bool{}, failed: map[string]bool{}}
}

// start adds an instance, which has the control role if replicas contains it. The first one added is the
// leader.
func (n *fakeNetwork) start(t testing.TB, replicas []Peer, name, dataCentre, directory string, adjust func(*Control)) *fakeNode {
	t.Helper()
	node := &fakeNode{net: n, name: name, dataCentre: dataCentre, done: make(chan struct{})}
	control, err := New(Options{
		Name: name, DataCentre: dataCentre, Replicas: replicas, Caller: node, Directory: directory,
		Members:    n.members,
		Neighbours: func() []string { return n.neighbours(node) },
		OnVersion: func(version configuration.Version, _ *configuration.Document) {
			node.mu.Lock()
			defer node.mu.Unlock()
			node.versions = append(node.versions, version)
		},
		NotLeader: func(err error) (string, bool) {
			notLeader, ok := err.(*notLeaderError)
			if !ok {
				return "", false
			}
			return notLeader.leader, true
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

func (n *fakeNetwork) stopAll() {
	for _, node := range n.nodes {
		node.stop()
		<-node.done
	}
}

func (n *fakeNetwork) setPartitioned(dataCentre string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[dataCentre] = on
}

func (n *fakeNetwork) setFailed(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.failed)
	for _, name := range names {
		n.failed[name] = true
	}
}

func (n *fakeNetwork) setMembershipEmpty(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membershipEmpty = on
}

// remove stops an instance and removes it, which simulates the loss of its machine.
func (n *fakeNetwork) remove(name string) {
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

func (n *fakeNetwork) members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.membershipEmpty {
		return nil
	}
	members := make([]Member, 0, len(n.order))
	for _, name := range n.order {
		members = append(members, Member{Name: name, DataCentre: n.nodes[name].dataCentre, Live: !n.failed[name]})
	}
	return members
}

func (n *fakeNetwork) neighbours(of *fakeNode) []string {
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

func (n *fakeNetwork) reach(from *fakeNode, to string) (*fakeNode, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target, known := n.nodes[to]
	if !known {
		return nil, false
	}
	return target, from.dataCentre == target.dataCentre || !n.partitioned[from.dataCentre] && !n.partitioned[target.dataCentre]
}

func (f *fakeNode) sender() link.Sender { return link.Sender{Name: f.name, DataCentre: f.dataCentre} }

func (f *fakeNode) Send(to string, kind link.Kind, body any) error {
	target, reachable := f.net.reach(f, to)
	if target == nil {
		return &link.UnknownPeerError{Peer: to}
	}
	if !reachable {
		return nil // dropped
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
	response, err := f.deliver(ctx, target, kind, body)
	if err != nil {
		return &link.RemoteError{Peer: to, Code: "test", Detail: err.Error()}
	}
	if kind == KindSubmit && f.net.repliesToDrop.Add(-1) >= 0 {
		return &link.UnreachableError{Peer: to, Sent: true}
	}
	return cbor.Unmarshal(response, reply)
}

func (f *fakeNode) deliver(ctx context.Context, target *fakeNode, kind link.Kind, body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	if f.net.rewrite != nil {
		data = f.net.rewrite(kind, data)
	}
	response, err := target.handlers[kind](ctx, f.sender(), data)
	if err != nil {
		return nil, err
	}
	encoded, err := cbor.Marshal(response)
	f.net.bytes.Add(int64(len(data) + len(encoded)))
	f.net.messages.Add(1)
	return encoded, err
}

// Propose commits immediately when a majority of the replicas is reachable.
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

// replicate appends entries and applies the log at all replicas that the leader can reach. It returns the
// leader's result for the last entry.
func (n *fakeNetwork) replicate(leader *fakeNode, entries ...[]byte) (last any) {
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

func (n *fakeNetwork) replicas(leader *fakeNode) (reached []*fakeNode) {
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

// startSubscribedDataCentres calls startThreeDataCentres and waits until every instance has subscribed.
func startSubscribedDataCentres(t testing.TB, net *fakeNetwork) {
	startThreeDataCentres(t, net, nil)
	time.Sleep(3 * time.Second)
}

// startThreeDataCentres starts one replica and two other instances in each of the data centres bern, olten
// and aarau.
func startThreeDataCentres(t testing.TB, net *fakeNetwork, adjust func(*Control)) {
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
