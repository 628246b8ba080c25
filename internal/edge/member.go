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
	// attachInterval is the period of calls to a control instance; changes are announced in between.
	attachInterval = 400 * time.Millisecond
	// attachTimeout is how long one call may take before another control instance is asked.
	attachTimeout = 600 * time.Millisecond
	// avoidControl is how long a control instance that failed is asked last.
	avoidControl = 2 * time.Second
	// leaseMargin is kept free before the end of a lease, for requests that pass the check and are
	// sent a little later.
	leaseMargin = 250 * time.Millisecond
)

// member keeps this instance attached to a control instance. It holds the configuration in force and
// the lease under which keys are honoured.
type member struct {
	link      link.Caller
	name      string
	centre    string // data centre of this instance
	revokeIn  time.Duration
	directory *directory.Reader
	logger    zerolog.Logger
	changed   chan struct{}
	installed func(*routing.Table)

	table   atomic.Pointer[routing.Table]
	lease   atomic.Int64 // boottime.Time until which the configuration is known not to be revoked
	leader  atomic.Pointer[string]
	entries atomic.Int64

	mu      sync.Mutex
	control []string          // all control instances that are known
	centres map[string]string // data centre by control instance
	current string            // the one that is asked
	avoided map[string]boottime.Time
}

func newMember(o Options, l link.Caller, list *directory.Reader, installed func(*routing.Table)) *member {
	s := o.Settings
	m := &member{
		link: l, name: s.Address.String(), centre: s.DataCentre, revokeIn: s.Bounds.RevokeWithin, directory: list,
		logger: o.Logger, changed: make(chan struct{}, 1), installed: installed,
		control: s.SeedAddresses(), centres: map[string]string{}, avoided: map[string]boottime.Time{},
	}
	none := ""
	m.leader.Store(&none)
	m.entries.Store(1)
	return m
}

// Run attaches until ctx ends.
func (m *member) Run(ctx context.Context) error {
	attached := false
	for ctx.Err() == nil {
		target := m.target()
		err := m.attach(ctx, target)
		wait := attachInterval
		if err != nil {
			if attached {
				m.logger.Warn().Str("peer", target).Dur("lease", m.leaseLeft()).Err(err).Msg("control instance lost")
			}
			m.avoid(target)
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

// HandleChanged is the link's handler of notices.
func (m *member) HandleChanged(context.Context, link.Sender, []byte) (any, error) {
	select {
	case m.changed <- struct{}{}:
	default:
	}
	return nil, nil
}

// target returns the control instance to ask: one of the own data centre, else one whose data centre
// isn't known yet, else any. Instances that failed lately come last, the one that failed first before
// the others.
func (m *member) target() string {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	best, least := "", boottime.Time(0)
	for _, name := range m.control {
		cost := max(m.avoided[name], now)
		if centre, known := m.centres[name]; known && centre != m.centre {
			cost++ // orders instances that are equal otherwise
		}
		if name == m.current {
			cost--
		}
		if best == "" || cost < least {
			best, least = name, cost
		}
	}
	m.current = best
	return best
}

// avoid leaves a control instance alone for a while that did not answer, or could not confirm what it
// answered: it may be cut off from the others.
func (m *member) avoid(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.avoided[name] = boottime.Now().Add(avoidControl)
}

// UnconfirmedError reports an answer of a control instance that reaches no quorum.
type UnconfirmedError struct{ Peer string }

func (e *UnconfirmedError) Error() string {
	return "edge: control instance " + e.Peer + " could not confirm its configuration"
}

func (m *member) attach(ctx context.Context, target string) error {
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
	m.learnControl(target, &reply)
	if !reply.IsConfirmed {
		return &UnconfirmedError{Peer: target}
	}
	m.leader.Store(&reply.Leader)
	m.entries.Store(int64(max(reply.EntryInstances, 1)))
	return nil
}

// install puts a configuration in force, unless a newer one is.
func (m *member) install(number uint64, content []byte) error {
	table, err := platform.DecodeDocument(content)
	if err != nil {
		return err
	}
	if former := m.table.Load(); former != nil && former.Number >= table.Number {
		return nil
	}
	m.table.Store(table)
	m.installed(table)
	m.logger.Info().Uint64("number", number).Msg("configuration in force")
	return nil
}

// renewLease extends the lease when a quorum confirmed, after the question was sent, that no newer
// configuration than the one in force here is stored. A key that a later one takes away is honoured
// no longer than the lease, which ends before the users' bound.
func (m *member) renewLease(asked boottime.Time, reply *fleet.Attached) {
	t := m.table.Load()
	if !reply.IsConfirmed || t == nil || uint64(t.Number) < reply.Confirmed {
		return
	}
	m.lease.Store(int64(asked.Add(m.revokeIn - leaseMargin)))
}

// leaseLeft returns how long the lease still holds. It is read right before each use, since the
// process may have been suspended in between.
func (m *member) leaseLeft() time.Duration {
	return boottime.Time(m.lease.Load()).Sub(boottime.Now())
}

func (m *member) learnControl(target string, reply *fleet.Attached) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.centres[target] = reply.DataCentre
	if len(reply.ControlInstances) > 0 {
		m.control = reply.ControlInstances
	}
}

// allocators returns the control instances in the order in which they are asked for places.
func (m *member) allocators() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	order := []string{}
	if leader := *m.leader.Load(); leader != "" {
		order = append(order, leader)
	}
	for _, name := range m.control {
		if m.centres[name] == m.centre && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	return order
}
