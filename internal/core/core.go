// Package core runs a control instance: a replica of the configuration log, the operator interface, the
// reader of the platform's list of engines, and the allocator of engine slots.
package core

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/internal/allocator"
	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/enginelink"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/monitor"
	"github.com/primrosebeam/primrosebeam/internal/replica"
	"github.com/primrosebeam/primrosebeam/internal/worker"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/revision"
)

const (
	// maxFrameBytes is enough for the largest configuration that the log accepts, with its envelope.
	maxFrameBytes = consensus.DefaultMaxEntryBytes + 64<<10
	// maxLearners limits the number of instances that wait to become voters.
	maxLearners = 12
	// lostAfterTicks is the time without a reply, in ticks, after which a learner replaces a voter. 2 s is
	// within the time after which users expect a replaced machine to count again (4 s).
	lostAfterTicks = int(2 * time.Second / tickInterval)
	// tickInterval is chosen so that a failed leader is replaced after 0.42 to 0.84 s. Round trips between
	// data centres take 2 ms, and the retransmission of a lost packet 200 ms.
	tickInterval = 35 * time.Millisecond
	// leaderPollInterval is the interval at which the leadership is polled.
	leaderPollInterval = 100 * time.Millisecond
)

// Options configures a ControlInstance.
type Options = fleet.Options

// ControlInstance is the process of a control instance.
type ControlInstance struct {
	options              Options
	name                 string // unique address of the machine, to which other instances connect
	link                 *link.Node
	register             *revision.Register
	recent               recentRevisions
	replica              *replica.Replica
	allocator            *allocator.Allocator
	directory            *directory.Reader
	hub                  *hub
	origins              *origins
	isLeader             atomic.Bool            // whether this instance is the leader
	leader               atomic.Pointer[string] // last observed leader
	seeds                *fleet.Seeds
	configurationChanged chan struct{} // signals that a new configuration was stored
	gate                 *intake.Gate  // bytes held for operators
	learned              learnedFile
	learnedRequests      interval // requests to the leader for what it has learned
	rollouts             *rollouts
	entryReports         interval // reports of the attached entry instances to the leader
}

// New opens the data folder and creates all workers; Run starts them.
func New(o Options) (*ControlInstance, error) {
	s := o.Settings
	c := &ControlInstance{options: o, name: s.Address.String(), seeds: o.Seeds(boottime.Now())}
	c.gate = intake.NewGate(intake.Capacity(s.Limits.MemoryMB), o.Logger, o.Metrics)
	c.configurationChanged = make(chan struct{}, 1)
	c.register = revision.NewRegister(func(r revision.Revision) {
		c.recent.add(r)
		select {
		case c.configurationChanged <- struct{}{}:
		default:
		}
	})
	node, err := o.NewLink(maxFrameBytes)
	if err != nil {
		return nil, err
	}
	c.link = node
	c.origins = newOrigins(c)
	c.rollouts = newRollouts(c)
	c.allocator = allocator.New(allocator.Options{
		Caller: node, DataCentre: s.DataCentre, Features: o.Features, AwaitQuotas: true, OnBegun: c.origins.add,
		Rollouts: s.Rollouts, OnRollout: c.rollouts.decide, Logger: o.Logger, Metrics: o.Metrics,
	})
	c.learned = newLearnedFile(s.DataFolder)
	c.restoreLearned()
	c.hub = newHub(c)
	c.directory = directory.New(directory.Options{
		Address: s.Directory.Address, Interval: directoryInterval, OnChange: c.enginesChanged, ReadNeeded: c.shouldReadDirectory,
		Logger: o.Logger, Metrics: o.Metrics,
	})
	c.replica, err = replica.New(c.replicaOptions())
	if err != nil {
		return nil, err
	}
	node.Handle(fleet.KindConsensus, c.handleConsensus)
	node.Handle(fleet.KindAttach, c.hub.handleAttach)
	node.Handle(fleet.KindFetch, c.hub.handleFetch)
	node.Handle(fleet.KindConfirm, c.handleConfirm)
	node.Handle(fleet.KindSubmit, c.handleSubmit)
	node.Handle(fleet.KindUpdate, c.allocator.HandleUpdate)
	node.Handle(fleet.KindOrigin, c.origins.handleQuery)
	node.Handle(fleet.KindOrigins, c.origins.handleRecords)
	node.Handle(fleet.KindOrder, c.rollouts.handleOrder)
	return c, nil
}

const (
	// directoryInterval is the interval at which the leader reads the list of engines. Together with the
	// list's own lag of 0.8 s, a leaving engine is known after 1.5 s, half of the time allowed.
	directoryInterval = 700 * time.Millisecond
	// directoryMaxAge is the age of the list beyond which a control instance that is not the leader reads
	// the list itself.
	directoryMaxAge = 1300 * time.Millisecond
)

// shouldReadDirectory reports whether this instance must read the list of engines itself.
func (c *ControlInstance) shouldReadDirectory() bool {
	return c.isLeader.Load() || c.directory.State().Age() > directoryMaxAge
}

func (c *ControlInstance) replicaOptions() replica.Options {
	s := c.options.Settings
	o := replica.Options{
		Instance: c.name, Directory: filepath.Join(s.DataFolder, "replica"),
		StateMachine: &state{register: c.register, rollouts: c.rollouts.replica}, Transport: c, Logger: c.options.Logger, Metrics: c.options.Metrics,
		TickInterval: tickInterval,
		// 2f+1 voters keep a quorum when f of them are lost.
		MembershipPolicy: consensus.MembershipPolicy{TargetVoters: 2*s.ToleratedFailures + 1, MaxLearners: maxLearners, LostAfterTicks: lostAfterTicks},
	}
	seeds := s.SeedAddresses()
	if s.Bootstrap {
		o.Voters = seeds
	} else {
		o.Peers = seeds
	}
	return o
}

// Send implements replica.Transport.
func (c *ControlInstance) Send(to string, m consensus.Message) error {
	return c.link.Send(to, fleet.KindConsensus, m)
}

func (c *ControlInstance) handleConsensus(_ context.Context, from link.Sender, body []byte) (any, error) {
	var m consensus.Message
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	c.replica.Receive(from.Name, m)
	return nil, nil
}

// watchConfiguration passes the quotas of the newest configuration to the allocator and notifies the
// attached entry instances. Configurations that are replaced before they are read here, as during the
// replay of the log at startup, are skipped.
func (c *ControlInstance) watchConfiguration(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.configurationChanged:
		}
		r := c.register.Current()
		c.hub.notifyAttached()
		table, err := fleet.DecodeConfiguration(r.Content)
		if err != nil {
			// Only valid configurations are proposed, so a different version of this program wrote it.
			c.options.Logger.Error().Uint64("number", r.Number).Err(err).Msg("stored configuration is invalid")
			continue
		}
		c.options.Logger.Info().Uint64("number", r.Number).Int("bytes", len(r.Content)).Msg("configuration stored")
		bounds := &c.options.Settings.Bounds
		c.allocator.SetQuotas(placement.QuotaLimits(table.Workspaces(), bounds.QuotaWindow, bounds.QuotaTolerance))
	}
}

func (c *ControlInstance) enginesChanged(engines []placement.Engine) {
	c.allocator.SetEngines(engines)
	c.origins.enginesChanged(engines)
	c.hub.notifyAttached()
}

// Run serves until ctx ends. A control instance has no requests of callers to finish; it closes its links
// and its journal.
func (c *ControlInstance) Run(ctx context.Context) error {
	metricsServer := monitor.New(c.options.Settings.Metrics, c.options.Metrics, map[string]func() any{
		"replica":   func() any { return c.replica.State() },
		"link":      func() any { return c.link.State() },
		"directory": func() any { return c.directory.State() },
		"hub":       func() any { return c.hub.state() },
		"limits":    func() any { return c.allocator.Limits() },
		"held":      c.gate.State,
	})
	workers := worker.NewGroup(ctx, "core")
	workers.Start("link", c.link.Run)
	workers.Start("replica", c.replica.Run)
	workers.Start("allocator", c.allocator.Run)
	workers.Start("directory", c.directory.Run)
	workers.Start("role", c.watchLeader)
	workers.Start("configuration", c.watchConfiguration)
	workers.Start("learned", c.saveLearned)
	workers.Start("roll-outs", c.rollouts.Run)
	workers.Start("relay", enginelink.NewRelay(enginelink.RelayOptions{
		Listen: c.options.Settings.Relay, SharedKey: c.options.SharedKey, IsEngine: c.isEngine,
		Descriptors: c.options.Settings.Limits.Descriptors,
		Logger:      c.options.Logger, Metrics: c.options.Metrics,
	}).Run)
	workers.Start("origins", c.origins.sendRecords)
	workers.Start("origin file", c.origins.saveRecords)
	workers.Start("operators", c.serveOperators)
	workers.Start("metrics", monitor.Serve(metricsServer, c.gate.ProbeLimits(c.options.Settings.Limits.Descriptors)))
	c.options.Logger.Info().Str("operators", c.options.Settings.Operators).Bool("firstStart", c.options.Settings.Bootstrap).Msg("control instance started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-workers.Failures():
	}
	workers.Stop()
	return err
}

// isEngine reports whether an address is that of a listed engine.
func (c *ControlInstance) isEngine(address string) bool {
	return slices.ContainsFunc(c.directory.State().Engines, func(e placement.Engine) bool { return e.Address == address })
}

// watchLeader polls the leadership and informs the allocator and the entry instances of a change. It also
// passes the known control instances to the replica.
func (c *ControlInstance) watchLeader(ctx context.Context) error {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	joinPeers := ""
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
		previous := c.leader.Swap(&leader)
		c.isLeader.Store(leader == c.name)
		c.allocator.SetRole(leader == c.name, c.hub.entryCount())
		if previous == nil || *previous != leader {
			c.rollouts.leaderChanged()
			c.hub.notifyAttached()
			c.options.Logger.Info().Str("leader", leader).Msg("leader observed")
		}
		if changed, err := c.seeds.Observe(boottime.Now(), known); err != nil {
			c.options.Logger.Warn().Err(err).Msg("settings not read; asking the previous seeds")
		} else if changed {
			c.options.Logger.Info().Strs("seeds", c.seeds.Names()).Msg("the settings name other seeds")
		}
		if names := fmt.Sprint(c.controlInstances()); names != joinPeers {
			joinPeers = names
			c.replica.SetJoinPeers(c.controlInstances())
		}
	}
}

// controlInstances returns all instances that are known to have the control role.
func (c *ControlInstance) controlInstances() []string {
	names := map[string]bool{c.name: true}
	for _, seed := range c.seeds.Names() {
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
