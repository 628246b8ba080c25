package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/rollout"
	"github.com/primrosebeam/primrosebeam/routing"
)

const (
	// attachInterval is the interval between calls to a control instance. Changes in between are announced.
	attachInterval = 400 * time.Millisecond
	// attachTimeout is how long one call may take before another control instance is called.
	attachTimeout = 600 * time.Millisecond
	// retryDelay is the time after a failed call before another control instance is called.
	retryDelay = attachInterval / 8
	// controlBackoff is how long after a failure a control instance is called only if the others fail too.
	controlBackoff = 2 * time.Second
	// leaseMargin is the time by which the lease ends early, since requests are sent shortly after they
	// pass the check.
	leaseMargin = 250 * time.Millisecond
)

// controlClient keeps this instance attached to a control instance. It holds the configuration in force and
// the lease that is needed to accept keys.
type controlClient struct {
	link              link.Caller
	name              string        // name of this instance
	dataCentre        string        // data centre of this instance
	revocationTimeout time.Duration // within which a revoked key must be refused
	quotaWindow       time.Duration
	directory         *directory.Reader
	logger            zerolog.Logger
	changed           chan struct{} // receives a value when a control instance announces a change
	onInstall         func(*routing.Table)
	rollouts          *rollout.Register // what control instances have told
	onRollouts        func([]rollout.Rollout)
	failedCalls       *metrics.Counter
	failedTransfers   *metrics.Counter
	newer             chan struct{} // receives a value when a control instance holds a newer configuration
	invalid           uint64        // newest configuration that could not be put in force; owned by RunTransfers

	table      atomic.Pointer[routing.Table]
	leaseEnd   atomic.Int64 // boottime.Time until which the lease lasts
	leader     atomic.Pointer[string]
	entryCount atomic.Int64
	announced  atomic.Uint64 // newest configuration that a control instance holds

	seeds            *fleet.Seeds
	mu               sync.Mutex
	controlInstances []string          // addresses of all known control instances
	dataCentres      map[string]string // data centre by control instance
	target           string            // control instance called last
	backoffUntil     map[string]boottime.Time
}

func newControlClient(o Options, l link.Caller, reader *directory.Reader, onInstall func(*routing.Table)) *controlClient {
	s := o.Settings
	c := &controlClient{
		link: l, name: s.Address.String(), dataCentre: s.DataCentre,
		revocationTimeout: s.Bounds.RevocationTimeout, quotaWindow: s.Bounds.QuotaWindow, directory: reader,
		logger: o.Logger, changed: make(chan struct{}, 1), onInstall: onInstall,
		seeds: o.Seeds(boottime.Now()), controlInstances: s.SeedAddresses(), dataCentres: map[string]string{}, backoffUntil: map[string]boottime.Time{},
		failedCalls:     o.Metrics.NewCounter("primrosebeam_control_calls_failed_total"),
		failedTransfers: o.Metrics.NewCounter("primrosebeam_configuration_parts_failed_total"),
		newer:           make(chan struct{}, 1),
		rollouts:        rollout.NewRegister(nil),
		onRollouts:      func([]rollout.Rollout) {},
	}
	none := ""
	c.leader.Store(&none)
	c.entryCount.Store(1)
	return c
}

// Run calls a control instance at intervals until ctx is cancelled.
func (c *controlClient) Run(ctx context.Context) error {
	failures := 0 // calls that failed since the last successful one
	failingSince := boottime.Now()
	for ctx.Err() == nil {
		target := c.selectTarget()
		calledAt := boottime.Now()
		err := c.attach(ctx, target)
		wait := attachInterval
		if err != nil {
			if failures == 0 {
				failingSince = calledAt
			}
			c.recordFailure(target, calledAt, failures, err)
			failures++
			c.backOff(target)
			wait = retryDelay
		} else {
			if failures > 0 {
				c.logger.Info().Str("peer", target).Int("failures", failures).Dur("took", boottime.Now().Sub(failingSince)).
					Msg("control instance regained")
			}
			failures = 0
		}
		c.observeSeeds(err == nil)
		select {
		case <-ctx.Done():
		case <-c.changed:
		case <-time.After(wait):
		}
	}
	return ctx.Err()
}

// observeSeeds adds the seeds that the settings name now while no control instance that reaches a quorum is found.
func (c *controlClient) observeSeeds(found bool) {
	changed, err := c.seeds.Observe(boottime.Now(), found)
	if err != nil {
		c.logger.Warn().Err(err).Msg("settings not read; calling the known control instances")
	}
	if changed {
		c.logger.Info().Strs("seeds", c.seeds.Names()).Msg("the settings name other seeds")
		c.mu.Lock()
		defer c.mu.Unlock()
		c.addControlInstances(c.seeds.Names())
	}
}

// addControlInstances adds those that are not known yet. c.mu is held.
func (c *controlClient) addControlInstances(names []string) {
	for _, name := range names {
		if !slices.Contains(c.controlInstances, name) {
			c.controlInstances = append(slices.Clone(c.controlInstances), name)
		}
	}
}

// recordFailure counts a failed call and logs it if it is the first one in a row or if their number is a power
// of two.
func (c *controlClient) recordFailure(target string, calledAt boottime.Time, earlier int, err error) {
	c.failedCalls.Inc()
	if failures := earlier + 1; failures&(failures-1) == 0 {
		c.logger.Warn().Str("peer", target).Int("failures", failures).Dur("took", boottime.Now().Sub(calledAt)).
			Dur("lease", c.leaseLeft()).Err(err).Msg("control instance lost")
	}
}

// HandleChanged is the link handler for announcements of changes. It triggers an immediate call.
func (c *controlClient) HandleChanged(context.Context, link.Sender, []byte) (any, error) {
	c.requestCall()
	return nil, nil
}

// requestCall triggers an immediate call of a control instance.
func (c *controlClient) requestCall() { signal(c.changed) }

// signal sends a value to a channel with one buffered element, unless one is already there.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// numberInForce returns the number of the configuration in force here, or 0 if there is none.
func (c *controlClient) numberInForce() uint64 {
	if t := c.table.Load(); t != nil {
		return uint64(t.Number)
	}
	return 0
}

// selectTarget returns the control instance to call. Instances of the own data centre and those whose data
// centre is not known yet come first, and the current one is preferred among equals. Instances that failed
// recently come last, ordered by the time of their failure.
func (c *controlClient) selectTarget() string {
	now := boottime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	best, lowest := "", boottime.Time(0)
	for _, name := range c.controlInstances {
		cost := max(c.backoffUntil[name], now)
		if centre, known := c.dataCentres[name]; known && centre != c.dataCentre {
			cost++ // breaks ties in favour of the own data centre
		}
		if name == c.target {
			cost--
		}
		if best == "" || cost < lowest {
			best, lowest = name, cost
		}
	}
	c.target = best
	return best
}

// backOff moves a control instance to the end of the order for a while. It failed to reply or could not
// confirm its reply, so it may be partitioned from the other control instances.
func (c *controlClient) backOff(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[name] = boottime.Now().Add(controlBackoff)
}

// UnconfirmedError reports a reply from a control instance that reaches no quorum.
type UnconfirmedError struct{ Peer string }

func (e *UnconfirmedError) Error() string {
	return "edge: control instance " + e.Peer + " could not confirm its configuration"
}

func (c *controlClient) attach(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	request := fleet.Attach{Number: c.numberInForce(), EnginesDigest: c.directory.State().Digest}
	calledAt := boottime.Now()
	var reply fleet.Attached
	if err := c.link.Call(ctx, target, fleet.KindAttach, request, &reply); err != nil {
		return err
	}
	if reply.Content != nil {
		if err := c.install(reply.Number, reply.Content, boottime.Now().Sub(calledAt)); err != nil {
			return err
		}
	} else if reply.Number > request.Number {
		c.announced.Store(max(c.announced.Load(), reply.Number))
		signal(c.newer)
	}
	if c.rollouts.Merge(reply.Rollouts) {
		c.onRollouts(c.rollouts.List())
	}
	c.directory.Merge(reply.Engines, calledAt)
	c.renewLease(calledAt, &reply)
	c.updateControlInstances(target, &reply)
	if !reply.IsConfirmed {
		return &UnconfirmedError{Peer: target}
	}
	c.leader.Store(&reply.Leader)
	c.entryCount.Store(int64(max(reply.EntryInstances, 1)))
	return nil
}

// install puts a configuration in force, unless the current one is as new or newer. took is how long its
// transfer took.
func (c *controlClient) install(number uint64, content []byte, took time.Duration) error {
	table, err := fleet.DecodeConfiguration(content)
	if err != nil {
		return err
	}
	if previous := c.table.Load(); previous != nil && previous.Number >= table.Number {
		return nil
	}
	c.table.Store(table)
	c.onInstall(table)
	c.logger.Info().Uint64("number", number).Int("bytes", len(content)).Dur("transfer", took).Msg("configuration in force")
	return nil
}

// renewLease extends the lease if a quorum confirmed, after the call was sent, that no configuration newer
// than the one in force on this instance is stored. A key that a later configuration revokes is accepted
// until the lease ends at the latest, which is before the required time limit for revocations.
func (c *controlClient) renewLease(calledAt boottime.Time, reply *fleet.Attached) {
	t := c.table.Load()
	if !reply.IsConfirmed || t == nil || uint64(t.Number) < reply.Confirmed {
		return
	}
	c.leaseEnd.Store(int64(calledAt.Add(c.revocationTimeout - leaseMargin)))
}

// leaseLeft returns the time until the lease ends. It must be called right before each use, since the
// process may be suspended in between.
func (c *controlClient) leaseLeft() time.Duration {
	return boottime.Time(c.leaseEnd.Load()).Sub(boottime.Now())
}

// updateControlInstances takes over the list of a control instance that reaches a quorum. One that doesn't may be outside
// the log and know nothing but its settings, so its list only adds to what is known.
func (c *controlClient) updateControlInstances(target string, reply *fleet.Attached) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataCentres[target] = reply.DataCentre
	if reply.IsConfirmed && len(reply.ControlInstances) > 0 {
		c.controlInstances = reply.ControlInstances
		return
	}
	c.addControlInstances(reply.ControlInstances)
}

func (c *controlClient) allControlInstances() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.controlInstances)
}

// allocators returns the control instances in the order in which they are asked for slots: the leader, then
// those of the own data centre.
func (c *controlClient) allocators() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := []string{}
	if leader := *c.leader.Load(); leader != "" {
		order = append(order, leader)
	}
	for _, name := range c.controlInstances {
		if c.dataCentres[name] == c.dataCentre && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	return order
}
