package instance

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/internal/claims"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/exchange"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/operator"
	"github.com/primrosebeam/primrosebeam/internal/replica"
	"github.com/primrosebeam/primrosebeam/ledger"
	"github.com/primrosebeam/primrosebeam/membership"
)

// kindConsensus is the kind of the messages between the replicas of the configuration log.
const kindConsensus link.Kind = "consensus"

// Names of the subfolders of the data folder.
const (
	folderLedger  = "ledger"
	folderReplica = "replica"
	folderControl = "control"
)

// maxFrameBytes is large enough for a complete configuration document and the message around it.
const maxFrameBytes = configuration.MaxDocumentBytes + 64<<10

// buildCluster builds the components that communicate with other instances. It does nothing without a
// listener for instances.
func (i *Instance) buildCluster() error {
	if i.options.Listen.Instances == "" {
		return nil
	}
	if err := i.buildLink(); err != nil {
		return err
	}
	if i.options.Roles.Ledger {
		i.openLedger()
	}
	if err := i.buildExchange(); err != nil {
		return err
	}
	if len(i.replicas()) > 0 {
		return i.buildControl()
	}
	return nil
}

func (i *Instance) buildLink() error {
	peers := map[string]string{}
	for _, peer := range i.options.Peers {
		peers[peer.Name] = peer.Address
	}
	node, err := link.New(link.Options{
		Name:          i.options.Name,
		DataCentre:    i.options.DataCentre,
		Incarnation:   i.incarnation,
		SharedKey:     i.options.SharedKey,
		ListenAddress: i.options.Listen.Instances,
		MaxFrameBytes: maxFrameBytes,
		Peers:         peers,
		Logger:        i.options.Logger,
		Metrics:       i.metrics,
	})
	if err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	i.link = node
	return nil
}

func (i *Instance) buildExchange() error {
	var seeds []membership.Hint
	for _, peer := range i.options.Peers {
		seeds = append(seeds, membership.Hint{Name: peer.Name, DataCentre: peer.DataCentre})
	}
	built, err := exchange.New(exchange.Options{
		Name:        i.options.Name,
		DataCentre:  i.options.DataCentre,
		Incarnation: i.incarnation,
		Roles:       roleNames(i.options.Roles),
		Seeds:       seeds,
		Caller:      i.link,
		Deliver:     i.deliver,
		Logger:      i.options.Logger,
		Metrics:     i.metrics,
	})
	if err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	built.Register(i.link.Handle)
	i.exchange = built
	return nil
}

// Names of the roles in messages between instances.
const (
	roleControl = "control"
	roleLedger  = "ledger"
)

func roleNames(r Roles) []string {
	var names []string
	if r.Control {
		names = append(names, roleControl)
	}
	if r.Ledger {
		names = append(names, roleLedger)
	}
	return names
}

// openLedger opens the ledger. If its files are unusable, the instance continues without the ledger role:
// requests with keys of this owner get the outcome undetermined, and all other requests are served.
func (i *Instance) openLedger() {
	owner, err := claims.Open(claims.Options{
		Name:      i.options.Name,
		Directory: filepath.Join(i.options.DataFolder, folderLedger),
		Metrics:   i.metrics,
		Logger:    i.options.Logger,
	})
	if err != nil {
		i.options.Logger.Error().Err(err).Msg("ledger not opened; the instance goes on without the role")
		i.options.Roles.Ledger = false
		return
	}
	claims.Register(i.link.Handle, owner)
	i.owner = owner
}

// ledgerService returns a client of the owners of idempotency keys, or nil if no instance has the ledger
// role.
func (i *Instance) ledgerService() ledger.Service {
	if i.link == nil || len(i.ledgerOwners()) == 0 {
		return nil
	}
	options := claims.ClientOptions{
		Name:       i.options.Name,
		DataCentre: i.options.DataCentre,
		Caller:     i.link,
		Owners:     i.liveOwners,
		Metrics:    i.metrics,
	}
	if i.owner != nil {
		options.Local = i.owner
	}
	return claims.NewClient(options)
}

// instancesWithRole returns the instances to which the settings assign a role, this one first.
func (i *Instance) instancesWithRole(hasRole func(Roles) bool) []Peer {
	self := Peer{Name: i.options.Name, DataCentre: i.options.DataCentre, Roles: i.options.Roles}
	var selected []Peer
	for _, peer := range append([]Peer{self}, i.options.Peers...) {
		if hasRole(peer.Roles) {
			selected = append(selected, peer)
		}
	}
	return selected
}

// ledgerOwners returns the instances that own idempotency keys according to the settings.
func (i *Instance) ledgerOwners() []claims.OwnerInfo {
	var owners []claims.OwnerInfo
	for _, peer := range i.instancesWithRole(func(r Roles) bool { return r.Ledger }) {
		owners = append(owners, claims.OwnerInfo{Name: peer.Name, DataCentre: peer.DataCentre})
	}
	return owners
}

// liveOwners returns the ledger owners that are neither failed nor leaving, or all owners if there are none.
func (i *Instance) liveOwners() []claims.OwnerInfo {
	states := i.instanceStates()
	var live []claims.OwnerInfo
	owners := i.ledgerOwners()
	for _, owner := range owners {
		if state := states[owner.Name]; state != membership.StateFailed && state != membership.StateLeaving {
			live = append(live, owner)
		}
	}
	if len(live) == 0 {
		return owners
	}
	return live
}

// instanceGone reports whether an incarnation of an instance is known to have failed or to have been
// replaced by a later one. Incarnation 0 means any incarnation. An instance that is leaving is not
// gone, since it still completes its requests.
func (i *Instance) instanceGone(name string, incarnation uint64) bool {
	if name == i.options.Name {
		return incarnation != 0 && incarnation != i.incarnation
	}
	if i.exchange == nil {
		return false
	}
	for _, known := range i.exchange.Instances() {
		if known.Name == name {
			replaced := incarnation != 0 && known.Incarnation > incarnation
			return replaced || known.State == membership.StateFailed
		}
	}
	return false
}

func (i *Instance) instanceStates() map[string]membership.State {
	states := map[string]membership.State{}
	for _, known := range i.exchange.Instances() {
		states[known.Name] = known.State
	}
	return states
}

// replicas returns the instances that have the control role according to the settings.
func (i *Instance) replicas() []control.Peer {
	var replicas []control.Peer
	for _, peer := range i.instancesWithRole(func(r Roles) bool { return r.Control }) {
		replicas = append(replicas, control.Peer{Name: peer.Name, DataCentre: peer.DataCentre})
	}
	return replicas
}

func (i *Instance) buildControl() error {
	directory := ""
	if i.options.DataFolder != "" {
		directory = filepath.Join(i.options.DataFolder, folderControl)
	}
	built, err := control.New(control.Options{
		Name:        i.options.Name,
		DataCentre:  i.options.DataCentre,
		Replicas:    i.replicas(),
		DataCentres: i.dataCentres(),
		Caller:      i.link,
		Members:     i.members,
		Neighbours:  i.neighbours,
		Directory:   directory,
		OnVersion:   i.putInForce,
		NotLeader:   notLeader,
		Logger:      i.options.Logger,
	})
	if err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	i.control = built
	for kind, handler := range built.Handlers() {
		i.link.Handle(kind, handler)
	}
	if i.options.Roles.Control {
		return i.buildReplica()
	}
	return nil
}

func (i *Instance) buildReplica() error {
	var voters []string
	for _, voter := range i.replicas() {
		voters = append(voters, voter.Name)
	}
	built, err := replica.New(replica.Options{
		Instance:     i.options.Name,
		Voters:       voters,
		Directory:    filepath.Join(i.options.DataFolder, folderReplica),
		StateMachine: i.control.Store(),
		Transport:    consensusTransport{i.link},
		Logger:       i.options.Logger,
		Metrics:      i.metrics,
	})
	if err != nil {
		return fmt.Errorf("instance: replica: %w", err)
	}
	i.link.Handle(kindConsensus, func(_ context.Context, from link.Sender, body []byte) (any, error) {
		var message consensus.Message
		if err := cbor.Unmarshal(body, &message); err != nil {
			return nil, &MessageDecodeError{From: from.Name, Cause: err}
		}
		built.Receive(from.Name, message)
		return nil, nil
	})
	i.control.Attach(built)
	i.replica = built
	return nil
}

// MessageDecodeError reports that a message between replicas cannot be decoded.
type MessageDecodeError struct {
	From  string // name of the sender
	Cause error
}

func (e *MessageDecodeError) Error() string {
	return fmt.Sprintf("instance: cannot decode message from %q: %v", e.From, e.Cause)
}

func (e *MessageDecodeError) Unwrap() error { return e.Cause }

// consensusTransport sends messages between replicas over the link.
type consensusTransport struct{ node *link.Node }

// Send implements replica.Transport.
func (t consensusTransport) Send(to string, m consensus.Message) error {
	return t.node.Send(to, kindConsensus, m)
}

// notLeader reports whether err means that this replica is not the leader, and returns the leader that it
// names.
func notLeader(err error) (leader string, ok bool) {
	var rejection *replica.NotLeaderError
	if !errors.As(err, &rejection) {
		return "", false
	}
	return rejection.Leader, true
}

// members returns the known instances, for tracking on which of them a version is in force.
func (i *Instance) members() []control.Member {
	var members []control.Member
	for _, known := range i.exchange.Instances() {
		members = append(members, control.Member{
			Name: known.Name, DataCentre: known.DataCentre, State: known.State.String(),
			Live: known.State != membership.StateFailed && known.State != membership.StateLeaving,
		})
	}
	return members
}

// dataCentres returns the data centres in the settings, so that a data centre without a live instance is
// reported as one in which a version is not in force.
func (i *Instance) dataCentres() []string {
	names := []string{i.options.DataCentre}
	for _, peer := range i.options.Peers {
		if !slices.Contains(names, peer.DataCentre) {
			names = append(names, peer.DataCentre)
		}
	}
	return names
}

// neighbours returns the names of the other instances in this data centre that have not failed.
func (i *Instance) neighbours() []string {
	var names []string
	for _, known := range i.exchange.Instances() {
		if known.Name != i.options.Name && known.DataCentre == i.options.DataCentre && known.State != membership.StateFailed {
			names = append(names, known.Name)
		}
	}
	return names
}

// operatorControl returns the interface of operators to the configuration. Without control replicas the
// configuration is fixed.
func (i *Instance) operatorControl() operator.Control {
	if i.control == nil {
		return fixedControl{document: i.options.Configuration}
	}
	return i.control
}
