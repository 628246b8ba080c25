// Package control forwards configuration changes to the leader of the control replicas, distributes
// accepted versions to all instances and tracks the data centres in which a version is in force.
//
// A version is in force at an instance once the instance uses it. Two workers own the state of the
// package: the subscriber, on every instance, owns the version in force there; the publisher, on a control
// replica, owns the list of subscribers and the versions that they report.
package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// Replica is the part of the local replica of the configuration log that this package uses.
type Replica interface {
	// Propose returns the result of Store.Apply once the entry is committed and applied here.
	Propose(ctx context.Context, data []byte) (any, error)
	// Barrier returns once every entry committed before the call has been applied here and a quorum has
	// confirmed the leadership.
	Barrier(ctx context.Context) error
	// Leader returns the instance that this replica believes to be the leader.
	Leader() (instance string, known bool)
}

// Member is an instance that is known to the membership and has not left.
type Member struct {
	Name       string
	DataCentre string
	Live       bool   // alive or suspected: a version is only in force once this instance has it
	State      string // membership state, for status output only, for example "suspected"
}

// Peer is a control replica named in the settings.
type Peer struct {
	Name       string
	DataCentre string
}

// Options configures a Control.
type Options struct {
	Name       string
	DataCentre string
	Replicas   []Peer // all control replicas, including this instance if it is one
	// DataCentres lists the data centres with instances, as far as the settings name them. These and the
	// data centres of the replicas are taken into account even while no instance there is known.
	DataCentres []string
	Caller      link.Caller
	// Members returns all instances that have not left, including this one. An instance that is leaving or
	// left recently is returned with Live false, since its last report may be very recent. Members is
	// called from several goroutines.
	Members func() []Member
	// Neighbours returns the reachable instances of the local data centre, without this one.
	Neighbours func() []string
	// Directory is where the last version is stored. It is empty on an instance without a data folder.
	Directory string
	// OnVersion puts a version in force, which is the case when it returns. It is called by one goroutine,
	// with increasing versions.
	OnVersion func(configuration.Version, *configuration.Document)
	// NotLeader reports whether an error of Replica.Propose or Barrier means that nothing was proposed
	// because this replica is not the leader. It also returns the leader, if known.
	NotLeader func(error) (leader string, yes bool)
	Logger    zerolog.Logger
	Timing    Timing // zero fields are set from DefaultTiming
}

// Timing holds the intervals and timeouts of a Control. Zero fields are set from DefaultTiming.
type Timing struct {
	RenewInterval     time.Duration // between two renewals of a subscription
	RetryInterval     time.Duration // between two attempts to subscribe or to get a first version
	SubscriptionLease time.Duration // after which a subscription that was not renewed ends
	AnnounceInterval  time.Duration // between two announcements to instances that lack an awaited version
	CallTimeout       time.Duration // timeout of one renewal or probe
	FetchTimeout      time.Duration // timeout of one fetch
	ProposeTimeout    time.Duration // timeout of a proposal at the leader
	InForceTimeout    time.Duration // from the commit to the reply, if the version is not in force by then
	AttemptTimeout    time.Duration // timeout of one call of control.submit
	SubmitTimeout     time.Duration // timeout of Submit including all retries
	OutcomeTimeout    time.Duration // timeout of Outcome including all retries
	RetryDelay        time.Duration // between two attempts
}

// DefaultTiming holds the values of all fields that are zero in Options.Timing.
var DefaultTiming = Timing{
	RenewInterval:     2 * time.Second,
	RetryInterval:     500 * time.Millisecond,
	SubscriptionLease: 7 * time.Second, // tolerates the loss of three renewals
	AnnounceInterval:  500 * time.Millisecond,
	CallTimeout:       time.Second,
	FetchTimeout:      3 * time.Second, // enough for a document of 2 MiB at 6 Mbit/s
	ProposeTimeout:    2 * time.Second, // the longest time without a leader after a crash
	InForceTimeout:    5 * time.Second, // time within which a version must be in force in every data centre
	AttemptTimeout:    7500 * time.Millisecond,
	SubmitTimeout:     15 * time.Second, // two attempts of the longest duration
	OutcomeTimeout:    5 * time.Second,
	RetryDelay:        50 * time.Millisecond,
}

// OptionError reports a missing option.
type OptionError struct{ Option string }

func (e *OptionError) Error() string { return fmt.Sprintf("control: option %s is missing", e.Option) }

// Control manages the versions of the configuration on one instance.
type Control struct {
	options     Options
	dataCentres []string             // data centres known from the settings, sorted
	store       *configuration.Store // nil without the control role
	replica     Replica              // set by Attach before Run; nil without the control role
	publisher   *publisher           // nil without the control role
	subscriber  *subscriber
	payloads    versionCache[[]byte] // encoded documents, for fetch replies and for the file
	digests     versionCache[uint64] // document digests, for fetch replies with edits
	metrics     *counters
	submissions chan struct{} // semaphore that limits the submissions in progress at this leader

	mu         sync.Mutex
	leaderHint string // last known leader, which may be outdated
}

// maxSubmissions limits the submissions in progress at the leader, because each holds an encoded document.
const maxSubmissions = 64

// New returns a Control, or *OptionError when a required option is missing.
func New(o Options) (*Control, error) {
	for name, missing := range map[string]bool{
		"Name":       o.Name == "",
		"DataCentre": o.DataCentre == "",
		"Replicas":   len(o.Replicas) == 0,
		"Caller":     o.Caller == nil,
		"Members":    o.Members == nil,
		"Neighbours": o.Neighbours == nil,
		"OnVersion":  o.OnVersion == nil,
		"NotLeader":  o.NotLeader == nil,
	} {
		if missing {
			return nil, &OptionError{Option: name}
		}
	}
	o.Timing = o.Timing.withDefaults()
	c := &Control{options: o, metrics: newCounters(o.Name), submissions: make(chan struct{}, maxSubmissions)}
	c.dataCentres = append([]string{o.DataCentre}, o.DataCentres...)
	for _, peer := range o.Replicas {
		c.dataCentres = append(c.dataCentres, peer.DataCentre)
	}
	slices.Sort(c.dataCentres)
	c.dataCentres = slices.Compact(c.dataCentres)
	c.payloads.compute = encodePayload
	c.digests.compute = documentDigest
	c.subscriber = newSubscriber(c)
	for _, peer := range o.Replicas {
		if peer.Name == o.Name {
			c.publisher = newPublisher(c)
			c.store = configuration.NewStore(configuration.StoreOptions{OnVersion: c.publisher.enqueueCommitted})
		}
	}
	return c, nil
}

// Store returns the state machine for the replica of this instance, or nil without the control role.
func (c *Control) Store() *configuration.Store { return c.store }

// Attach sets the replica that drives Store. On an instance with the control role it must be called before
// Run.
func (c *Control) Attach(r Replica) { c.replica = r }

// Run runs the workers until ctx ends. It returns *OptionError when the replica is required but missing.
func (c *Control) Run(ctx context.Context) error {
	if c.publisher != nil && c.replica == nil {
		return &OptionError{Option: "Attach"}
	}
	var workers sync.WaitGroup
	if c.publisher != nil {
		workers.Go(func() { c.publisher.run(ctx) })
	}
	workers.Go(func() { c.subscriber.run(ctx) })
	workers.Wait()
	return nil
}

// Version returns the version in force at this instance. 0 means that there is none; the instance is not
// ready then.
func (c *Control) Version() configuration.Version { return c.subscriber.version() }

// Current returns the version in force at this instance and its document, which must not be modified.
func (c *Control) Current() (configuration.Version, *configuration.Document) {
	return c.subscriber.inForce()
}

// UnreachableSince returns the time since which no control replica that knows a leader has been reachable;
// ok is false when one is reachable.
func (c *Control) UnreachableSince() (since time.Time, ok bool) {
	state := c.subscriber.state()
	if state.UnreachableSince == nil {
		return time.Time{}, false
	}
	return *state.UnreachableSince, true
}

// State returns the states of the workers for a state dump, by worker.
func (c *Control) State() map[string]any {
	state := map[string]any{"control.subscriber": c.subscriber.state()}
	if c.publisher != nil {
		state["control.publisher"] = c.publisher.state()
	}
	return state
}

func (t Timing) withDefaults() Timing {
	for _, field := range []struct{ value, fallback *time.Duration }{
		{&t.RenewInterval, &DefaultTiming.RenewInterval},
		{&t.RetryInterval, &DefaultTiming.RetryInterval},
		{&t.SubscriptionLease, &DefaultTiming.SubscriptionLease},
		{&t.AnnounceInterval, &DefaultTiming.AnnounceInterval},
		{&t.CallTimeout, &DefaultTiming.CallTimeout},
		{&t.FetchTimeout, &DefaultTiming.FetchTimeout},
		{&t.ProposeTimeout, &DefaultTiming.ProposeTimeout},
		{&t.InForceTimeout, &DefaultTiming.InForceTimeout},
		{&t.AttemptTimeout, &DefaultTiming.AttemptTimeout},
		{&t.SubmitTimeout, &DefaultTiming.SubmitTimeout},
		{&t.OutcomeTimeout, &DefaultTiming.OutcomeTimeout},
		{&t.RetryDelay, &DefaultTiming.RetryDelay},
	} {
		if *field.value <= 0 {
			*field.value = *field.fallback
		}
	}
	return t
}
