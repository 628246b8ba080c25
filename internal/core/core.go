// Package core runs a control instance: a replica of the configuration, the operators' interface, the
// reader of the platform's list of engines, and the allocator of places.
package core

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/internal/allocator"
	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/duty"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/monitor"
	"github.com/primrosebeam/primrosebeam/internal/replica"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/revision"
)

const (
	// maxFrameBytes takes the largest configuration that the log takes, with its envelope.
	maxFrameBytes = consensus.DefaultMaxEntryBytes + 64<<10
	// maxLearners bounds the instances that wait to become voters.
	maxLearners = 12
	// lostTicks is how long a voter is silent before a spare takes its place: 2 s, within the time in
	// which the users expect a replaced machine to count again (4 s).
	lostTicks = int(2 * time.Second / tickInterval)
	// tickInterval makes a leader be replaced after 0.42 to 0.84 s. Round trips between data centres
	// take 2 ms, and the retransmission of a lost packet 200 ms.
	tickInterval = 35 * time.Millisecond
	// roleInterval is how often the leadership is looked at.
	roleInterval = 100 * time.Millisecond
)

// Options configure a Core.
type Options = fleet.Options

// Core is the process of a control instance.
type Core struct {
	options   Options
	name      string // the machine's address, which is unique and tells others where to connect
	link      *link.Node
	register  *revision.Register
	replica   *replica.Replica
	allocator *allocator.Allocator
	directory *directory.Reader
	hub       *hub
	leads     atomic.Bool
	leader    atomic.Pointer[string]
	stored    chan struct{} // signals a new configuration
}

// New opens the data folder and builds all duties; Run starts them.
func New(o Options) (*Core, error) {
	s := o.Settings
	c := &Core{options: o, name: s.Address.String()}
	c.stored = make(chan struct{}, 1)
	c.register = revision.NewRegister(func(revision.Revision) {
		select {
		case c.stored <- struct{}{}:
		default:
		}
	})
	node, err := o.NewLink(maxFrameBytes)
	if err != nil {
		return nil, err
	}
	c.link = node
	c.allocator = allocator.New(allocator.Options{
		Caller: node, DataCentre: s.DataCentre, Logger: o.Logger, Metrics: o.Metrics,
	})
	c.hub = newHub(c)
	c.directory = directory.New(directory.Options{
		Address: s.Directory.Address, Interval: directoryInterval, OnChange: c.enginesChanged, ReadNeeded: c.wantsDirectory,
		Logger: o.Logger, Metrics: o.Metrics,
	})
	c.replica, err = replica.New(c.replicaOptions())
	if err != nil {
		return nil, err
	}
	node.Handle(fleet.KindConsensus, c.handleConsensus)
	node.Handle(fleet.KindAttach, c.hub.handleAttach)
	node.Handle(fleet.KindConfirm, c.handleConfirm)
	node.Handle(fleet.KindSubmit, c.handleSubmit)
	node.Handle(fleet.KindUpdate, c.allocator.HandleUpdate)
	return c, nil
}

const (
	// directoryInterval is the period at which the leader reads the list of engines. With the list's own
	// lag of 0.8 s a leaving engine is known after 1.5 s, half of the time allowed.
	directoryInterval = 700 * time.Millisecond
	// directoryStale is the age from which a control instance that doesn't lead reads the list itself.
	directoryStale = 1300 * time.Millisecond
)

// wantsDirectory reports whether this instance has to read the list of engines itself.
func (c *Core) wantsDirectory() bool {
	return c.leads.Load() || c.directory.State().Age() > directoryStale
}

func (c *Core) replicaOptions() replica.Options {
	s := c.options.Settings
	o := replica.Options{
		Instance: c.name, Directory: filepath.Join(s.DataFolder, "replica"),
		StateMachine: c.register, Transport: c, Logger: c.options.Logger, Metrics: c.options.Metrics,
		TickInterval: tickInterval,
		// 2f+1 voters keep a quorum when f of them are lost.
		Staffing: consensus.MembershipPolicy{TargetVoters: 2*s.Tolerated + 1, MaxLearners: maxLearners, LostAfterTicks: lostTicks},
	}
	seeds := s.SeedAddresses()
	if s.FirstStart {
		o.Voters = seeds
	} else {
		o.Peers = seeds
	}
	return o
}

// Send implements replica.Transport.
func (c *Core) Send(to string, m consensus.Message) error {
	return c.link.Send(to, fleet.KindConsensus, m)
}

func (c *Core) handleConsensus(_ context.Context, from link.Sender, body []byte) (any, error) {
	var m consensus.Message
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	c.replica.Receive(from.Name, m)
	return nil, nil
}

// watchConfiguration follows the newest configuration. At a start the log is replayed, of which only
// the last configuration matters.
func (c *Core) watchConfiguration(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.stored:
		}
		r := c.register.Current()
		c.hub.notify()
		table, err := platform.DecodeDocument(r.Content)
		if err != nil {
			// Only valid configurations are proposed, so another version of this program wrote it.
			c.options.Logger.Error().Uint64("number", r.Number).Err(err).Msg("stored configuration is not valid here")
			continue
		}
		c.options.Logger.Info().Uint64("number", r.Number).Int("bytes", len(r.Content)).Msg("configuration stored")
		c.allocator.SetQuotas(placement.QuotaLimits(table.Workspaces(), c.options.Settings.Bounds.QuotaWindow))
	}
}

func (c *Core) enginesChanged(engines []placement.Engine) {
	c.allocator.SetEngines(engines)
	c.hub.notify()
}

// Run serves until ctx ends. A control instance has no callers' requests to finish; it closes its
// links and its journal.
func (c *Core) Run(ctx context.Context) error {
	operators := &http.Server{Addr: c.options.Settings.Operators, Handler: c.operators(), ReadHeaderTimeout: operatorTimeout}
	observed := monitor.New(c.options.Settings.Metrics, c.options.Metrics, map[string]func() any{
		"replica":   func() any { return c.replica.State() },
		"link":      func() any { return c.link.State() },
		"directory": func() any { return c.directory.State() },
		"hub":       func() any { return c.hub.state() },
	})
	duties := duty.NewGroup(ctx, "core")
	duties.Start("link", c.link.Run)
	duties.Start("replica", c.replica.Run)
	duties.Start("allocator", c.allocator.Run)
	duties.Start("directory", c.directory.Run)
	duties.Start("role", c.watchRole)
	duties.Start("configuration", c.watchConfiguration)
	duties.Start("operators", monitor.Serve(operators))
	duties.Start("metrics", monitor.Serve(observed))
	c.options.Logger.Info().Str("operators", operators.Addr).Bool("firstStart", c.options.Settings.FirstStart).Msg("control instance started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-duties.Failures():
	}
	duties.Stop()
	return err
}

// watchRole follows the leadership and tells the allocator and the entry instances.
func (c *Core) watchRole(ctx context.Context) error {
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	contacts := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		leader, known := c.replica.Leader()
		if !known {
			leader = ""
		}
		former := c.leader.Swap(&leader)
		c.leads.Store(leader == c.name)
		c.allocator.SetRole(leader == c.name, c.hub.entries())
		if former == nil || *former != leader {
			c.hub.notify()
			c.options.Logger.Info().Str("leader", leader).Msg("leader observed")
		}
		if names := fmt.Sprint(c.controlInstances()); names != contacts {
			contacts = names
			c.replica.SetContacts(c.controlInstances())
		}
	}
}

// controlInstances returns all instances that are known to have the control role.
func (c *Core) controlInstances() []string {
	names := map[string]bool{c.name: true}
	for _, seed := range c.options.Settings.SeedAddresses() {
		names[seed] = true
	}
	members := c.replica.State().Node.Configuration
	for _, id := range members.Voters {
		names[id.Instance] = true
	}
	for _, id := range members.Learners {
		names[id.Instance] = true
	}
	return sortedKeys(names)
}
