package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

const (
	// attachInterval is the interval between calls to a control instance. Changes in between are announced.
	attachInterval = 400 * time.Millisecond
	// attachTimeout is how long one call may take before another control instance is called.
	attachTimeout = 600 * time.Millisecond
	// controlBackoff is how long a control instance that failed is called only if the others fail too.
	controlBackoff = 2 * time.Second
	// leaseMargin is the time by which the lease ends early, since requests are sent shortly after they
	// pass the check.
	leaseMargin = 250 * time.Millisecond
)

// controlClient keeps this instance attached to a control instance. It holds the configuration in force and the
// lease that is needed to accept keys.
type controlClient struct {
	link         link.Caller
	name         string
	dataCentre   string // of this instance
	revokeWithin time.Duration
	directory    *directory.Reader
	logger       zerolog.Logger
	changed      chan struct{}
	onInstall    func(*routing.Table)

	table      atomic.Pointer[routing.Table]
	leaseEnd   atomic.Int64 // boottime.Time until which the configuration may be used
	leader     atomic.Pointer[string]
	entryCount atomic.Int64

	mu               sync.Mutex
	controlInstances []string          // addresses of all known control instances
	dataCentres      map[string]string // data centre by control instance
	target           string            // control instance called last
	backoffUntil     map[string]boottime.Time
}

func newControlClient(o Options, l link.Caller, reader *directory.Reader, onInstall func(*routing.Table)) *controlClient {
	s := o.Settings
	m := &controlClient{
		link: l, name: s.Address.String(), dataCentre: s.DataCentre, revokeWithin: s.Bounds.RevokeWithin, directory: reader,
		logger: o.Logger, changed: make(chan struct{}, 1), onInstall: onInstall,
		controlInstances: s.SeedAddresses(), dataCentres: map[string]string{}, backoffUntil: map[string]boottime.Time{},
	}
	none := ""
	m.leader.Store(&none)
	m.entryCount.Store(1)
	return m
}

// Run calls a control instance at intervals until ctx ends.
func (m *controlClient) Run(ctx context.Context) error {
	attached := false
	for ctx.Err() == nil {
		target := m.selectTarget()
		err := m.attach(ctx, target)
		wait := attachInterval
		if err != nil {
			if attached {
				m.logger.Warn().Str("peer", target).Dur("lease", m.leaseLeft()).Err(err).Msg("control instance lost")
			}
			m.backOff(target)
			wait = attachInterval / 8
		} else if !attached {
			m.logger.Info().Str("peer", target).Msg("control instance regained")
		}
		attached = err == nil
		select {
		case <-ctx.Done():
		case <-m.changed:
		case <-time.After(wait):
		}
	}
	return ctx.Err()
}

// HandleChanged is the link handler for announcements of changes. It triggers a call without delay.
func (m *controlClient) HandleChanged(context.Context, link.Sender, []byte) (any, error) {
	select {
	case m.changed <- struct{}{}:
	default:
	}
	return nil, nil
}

// selectTarget returns the control instance to call. Instances of the own data centre and those whose data centre
// is not known yet come first, and the current one is preferred among equals. Instances that failed recently
// come last, ordered by the time of their failure.
func (m *controlClient) selectTarget() string {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	best, least := "", boottime.Time(0)
	for _, name := range m.controlInstances {
		cost := max(m.backoffUntil[name], now)
		if centre, known := m.dataCentres[name]; known && centre != m.dataCentre {
			cost++ // breaks ties in favour of the own data centre
		}
		if name == m.target {
			cost--
		}
		if best == "" || cost < least {
			best, least = name, cost
		}
	}
	m.target = best
	return best
}

// backOff moves a control instance to the end of the order for a while. It failed to reply or could not confirm
// its reply, so it may be partitioned from the other control instances.
func (m *controlClient) backOff(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backoffUntil[name] = boottime.Now().Add(controlBackoff)
}

// UnconfirmedError reports a reply from a control instance that reaches no quorum.
type UnconfirmedError struct{ Peer string }

func (e *UnconfirmedError) Error() string {
	return "edge: control instance " + e.Peer + " could not confirm its configuration"
}

func (m *controlClient) attach(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	request := fleet.Attach{EnginesDigest: m.directory.State().Digest}
	if t := m.table.Load(); t != nil {
		request.Number = uint64(t.Number)
	}
	asked := boottime.Now()
	var reply fleet.Attached
	if err := m.link.Call(ctx, target, fleet.KindAttach, request, &reply); err != nil {
		return err
	}
	if reply.Content != nil {
		if err := m.install(reply.Number, reply.Content); err != nil {
			return err
		}
	}
	m.directory.Import(reply.Engines, asked)
	m.renewLease(asked, &reply)
	m.updateControlInstances(target, &reply)
	if !reply.IsConfirmed {
		return &UnconfirmedError{Peer: target}
	}
	m.leader.Store(&reply.Leader)
	m.entryCount.Store(int64(max(reply.EntryInstances, 1)))
	return nil
}

// install puts a configuration in force, unless the current one is as new or newer.
func (m *controlClient) install(number uint64, content []byte) error {
	table, err := platform.DecodeDocument(content)
	if err != nil {
		return err
	}
	if former := m.table.Load(); former != nil && former.Number >= table.Number {
		return nil
	}
	m.table.Store(table)
	m.onInstall(table)
	m.logger.Info().Uint64("number", number).Msg("configuration in force")
	return nil
}

// renewLease extends the lease if a quorum confirmed, after the call was sent, that no configuration newer than
// the one in force on this instance is stored. A key that a later configuration revokes is accepted until the
// lease ends at the latest, which is before the required time limit for revocations.
func (m *controlClient) renewLease(asked boottime.Time, reply *fleet.Attached) {
	t := m.table.Load()
	if !reply.IsConfirmed || t == nil || uint64(t.Number) < reply.Confirmed {
		return
	}
	m.leaseEnd.Store(int64(asked.Add(m.revokeWithin - leaseMargin)))
}

// leaseLeft returns the time until the lease ends. It must be called right before each use, since the process may
// be suspended in between.
func (m *controlClient) leaseLeft() time.Duration {
	return boottime.Time(m.leaseEnd.Load()).Sub(boottime.Now())
}

func (m *controlClient) updateControlInstances(target string, reply *fleet.Attached) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dataCentres[target] = reply.DataCentre
	if len(reply.ControlInstances) > 0 {
		m.controlInstances = reply.ControlInstances
	}
}

// allocators returns the control instances in the order in which they are asked for slots: the leader, then those
// of the own data centre.
func (m *controlClient) allocators() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	order := []string{}
	if leader := *m.leader.Load(); leader != "" {
		order = append(order, leader)
	}
	for _, name := range m.controlInstances {
		if m.dataCentres[name] == m.dataCentre && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	return order
}
